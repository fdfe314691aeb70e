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
	// Use is what the sender's requests keep busy, by pool.
	Use []Use `cbor:"10,keyasint,omitempty"`
	// Shares are what the sender's own requests take up, by target.
	Shares []Share `cbor:"11,keyasint,omitempty"`
	// List is the number of the hub's list that the sender has.
	List uint64 `cbor:"12,keyasint,omitempty"`
	// ListFrom is the hub's number when it began to tell the sender its whole list; zero
	// once it has.
	ListFrom uint64 `cbor:"28,keyasint,omitempty"`
	// View answers boxes that read the platform through the answering one.
	View *View `cbor:"13,keyasint,omitempty"`
	// Ask and Placed are a request's placing by a hub.
	Ask    *PlaceAsk `cbor:"14,keyasint,omitempty"`
	Placed *Placed   `cbor:"15,keyasint,omitempty"`
	// Replaced are targets' lives that were found to be over, as another replica has
	// the address or as the target started again.
	Replaced []Life `cbor:"20,keyasint,omitempty"`
	// Ended are requests that ran on targets when these ended, as the sender found
	// lately; Lifted are such that were answered after all.
	Ended  []EndedUnder      `cbor:"23,keyasint,omitempty"`
	Lifted []fingerprint.Sum `cbor:"24,keyasint,omitempty"`
	// Refuses numbers the set of requests that the hub was last heard to refuse.
	Refuses uint64 `cbor:"25,keyasint,omitempty"`
	// Stale says that the sender refuses callers, as it can't tell whether its
	// configuration is in force.
	Stale bool `cbor:"18,keyasint,omitempty"`
	// Operator is the newest change of what the operator wrote that the sender knows,
	// ProofMS how long ago it was known to be the newest.
	Operator revision.Revision `cbor:"35,keyasint,omitempty"`
	ProofMS  int64             `cbor:"22,keyasint,omitempty"`
	// Configuration is the version in force at the sender.
	Configuration int64 `cbor:"37,keyasint,omitempty"`
	// Listed is the newest change of the list of targets that the sender read.
	Listed revision.Revision `cbor:"36,keyasint,omitempty"`
	// Domain is the sender's failure domain, Unlisted how many boxes without a row of their
	// own it has met.
	Domain   string `cbor:"29,keyasint,omitempty"`
	Unlisted int    `cbor:"30,keyasint,omitempty"`
	// Earned is what the sender's requests earned of retries, by pool, since it last told. Pool
	// is the one that a retry is asked for, Granted says that it may be made.
	Earned  map[string]float64 `cbor:"31,keyasint,omitempty"`
	Pool    string             `cbor:"32,keyasint,omitempty"`
	Granted bool               `cbor:"33,keyasint,omitempty"`
	// Limits are the rates of requests that targets take of all boxes together, as far as
	// the sender knows of them or of their end.
	Limits []Limit `cbor:"34,keyasint,omitempty"`
	// Seen is what boxes saw of versions that are tried out.
	Seen []Seen `cbor:"27,keyasint,omitempty"`
	// Reads are what the sender had targets read by its own choice.
	Reads []Read `cbor:"19,keyasint,omitempty"`
	// Statement is an operator's question.
	Statement string `cbor:"7,keyasint,omitempty"`
	// Body is an answer in JSON, or a configuration.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// Error says why there is no answer.
	Error string `cbor:"9,keyasint,omitempty"`
}

// Life names one life of a target.
type Life struct {
	ID string `cbor:"1,keyasint"`
	// BornMS is when it began, in Unix milliseconds; zero if it does not tell.
	BornMS int64 `cbor:"2,keyasint,omitempty"`
}

// EndedUnder tells which requests ran on a target when it ended.
type EndedUnder struct {
	// Life names the target's life as all boxes do.
	Life string            `cbor:"1,keyasint"`
	Sums []fingerprint.Sum `cbor:"2,keyasint"`
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

// Share is what one box's requests take up at a target or a store.
type Share struct {
	// Target is the hash of the target's ID or of the store's name.
	Target uint64 `cbor:"1,keyasint"`
	// Tokens is the memory that running requests need, Unread the part of their
	// prompts that should have been read by now and was not.
	Tokens int `cbor:"2,keyasint,omitempty"`
	Unread int `cbor:"3,keyasint,omitempty"`
	// AskedMS is how long the moves from there that ended lately should have
	// taken, TookMS how long they took, in milliseconds.
	AskedMS int `cbor:"4,keyasint,omitempty"`
	TookMS  int `cbor:"5,keyasint,omitempty"`
}

// Read is how many prompt tokens a box had a target read.
type Read struct {
	// Target is the hash of the target's ID.
	Target uint64 `cbor:"1,keyasint"`
	// Total counts since the box started and never falls until it starts again.
	Total uint64 `cbor:"2,keyasint"`
}

// Empty says that the share tells of nothing.
func (s Share) Empty() bool {
	return s.Tokens == 0 && s.Unread == 0 && s.AskedMS == 0 && s.TookMS == 0
}

// Plus returns the sum of two shares of one target.
func (s Share) Plus(b Share) Share {
	return Share{s.Target, s.Tokens + b.Tokens, s.Unread + b.Unread, s.AskedMS + b.AskedMS, s.TookMS + b.TookMS}
}

// Less returns the share without a part of it.
func (s Share) Less(b Share) Share {
	return Share{s.Target, s.Tokens - b.Tokens, s.Unread - b.Unread, s.AskedMS - b.AskedMS, s.TookMS - b.TookMS}
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

// Thousand is how Use counts: in thousandths of an engine or a slot.
const Thousand = 1000

// Use is how much of a pool a box's requests keep busy.
type Use struct {
	Pool    string `cbor:"1,keyasint"`
	Engines int    `cbor:"2,keyasint,omitempty"`
	Slots   int    `cbor:"3,keyasint,omitempty"`
}
