package waitqueue

import (
	"time"

	"github.com/thymewind/thymewind/flowrate"
)

// Predict returns how long a request would wait if it were queued. What can't begin within its goal
// is overtaken by what comes later and can, and so has only the rate that those leave.
func (q *Queue) Predict(now time.Time, r Request) time.Duration {
	before := q.tokensBefore(now, r)
	if before == 0 {
		return 0
	}
	rate := q.FreeRate(now)
	wait := q.timeFor(before, rate)
	if !r.Returning {
		wait = q.behindReturning(now, r.Urgency(), before, wait, rate)
	}
	if r.Returning || r.GoalAt.IsZero() || !now.Add(wait).After(r.GoalAt) {
		return wait
	}
	return q.timeFor(before, rate-q.offeredRate(now, r.Urgency()))
}

// behindReturning extends a predicted wait by that for the callers who will have returned before its
// end.
func (q *Queue) behindReturning(now time.Time, urgency, before int, wait time.Duration, rate float64) time.Duration {
	for {
		longer := q.timeFor(before+q.returningBy(now, now.Add(wait), urgency), rate)
		if longer <= wait {
			return wait
		}
		wait = longer
	}
}

// returningBy is the tokens of the callers that were told to return by a time and will then go
// before those that came later.
func (q *Queue) returningBy(now, at time.Time, urgency int) int {
	sum := 0
	for _, r := range q.refused {
		if r.returns && r.urgency <= urgency && r.returnAt.After(now) && r.returnAt.Before(at) {
			sum += r.tokens
		}
	}
	return sum
}

// noteOffered records an admitted request.
func (q *Queue) noteOffered(now time.Time, r Request) {
	if len(q.waiting) == 0 {
		q.offered = make(map[int]*flowrate.Meter)
	}
	meter := q.offered[r.Urgency()]
	if meter == nil {
		meter = &flowrate.Meter{Window: RateWindow}
		meter.Start(now)
		q.offered[r.Urgency()] = meter
	}
	meter.Add(now, float64(r.Tokens))
}

// offeredRate is the rate at which admitted requests of no less urgency came lately, zero until it
// is known.
func (q *Queue) offeredRate(now time.Time, urgency int) float64 {
	sum := 0.0
	for of, meter := range q.offered {
		if of <= urgency && meter.Lasted(now) >= RateWindow/2 {
			sum += meter.Rate(now)
		}
	}
	return sum
}

// maxPredicted is the predicted wait if no memory becomes free. It is longer than any deadline.
const maxPredicted = time.Hour

// timeFor is how long it takes until some tokens of memory have become free.
func (q *Queue) timeFor(tokens int, rate float64) time.Duration {
	if seconds := float64(tokens) / rate; rate > 0 && seconds < maxPredicted.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxPredicted
}

// tokensBefore is how many tokens the requests need that go before one.
func (q *Queue) tokensBefore(now time.Time, r Request) int {
	if len(q.waiting) == 0 {
		return 0
	}
	q.sort(now)
	own, sum := q.place(now, r), 0
	for i := range q.waiting {
		if compare(q.waiting[i], own) >= 0 {
			break
		}
		sum += q.waiting[i].Tokens
	}
	return sum
}
