// Package reclaim decides when cached parts that were made on older weights may be freed.
// A part must not be freed while an engine still fetches it, and only the engine knows
// when it does. So fetches have a time-out from their placement, and a part is freed once
// no fetch that any box may have placed can still run.
//
//	var t reclaim.Tracker
//	t.AddVersion(now, 2)          // the operator named version 2
//	t.SetFloor(now, 2)            // the listed engines have version 2 at least
//	if v := t.Below(now); v > 0 { // parts made on versions below v may be freed
//	}
package reclaim

import (
	"slices"
	"time"
)

const (
	// longFetch is the time-out of a fetch on the newest weights, from its placement: a
	// request at a busy engine begins its fetch only when its turn comes, and with half a
	// second most prompts were recomputed instead.
	longFetch = 4 * time.Second
	// shortFetch is the time-out on older weights, whose parts are freed soon, and on a box
	// that cannot know which weights are the newest.
	shortFetch = 2 * time.Second
	// maxProofAge is the age of a box's proof of the operator's rows beyond which it cannot
	// know the newest weights. Reads are long polls of 1.5 s, so a healthy box's proof is at
	// most 3 s old.
	maxProofAge = 3200 * time.Millisecond
	// relistTime is how long engines take at most to be listed again after an outage of the
	// platform's table service removed them: about 2 s.
	relistTime = 2500 * time.Millisecond
	// propagation is how long a change of the list takes to reach every healthy box: they
	// read it at least every 0.4 s, and hubs pass it on every 0.3 s.
	propagation = 700 * time.Millisecond
)

// FetchTimeout is the time-out of a fetch from its placement. newest is set if it is of
// parts made on the newest weights that the box knows, and provedAgo is the age of its
// proof of that.
func FetchTimeout(newest bool, provedAgo time.Duration) time.Duration {
	if newest && provedAgo <= maxProofAge {
		return longFetch
	}
	return shortFetch
}

// Tracker tracks the weights of one model's engines. The zero value is ready; it is not
// safe for concurrent use.
type Tracker struct {
	// floor is the lowest version of any listed engine, since when it is so.
	floor int64
	since time.Time
	// incompleteAt is when the list was last known to lack engines that may be alive and
	// have older weights.
	incompleteAt time.Time
	// versions are the named versions from floor on, in rising order, with when each was
	// first known.
	versions []namedVersion
}

type namedVersion struct {
	version int64
	at      time.Time
}

// AddVersion records that the operator named a version.
func (t *Tracker) AddVersion(now time.Time, version int64) {
	if n := len(t.versions); n > 0 && t.versions[n-1].version >= version {
		return
	}
	t.versions = append(t.versions, namedVersion{version, now})
}

// SetFloor records the lowest version of the listed engines, or zero if there are none.
func (t *Tracker) SetFloor(now time.Time, floor int64) {
	if floor == t.floor {
		return
	}
	t.floor, t.since = floor, now
	t.versions = slices.DeleteFunc(t.versions, func(n namedVersion) bool { return n.version < floor })
}

// MarkIncomplete records that the list lacks engines, or may, that have older weights.
func (t *Tracker) MarkIncomplete(now time.Time) { t.incompleteAt = now }

// Floor returns the lowest version of the listed engines.
func (t *Tracker) Floor() int64 { return t.floor }

// Below returns the version below which parts may be freed, or zero.
func (t *Tracker) Below(now time.Time) int64 {
	named, known := t.outdatedAt()
	if t.floor == 0 || !known {
		return 0
	}
	// No listed engine has run on such parts since then.
	if now.Before(t.since.Add(propagation + shortFetch)) {
		return 0
	}
	// A missing engine is listed again by then, or gone for every box.
	if now.Before(t.incompleteAt.Add(relistTime + propagation + shortFetch)) {
		return 0
	}
	// Boxes that did not know of newer weights used the longer time-out.
	if now.Before(named.Add(maxProofAge + longFetch)) {
		return 0
	}
	return t.floor
}

// outdatedAt returns when a version from the floor on was first named, and so when the
// parts below the floor became outdated.
func (t *Tracker) outdatedAt() (time.Time, bool) {
	for _, n := range t.versions {
		if n.version >= t.floor {
			return n.at, true
		}
	}
	return time.Time{}, false
}
