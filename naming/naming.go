// Package naming remembers when versions of a model's weights were named, and so
// on which versions a request may still begin.
//
// Each version has a bound of its own, counted from its naming: a newer version,
// a restart of the box or a late read must not begin it anew. Nobody tells a box
// when a version was named, so a Record keeps the earliest time at which it can
// have been:
//
//	var r naming.Record
//	r.Prove(5, lastReadWithoutIt)
//	r.Prove(6, alsoLater)
//	least := r.Required(now, 12*time.Second) // 5, twelve seconds later
package naming

import (
	"cmp"
	"slices"
	"time"
)

// Naming is one version and the earliest time at which it can have been named.
type Naming struct {
	Version int64
	At      time.Time
	// Assumed says that At was not proved by a read that did not know the version.
	Assumed bool
}

// Record holds the namings of one model. The zero value is ready; it is not safe
// for concurrent use.
type Record struct {
	// list has rising versions, each once.
	list []Naming
}

// Prove notes that a version was not named yet at a time. Of several proofs the
// latest counts, and each counts more than what was assumed.
func (r *Record) Prove(version int64, at time.Time) {
	n := r.entry(version, at)
	if n.Assumed || at.After(n.At) {
		*n = Naming{Version: version, At: at}
	}
}

// Assume notes a time for a version of which nothing is proved. Of several
// assumptions the earliest counts.
func (r *Record) Assume(version int64, at time.Time) {
	i, known := r.find(version)
	if !known {
		r.list = slices.Insert(r.list, i, Naming{version, at, true})
		return
	}
	if n := &r.list[i]; n.Assumed && at.Before(n.At) {
		n.At = at
	}
}

// entry returns a version's naming and makes it if there is none.
func (r *Record) entry(version int64, at time.Time) *Naming {
	i, known := r.find(version)
	if !known {
		r.list = slices.Insert(r.list, i, Naming{Version: version, At: at})
	}
	return &r.list[i]
}

func (r *Record) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(r.list, version, func(n Naming, v int64) int { return cmp.Compare(n.Version, v) })
}

// Required returns the lowest version on which a request may begin: the newest
// one that can have been named for as long as within. It is zero if there is none.
func (r *Record) Required(now time.Time, within time.Duration) int64 {
	for _, n := range slices.Backward(r.list) {
		if now.Sub(n.At) >= within {
			return n.Version
		}
	}
	return 0
}

// ReplacedAt returns the earliest time at which a newer version than the one
// given can have been named, or false if none is known.
func (r *Record) ReplacedAt(version int64) (time.Time, bool) {
	var first time.Time
	for _, n := range r.list {
		if n.Version > version && (first.IsZero() || n.At.Before(first)) {
			first = n.At
		}
	}
	return first, !first.IsZero()
}

// All returns the namings by rising version.
func (r *Record) All() []Naming { return slices.Clone(r.list) }

// Forget drops the versions that were named before a time, but for the newest of
// them: the others can't change what Required returns for bounds that end later.
func (r *Record) Forget(before time.Time) {
	newest := int64(0)
	for _, n := range r.list {
		if n.At.Before(before) {
			newest = n.Version
		}
	}
	r.list = slices.DeleteFunc(r.list, func(n Naming) bool { return n.Version < newest })
}
