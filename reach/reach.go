// Package reach tells whether this box itself reaches a pool's targets. A single target that
// can't be reached may be gone; if all that were tried can't be reached, and nothing has come
// from any other since, the box's own links are more likely lost.
//
//	r := reach.Tracker{}
//	r.Heard(now, "menu")            // something came from one of its targets
//	r.Failed(now, "menu", "i-7f")   // this one could not be reached
//	if r.Lost(now, "menu", targets) {    // other boxes may still reach the pool
//	}
package reach

import (
	"slices"
	"time"
)

// maxEvidence is how many targets in a row have to be out of reach in a pool of any size. A box
// that watches no target learns of each only from its own requests.
const maxEvidence = 4

// quiet is how long nothing must have come from a pool that counts as lost. Where only new
// connections fail, answers still come on open ones.
const quiet = 250 * time.Millisecond

// Tracker is what one box knows of its own links. The zero value is ready; it is not safe for
// concurrent use.
type Tracker struct {
	pools map[string]*pool
}

// pool is what is known of one pool.
type pool struct {
	// heardAt is when something last came from any of its targets.
	heardAt time.Time
	// failed are the targets that could not be reached since then, with the time of the first
	// failure of each.
	failed map[string]time.Time
}

func (r *Tracker) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		if r.pools == nil {
			r.pools = make(map[string]*pool)
		}
		p = &pool{failed: make(map[string]time.Time)}
		r.pools[name] = p
	}
	return p
}

// Heard records that something came from a target of a pool.
func (r *Tracker) Heard(now time.Time, name string) {
	p := r.pool(name)
	p.heardAt = now
	clear(p.failed)
}

// Failed records that a target of a pool could not be reached.
func (r *Tracker) Failed(now time.Time, name, target string) {
	p := r.pool(name)
	if _, known := p.failed[target]; !known {
		p.failed[target] = now
	}
}

// Lost reports whether this box seems to reach no target of a pool, which has the given number
// of targets.
func (r *Tracker) Lost(now time.Time, name string, targets int) bool {
	p := r.pools[name]
	if p != nil && now.Sub(p.heardAt) < quiet || targets == 0 {
		return false
	}
	return p != nil && len(p.failed) >= evidence(targets) || r.lostBeside(name)
}

// lostBeside reports whether another pool's targets have been out of reach since before anything
// last came from this pool: its kept connections would be found silent only by a request each.
func (r *Tracker) lostBeside(name string) bool {
	var heardAt time.Time
	if p := r.pools[name]; p != nil {
		heardAt = p.heardAt
	}
	for other, p := range r.pools {
		if other != name && len(p.failed) >= maxEvidence && heardAt.Before(p.firstFailure()) {
			return true
		}
	}
	return false
}

// firstFailure is when the first of the failed targets could not be reached.
func (p *pool) firstFailure() time.Time {
	var first time.Time
	for _, at := range p.failed {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// evidence is how many targets must have failed: half of them, two at least if there are two.
func evidence(targets int) int {
	return min(max((targets+1)/2, min(targets, 2)), maxEvidence)
}

func (r *Tracker) failedOf(name string) map[string]time.Time {
	if p := r.pools[name]; p != nil {
		return p.failed
	}
	return nil
}

// FailedTargets returns the targets of a pool that could not be reached since anything came from
// it, in order, and when anything last did; the zero time if nothing ever did.
func (r *Tracker) FailedTargets(name string) (targets []string, heardAt time.Time) {
	p := r.pools[name]
	if p == nil {
		return nil, time.Time{}
	}
	for target := range p.failed {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets, p.heardAt
}

// Forget drops a target that has left its pool.
func (r *Tracker) Forget(name, target string) { delete(r.failedOf(name), target) }
