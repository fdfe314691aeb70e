package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/flowrate"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/waitqueue"
)

// Requests for which no engine has room wait at the box that places them, in the order of package
// waitqueue. This file is about the queue; waitinghub.go is about the requests of other boxes in
// it, and about this box's requests that wait at a hub.

const (
	// maxWaiting bounds the requests that wait in a pool's queue.
	maxWaiting = 512
	// waitingMemoryShare is the share of the box's memory that the bodies of waiting requests may
	// take up.
	waitingMemoryShare = 1.0 / 8
	// goalFactor is how many times its goal a route's timeout must be for its requests to wait.
	// With less there is hardly any time between the refusal and the wait that are worth it.
	goalFactor = 4
	// serveInterval is the least time between two attempts to place a queue's first request, each
	// of which evaluates all engines of the pool.
	serveInterval = 5 * time.Millisecond
	// maxServed is how many requests are placed in one go. Placing 512 of them among 100 engines takes
	// 70 ms, in which a hub answers no other call; boxes give it up after hubPlaceTimeout.
	maxServed = 32
	// queueQuiet is how long a queue must have been empty, and no request refused, before it is over
	// and its pool no longer short of room. Queues that fill and empty again are logged once.
	queueQuiet = 2 * time.Second
)

// How a request's time in a queue ends, for the metrics and logs.
const (
	endPlaced     = "placed"
	endRefused    = "refused"
	endEvicted    = "evicted"
	endExpired    = "expired"
	endCallerLeft = "caller_left"
	endMoved      = "moved"
)

// waitingPool is the queue of one pool's requests.
type waitingPool struct {
	pool  *routing.Pool
	queue waitqueue.Queue
	// waiters are the queued requests by their IDs in the queue.
	waiters map[string]*waiter
	// placedAt is when a waiting request of each account was last placed.
	placedAt map[string]time.Time
	// servedAt is when the queue was last served.
	servedAt time.Time
	// served is the rate at which requests leave the queue for an engine.
	served flowrate.Meter
	// rate is the last computed rate at which memory becomes free, as of ratedAt.
	rate    float64
	ratedAt time.Time
	// stats are about the time since the queue was last empty for queueQuiet.
	stats queueStats
}

// queueStats describe a queue for the log.
type queueStats struct {
	// since is when the first request was queued or refused; zero if none was. emptyAt is since
	// when no request waits; zero if one does.
	since, emptyAt           time.Time
	waited, refused, evicted int
	longest                  time.Duration
}

// waiter is a queued request: this box's own, or that of a spoke.
type waiter struct {
	queued   waitqueue.Request
	queuedAt time.Time
	// request is this box's; its reply is nil if the request is a spoke's. stop ends the
	// watch for the caller to leave.
	request placementRequest
	stop    func() bool
	// held is a spoke's request.
	held heldCall
}

// own reports whether the request is this box's.
func (x *waiter) own() bool { return x.request.reply != nil }

// software is the version that the request needs, as it continues a stream; nil if any will do.
func (x *waiter) software() *string {
	if x.own() {
		return x.request.ask.Software
	}
	return x.held.message.PlacementRequest.Software
}

// waiterLeft reports that a waiting request's caller left or that its deadline has passed.
type waiterLeft struct{ pool, id string }

// mayWait reports whether a request may wait if no engine has room for it.
func (d *Daemon) mayWait(job *deliver.Job) bool {
	goal := job.Route.Goal
	return d.waits && job.Pool.Engine != nil && goal > 0 && (job.Route.Timeout == 0 || job.Route.Timeout >= goalFactor*goal)
}

// answer answers a request for a placement and says how long it waited, whether or not it was
// placed.
func (t *tables) answer(now time.Time, m placementRequest, answer placementAnswer) {
	t.heldBytes -= m.heldBytes
	if !m.queuedAt.IsZero() {
		answer.place.Waited = max(now.Sub(m.queuedAt), 1) // Zero means that it did not wait.
	}
	m.reply <- answer
}

// queueOf returns a pool's queue, which it creates if there is none.
func (d *Daemon) queueOf(t *tables, pool *routing.Pool) *waitingPool {
	w := t.waiting[pool.Name]
	if w == nil {
		w = &waitingPool{served: flowrate.Meter{Window: waitqueue.RateWindow}, waiters: make(map[string]*waiter), placedAt: make(map[string]time.Time)}
		w.queue = waitqueue.Queue{
			MaxRequests: maxWaiting, Draw: d.random,
			FreeRate: func(now time.Time) float64 { return d.freeRate(now, t, w) },
			Usage:    func(account string) int { return d.accountUsage(t, w.pool.Name, account) },
		}
		t.waiting[pool.Name] = w
	}
	w.pool = pool
	w.queue.MaxBytes = d.maxWaitingBytes(t) + w.queue.Bytes()
	return w
}

// maxWaitingBytes is how many more bytes this box may hold for waiting requests.
func (d *Daemon) maxWaitingBytes(t *tables) int {
	left := int(waitingMemoryShare*float64(d.Settings.Box.MemoryMB<<20)) - t.heldBytes
	for _, w := range t.waiting {
		left -= w.queue.Bytes()
	}
	return max(left, 0)
}

// placeHere places a request of this box, has it wait, or refuses it.
func (d *Daemon) placeHere(now time.Time, t *tables, m placementRequest) {
	job := m.ask.Job
	w := t.waiting[job.Pool.Name]
	if job.Pool.Engine == nil || d.spoke.Load() || (w == nil || w.queue.Len() == 0) && !d.mayWait(job) {
		place, err := d.place(now, t, m.ask)
		d.answerPlaced(now, t, m, place, err)
		return
	}
	d.noteReturn(now, t, &m)
	limit := d.limitOf(t, &m)
	queued := d.waitRequest(now, t, &m, "")
	if w != nil && !w.queue.IsFirst(now, queued) || d.mayWait(job) && d.yieldsNow(now, t, job.Pool.Name, queued) {
		d.waitOrRefuse(now, t, m, refusal.New(refusal.DidNotRun, 503, codeCrowded, "other requests wait for the engines' memory"))
		return
	}
	place, refused := d.placeOnEngine(now, t, m.ask, limit)
	switch {
	case refused == nil:
		t.answer(now, m, placementAnswer{place: place})
	case refused.Code == codeCrowded:
		d.waitOrRefuse(now, t, m, refused)
	default:
		d.answerPlaced(now, t, m, place, refused)
	}
}

func (d *Daemon) placeOnEngine(now time.Time, t *tables, request deliver.PlacementRequest, limit admissionLimit) (deliver.Placement, *refusal.Refusal) {
	return d.placeBy(now, t, request, func(now time.Time, t *tables, request deliver.PlacementRequest) (deliver.Placement, *refusal.Refusal) {
		return d.placeWithin(now, t, request, limit)
	})
}

// waitRequest describes a request of this box for the queue.
func (d *Daemon) waitRequest(now time.Time, t *tables, m *placementRequest, id string) waitqueue.Request {
	job := m.ask.Job
	return waitqueue.Request{
		ID: id, Account: accountName(job), LeavesReserve: d.leavesReserve(job), Priority: routing.Priority(job.Route, job.Account), RoutePriority: job.Route.Priority, Tokens: job.PromptTokens + job.MaxOutputTokens, Bytes: len(job.Body),
		Since: m.askedSince(now), Returning: m.returning, GoalAt: d.goalAt(now, t, job), BeginBy: d.beginBy(now, job), Until: job.Until,
	}
}

// waitOrRefuse queues a request of this box that found no room, or refuses it.
func (d *Daemon) waitOrRefuse(now time.Time, t *tables, m placementRequest, refused *refusal.Refusal) {
	job := m.ask.Job
	if !d.mayWait(job) {
		t.answer(now, m, placementAnswer{err: refused.WithRetryAfter(d.retryAfterRefusal(now, t, refused.Code, job))})
		return
	}
	if m.ticket == 0 {
		m.ticket = rand.Uint64()
	}
	t.heldBytes -= m.heldBytes // The queue counts them from here on.
	m.heldBytes, m.atHub = 0, false
	w := d.queueOf(t, job.Pool)
	r := d.waitRequest(now, t, &m, strconv.FormatUint(m.ticket, 36))
	if left := d.offer(now, t, w, r); left != nil {
		if d.stopping.Load() { // Another box may have the time that this one lacks.
			left.RetryAfter = min(left.RetryAfter, d.retryAfter(deliver.CodeStopping, job))
		}
		t.rememberRefused(now, &waiter{queued: r, request: m}, left.RetryAfter)
		t.answer(now, m, placementAnswer{err: crowded(refused.Reason, *left)})
		return
	}
	if m.queuedAt.IsZero() {
		m.queuedAt = now
	}
	x := &waiter{queued: r, queuedAt: now, request: m}
	w.waiters[r.ID] = x
	left := waiterLeft{job.Pool.Name, r.ID}
	x.stop = context.AfterFunc(m.ctx, func() { d.post(left) })
}

// crowded refuses a request for want of engine memory.
func crowded(reason string, r waitqueue.Refusal) *refusal.Refusal {
	return refusal.New(refusal.DidNotRun, 503, codeCrowded, "%s; %s", reason, r.Reason).WithRetryAfter(r.RetryAfter)
}

// offer offers a request to a queue and ends the wait of those that give way. It returns nil if
// the request was admitted; the caller then adds its waiter.
func (d *Daemon) offer(now time.Time, t *tables, w *waitingPool, r waitqueue.Request) *waitqueue.Refusal {
	if w.stats.since.IsZero() {
		w.stats = queueStats{since: now, emptyAt: now}
		d.Log.Info("requests wait for engine memory", "pool", w.pool.Name, "hold_time", t.holdTime(w.pool.Name), "free_rate", int(d.freeRate(now, t, w)))
	}
	t.noteShort(now, w.pool.Name, r.Account)
	ahead := w.queue.Predict(now, r)
	decision := w.queue.Offer(now, r)
	for _, gone := range decision.Evicted {
		w.stats.evicted++
		d.refuseWaiter(now, t, w, gone, endEvicted, "more urgent requests took the place in the queue")
	}
	d.Log.Debug("request offered to the queue", "pool", w.pool.Name, "id", r.ID, "account", r.Account, "priority", r.Priority, "admitted", decision.Admitted, "ahead", ahead, "reason", decision.Reason, "come_back", decision.RetryAfter)
	if !decision.Admitted {
		if w.queue.Len() == 0 {
			w.stats.emptyAt = now
		}
		w.stats.refused++
		d.countEnd(w, r, endRefused)
		return &decision.Refusal
	}
	w.stats.waited++
	if !w.stats.emptyAt.IsZero() {
		w.served.Start(now)
	}
	w.stats.emptyAt = time.Time{}
	d.metrics.queued.WithLabelValues(w.pool.Name).Set(float64(w.queue.Len()))
	return nil
}

func (d *Daemon) countEnd(w *waitingPool, r waitqueue.Request, end string) {
	d.metrics.queueEnds.WithLabelValues(w.pool.Name, strconv.Itoa(r.Priority), end).Inc()
}

// endWait removes a request from its queue.
func (d *Daemon) endWait(now time.Time, w *waitingPool, id, end string) *waiter {
	x := w.waiters[id]
	delete(w.waiters, id)
	w.queue.Remove(id)
	if x.stop != nil {
		x.stop()
	}
	if end == endPlaced {
		w.placedAt[x.queued.Account] = now
	}
	waited := now.Sub(x.queuedAt)
	w.stats.longest = max(w.stats.longest, waited)
	if w.queue.Len() == 0 {
		w.stats.emptyAt = now
	}
	d.countEnd(w, x.queued, end)
	d.metrics.queued.WithLabelValues(w.pool.Name).Set(float64(w.queue.Len()))
	d.Log.Debug("request waited", "pool", w.pool.Name, "id", id, "end", end, "waited", waited)
	return x
}

// refuseWaiter ends a request's wait for want of room.
func (d *Daemon) refuseWaiter(now time.Time, t *tables, w *waitingPool, r waitqueue.Request, end, reason string) {
	x := d.endWait(now, w, r.ID, end)
	refused := crowded(reason, w.queue.Refuse(now, r))
	t.rememberRefused(now, x, refused.RetryAfter)
	d.answerRefused(now, t, x, refused)
}

// answerRefused refuses a request whose wait has ended.
func (d *Daemon) answerRefused(now time.Time, t *tables, x *waiter, refused *refusal.Refusal) {
	if x.own() {
		t.answer(now, x.request, placementAnswer{err: refused})
		return
	}
	d.answerHeld(x, &peer.PlacementResponse{Refused: refused.Code, Reason: refused.Reason, RetryAfterMS: refused.RetryAfter.Milliseconds()})
}

// waiterLeft ends the wait of a request whose caller left or whose deadline has passed.
func (d *Daemon) waiterLeft(now time.Time, t *tables, m waiterLeft) {
	w := t.waiting[m.pool]
	if w == nil || w.waiters[m.id] == nil {
		return
	}
	d.leave(now, t, w, m.id)
}

func (d *Daemon) leave(now time.Time, t *tables, w *waitingPool, id string) {
	end := endCallerLeft
	if !now.Before(w.waiters[id].request.ask.Job.Until) {
		end = endExpired
	}
	x := d.endWait(now, w, id, end)
	t.answer(now, x.request, placementAnswer{err: d.timeoutRefusal(x.request.ask.Job)})
}
