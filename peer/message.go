package peer

import (
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/revision"
)

// The kinds of message.
const (
	// KindGossip exchanges soft state.
	KindGossip = "gossip"
	// KindQuery sends a box an operator's query.
	KindQuery = "query"
	// KindConfiguration asks for the configuration that a box holds.
	KindConfiguration = "configuration"
	// KindOperator asks for all that a box knows of the operator's rows: the answer has a View
	// without targets and, if it is later than the ConfigurationVersion in the request, the
	// configuration.
	KindOperator = "operator"
)

// Message is a request between daemons; answers have the same type. It carries soft state only:
// correctness does not depend on any one message. The field numbers 21 and 26 had other meanings
// in earlier releases.
type Message struct {
	Kind string `cbor:"1,keyasint"`
	// From names the sending box.
	From string `cbor:"2,keyasint"`
	// Number identifies the call on its connection; the answer carries the same number.
	Number uint64 `cbor:"16,keyasint,omitempty"`
	// Revision is the sender's configuration revision.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Loads are load reports that the sender read itself or received recently.
	Loads []Load `cbor:"4,keyasint,omitempty"`
	// Leaving are targets that take no new work.
	Leaving []Leaving `cbor:"5,keyasint,omitempty"`
	// Demand is the sender's usage of accounts that have limits.
	Demand []Demand `cbor:"6,keyasint,omitempty"`
	// Usage is how much of each pool the sender's requests occupy.
	Usage []PoolUsage `cbor:"10,keyasint,omitempty"`
	// TargetLoads are the resources that the sender's own requests use, by target.
	TargetLoads []TargetLoad `cbor:"11,keyasint,omitempty"`
	// ListVersion is the version of the hub's list that the sender has.
	ListVersion uint64 `cbor:"12,keyasint,omitempty"`
	// ListStartVersion is the version at which the hub began to send the sender a full snapshot;
	// zero once that is complete.
	ListStartVersion uint64 `cbor:"28,keyasint,omitempty"`
	// View is the answer to boxes that read the platform through this hub.
	View *View `cbor:"13,keyasint,omitempty"`
	// A box asks a hub for a placement with PlacementRequest; the hub answers with
	// PlacementResponse.
	PlacementRequest  *PlacementRequest  `cbor:"14,keyasint,omitempty"`
	PlacementResponse *PlacementResponse `cbor:"15,keyasint,omitempty"`
	// EndedIncarnations are incarnations of targets known to have ended, because another replica
	// has the address or the target started again.
	EndedIncarnations []Incarnation `cbor:"20,keyasint,omitempty"`
	// CrashReports are requests that were running on targets when these ended, as the sender found
	// recently; Lifted are such requests that completed after all.
	CrashReports []CrashReport     `cbor:"23,keyasint,omitempty"`
	Lifted       []fingerprint.Sum `cbor:"24,keyasint,omitempty"`
	// QuarantineVersion is the version of the hub's quarantine that the sender has.
	QuarantineVersion uint64 `cbor:"25,keyasint,omitempty"`
	// Stale says that the sender refuses callers because it can't tell whether its configuration
	// is still in force.
	Stale bool `cbor:"18,keyasint,omitempty"`
	// OperatorRevision is the newest revision of the operator's rows that the sender knows,
	// ProofAgeMS how long ago it was last proved to be the newest.
	OperatorRevision revision.Revision `cbor:"35,keyasint,omitempty"`
	ProofAgeMS       int64             `cbor:"22,keyasint,omitempty"`
	// RewritePending says that the sender reads the operator's rows, last ReadAgeMS ago, but that
	// they prove nothing until the operator has written again what a restore lost. The proof is
	// from before that restore.
	RewritePending bool  `cbor:"38,keyasint,omitempty"`
	ReadAgeMS      int64 `cbor:"39,keyasint,omitempty"`
	// ConfigurationVersion is the version in force at the sender, ConfigurationAgeMS for how long
	// the sender has known that it or a later one exists.
	ConfigurationVersion int64 `cbor:"37,keyasint,omitempty"`
	ConfigurationAgeMS   int64 `cbor:"42,keyasint,omitempty"`
	// ListRevision is the newest revision of the list of targets that the sender has read.
	ListRevision revision.Revision `cbor:"36,keyasint,omitempty"`
	// Domain is the sender's failure domain, Unlisted the number of boxes without a row that it
	// has met.
	Domain   string `cbor:"29,keyasint,omitempty"`
	Unlisted int    `cbor:"30,keyasint,omitempty"`
	// RetryCredits are the deposits that the sender's requests made to each pool's retry budget
	// since its last report. RetryPool is the pool for which a retry is requested, RetryGranted
	// allows it.
	RetryCredits map[string]float64 `cbor:"31,keyasint,omitempty"`
	RetryPool    string             `cbor:"32,keyasint,omitempty"`
	RetryGranted bool               `cbor:"33,keyasint,omitempty"`
	// RateLimits are the rate limits that targets set for all boxes together, and recently ended
	// ones, as far as the sender knows.
	RateLimits []RateLimit `cbor:"34,keyasint,omitempty"`
	// CanarySamples are what boxes saw of canary versions.
	CanarySamples []CanarySample `cbor:"27,keyasint,omitempty"`
	// PrefillTotals count the prompt tokens that targets had to prefill for placements the sender
	// chose itself.
	PrefillTotals []PrefillTotal `cbor:"19,keyasint,omitempty"`
	// AccountLoads are what the requests of client accounts use, sent only while a pool is short of
	// room; ShortPools are the pools for which the sender, as the box that places, is short of it.
	AccountLoads []AccountLoad `cbor:"40,keyasint,omitempty"`
	ShortPools   []string      `cbor:"41,keyasint,omitempty"`
	// RunLosses count the runs that ended lately, of pools whose engines are being lost: a spoke's
	// own to its hub, a hub's and its spokes' to other hubs, and all that the hub knows of to a
	// spoke. They are left out while no runs are lost.
	RunLosses []RunLoss `cbor:"60,keyasint,omitempty"`
	// BegunParts are prompt parts held against which ends of targets no longer count, as a request
	// began; KnownGoodParts are suspected ones that began lately, maybe before those ends.
	BegunParts     []fingerprint.Sum `cbor:"44,keyasint,omitempty"`
	KnownGoodParts []fingerprint.Sum `cbor:"45,keyasint,omitempty"`
	// LostPools are the pools none of whose targets the sender reaches.
	LostPools []string `cbor:"43,keyasint,omitempty"`
	// Origins say what began streams. A message of KindPlace without a PlacementRequest tells them, or
	// asks for those with OriginKeys, which the answer brings; boxes of earlier releases answer it
	// with nothing.
	Origins    []Origin `cbor:"46,keyasint,omitempty"`
	OriginKeys []uint64 `cbor:"47,keyasint,omitempty"`
	// BrittlePools are the pools with brittle targets. Permits and PermitAnswer are about the room of these.
	BrittlePools []BrittlePool `cbor:"48,keyasint,omitempty"`
	Permits      *Permits      `cbor:"49,keyasint,omitempty"`
	PermitAnswer *PermitAnswer `cbor:"50,keyasint,omitempty"`
	// Statement is an operator's query.
	Statement string `cbor:"7,keyasint,omitempty"`
	// Body is a query's result in JSON, or a configuration.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// Error says why there is no result.
	Error string `cbor:"9,keyasint,omitempty"`
}

// isHeld reports whether the answer may be held back for longer than it takes to compute.
func (m *Message) isHeld() bool {
	return m.PlacementRequest != nil && m.PlacementRequest.Hold || m.Permits != nil && m.Permits.Ask != nil
}

// Incarnation identifies a target between one of its starts and the next.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartedMS is when it began, in Unix milliseconds; zero if unknown.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
}

// CrashReport names the requests that were running on a target when it ended.
type CrashReport struct {
	// Incarnation is the key of the target's incarnation, the same on all boxes.
	Incarnation  string            `cbor:"1,keyasint"`
	Fingerprints []fingerprint.Sum `cbor:"2,keyasint"`
	// Parts are the prompt parts of which requests had not begun there.
	Parts []fingerprint.Sum `cbor:"3,keyasint,omitempty"`
}

// Origin says which software version began a stream.
type Origin struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the stream (package origin), Pool is the lower half of the hash of the pool's name.
	Key      uint64
	Pool     uint32
	Software string
	// Conflicting says that there were two records of the stream.
	Conflicting bool
	// AgeMS is for how long it has been known, LeftMS for how long it is needed, in milliseconds.
	AgeMS, LeftMS int64
}

// Load is one target's load report.
type Load struct {
	// Target is target.ID of the name and address, so that a new target at another address is a
	// different one.
	Target  uint64 `cbor:"1,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	Running int    `cbor:"4,keyasint,omitempty"`
	Waiting int    `cbor:"5,keyasint,omitempty"`
	Slots   int    `cbor:"6,keyasint,omitempty"`
	Loading bool   `cbor:"8,keyasint,omitempty"`
	// Queued is how long the target was expected to stay busy when the message was sent, in
	// milliseconds.
	Queued int `cbor:"9,keyasint,omitempty"`
	// Age is how old the report was when the message was sent, in milliseconds.
	Age int `cbor:"7,keyasint,omitempty"`
}

// TargetLoad is the load that one box's requests put on a target or a store.
type TargetLoad struct {
	// Target is the hash of the target's ID or of the store's name.
	Target uint64 `cbor:"1,keyasint"`
	// Tokens is the memory that running requests need. PrefillBacklog is the part of their prompts
	// that should have been prefilled by now but was not.
	Tokens         int `cbor:"2,keyasint,omitempty"`
	PrefillBacklog int `cbor:"3,keyasint,omitempty"`
	// ExpectedMS is how long the recently ended transfers from there should have taken, ActualMS
	// how long they took, in milliseconds.
	ExpectedMS int `cbor:"4,keyasint,omitempty"`
	ActualMS   int `cbor:"5,keyasint,omitempty"`
	// These three are set only for engines some of whose answers began late (package engineslow);
	// Target is then the hash of the engine's incarnation. FirstExpectedMS is the time that recent
	// first events should have taken, FirstTookMS the time they took, in milliseconds, and
	// LateTenths counts the late ones less
	// those in time, in tenths.
	FirstExpectedMS int `cbor:"70,keyasint,omitempty"`
	FirstTookMS     int `cbor:"71,keyasint,omitempty"`
	LateTenths      int `cbor:"72,keyasint,omitempty"`
}

// AccountLoad is the engine memory that the running requests of one client account use at a pool.
type AccountLoad struct {
	// Key is a hash of the pool and the account.
	Key    uint32 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
	// Waits is one more than the lowest urgency number of the account's requests that wait in the
	// sender's own queue; zero if none does. Lower goes first.
	Waits int `cbor:"3,keyasint,omitempty"`
}

// RunLoss counts a pool's runs that ended within the last 10 s.
type RunLoss struct {
	_ struct{} `cbor:",toarray"`
	// Pool is the lower half of the hash of the pool's name. Lost are those of the Ended runs that
	// were lost with their engine.
	Pool        uint32
	Ended, Lost int
}

// PrefillTotal is how many prompt tokens a box made a target prefill.
type PrefillTotal struct {
	// Target is the hash of the target's ID.
	Target uint64 `cbor:"1,keyasint"`
	// Total counts since the box started; it falls only if the box restarts.
	Total uint64 `cbor:"2,keyasint"`
}

// IsZero reports whether the load is empty.
func (s TargetLoad) IsZero() bool {
	return s == TargetLoad{Target: s.Target}
}

// Add returns the sum of two loads of one target.
func (s TargetLoad) Add(b TargetLoad) TargetLoad {
	return TargetLoad{
		s.Target, s.Tokens + b.Tokens, s.PrefillBacklog + b.PrefillBacklog, s.ExpectedMS + b.ExpectedMS, s.ActualMS + b.ActualMS,
		s.FirstExpectedMS + b.FirstExpectedMS, s.FirstTookMS + b.FirstTookMS, s.LateTenths + b.LateTenths,
	}
}

// Sub returns the load without a part of it.
func (s TargetLoad) Sub(b TargetLoad) TargetLoad {
	return TargetLoad{
		s.Target, s.Tokens - b.Tokens, s.PrefillBacklog - b.PrefillBacklog, s.ExpectedMS - b.ExpectedMS, s.ActualMS - b.ActualMS,
		s.FirstExpectedMS - b.FirstExpectedMS, s.FirstTookMS - b.FirstTookMS, s.LateTenths - b.LateTenths,
	}
}

// Leaving names a target that is leaving. Its age counts from when the target announced that, or
// from when the platform's list showed it.
type Leaving struct {
	Target uint64 `cbor:"1,keyasint"`
	// Age is in milliseconds.
	Age int `cbor:"2,keyasint,omitempty"`
}

// Demand is how many requests of an account a box has in flight or refused recently.
type Demand struct {
	Account  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// UsageScale is the unit of PoolUsage: thousandths of an engine or a slot.
const UsageScale = 1000

// PoolUsage is how much of a pool a box's requests occupy.
type PoolUsage struct {
	Pool    string `cbor:"1,keyasint"`
	Engines int    `cbor:"2,keyasint,omitempty"`
	Slots   int    `cbor:"3,keyasint,omitempty"`
}
