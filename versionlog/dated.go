// Package versionlog keeps when versions of a model's weights were named, by this
// box's own clock and by one that all boxes can read, so that a box that starts
// knows what others found out before.
//
//	var n dated.Namings
//	n.Prove(5, lastReadWithoutIt, told)  // told by the common clock
//	rows := n.Rows(now.Add(-time.Minute), &clock) // to be written where all read
//	n.Read(now, &clock, rows)            // on a box that has just started
package versionlog

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/clockbound"
	"github.com/thymewind/thymewind/naming"
)

// Row is a naming as boxes write it for each other.
type Row struct {
	Version int64 `json:"version"`
	// AtMS is what the common clock showed when the version was not named yet.
	AtMS int64 `json:"at_ms"`
	// Assumed says that no read proved that.
	Assumed bool `json:"assumed,omitempty"`
}

func (r Row) told() time.Duration { return time.Duration(r.AtMS) * time.Millisecond }

// Log are those of one model. The zero value is ready; it is not safe for
// concurrent use.
type Log struct {
	naming.Record
	// proved and assumed are what the common clock showed when a version was not
	// named yet.
	proved, assumed map[int64]time.Duration
	// written is the newest version in the rows last read or written, writing the
	// one in those being written.
	written, writing int64
}

// Prove notes that a version was not named yet at a time of this box, at which the
// common clock showed told; zero if that is not known.
func (n *Log) Prove(version int64, at time.Time, told time.Duration) {
	n.Record.Prove(version, at)
	n.prove(version, told)
}

func (n *Log) prove(version int64, told time.Duration) {
	if n.proved == nil {
		n.proved = make(map[int64]time.Duration)
	}
	if told > 0 {
		n.proved[version] = max(n.proved[version], told)
	}
}

func (n *Log) assume(version int64, told time.Duration) {
	if n.assumed == nil {
		n.assumed = make(map[int64]time.Duration)
	}
	if before, known := n.assumed[version]; !known || told < before {
		n.assumed[version] = told
	}
}

// Read takes over what is written. Whoever wrote it, it stays true. Rows that came
// late, over newer ones, lack a naming, which then has to be written again.
func (n *Log) Read(now time.Time, clock *clockbound.Clock, rows []Row) {
	n.written = 0
	for _, r := range rows {
		n.written = max(n.written, r.Version)
		if r.Assumed {
			n.assume(r.Version, r.told())
			continue
		}
		n.prove(r.Version, r.told())
	}
	n.Date(now, clock)
}

// Date turns what the common clock showed into this box's times, as far as the
// clock is known. A time that lies ahead was told by another clock and says nothing.
func (n *Log) Date(now time.Time, clock *clockbound.Clock) {
	for version, told := range n.proved {
		if at, ok := clock.Earliest(told); ok && !at.After(now) {
			n.Record.Prove(version, at)
		}
	}
	for version, told := range n.assumed {
		if at, ok := clock.Earliest(told); ok && !at.After(now) {
			n.Assume(version, at)
		}
	}
}

// Rows lists the namings that were not replaced before a time, to be written.
// Those that the common clock can't date are left out.
func (n *Log) Rows(since time.Time, clock *clockbound.Clock) []Row {
	var rows []Row
	for _, one := range n.Since(since) {
		told, known := n.proved[one.Version]
		if !known {
			told, known = clock.Min(one.At)
		}
		if known {
			rows = append(rows, Row{one.Version, told.Milliseconds(), one.Assumed})
			n.writing = max(n.writing, one.Version)
		}
	}
	return rows
}

// Written says that the rows of the last call to Rows were written.
func (n *Log) Written() { n.written = max(n.written, n.writing) }

// Lost says that the rows may be gone, so that they are written again.
func (n *Log) Lost() { n.written, n.writing = 0, 0 }

// Missing says that a version is not written, so that a box that starts could not
// know of its naming, although the common clock can date it.
func (n *Log) Missing(version int64, clock *clockbound.Clock) bool {
	return clock.Seen() && version > n.written
}

// ForgetClock drops times that were told by a common clock that began anew, and has
// those of this box written again.
func (n *Log) ForgetClock() {
	clear(n.proved)
	clear(n.assumed)
	n.written, n.writing = 0, 0
}

// Trim drops times of versions that the record does not hold any more.
func (n *Log) Trim() {
	least := n.Least()
	over := func(version int64, _ time.Duration) bool { return version < least }
	maps.DeleteFunc(n.proved, over)
	maps.DeleteFunc(n.assumed, over)
}
