// Package versiontime records when versions of a model's weights were announced, and derives
// the oldest version on which a request may start.
//
// Each version has its own bound, counted from its announcement. A newer version, a
// restart of the box or a late read must not extend it. A box does not learn the time of
// an announcement, so a Record holds the earliest time at which it can have been:
//
//	var r versiontime.Record
//	r.Prove(5, lastReadWithoutIt)
//	r.Prove(6, alsoLater)
//	oldest := r.MinVersion(now, 12*time.Second) // 5, if now is 12 s after lastReadWithoutIt
package versiontime

import (
	"cmp"
	"slices"
	"time"
)

// maxVersions bounds the recorded versions. Announcements are at least seconds apart, and
// only those within the bound and the one before them matter.
const maxVersions = 64

// Entry is one version and the earliest time at which it can have been announced.
type Entry struct {
	Version int64
	At      time.Time
	// Assumed says that At was not proved by a read that lacked the version.
	Assumed bool
}

// Record holds the announcements of one model's versions. The zero value is ready for
// use. It is not safe for concurrent use.
type Record struct {
	// entries is sorted by version, each version once.
	entries []Entry
}

// Prove records that a version was not announced yet at a time. The latest proof counts,
// and any proof replaces an assumption.
func (r *Record) Prove(version int64, at time.Time) {
	i, known := r.find(version)
	if !known {
		r.insert(i, Entry{Version: version, At: at})
		return
	}
	if n := r.entries[i]; n.Assumed || at.After(n.At) {
		r.entries[i] = Entry{Version: version, At: at}
	}
}

// Assume records a time for a version without a proof. The earliest assumption counts.
func (r *Record) Assume(version int64, at time.Time) {
	i, known := r.find(version)
	if !known {
		r.insert(i, Entry{version, at, true})
		return
	}
	if n := &r.entries[i]; n.Assumed && at.Before(n.At) {
		n.At = at
	}
}

// insert adds an entry and drops the oldest version if there are too many.
func (r *Record) insert(i int, n Entry) {
	r.entries = slices.Insert(r.entries, i, n)
	if len(r.entries) > maxVersions {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
}

func (r *Record) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(r.entries, version, func(n Entry, v int64) int { return cmp.Compare(n.Version, v) })
}

// MinVersion returns the oldest version on which a request may start: the newest one that
// can have been announced for within or longer. It is zero if there is none.
func (r *Record) MinVersion(now time.Time, within time.Duration) int64 {
	for _, n := range slices.Backward(r.entries) {
		if now.Sub(n.At) >= within {
			return n.Version
		}
	}
	return 0
}

// ReplacedAt returns the earliest time at which a version newer than the given one can
// have been announced, or false if none is known.
func (r *Record) ReplacedAt(version int64) (time.Time, bool) {
	var first time.Time
	for _, n := range r.entries {
		if n.Version > version && (first.IsZero() || n.At.Before(first)) {
			first = n.At
		}
	}
	return first, !first.IsZero()
}

// Since returns the entries by version, without those that were replaced before a time.
func (r *Record) Since(before time.Time) []Entry {
	newest := int64(0)
	for _, n := range r.entries {
		if n.At.Before(before) {
			newest = n.Version
		}
	}
	return slices.DeleteFunc(slices.Clone(r.entries), func(n Entry) bool { return n.Version < newest })
}

// Oldest returns the oldest recorded version, or zero if there is none.
func (r *Record) Oldest() int64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[0].Version
}
