package peer

import "github.com/thymewind/thymewind/fingerprint"

// KindPlace asks a hub to place a request.
const KindPlace = "place"

// KindRetry asks a hub for permission to retry from the retry budget.
const KindRetry = "retry"

// PlacementRequest is what a hub needs to know to place a request.
type PlacementRequest struct {
	Request string `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	// IsolatedAccount names the account if it shares no cached prompt parts with others.
	IsolatedAccount string `cbor:"4,keyasint,omitempty"`
	Parts           []Part `cbor:"5,keyasint,omitempty"`
	// Tokens is the memory that the request needs, in tokens.
	Tokens int `cbor:"6,keyasint,omitempty"`
	// MaxMemoryShare is the share of an engine's memory up to which the request is admitted if it
	// needs TypicalTokens, which is typical for its route.
	MaxMemoryShare float64  `cbor:"7,keyasint,omitempty"`
	TypicalTokens  int      `cbor:"9,keyasint,omitempty"`
	Tried          []string `cbor:"8,keyasint,omitempty"`
	// Regions are where the request may run and its parts may be cached and stored, if Limited is
	// set.
	Limited bool     `cbor:"13,keyasint,omitempty"`
	Regions []string `cbor:"14,keyasint,omitempty"`
	// GoalMS is the goal for the time to the first event, in milliseconds.
	GoalMS int64 `cbor:"10,keyasint,omitempty"`
	// IdleConnections are the targets to which the asking box has an idle connection, each by the
	// lower half of its ID's hash.
	IdleConnections []uint32 `cbor:"11,keyasint,omitempty"`
	// Excluded are the targets that must get no request from the asking box because they are
	// leaving or asked it for a backoff; named likewise.
	Excluded []uint32 `cbor:"12,keyasint,omitempty"`
	// Priority is the request's priority, RoutePriority that of its route, which an account's
	// priority may stand for.
	Priority      int `cbor:"19,keyasint,omitempty"`
	RoutePriority int `cbor:"24,keyasint,omitempty"`
	// Wait says that the request can wait in the hub's queue. The fields after it are set then.
	Wait bool `cbor:"15,keyasint,omitempty"`
	// Hold says that the hub may hold this call until the request, which it has queued, is placed
	// or refused. Ticket identifies the request among the sender's.
	Hold   bool   `cbor:"16,keyasint,omitempty"`
	Ticket uint64 `cbor:"17,keyasint,omitempty"`
	// SinceMS is how long ago the caller asked. LeftMS is how long the request may wait at the
	// most, GoalLeftMS how long if it is to meet its goal: zero if it has none, negative if it
	// can't any more.
	SinceMS    int64 `cbor:"20,keyasint,omitempty"`
	LeftMS     int64 `cbor:"21,keyasint,omitempty"`
	GoalLeftMS int64 `cbor:"22,keyasint,omitempty"`
	// DeadlineMS is how long the caller waits at the most, over refusals and returns.
	DeadlineMS int64 `cbor:"25,keyasint,omitempty"`
	// Fingerprint is the request's, which is sent only while the hub is short of room.
	Fingerprint []byte `cbor:"23,keyasint,omitempty"`
	// Account names the caller's account; empty if there is none.
	Account string `cbor:"30,keyasint,omitempty"`
	// TokenOnly asks for a token of a rate-limited target instead of a placement, for a later
	// request. An earlier release places the request, which takes a token, too.
	TokenOnly bool `cbor:"31,keyasint,omitempty"`
	// LossMS is the time that the caller loses if the run is lost with its engine, in
	// milliseconds; zero if the run needs no copy.
	LossMS int64 `cbor:"60,keyasint,omitempty"`
	// Software is the version of the targets' software that may serve the request, as that version
	// began the stream that it continues; nil if it continues none. Resumable says that it begins a
	// stream that can be continued. Hubs of earlier releases know neither.
	Software  *string `cbor:"61,keyasint,omitempty"`
	Resumable bool    `cbor:"62,keyasint,omitempty"`
}

// Part is one part of a prompt.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// PlacementResponse is a hub's answer: a place, or why there is none.
type PlacementResponse struct {
	Target  string `cbor:"1,keyasint,omitempty"`
	Version int64  `cbor:"2,keyasint,omitempty"`
	// Fetch and Save hold an address for each part, or an empty string.
	Fetch []string `cbor:"3,keyasint,omitempty"`
	Save  []string `cbor:"4,keyasint,omitempty"`
	// UntilMS is when the fetch is abandoned, on the targets' clock.
	UntilMS int64 `cbor:"5,keyasint,omitempty"`
	// These four count prompt tokens: PrefillTokens are those that the target has to prefill.
	CachedTokens  int    `cbor:"6,keyasint,omitempty"`
	FetchedTokens int    `cbor:"7,keyasint,omitempty"`
	SavedTokens   int    `cbor:"8,keyasint,omitempty"`
	PrefillTokens int    `cbor:"9,keyasint,omitempty"`
	Rule          string `cbor:"10,keyasint,omitempty"`
	// Refused is the code of a refusal, Reason its text for people.
	Refused string `cbor:"11,keyasint,omitempty"`
	Reason  string `cbor:"12,keyasint,omitempty"`
	// PrefillBacklog are the tokens of other requests that the target has to prefill first.
	PrefillBacklog int `cbor:"13,keyasint,omitempty"`
	// Entry is the target's entry if it is in use so recently that the asking box may not know it.
	Entry *Entry `cbor:"15,keyasint,omitempty"`
	// QuotaGranted says that the target has a rate limit and that the hub counted this request.
	QuotaGranted bool `cbor:"16,keyasint,omitempty"`
	// Transfers are the fetches that the target waits for.
	Transfers []Transfer `cbor:"14,keyasint,omitempty"`
	// NextBest is the lower half of the hash of the ID of the cheapest other engine, zero if there
	// was none. NextBestCostMS is by how much more it would have cost, in milliseconds; it may be
	// negative.
	NextBest       uint32 `cbor:"17,keyasint,omitempty"`
	NextBestCostMS int64  `cbor:"18,keyasint,omitempty"`
	// Queued says that the request waits at the hub as long as its sender asks again in time;
	// AheadMS is how long it is expected to wait.
	Queued  bool  `cbor:"22,keyasint,omitempty"`
	AheadMS int64 `cbor:"23,keyasint,omitempty"`
	// RetryAfterMS is when the caller of a refused request should return; zero if the hub does
	// not say.
	RetryAfterMS int64 `cbor:"19,keyasint,omitempty"`
	// AskAnother says that the hub keeps no request, as it stops or knows too little by now.
	AskAnother bool `cbor:"20,keyasint,omitempty"`
	// SinceMS is how long ago the caller of a queued request first asked, as far as the hub knows.
	SinceMS int64 `cbor:"21,keyasint,omitempty"`
	// CopyTarget is the target that is to hold a copy of the run; empty for none.
	CopyTarget string `cbor:"60,keyasint,omitempty"`
	// SlowdownPercent is by which factor the hub scaled the target's predicted first event, in
	// hundredths; zero if it did not.
	SlowdownPercent int `cbor:"70,keyasint,omitempty"`
}

// Transfer is one fetch of cached parts.
type Transfer struct {
	// Source is the hash of the source's name, ExpectedUS how long the transfer takes over an
	// unused link, in microseconds.
	Source     uint64 `cbor:"1,keyasint"`
	ExpectedUS int64  `cbor:"2,keyasint"`
}

// View is a hub's snapshot of the platform, for boxes that need not read it themselves.
type View struct {
	// ConfigurationVersion is the version in force at the hub, ProofAgeMS how long before the
	// answer it was last proved to be the newest.
	ConfigurationVersion int64 `cbor:"1,keyasint"`
	ProofAgeMS           int64 `cbor:"2,keyasint"`
	// ListVersion numbers the last change of the hub's list of targets that this answer covers.
	// With Delta, Entries are those that were added or changed since the version in the request,
	// and Removed the IDs of those removed. Without Delta, Entries are the next part of a full
	// snapshot: once it is complete, targets that it did not name are gone. More says that there
	// is more to fetch; the next request carries ListStartVersion, too.
	ListVersion      uint64   `cbor:"3,keyasint"`
	Entries          []Entry  `cbor:"4,keyasint,omitempty"`
	Removed          []string `cbor:"12,keyasint,omitempty"`
	Delta            bool     `cbor:"13,keyasint,omitempty"`
	More             bool     `cbor:"14,keyasint,omitempty"`
	ListStartVersion uint64   `cbor:"15,keyasint,omitempty"`
	// WeightVersions are the recently named weight versions by model. It is nil only if the hub
	// does not send them.
	WeightVersions map[string][]WeightVersion `cbor:"6,keyasint"`
	// Evacuated are the failure domains that must get no work.
	Evacuated []string `cbor:"7,keyasint,omitempty"`
	// Quarantined are the requests that the hub refuses because targets ended while running them.
	// QuarantineVersion numbers that set, which is sent only if the asking box has another one.
	Quarantined       []fingerprint.Sum `cbor:"8,keyasint,omitempty"`
	QuarantineVersion uint64            `cbor:"9,keyasint,omitempty"`
	// QuarantinedParts are the prompt parts that it refuses; QuarantineVersion covers them.
	QuarantinedParts []fingerprint.Sum `cbor:"61,keyasint,omitempty"`
	// Boxes is how many boxes share the work, Unlisted how many of them have no row.
	Boxes    int `cbor:"16,keyasint,omitempty"`
	Unlisted int `cbor:"17,keyasint,omitempty"`
	// Restores is how often the table service was restored, as far as the hub has read; RowLost
	// says that the last restore lost the asking box's own row.
	Restores uint64 `cbor:"18,keyasint,omitempty"`
	RowLost  bool   `cbor:"19,keyasint,omitempty"`
	// OperatorRestores is how often the table service was restored, as the hub knows from the
	// operator's rows. RewritePending and ReadAgeMS are as in Message.
	OperatorRestores uint64 `cbor:"20,keyasint,omitempty"`
	RewritePending   bool   `cbor:"21,keyasint,omitempty"`
	ReadAgeMS        int64  `cbor:"22,keyasint,omitempty"`
	// Canaries are the running and ended rollouts of software versions.
	Canaries []Canary `cbor:"11,keyasint,omitempty"`
	// ListBehind says that the hub's list lacks a change that another hub has read.
	ListBehind bool `cbor:"10,keyasint,omitempty"`
	// Short are the pools for which a box that places requests is short of room, as the hub knows.
	Short []string `cbor:"23,keyasint,omitempty"`
}

// Canary is the state of one software version's canary rollout in a pool.
type Canary struct {
	Pool    string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Order numbers the operator's request.
	Order uint64 `cbor:"3,keyasint"`
	// State is a canary.State. Stopped says that the version gets no requests, whatever its state.
	State   int  `cbor:"4,keyasint,omitempty"`
	Stopped bool `cbor:"5,keyasint,omitempty"`
	// Barred are earlier versions that were tried and rejected.
	Barred []string `cbor:"6,keyasint,omitempty"`
}

// CanarySample counts what one box saw of a canary version on one route.
type CanarySample struct {
	Box   string `cbor:"1,keyasint"`
	Pool  string `cbor:"2,keyasint"`
	Route string `cbor:"3,keyasint,omitempty"`
	Order uint64 `cbor:"4,keyasint"`
	// Good and Bad count the canary's answers, BaselineGood and BaselineBad those of the older
	// version.
	Good         int `cbor:"5,keyasint,omitempty"`
	Bad          int `cbor:"6,keyasint,omitempty"`
	BaselineGood int `cbor:"7,keyasint,omitempty"`
	BaselineBad  int `cbor:"8,keyasint,omitempty"`
	// BaselineInFlight counts the box's requests in flight on the older version.
	BaselineInFlight int `cbor:"9,keyasint,omitempty"`
}

// WeightVersion is a version of a model's weights and an upper bound on how long before the answer
// it was named.
type WeightVersion struct {
	Version int64 `cbor:"1,keyasint"`
	AgeMS   int64 `cbor:"2,keyasint"`
	// Assumed says that no read proved the age.
	Assumed bool `cbor:"3,keyasint,omitempty"`
}

// Entry is one target of a hub's list.
type Entry struct {
	ID       string           `cbor:"1,keyasint"`
	Pool     string           `cbor:"2,keyasint"`
	Address  string           `cbor:"3,keyasint"`
	Domain   string           `cbor:"4,keyasint,omitempty"`
	Slots    int              `cbor:"5,keyasint,omitempty"`
	Leaving  bool             `cbor:"6,keyasint,omitempty"`
	Loading  bool             `cbor:"7,keyasint,omitempty"`
	Versions map[string]int64 `cbor:"8,keyasint,omitempty"`
	// StartedMS is when the target's incarnation began, in Unix milliseconds; zero if unknown.
	StartedMS int64 `cbor:"10,keyasint,omitempty"`
	// ColdMS is the remaining time of the target's cold start, in milliseconds.
	ColdMS int64 `cbor:"9,keyasint,omitempty"`
	// Lapsed says that the entry is missing from the list after an outage, or after the hub alone
	// was cut off, and may come back.
	Lapsed bool `cbor:"12,keyasint,omitempty"`
	// Software is the version of the target's software.
	Software string `cbor:"11,keyasint,omitempty"`
	// Unannounced says that the table service does not have that version among those that may begin
	// streams.
	Unannounced bool `cbor:"13,keyasint,omitempty"`
}
