// Package revision says how far the rows of the table service are known.
//
// The service numbers all changes in one rising order. When it is restored from an older
// copy of its rows it goes on from the copy's number, so that a number alone may name two
// changes. A Revision counts the restores as well, and orders changes over all of them:
//
//	if told.After(known) {
//		read()
//	}
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a point in the history of the table service's rows. The zero value comes
// before all changes.
type Revision struct {
	// Restores counts how often the service was restored from an older copy; zero if it does
	// not tell.
	Restores uint64 `cbor:"1,keyasint,omitempty"`
	// Number is the service's own, of the history since the last restore. It says nothing
	// beside another one without Restores.
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or 1, as r comes before o, is the same or comes after it. Whatever
// was written before a restore comes before all that is written after it.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Restores, o.Restores), cmp.Compare(r.Number, o.Number))
}

// After says that r comes after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Max returns the later of two.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// IsZero says that nothing is known.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns both numbers, for logs.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Restores, r.Number) }
