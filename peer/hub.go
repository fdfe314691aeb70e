package peer

import "github.com/thymewind/thymewind/fingerprint"

// KindPlace asks a hub to place a request.
const KindPlace = "place"

// KindRetry asks a hub for a retry.
const KindRetry = "retry"

// PlacementRequest is what a hub needs to know of a request.
type PlacementRequest struct {
	Request string `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	// IsolatedAccount names the account if it shares no kept part with another.
	IsolatedAccount string `cbor:"4,keyasint,omitempty"`
	Parts           []Part `cbor:"5,keyasint,omitempty"`
	// Tokens is the memory that the request takes up.
	Tokens int `cbor:"6,keyasint,omitempty"`
	// MaxMemoryShare is the share of an engine's memory up to which it is admitted, if it
	// takes up Usual tokens, as its route's requests do as a rule.
	MaxMemoryShare float64  `cbor:"7,keyasint,omitempty"`
	TypicalTokens  int      `cbor:"9,keyasint,omitempty"`
	Tried          []string `cbor:"8,keyasint,omitempty"`
	// Regions are where it may be run, kept and stored, if it is Limited.
	Limited bool     `cbor:"13,keyasint,omitempty"`
	Regions []string `cbor:"14,keyasint,omitempty"`
	// GoalMS is when the first event should have come, in milliseconds.
	GoalMS int64 `cbor:"10,keyasint,omitempty"`
	// IdleConnections are the targets to which the asking box has a connection that rests,
	// each by the lower half of its ID's hash.
	IdleConnections []uint32 `cbor:"11,keyasint,omitempty"`
	// Excluded are the targets to which the asking box must send nothing, as they said
	// themselves, named likewise.
	Excluded []uint32 `cbor:"12,keyasint,omitempty"`
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
	// Fetch and Save hold an address for each part, or an empty text.
	Fetch []string `cbor:"3,keyasint,omitempty"`
	Save  []string `cbor:"4,keyasint,omitempty"`
	// UntilMS is when the fetch is thrown away, on the targets' clock.
	UntilMS int64 `cbor:"5,keyasint,omitempty"`
	// Kept, Fetched, Saved and Unread are tokens.
	CachedTokens  int    `cbor:"6,keyasint,omitempty"`
	FetchedTokens int    `cbor:"7,keyasint,omitempty"`
	SavedTokens   int    `cbor:"8,keyasint,omitempty"`
	PrefillTokens int    `cbor:"9,keyasint,omitempty"`
	Rule          string `cbor:"10,keyasint,omitempty"`
	// Refused is the code of a refusal, Reason what people read.
	Refused string `cbor:"11,keyasint,omitempty"`
	Reason  string `cbor:"12,keyasint,omitempty"`
	// PrefillBacklog are the tokens that other requests have the target read before.
	PrefillBacklog int `cbor:"13,keyasint,omitempty"`
	// Entry is the target's, if it came into use so lately that the asking box may not know
	// of it.
	Entry *Entry `cbor:"15,keyasint,omitempty"`
	// QuotaGranted says that the target limits requests and that the hub counted this one.
	QuotaGranted bool `cbor:"16,keyasint,omitempty"`
	// Transfers are the fetches that the target waits for.
	Transfers []Transfer `cbor:"14,keyasint,omitempty"`
}

// Transfer is one fetch of kept parts.
type Transfer struct {
	// Source is the hash of the source's name, TakesUS how long the move takes
	// over an unused link, in microseconds.
	Source     uint64 `cbor:"1,keyasint"`
	ExpectedUS int64  `cbor:"2,keyasint"`
}

// View is what a hub read of the platform, for boxes that need not read it
// themselves.
type View struct {
	// ConfigurationVersion is the version in force at the hub, ProofMS how long ago it
	// was known to be the newest when the answer was made.
	ConfigurationVersion int64 `cbor:"1,keyasint"`
	ProofAgeMS           int64 `cbor:"2,keyasint"`
	// ListVersion numbers the last change of the hub's list of targets that is told. Entries are
	// those that came or changed behind the number asked with, Gone the IDs of those that
	// went; without Changes they are the beginning of the whole list, and what it does not
	// tell up to its end is not there. More says that there is more to ask for, ListFrom
	// what to ask with as well.
	ListVersion      uint64   `cbor:"3,keyasint"`
	Entries          []Entry  `cbor:"4,keyasint,omitempty"`
	Removed          []string `cbor:"12,keyasint,omitempty"`
	Delta            bool     `cbor:"13,keyasint,omitempty"`
	More             bool     `cbor:"14,keyasint,omitempty"`
	ListStartVersion uint64   `cbor:"15,keyasint,omitempty"`
	// WeightVersions are the versions of each model's weights that were named lately. It
	// is nil only if the hub does not tell them.
	WeightVersions map[string][]WeightVersion `cbor:"6,keyasint"`
	// Evacuated are the failure domains that are to get no work.
	Evacuated []string `cbor:"7,keyasint,omitempty"`
	// Quarantined are the requests that the hub refuses as targets ended under them, and
	// Refuses numbers that set; it is sent when the asking box has another one.
	Quarantined       []fingerprint.Sum `cbor:"8,keyasint,omitempty"`
	QuarantineVersion uint64            `cbor:"9,keyasint,omitempty"`
	// Boxes is how many boxes share the work, Rowless how many of them have no row.
	Boxes    int `cbor:"16,keyasint,omitempty"`
	Unlisted int `cbor:"17,keyasint,omitempty"`
	// Restores is how often the table service was restored as far as the hub read, RowLost
	// that the asking box's own row went with the last time.
	Restores uint64 `cbor:"18,keyasint,omitempty"`
	RowLost  bool   `cbor:"19,keyasint,omitempty"`
	// Canaries are the versions of pools' software that are tried out, or were.
	Canaries []Canary `cbor:"11,keyasint,omitempty"`
	// ListBehind says that the hub's list lacks a change that another hub has read.
	ListBehind bool `cbor:"10,keyasint,omitempty"`
}

// Canary is how far a version of a pool's software that is tried out has come.
type Canary struct {
	Pool    string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint,omitempty"`
	// Order numbers what the operator asked for.
	Order uint64 `cbor:"3,keyasint"`
	// State is canary.State, Stopped says that nothing goes to the version whatever it is.
	State   int  `cbor:"4,keyasint,omitempty"`
	Stopped bool `cbor:"5,keyasint,omitempty"`
	// Barred are earlier versions that were tried and not taken.
	Barred []string `cbor:"6,keyasint,omitempty"`
}

// CanarySample is what one box saw of a version that is tried out, on one route.
type CanarySample struct {
	Box   string `cbor:"1,keyasint"`
	Pool  string `cbor:"2,keyasint"`
	Route string `cbor:"3,keyasint,omitempty"`
	Order uint64 `cbor:"4,keyasint"`
	// Good and Bad are its answers, OldGood and OldBad those of the older version.
	Good         int `cbor:"5,keyasint,omitempty"`
	Bad          int `cbor:"6,keyasint,omitempty"`
	BaselineGood int `cbor:"7,keyasint,omitempty"`
	BaselineBad  int `cbor:"8,keyasint,omitempty"`
	// BaselineInFlight are requests that the older version has under way for the box.
	BaselineInFlight int `cbor:"9,keyasint,omitempty"`
}

// WeightVersion is a version of a model's weights and how long ago it was named at most,
// when the answer was made.
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
	// StartedMS is when the target's life began, in Unix milliseconds; zero if it does
	// not tell.
	StartedMS int64 `cbor:"10,keyasint,omitempty"`
	// ColdMS is for how long yet the target is slow from its start, in milliseconds.
	ColdMS int64 `cbor:"9,keyasint,omitempty"`
	// Lapsed says that the hub's list lost the entry after an outage, or a cut of the hub
	// alone, and that it may come back.
	Lapsed bool `cbor:"12,keyasint,omitempty"`
	// Software is the version of the target's software.
	Software string `cbor:"11,keyasint,omitempty"`
}
