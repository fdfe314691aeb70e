package peer

// Permits asks the box that keeps the room of brittle targets for a permit, and tells it how requests
// with permits went. A message of KindPlace carries it; boxes of earlier releases answer with nothing.
type Permits struct {
	// Epoch tells this start of the sender from others; permits are numbered since.
	Epoch uint64 `cbor:"1,keyasint"`
	// Ask asks for a permit; nil only reports.
	Ask *PermitAsk `cbor:"2,keyasint,omitempty"`
	// Reports tell what became of permits.
	Reports []PermitReport `cbor:"3,keyasint,omitempty"`
	// With Renews set, Held are all that the sender holds of the receiver's, of those up to UpTo.
	Renews bool         `cbor:"4,keyasint,omitempty"`
	UpTo   uint64       `cbor:"5,keyasint,omitempty"`
	Held   []HeldPermit `cbor:"6,keyasint,omitempty"`
	// For is the box that the message is for if the receiver is to pass it on: the sender does not reach that one.
	For string `cbor:"7,keyasint,omitempty"`
}

// PermitAsk asks for a permit at one of some targets of a pool, the first preferred.
type PermitAsk struct {
	Number uint64 `cbor:"1,keyasint"`
	// Pool is the lower half of the hash of the pool's name, Group the part of its targets.
	Pool    uint32         `cbor:"2,keyasint"`
	Group   int            `cbor:"3,keyasint,omitempty"`
	Targets []PermitTarget `cbor:"4,keyasint"`
	// Urgency orders the requests that wait, lower first; WaitMS is how long this one may.
	Urgency int   `cbor:"5,keyasint,omitempty"`
	WaitMS  int64 `cbor:"6,keyasint,omitempty"`
}

// PermitTarget is the key of a target's incarnation and how many requests its entry says that it runs
// at once.
type PermitTarget struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Places int
}

// PermitReport is what became of one permit.
type PermitReport struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// End is as in package permit.
	End int
}

// HeldPermit is a permit that its box still holds.
type HeldPermit struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Pool   uint32
	Key    string
	Places int
}

// PermitAnswer answers a PermitAsk.
type PermitAnswer struct {
	// Target is the key of the target for which the permit is; empty if there is none.
	Target string `cbor:"1,keyasint,omitempty"`
	// Tell asks for a report once the target accepts the request.
	Tell bool `cbor:"2,keyasint,omitempty"`
	// PauseMS is how long the sender asks no more for requests that are no more urgent.
	PauseMS int64 `cbor:"3,keyasint,omitempty"`
	// Level is how many requests of all boxes the target has with this one.
	Level int `cbor:"4,keyasint,omitempty"`
	// Keeper is the box that keeps the targets' room, if it is not the receiver.
	Keeper string `cbor:"5,keyasint,omitempty"`
	// NotBrittle says that the receiver knows of no brittle target in the pool.
	NotBrittle bool `cbor:"6,keyasint,omitempty"`
}

// BrittlePool tells that targets of a pool are brittle.
type BrittlePool struct {
	_ struct{} `cbor:",toarray"`
	// Pool is the lower half of the hash of the pool's name.
	Pool uint32
	// Bears is how many requests a second each target can turn away.
	Bears int
	// SaidMS is how long ago a target last said so, KnownMS for how long it is known.
	SaidMS, KnownMS int64
}
