// Package reclaim decides when kept parts that were made on older weights may
// be freed. A part must not go while an engine still fetches it, and nobody but
// the engine knows when it does. So fetches are bounded at their placing, and a
// part is freed once no fetch that any box may have placed can still run.
//
//	var w clearing.Watch
//	w.Name(now, 2)               // the operator named version 2
//	w.See(now, 2)                // the engines listed have version 2 at least
//	if v := w.Below(now); v > 0 { // parts made on versions below v may be freed
//	}
package reclaim

import (
	"slices"
	"time"
)

const (
	// longFetch is how long after its placing a fetch on the newest weights is
	// thrown away: a request that waits at a busy engine begins its fetch only
	// when its turn comes, and with half a second most were read instead.
	longFetch = 4 * time.Second
	// shortFetch is the same on older weights, whose parts go soon, and at a box
	// that can't know which weights are the newest.
	shortFetch = 2 * time.Second
	// freshProof is how old a box's proof of what the operator wrote may be
	// before it counts as one that can't know. Reads are held for 1.5 s, so a
	// sound box's proof is at most 3 s old.
	freshProof = 3200 * time.Millisecond
	// back is how long engines take at most to stand in the list again after
	// they went from it while the platform's table service was away: about 2 s.
	back = 2500 * time.Millisecond
	// spread is how long a change of the list takes to reach every sound box:
	// they read it at most each 0.4 s, and hubs pass it on each 0.3 s.
	spread = 700 * time.Millisecond
)

// FetchTimeout is how long after its placing a fetch is thrown away. Newest says
// that it is of parts made on the newest weights that the box knows, and
// provedAgo how old the box's proof of that is.
func FetchTimeout(newest bool, provedAgo time.Duration) time.Duration {
	if newest && provedAgo <= freshProof {
		return longFetch
	}
	return shortFetch
}

// Tracker follows the weights of one model's engines. The zero value is ready; it
// is not safe for concurrent use.
type Tracker struct {
	// floor is the lowest version of any engine listed, since when.
	floor int64
	since time.Time
	// doubted is when the list was last known to lack engines that may live and
	// have older weights.
	doubted time.Time
	// names are the versions from floor on, with when each was first heard of.
	// They rise.
	names []name
}

type name struct {
	version int64
	at      time.Time
}

// AddVersion notes that the operator named a version.
func (w *Tracker) AddVersion(now time.Time, version int64) {
	if n := len(w.names); n > 0 && w.names[n-1].version >= version {
		return
	}
	w.names = append(w.names, name{version, now})
}

// SetFloor notes the lowest version of the engines listed, or zero if none is.
func (w *Tracker) SetFloor(now time.Time, floor int64) {
	if floor == w.floor {
		return
	}
	w.floor, w.since = floor, now
	w.names = slices.DeleteFunc(w.names, func(n name) bool { return n.version < floor })
}

// MarkIncomplete notes that the list lacks engines, or may, that have older weights.
func (w *Tracker) MarkIncomplete(now time.Time) { w.doubted = now }

// Floor returns the lowest version of the engines listed.
func (w *Tracker) Floor() int64 { return w.floor }

// Below returns the version below which parts may be freed, or zero.
func (w *Tracker) Below(now time.Time) int64 {
	named, known := w.outdated()
	if w.floor == 0 || !known {
		return 0
	}
	// No listed engine has run on such parts since then.
	if now.Before(w.since.Add(spread + shortFetch)) {
		return 0
	}
	// One that was missing is listed again, or gone for every box.
	if now.Before(w.doubted.Add(back + spread + shortFetch)) {
		return 0
	}
	// Boxes that had not heard of newer weights let fetches run longer.
	if now.Before(named.Add(freshProof + longFetch)) {
		return 0
	}
	return w.floor
}

// outdated returns when the parts below the floor were first known to be made
// on older weights.
func (w *Tracker) outdated() (time.Time, bool) {
	for _, n := range w.names {
		if n.version >= w.floor {
			return n.at, true
		}
	}
	return time.Time{}, false
}
