package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/brittle"
)

// group is the order in which the room of some targets is given out.
type group struct {
	// keptSince is when this box began to keep it, askedAt when it was last asked.
	keptSince, askedAt time.Time
	// waiting are the requests without a permit, the next first. granted are the times of the permits
	// within the last rateTime.
	waiting []*waiter
	granted []time.Time
	// targets are those that were asked for.
	targets map[*target]bool
}

// waiter is a request that waits for room.
type waiter struct {
	ask    Ask
	since  time.Time
	answer chan Answer
}

// want is how sure room has to be for it: less so the longer it waits, as one that is turned away may not
// be allowed to run elsewhere.
func (w *waiter) want(now time.Time) brittle.Certainty {
	switch waited := now.Sub(w.since); {
	case waited >= 2*w.ask.Wait/waitSteps:
		return brittle.Tried
	case waited >= w.ask.Wait/waitSteps:
		return brittle.Known
	}
	return brittle.Spare
}

// asked notes that this box is taken for the one that keeps the group.
func (q *group) asked(now time.Time) {
	if now.Sub(q.askedAt) >= targetTTL {
		q.keptSince = now
	}
	q.askedAt = now
}

func (k *Keeper) groupOf(name string) *group {
	q := k.groups[name]
	if q == nil {
		if k.groups == nil {
			k.groups = make(map[string]*group)
		}
		q = &group{targets: make(map[*target]bool)}
		k.groups[name] = q
	}
	return q
}

// enqueue has a request wait behind those that are as urgent, if it can be granted a permit within its
// wait. The least urgent one makes room for it.
func (k *Keeper) enqueue(now time.Time, q *group, w *waiter) bool {
	if w.ask.Wait <= 0 {
		return false
	}
	for len(q.granted) > 0 && now.Sub(q.granted[0]) >= rateTime {
		q.granted = q.granted[1:]
	}
	most := max(int(float64(len(q.granted))*w.ask.Wait.Seconds()/rateTime.Seconds()), minWaiting*len(w.ask.Targets))
	at, _ := slices.BinarySearchFunc(q.waiting, w.ask.Urgency+1, func(x *waiter, urgency int) int { return cmp.Compare(x.ask.Urgency, urgency) })
	q.waiting = slices.Insert(q.waiting, at, w)
	if last := len(q.waiting) - 1; last > most {
		q.waiting[last].answer <- k.denial(q)
		q.waiting = q.waiting[:last]
	}
	return true
}

// giveUp denies a request its permit once it has waited, unless it got one meanwhile.
func (k *Keeper) giveUp(now time.Time, w *waiter) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.groupOf(w.ask.Group)
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return <-w.answer
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	if answer, ok := k.grant(now, q, w.ask, brittle.Tried); ok { // Time alone may make room.
		return answer
	}
	return k.denial(q)
}

// denial is the answer without a permit.
func (k *Keeper) denial(q *group) Answer {
	perSecond := max(minAsks, asksPerGrant*len(q.granted))
	return Answer{Pause: max(minPause, time.Duration(len(k.boxes))*time.Second/time.Duration(perSecond))}
}

// serve grants permits to requests of a group that wait, in order. Mostly there is room for none of them, which
// costs no look at each.
func (k *Keeper) serve(now time.Time, q *group) {
	if len(q.waiting) == 0 {
		return
	}
	surest := q.surest(now)
	if surest == brittle.None {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		want := w.want(now)
		if surest < want {
			return false
		}
		answer, ok := k.grant(now, q, w.ask, want)
		if ok {
			w.answer <- answer
			surest = q.surest(now)
		}
		return ok
	})
}

// surest returns how sure it is that some target of the group has room for one more request.
func (q *group) surest(now time.Time) brittle.Certainty {
	surest := brittle.None
	for t := range q.targets {
		surest = max(surest, t.free(now, q.keptSince))
	}
	return surest
}

// serveAll grants permits to all requests that wait.
func (k *Keeper) serveAll(now time.Time) {
	for _, q := range k.groups {
		k.serve(now, q)
	}
}
