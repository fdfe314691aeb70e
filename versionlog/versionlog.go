// Package versionlog records when versions of a model's weights were named, by this box's
// own clock and by a common clock that all boxes can read, so that a box that starts
// learns what others have observed.
//
//	var l versionlog.Log
//	l.Prove(5, lastReadWithoutIt, reading)        // reading of the common clock
//	rows := l.Rows(now.Add(-time.Minute), &clock) // to be written where all boxes read
//	l.Read(now, &clock, rows)                     // on a box that has just started
package versionlog

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/clockbound"
	"github.com/thymewind/thymewind/versiontime"
)

// Row is the shared record of a named version.
type Row struct {
	Version int64 `json:"version"`
	// AtMS is a reading of the common clock from before the version was named.
	AtMS int64 `json:"at_ms"`
	// Assumed is set if no read proved that.
	Assumed bool `json:"assumed,omitempty"`
}

func (r Row) reading() time.Duration { return time.Duration(r.AtMS) * time.Millisecond }

// Log holds the named versions of one model. The zero value is ready; it is not safe for
// concurrent use.
type Log struct {
	versiontime.Record
	// proved and assumed are readings of the common clock from before a version was named.
	proved, assumed map[int64]time.Duration
	// written is the newest version in the rows last read or written, writing that in the
	// rows being written.
	written, writing int64
}

// Prove records that a version was not named yet at a local time, at which the common
// clock had a reading; zero if that is unknown.
func (l *Log) Prove(version int64, at time.Time, reading time.Duration) {
	l.Record.Prove(version, at)
	l.prove(version, reading)
}

func (l *Log) prove(version int64, reading time.Duration) {
	if l.proved == nil {
		l.proved = make(map[int64]time.Duration)
	}
	if reading > 0 {
		l.proved[version] = max(l.proved[version], reading)
	}
}

func (l *Log) assume(version int64, reading time.Duration) {
	if l.assumed == nil {
		l.assumed = make(map[int64]time.Duration)
	}
	if before, known := l.assumed[version]; !known || reading < before {
		l.assumed[version] = reading
	}
}

// Read takes in the written rows, which are valid whoever wrote them. If a late write
// replaced newer rows, a version may be missing and must be written again.
func (l *Log) Read(now time.Time, clock *clockbound.Clock, rows []Row) {
	l.written = 0
	for _, r := range rows {
		l.written = max(l.written, r.Version)
		if r.Assumed {
			l.assume(r.Version, r.reading())
			continue
		}
		l.prove(r.Version, r.reading())
	}
	l.Date(now, clock)
}

// Date converts readings of the common clock into local times, as far as the clock is
// known. A time in the future is from another clock and is ignored.
func (l *Log) Date(now time.Time, clock *clockbound.Clock) {
	for version, reading := range l.proved {
		if at, ok := clock.Earliest(reading); ok && !at.After(now) {
			l.Record.Prove(version, at)
		}
	}
	for version, reading := range l.assumed {
		if at, ok := clock.Earliest(reading); ok && !at.After(now) {
			l.Assume(version, at)
		}
	}
}

// Rows lists the versions that were not superseded before a time, to be written. Those
// that the common clock cannot date are left out.
func (l *Log) Rows(since time.Time, clock *clockbound.Clock) []Row {
	var rows []Row
	for _, v := range l.Since(since) {
		reading, known := l.proved[v.Version]
		if !known {
			reading, known = clock.Min(v.At)
		}
		if known {
			rows = append(rows, Row{v.Version, reading.Milliseconds(), v.Assumed})
			l.writing = max(l.writing, v.Version)
		}
	}
	return rows
}

// Written records that the rows of the last call to Rows were written.
func (l *Log) Written() { l.written = max(l.written, l.writing) }

// Lost records that the rows may be lost, so that they are written again.
func (l *Log) Lost() { l.written, l.writing = 0, 0 }

// Missing reports whether a version is not in the written rows, so that a box that starts
// would not learn of it, although the common clock can date it.
func (l *Log) Missing(version int64, clock *clockbound.Clock) bool {
	return clock.Seen() && version > l.written
}

// ForgetClock drops the readings of a common clock that restarted, and has the versions
// written again.
func (l *Log) ForgetClock() {
	clear(l.proved)
	clear(l.assumed)
	l.written, l.writing = 0, 0
}

// Trim drops readings of versions that the record no longer holds.
func (l *Log) Trim() {
	least := l.Oldest()
	old := func(version int64, _ time.Duration) bool { return version < least }
	maps.DeleteFunc(l.proved, old)
	maps.DeleteFunc(l.assumed, old)
}
