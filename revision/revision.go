// Package revision orders the changes of the table service's rows over its restores.
//
// The service numbers all changes in rising order. After a restore from an older copy of
// its rows it continues from the copy's number, so that one number may name two changes.
// A Revision therefore counts the restores as well:
//
//	if reported.After(known) {
//		read()
//	}
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a point in the history of the table service's rows. The zero value is
// before all changes.
type Revision struct {
	// Restores is how often the service was restored from an older copy; zero if it does not
	// report that.
	Restores uint64 `cbor:"1,keyasint,omitempty"`
	// Number is the service's own change number since the last restore. Two numbers are
	// comparable only for equal Restores.
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1 if r is before o, the same or after it. Whatever was written
// before a restore is before all that is written after it.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Restores, o.Restores), cmp.Compare(r.Number, o.Number))
}

// After reports whether r is after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// SameRestores reports whether no restore lies between r and o, so that their numbers are comparable.
func (r Revision) SameRestores(o Revision) bool { return r.Restores == o.Restores }

// Max returns the later one.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// IsZero reports whether nothing is known.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns both numbers, for logs.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Restores, r.Number) }
