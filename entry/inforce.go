package entry

import (
	"sync/atomic"
	"time"

	"github.com/thymewind/thymewind/routing"
)

// inForce holds the configuration in force and when that one was last known to be the newest.
// Readers outside the loop get both at once: judged by an older configuration and the proof of a
// newer one, a key that the newer one took away would be good.
type inForce struct {
	held atomic.Pointer[routing.Proved]
}

// Proved returns the configuration in force with its proof, or nil if there is neither yet.
func (f *inForce) Proved() *routing.Proved { return f.held.Load() }

// Load returns the configuration in force, or nil if there is none yet.
func (f *inForce) Load() *routing.Table {
	if held := f.held.Load(); held != nil {
		return held.Table
	}
	return nil
}

// ProvedAt returns when the configuration in force was last known to be the newest; false if it
// never was.
func (f *inForce) ProvedAt() (time.Time, bool) {
	held := f.held.Load()
	if held == nil || held.At.IsZero() {
		return time.Time{}, false
	}
	return held.At, true
}

// Store puts a newer configuration in force that is not proved to be the newest. The proof of the
// one before stays, as whatever the newer one lacks was removed after it.
func (f *inForce) Store(table *routing.Table) {
	f.change(func(held *routing.Proved) { held.Table = table })
}

// Replace puts a configuration in force that was the newest at a time.
func (f *inForce) Replace(table *routing.Table, at time.Time) {
	f.change(func(held *routing.Proved) { held.Table, held.At = table, later(held.At, at) })
}

// Prove records that the configuration in force was the newest at a time. An older proof changes
// nothing.
func (f *inForce) Prove(at time.Time) {
	f.change(func(held *routing.Proved) { held.At = later(held.At, at) })
}

// Supersede records since when a later configuration than the one in force is known to exist; the
// zero time if none is.
func (f *inForce) Supersede(at time.Time) {
	if held := f.held.Load(); held == nil || held.SupersededAt.Equal(at) {
		return
	}
	f.change(func(held *routing.Proved) { held.SupersededAt = at })
}

// change replaces what is held by a changed copy.
func (f *inForce) change(apply func(held *routing.Proved)) {
	for {
		before := f.held.Load()
		var next routing.Proved
		if before != nil {
			next = *before
		}
		apply(&next)
		if f.held.CompareAndSwap(before, &next) {
			return
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
