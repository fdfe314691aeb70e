// Package waitqueue decides which requests wait for engine memory, in which order they are
// served, and which are refused at once with the time at which to return.
//
//	q := waitqueue.Queue{MaxRequests: 512, MaxBytes: 16 << 20, FreeRate: rate, Usage: usage, Draw: rand.Float64}
//	decision := q.Offer(now, request)
//	next, ok := q.Next(now, nil) // and q.Remove(next.ID) once it was placed
//
// It answers a burst of 4 to 7 s at twice the usual rate, of requests with a deadline of 10 s,
// and engines that are lost for 1 to 16 s. A request waits only as long as it can still be
// answered in time when its turn comes. Others are refused at once, so that their callers can
// return when there is room, instead of all returning within the same burst.
package waitqueue

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/flowrate"
)

const (
	// expiryMargin is by how much the predicted wait of a queued request must exceed the time
	// that it has left before it is refused. FreeRate varies as requests end in groups; without
	// a margin such variation would refuse requests that are served moments later.
	expiryMargin = 1.25
	// orderTTL is how long an order is used before the accounts' usage is read again: the
	// least interval at which the queue is served.
	orderTTL = 5 * time.Millisecond
	// MaxReturn is the longest return time, equal to retryafter.MaxOutage, minReturn the
	// shortest.
	MaxReturn = 1500 * time.Millisecond
	minReturn = 60 * time.Millisecond
	// returnShare is the share of the time that a caller has left up to which it waits before
	// it returns. A later return time would not be kept.
	returnShare = 1.0 / 3
	// RateWindow is over which time the rates of the queue are measured. Requests hold memory for
	// 1 to 2 s, so shorter windows show how they end in groups.
	RateWindow = time.Second
	// refusedTTL is how long a refused request counts towards the span over which return times
	// are spread: the longest return time, by when its caller has returned or gone.
	refusedTTL = MaxReturn
)

// Request is a request that waits, or asks to.
type Request struct {
	// ID is unique in the queue.
	ID string
	// Account is the client account; empty on open routes, which share one place in the order.
	Account string
	// LeavesReserve says that the request must leave a part of the engines' memory free for
	// others. It goes after all that need not, as the room that they find is none for it.
	LeavesReserve bool
	// Priority is 0 for the most urgent. RoutePriority orders requests of the same priority: an
	// account's priority stands for all of its routes.
	Priority, RoutePriority int
	// Tokens is the engine memory that the request needs, Bytes what this box holds for it.
	Tokens, Bytes int
	// Since is when its caller first asked, at whichever box.
	Since time.Time
	// GoalAt is the latest begin for an answer within its goal; zero if it has none.
	GoalAt time.Time
	// BeginBy is the latest begin that leaves it enough time to end.
	BeginBy time.Time
	// Until is the caller's deadline, also if it is refused and returns; zero if it is not known.
	Until time.Time
	// Returning says that its caller was refused before and returned when told to.
	Returning bool
}

// inGoal reports whether the request can still meet its goal, if it has one.
func (r *Request) inGoal(now time.Time) bool { return r.GoalAt.IsZero() || !now.After(r.GoalAt) }

// Urgency is lower for requests that go first: those that need leave no reserve, then by priority,
// then by the route's. Boxes compare it with that of requests which wait at other boxes.
func (r *Request) Urgency() int {
	const levels = 1 << 8
	level := func(priority int) int { return min(max(priority, 0), levels-1) }
	urgency := level(r.Priority)*levels + level(r.RoutePriority)
	if r.LeavesReserve {
		urgency += levels * levels
	}
	return urgency
}

// Refusal says why a request does not wait and when its caller should return.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Decision is the answer to an offered request.
type Decision struct {
	Admitted bool
	// Refusal is valid if the request was not admitted.
	Refusal
	// Evicted are the requests that gave way to it; they are no longer in the queue.
	Evicted []Request
}

// Queue is not safe for concurrent use. Set the exported fields before first use.
type Queue struct {
	// MaxRequests and MaxBytes bound what waits.
	MaxRequests, MaxBytes int
	// FreeRate is how many tokens of engine memory per second become free for this box's
	// requests; zero if that is not known.
	FreeRate func(now time.Time) float64
	// Usage is the engine memory, in tokens over all boxes, that an account's running requests
	// use.
	Usage func(account string) int
	// Draw returns a random number from 0 to below 1, which spreads return times.
	Draw func() float64

	// waiting holds the requests in the order of the last sort, grouped holds them in the order
	// that they have within their accounts. Both are kept, as sorting what is nearly in order is
	// fast.
	waiting, grouped []*entry
	ids              map[string]bool
	bytes            int
	// sortedAt is when waiting was last sorted; zero if it must be sorted again.
	sortedAt time.Time
	// refused are the requests refused lately, or whose callers have yet to return.
	refused []refusedRequest
	// offered are the rates of tokens that requests admitted to the queue need, by urgency.
	offered map[int]*flowrate.Meter
}

// entry is a queued request with its place in the order.
type entry struct {
	Request
	inGoal bool
	// usage is what the account uses when the request's turn comes: its running requests, and
	// those of its requests that go before this one.
	usage int
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Bytes returns what is held for the waiting requests.
func (q *Queue) Bytes() int { return q.bytes }

// Has reports whether a request waits.
func (q *Queue) Has(id string) bool { return q.ids[id] }

// Offer queues a request, or refuses it at once. A request whose ID waits already is refused.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	if q.ids[r.ID] {
		return Decision{Refusal: Refusal{"a request with this ID waits already", minReturn}}
	}
	if now.After(r.BeginBy) || now.Add(q.Predict(now, r)).After(r.BeginBy) {
		return Decision{Refusal: q.Refuse(now, r)}
	}
	evicted, ok := q.makeRoom(now, r)
	if !ok {
		return Decision{Refusal: q.Refuse(now, r)}
	}
	if q.ids == nil {
		q.ids = make(map[string]bool)
	}
	q.ids[r.ID] = true
	q.noteOffered(now, r)
	q.bytes += r.Bytes
	e := &entry{Request: r}
	q.waiting, q.grouped = append(q.waiting, e), append(q.grouped, e)
	q.sortedAt = time.Time{}
	return Decision{Admitted: true, Evicted: evicted}
}

// makeRoom evicts requests from the end of the order until one more fits, and reports whether it
// does. It evicts none if the request does not fit, or does not go before all that would have to
// give way; a returning request need only go before the last one that is not.
func (q *Queue) makeRoom(now time.Time, r Request) ([]Request, bool) {
	if r.Bytes > q.MaxBytes || q.MaxRequests < 1 {
		return nil, false
	}
	q.sort(now)
	requests, bytes := len(q.waiting)+1, q.bytes+r.Bytes
	own := q.place(now, r)
	var evicted []Request
	for i := len(q.waiting) - 1; requests > q.MaxRequests || bytes > q.MaxBytes; i-- {
		if i < 0 {
			return nil, false
		}
		last := q.waiting[i]
		if r.Returning && last.Returning && compareUrgency(&last.Request, &r) <= 0 {
			continue
		}
		if gives := r.Returning && compareUrgency(&last.Request, &r) >= 0 || compare(own, last) < 0; !gives {
			return nil, false
		}
		requests--
		bytes -= last.Bytes
		evicted = append(evicted, last.Request)
	}
	for _, e := range evicted {
		q.Remove(e.ID)
	}
	return evicted, true
}

// Next returns the first request in order for which skip is not true; a nil skip skips none. The
// request stays in the queue until Remove.
func (q *Queue) Next(now time.Time, skip func(id string) bool) (Request, bool) {
	q.sort(now)
	for i := range q.waiting {
		if skip == nil || !skip(q.waiting[i].ID) {
			return q.waiting[i].Request, true
		}
	}
	return Request{}, false
}

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	if !q.ids[id] {
		return false
	}
	delete(q.ids, id)
	is := func(e *entry) bool { return e.ID == id }
	i, j := slices.IndexFunc(q.waiting, is), slices.IndexFunc(q.grouped, is)
	q.bytes -= q.waiting[i].Bytes
	q.waiting, q.grouped = slices.Delete(q.waiting, i, i+1), slices.Delete(q.grouped, j, j+1)
	if i > 0 { // Without its first request, the order of the others is the same.
		q.sortedAt = time.Time{}
	}
	return true
}

// Expire removes and returns the requests whose latest begin has passed, or that can't begin by
// then any more. They are in order.
func (q *Queue) Expire(now time.Time) []Request {
	if len(q.waiting) == 0 {
		return nil
	}
	q.sort(now)
	rate := q.FreeRate(now)
	var expired []Request
	before := 0
	for _, e := range q.waiting {
		wait := time.Duration(0)
		if before > 0 && rate > 0 { // Without a rate nothing is known of later.
			wait = q.timeFor(before, rate)
		}
		if left := e.BeginBy.Sub(now); left <= 0 || float64(wait) > expiryMargin*float64(left) {
			expired = append(expired, e.Request)
			continue
		}
		before += e.Tokens
	}
	for _, r := range expired {
		q.Remove(r.ID)
	}
	return expired
}
