package waitqueue

import (
	"slices"
	"time"
)

// refusedRequest is a request whose caller is expected to return.
type refusedRequest struct {
	at, returnAt    time.Time
	urgency, tokens int
	// returns says that the caller is expected back, as it does not return twice.
	returns bool
}

// Refuse returns why a request can't wait and when its caller should return, and remembers it
// among those refused lately. Use it for evicted and expired requests, too.
func (q *Queue) Refuse(now time.Time, r Request) Refusal {
	left := r.BeginBy.Sub(now)
	if left <= 0 {
		return Refusal{"no time is left to answer", MaxReturn}
	}
	lately := q.forgetRefused(now) + r.Tokens
	rate := q.FreeRate(now)
	taken := max(q.Predict(now, r)-left, 0) // By then the queue is short enough.
	refused := Refusal{"other requests wait for the same engine memory", 0}
	if rate <= 0 || taken > left {
		refused.Reason = "no engine memory is expected to become free before the deadline"
		refused.RetryAfter = q.afterOverload(now, r)
	} else {
		after := taken + time.Duration(q.Draw()*float64(q.timeFor(lately, rate)))
		refused.RetryAfter = q.spread(after, q.longestReturn(now, r))
	}
	q.refused = append(q.refused, refusedRequest{now, now.Add(refused.RetryAfter), r.Urgency(), r.Tokens, !r.Returning})
	return refused
}

// longestReturn is the latest time at which a caller returns that was told to.
func (q *Queue) longestReturn(now time.Time, r Request) time.Duration {
	if r.Until.IsZero() {
		return min(MaxReturn, time.Duration(returnShare*float64(r.BeginBy.Sub(now))))
	}
	return time.Duration(returnShare * float64(r.Until.Sub(now)))
}

// spread bounds a return time. Those beyond the bound differ still, as all of the callers would
// return at the same time otherwise.
func (q *Queue) spread(after, longest time.Duration) time.Duration {
	longest = max(longest, minReturn)
	if after > longest {
		after = longest - time.Duration(q.Draw()*float64(longest)/4)
	}
	return max(after, minReturn)
}

// afterOverload is when a caller should return that can't be served before its deadline passes at
// this rate. Bursts last for seconds and a caller returns once, so it does so in the last quarter
// of the time in which it may.
func (q *Queue) afterOverload(now time.Time, r Request) time.Duration {
	if r.Until.IsZero() {
		return MaxReturn
	}
	longest := q.longestReturn(now, r)
	return max(longest-time.Duration(q.Draw()*float64(longest)/4), minReturn)
}

// forgetRefused forgets the callers that have returned by now, and returns the tokens of those
// refused within refusedTTL.
func (q *Queue) forgetRefused(now time.Time) int {
	sum := 0
	q.refused = slices.DeleteFunc(q.refused, func(r refusedRequest) bool {
		lately := now.Sub(r.at) < refusedTTL
		if lately {
			sum += r.tokens
		}
		return !lately && !r.returnAt.After(now)
	})
	return sum
}
