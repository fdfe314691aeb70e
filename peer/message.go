package peer

import (
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/revision"
)

// The kinds of message.
const (
	// KindGossip exchanges soft state.
	KindGossip = "gossip"
	// KindQuery asks a box a question of the operators.
	KindQuery = "query"
	// KindConfiguration asks for the revision that a box holds.
	KindConfiguration = "configuration"
)

// Message is what two daemons say to each other; answers have the same shape.
// Only soft state travels: losing any message breaks no rule. The numbers 21 and 26 named
// other things in earlier releases.
type Message struct {
	Kind string `cbor:"1,keyasint"`
	// From names the sending box.
	From string `cbor:"2,keyasint"`
	// Number is the call's on its connection; the answer has the same.
	Number uint64 `cbor:"16,keyasint,omitempty"`
	// Revision is the sender's configuration revision.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Loads are reports that the sender read itself or heard of lately.
	Loads []Load `cbor:"4,keyasint,omitempty"`
	// Leaving are targets that take no new work.
	Leaving []Leaving `cbor:"5,keyasint,omitempty"`
	// Demand is the sender's use of accounts that have limits.
	Demand []Demand `cbor:"6,keyasint,omitempty"`
	// Usage is what the sender's requests keep busy, by pool.
	Usage []PoolUsage `cbor:"10,keyasint,omitempty"`
	// TargetLoads are what the sender's own requests take up, by target.
	TargetLoads []TargetLoad `cbor:"11,keyasint,omitempty"`
	// ListVersion is the number of the hub's list that the sender has.
	ListVersion uint64 `cbor:"12,keyasint,omitempty"`
	// ListStartVersion is the hub's number when it began to tell the sender its whole list; zero
	// once it has.
	ListStartVersion uint64 `cbor:"28,keyasint,omitempty"`
	// View answers boxes that read the platform through the answering one.
	View *View `cbor:"13,keyasint,omitempty"`
	// PlacementRequest and Placed are a request's placing by a hub.
	PlacementRequest  *PlacementRequest  `cbor:"14,keyasint,omitempty"`
	PlacementResponse *PlacementResponse `cbor:"15,keyasint,omitempty"`
	// EndedIncarnations are targets' lives that were found to be over, as another replica has
	// the address or as the target started again.
	EndedIncarnations []Incarnation `cbor:"20,keyasint,omitempty"`
	// CrashReports are requests that ran on targets when these ended, as the sender found
	// lately; Lifted are such that were answered after all.
	CrashReports []CrashReport     `cbor:"23,keyasint,omitempty"`
	Lifted       []fingerprint.Sum `cbor:"24,keyasint,omitempty"`
	// QuarantineVersion numbers the set of requests that the hub was last heard to refuse.
	QuarantineVersion uint64 `cbor:"25,keyasint,omitempty"`
	// Stale says that the sender refuses callers, as it can't tell whether its
	// configuration is in force.
	Stale bool `cbor:"18,keyasint,omitempty"`
	// OperatorRevision is the newest change of what the operator wrote that the sender knows,
	// ProofMS how long ago it was known to be the newest.
	OperatorRevision revision.Revision `cbor:"35,keyasint,omitempty"`
	ProofAgeMS       int64             `cbor:"22,keyasint,omitempty"`
	// ConfigurationVersion is the version in force at the sender.
	ConfigurationVersion int64 `cbor:"37,keyasint,omitempty"`
	// ListRevision is the newest change of the list of targets that the sender read.
	ListRevision revision.Revision `cbor:"36,keyasint,omitempty"`
	// Domain is the sender's failure domain, Unlisted how many boxes without a row of their
	// own it has met.
	Domain   string `cbor:"29,keyasint,omitempty"`
	Unlisted int    `cbor:"30,keyasint,omitempty"`
	// RetryCredits is what the sender's requests earned of retries, by pool, since it last told. Pool
	// is the one that a retry is asked for, Granted says that it may be made.
	RetryCredits map[string]float64 `cbor:"31,keyasint,omitempty"`
	RetryPool    string             `cbor:"32,keyasint,omitempty"`
	RetryGranted bool               `cbor:"33,keyasint,omitempty"`
	// RateLimits are the rates of requests that targets take of all boxes together, as far as
	// the sender knows of them or of their end.
	RateLimits []RateLimit `cbor:"34,keyasint,omitempty"`
	// CanarySamples is what boxes saw of versions that are tried out.
	CanarySamples []CanarySample `cbor:"27,keyasint,omitempty"`
	// PrefillTotals are what the sender had targets read by its own choice.
	PrefillTotals []PrefillTotal `cbor:"19,keyasint,omitempty"`
	// Statement is an operator's question.
	Statement string `cbor:"7,keyasint,omitempty"`
	// Body is an answer in JSON, or a configuration.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// Error says why there is no answer.
	Error string `cbor:"9,keyasint,omitempty"`
}

// Incarnation names one life of a target.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartedMS is when it began, in Unix milliseconds; zero if it does not tell.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
}

// CrashReport tells which requests ran on a target when it ended.
type CrashReport struct {
	// Incarnation names the target's life as all boxes do.
	Incarnation  string            `cbor:"1,keyasint"`
	Fingerprints []fingerprint.Sum `cbor:"2,keyasint"`
}

// Load is one target's report as it travels.
type Load struct {
	// Target is target.ID of the name and address, so that a new target at
	// another address is not meant.
	Target  uint64 `cbor:"1,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	Running int    `cbor:"4,keyasint,omitempty"`
	Waiting int    `cbor:"5,keyasint,omitempty"`
	Slots   int    `cbor:"6,keyasint,omitempty"`
	Loading bool   `cbor:"8,keyasint,omitempty"`
	// Queued is how long the target was thought to be busy when the message was
	// sent, in milliseconds.
	Queued int `cbor:"9,keyasint,omitempty"`
	// Age is how old the report was when the message was sent, in
	// milliseconds.
	Age int `cbor:"7,keyasint,omitempty"`
}

// TargetLoad is what one box's requests take up at a target or a store.
type TargetLoad struct {
	// Target is the hash of the target's ID or of the store's name.
	Target uint64 `cbor:"1,keyasint"`
	// Tokens is the memory that running requests need, Unread the part of their
	// prompts that should have been read by now and was not.
	Tokens         int `cbor:"2,keyasint,omitempty"`
	PrefillBacklog int `cbor:"3,keyasint,omitempty"`
	// ExpectedMS is how long the moves from there that ended lately should have
	// taken, TookMS how long they took, in milliseconds.
	ExpectedMS int `cbor:"4,keyasint,omitempty"`
	ActualMS   int `cbor:"5,keyasint,omitempty"`
}

// PrefillTotal is how many prompt tokens a box had a target read.
type PrefillTotal struct {
	// Target is the hash of the target's ID.
	Target uint64 `cbor:"1,keyasint"`
	// Total counts since the box started and never falls until it starts again.
	Total uint64 `cbor:"2,keyasint"`
}

// IsZero says that the share tells of nothing.
func (s TargetLoad) IsZero() bool {
	return s.Tokens == 0 && s.PrefillBacklog == 0 && s.ExpectedMS == 0 && s.ActualMS == 0
}

// Add returns the sum of two shares of one target.
func (s TargetLoad) Add(b TargetLoad) TargetLoad {
	return TargetLoad{s.Target, s.Tokens + b.Tokens, s.PrefillBacklog + b.PrefillBacklog, s.ExpectedMS + b.ExpectedMS, s.ActualMS + b.ActualMS}
}

// Sub returns the share without a part of it.
func (s TargetLoad) Sub(b TargetLoad) TargetLoad {
	return TargetLoad{s.Target, s.Tokens - b.Tokens, s.PrefillBacklog - b.PrefillBacklog, s.ExpectedMS - b.ExpectedMS, s.ActualMS - b.ActualMS}
}

// Leaving tells how long ago a target was said to be leaving, by itself or by
// the platform's list.
type Leaving struct {
	Target uint64 `cbor:"1,keyasint"`
	// Age is in milliseconds.
	Age int `cbor:"2,keyasint,omitempty"`
}

// Demand is how many requests of an account a box has under way or refused
// lately.
type Demand struct {
	Account  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
}

// UsageScale is how Use counts: in thousandths of an engine or a slot.
const UsageScale = 1000

// PoolUsage is how much of a pool a box's requests keep busy.
type PoolUsage struct {
	Pool    string `cbor:"1,keyasint"`
	Engines int    `cbor:"2,keyasint,omitempty"`
	Slots   int    `cbor:"3,keyasint,omitempty"`
}
