// Package superseded keeps which versions later than one's own exist, as other boxes tell, and
// since when:
//
//	v := superseded.Versions{TTL: 5 * time.Second}
//	v.Note(now, 8, now.Add(-age))
//	since, exists := v.Since(now, 7)
package superseded

import (
	"cmp"
	"slices"
	"time"
)

// maxVersions bounds how many versions are kept. Boxes repeat their version, so that one for which
// there was no room is noted later.
const maxVersions = 16

// Versions are the later versions that were told. Set TTL before the first use. It is not safe for
// concurrent use.
type Versions struct {
	// TTL is how long a version counts after it, or a later one, was last told. Boxes that have a
	// version repeat it; one that all of them lost is forgotten.
	TTL time.Duration

	// list is sorted by version.
	list []version
}

// version is one later version.
type version struct {
	number int64
	// since is the earliest time at which a box is known to have had it.
	since time.Time
	// toldAt is when it, or a later one, was last told.
	toldAt time.Time
}

// Note records that a box has had a version since a time.
func (v *Versions) Note(now time.Time, number int64, since time.Time) {
	at, known := slices.BinarySearchFunc(v.list, number, func(x version, n int64) int { return cmp.Compare(x.number, n) })
	if !known && len(v.list) == maxVersions {
		return
	}
	if !known {
		v.list = slices.Insert(v.list, at, version{number: number, since: since})
	}
	if since.Before(v.list[at].since) {
		v.list[at].since = since
	}
	for i := range v.list[:at+1] {
		v.list[i].toldAt = now
	}
}

// Since returns the earliest time at which a version later than own is known to have existed; false
// if none is known. It forgets own and the versions before it.
func (v *Versions) Since(now time.Time, own int64) (time.Time, bool) {
	v.list = slices.DeleteFunc(v.list, func(x version) bool { return x.number <= own || now.Sub(x.toldAt) >= v.TTL })
	var earliest time.Time
	for _, x := range v.list {
		if earliest.IsZero() || x.since.Before(earliest) {
			earliest = x.since
		}
	}
	return earliest, !earliest.IsZero()
}
