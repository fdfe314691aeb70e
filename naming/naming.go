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

// maxVersions is how many versions are remembered. Namings come seconds apart at the
// quickest, and only those within the bound and the one before matter.
const maxVersions = 64

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
	// entries has rising versions, each once.
	entries []Naming
}

// Prove notes that a version was not named yet at a time. Of several proofs the
// latest counts, and each counts more than what was assumed.
func (r *Record) Prove(version int64, at time.Time) {
	i, known := r.find(version)
	if !known {
		r.insert(i, Naming{Version: version, At: at})
		return
	}
	if n := r.entries[i]; n.Assumed || at.After(n.At) {
		r.entries[i] = Naming{Version: version, At: at}
	}
}

// Assume notes a time for a version of which nothing is proved. Of several
// assumptions the earliest counts.
func (r *Record) Assume(version int64, at time.Time) {
	i, known := r.find(version)
	if !known {
		r.insert(i, Naming{version, at, true})
		return
	}
	if n := &r.entries[i]; n.Assumed && at.Before(n.At) {
		n.At = at
	}
}

// insert adds a naming and forgets the lowest version if there are too many.
func (r *Record) insert(i int, n Naming) {
	r.entries = slices.Insert(r.entries, i, n)
	if len(r.entries) > maxVersions {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
}

func (r *Record) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(r.entries, version, func(n Naming, v int64) int { return cmp.Compare(n.Version, v) })
}

// Required returns the lowest version on which a request may begin: the newest
// one that can have been named for as long as within. It is zero if there is none.
func (r *Record) Required(now time.Time, within time.Duration) int64 {
	for _, n := range slices.Backward(r.entries) {
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
	for _, n := range r.entries {
		if n.Version > version && (first.IsZero() || n.At.Before(first)) {
			first = n.At
		}
	}
	return first, !first.IsZero()
}

// Since returns the namings by rising version, without those that were replaced
// before a time already.
func (r *Record) Since(before time.Time) []Naming {
	newest := int64(0)
	for _, n := range r.entries {
		if n.At.Before(before) {
			newest = n.Version
		}
	}
	return slices.DeleteFunc(slices.Clone(r.entries), func(n Naming) bool { return n.Version < newest })
}

// Least returns the lowest version that is remembered, or zero if there is none.
func (r *Record) Least() int64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[0].Version
}
