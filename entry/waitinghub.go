package entry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/waitqueue"
)

// The requests of a box that uses a hub wait at the hub, which keeps one only as long as its sender
// keeps asking. Each call of the sender is held for a while, so that it gets its answer at once when
// there is room. The hub holds no state that a sender could lose: if the hub ends, the sender asks
// the next one, with the time at which its caller first asked.

const (
	// waitHold is how long a hub holds a call. A shorter hold costs calls, a longer one delays the
	// sender's finding that the hub is gone.
	waitHold = 250 * time.Millisecond
	// askAgainWithin is how long after the hub's last answer a queued request is dropped. A weak
	// box takes some 10 ms to read the answer and to call again.
	askAgainWithin = 150 * time.Millisecond
)

// heldCall is what a hub keeps of a spoke's waiting request.
type heldCall struct {
	message peer.Message
	// reply takes the answer to the held call, until which the sender listens; it is nil while
	// there is no call. answeredAt is when the last call was answered.
	reply      chan<- peer.Message
	until      time.Time
	answeredAt time.Time
}

// lost reports whether the sender has not asked again in time, or does not listen any more, as
// after a pause of this box.
func (h *heldCall) lost(now time.Time) bool {
	if h.reply == nil {
		return now.Sub(h.answeredAt) >= askAgainWithin
	}
	return now.Sub(h.until) >= hubPlaceTimeout
}

// ready reports whether a waiting request could be told its placement now.
func (x *waiter) ready() bool { return x.own() || x.held.reply != nil }

// addWait adds to the request for a hub what it needs to queue it.
func (d *Daemon) addWait(now time.Time, t *tables, m *placementRequest, request *peer.PlacementRequest, hold bool) {
	job := m.ask.Job
	if !d.mayWait(job) || m.heldBytes == 0 && len(job.Body) > d.maxWaitingBytes(t) {
		return
	}
	if m.ticket == 0 {
		m.ticket = rand.Uint64()
	}
	request.Wait, request.Hold, request.Ticket = true, hold, m.ticket
	request.SinceMS = now.Sub(m.askedSince(now)).Milliseconds()
	request.LeftMS = d.beginBy(now, job).Sub(now).Milliseconds()
	request.DeadlineMS = job.Until.Sub(now).Milliseconds()
	request.GoalLeftMS = leftMS(now, d.goalAt(now, t, job))
	if hold || t.isShort(now, job.Pool.Name) {
		sum := job.Fingerprint()
		request.Fingerprint = sum[:]
	}
}

// leftMS is the time until a goal as a hub reads it.
func leftMS(now, goal time.Time) int64 {
	left := goal.Sub(now).Milliseconds()
	switch {
	case goal.IsZero():
		return 0
	case left == 0:
		return -1
	}
	return left
}

// queuedAtHub has the call repeated of a request that a hub has queued.
func (d *Daemon) queuedAtHub(now time.Time, t *tables, m hubPlaced) []effect {
	r := m.request
	if r.queuedAt.IsZero() {
		r.queuedAt = now
	}
	if !r.atHub {
		r.atHub, r.heldBytes = true, len(r.ask.Job.Body)
		t.heldBytes += r.heldBytes
	}
	// The answer's delay makes this later than it was, so the earliest is the best.
	if since := now.Add(-time.Duration(m.placed.SinceMS) * time.Millisecond); since.Before(r.askedSince(now)) {
		r.since = since
	}
	if effects, done := d.refuseOrClaimTrial(now, t, r); done {
		return effects
	}
	if refused := d.refuseImpossible(t, r.ask.Job); refused != nil {
		t.answer(now, r, placementAnswer{err: refused})
		return nil
	}
	if d.stopping.Load() && now.After(d.beginBy(now, r.ask.Job)) {
		d.refuseStopping(now, t, r)
		return nil
	}
	return []effect{d.askHubToPlace(now, t, m.hub, r, true)}
}

// refuseStopping refuses a request that waits and that this box, which stops, can't see answered.
func (d *Daemon) refuseStopping(now time.Time, t *tables, m placementRequest) {
	refused := refusal.New(refusal.DidNotRun, 503, deliver.CodeStopping, "this box stops before the request could be answered")
	t.answer(now, m, placementAnswer{err: refused.WithRetryAfter(d.retryAfter(deliver.CodeStopping, m.ask.Job))})
}

// refuseLostWait refuses a request that waited at hubs, none of which is left to ask.
func (d *Daemon) refuseLostWait(now time.Time, t *tables, m placementRequest) {
	if d.weightsStale(now) || d.evacuationsStale(now) {
		place, err := d.place(now, t, m.ask) // Refuses it, too, with the reason.
		t.answer(now, m, placementAnswer{place, err})
		return
	}
	refused := refusal.New(refusal.DidNotRun, 503, codeCrowded, "the request waited %v at hubs that don't answer any more", now.Sub(m.queuedAt))
	t.answer(now, m, placementAnswer{err: refused.WithRetryAfter(d.retryAfterRefusal(now, t, codeCrowded, m.ask.Job))})
}

// answerPeerRequest answers another box's call, or holds it.
func (d *Daemon) answerPeerRequest(now time.Time, t *tables, m peerRequest) {
	request := m.message.PlacementRequest
	if request == nil || !request.Hold || m.message.Kind != peer.KindPlace {
		m.reply <- d.peerRequest(now, t, m.message)
		return
	}
	t.lastHubRequest = now
	x := t.waiterOf(m.message)
	if x == nil { // This box has dropped it, or is another one than that which queued it.
		answer := d.peerRequest(now, t, m.message)
		if x = t.waiterOf(m.message); x == nil {
			m.reply <- answer
			return
		}
	}
	d.answerHeld(x, queuedResponse(now, x.queued.Since, 0)) // An earlier call has no use any more.
	x.held = heldCall{message: m.message, reply: m.reply, until: now.Add(waitHold)}
	d.serveQueues(now, t)
}

// waiterOf returns the queued request that another box asks for, or nil.
func (t *tables) waiterOf(m peer.Message) *waiter {
	if w := t.waiting[m.PlacementRequest.Pool]; w != nil {
		return w.waiters[heldID(m)]
	}
	return nil
}

// heldID is the ID in the queue of another box's request.
func heldID(m peer.Message) string {
	return m.From + "/" + strconv.FormatUint(m.PlacementRequest.Ticket, 36)
}

func queuedResponse(now, since time.Time, ahead time.Duration) *peer.PlacementResponse {
	return &peer.PlacementResponse{Queued: true, AheadMS: ahead.Milliseconds(), SinceMS: now.Sub(since).Milliseconds()}
}

// placeOrQueueForPeer places another box's request, queues it, or refuses it.
func (d *Daemon) placeOrQueueForPeer(now time.Time, t *tables, m peer.Message) *peer.PlacementResponse {
	request := m.PlacementRequest
	table := d.current.Load()
	if table == nil || table.Pools[request.Pool] == nil || table.Pools[request.Pool].Engine == nil {
		return d.placeNowForPeer(now, t, m)
	}
	pool := table.Pools[request.Pool]
	w := t.waiting[pool.Name]
	if w != nil && request.Wait {
		if x := t.waiterOf(m); x != nil { // An earlier answer was lost.
			x.held.answeredAt = now
			return queuedResponse(now, x.queued.Since, w.queue.Predict(now, x.queued))
		}
	}
	response := &peer.PlacementResponse{Refused: codeCrowded, Reason: "other requests wait for the engines' memory"}
	since, returns := t.returnOf(now, m)
	queued := waitRequestOf(now, m, since, returns)
	if first := w == nil || w.queue.IsFirst(now, queued); first && !(request.Wait && d.waits && d.yieldsNow(now, t, pool.Name, queued)) {
		response = d.placeNowForPeer(now, t, m)
	}
	if response == nil || response.Refused != codeCrowded || !request.Wait || !d.waits {
		return response
	}
	if d.stopping.Load() {
		return &peer.PlacementResponse{AskAnother: true}
	}
	w = d.queueOf(t, pool)
	r := queued
	ahead := w.queue.Predict(now, r)
	if left := d.offer(now, t, w, r); left != nil {
		t.rememberRefused(now, &waiter{queued: r, held: heldCall{message: m}}, left.RetryAfter)
		refused := crowded(response.Reason, *left)
		return &peer.PlacementResponse{Refused: refused.Code, Reason: refused.Reason, RetryAfterMS: refused.RetryAfter.Milliseconds()}
	}
	w.waiters[r.ID] = &waiter{queued: r, queuedAt: now, held: heldCall{message: m, answeredAt: now}}
	return queuedResponse(now, r.Since, ahead)
}

// waitRequestOf describes another box's request for the queue. If it returns, since is when its
// caller first asked.
func waitRequestOf(now time.Time, m peer.Message, since time.Time, returns bool) waitqueue.Request {
	p := m.PlacementRequest
	r := waitqueue.Request{
		ID: heldID(m), Account: p.Account, LeavesReserve: p.MaxMemoryShare < maxShare, Priority: p.Priority, RoutePriority: p.RoutePriority, Tokens: p.Tokens,
		Since: now.Add(-time.Duration(p.SinceMS) * time.Millisecond), BeginBy: now.Add(time.Duration(p.LeftMS) * time.Millisecond),
	}
	if p.DeadlineMS > 0 {
		r.Until = now.Add(time.Duration(p.DeadlineMS) * time.Millisecond)
	}
	if returns {
		r.Since, r.Returning = since, true
	}
	if p.GoalLeftMS != 0 {
		r.GoalAt = now.Add(time.Duration(p.GoalLeftMS) * time.Millisecond)
	}
	return r
}

// answerHeld answers a held call, if there is one.
func (d *Daemon) answerHeld(x *waiter, response *peer.PlacementResponse) {
	if x.held.reply == nil {
		return
	}
	x.held.reply <- peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, PlacementResponse: response}
	x.held.reply = nil
}

// serveHeld places a spoke's waiting request. It reports whether the next one may be tried.
func (d *Daemon) serveHeld(now time.Time, t *tables, w *waitingPool, x *waiter) bool {
	response := d.placeNowForPeer(now, t, x.held.message)
	switch {
	case response == nil:
		d.endWait(now, w, x.queued.ID, endMoved)
		response = &peer.PlacementResponse{AskAnother: true}
	case response.Refused == codeCrowded:
		return false
	case response.Refused != "":
		d.endWait(now, w, x.queued.ID, endRefused)
	default:
		w.served.Add(now, float64(x.queued.Tokens))
		d.endWait(now, w, x.queued.ID, endPlaced)
	}
	d.answerHeld(x, response)
	return true
}

// answerHeldInTime answers the held calls whose hold would end before the next tick.
func (d *Daemon) answerHeldInTime(now time.Time, w *waitingPool) {
	for _, x := range w.waiters {
		if !x.own() && x.held.reply != nil && now.Add(tick).After(x.held.until) {
			x.held.answeredAt = now
			d.answerHeld(x, queuedResponse(now, x.queued.Since, w.queue.Predict(now, x.queued)))
		}
	}
}

// moveWaiters sends waiting requests elsewhere: those of spokes while this box stops, and all of
// them once it has become a spoke itself or does not reach the engines.
func (d *Daemon) moveWaiters(now time.Time, t *tables, w *waitingPool) []effect {
	stopping, spoke := d.stopping.Load(), d.spoke.Load()
	lost := d.handsOn && t.lost(now, w.pool.Name) && t.otherHubReaches(now, w.pool.Name)
	if !stopping && !spoke && !lost {
		return nil
	}
	var effects []effect
	for id, x := range w.waiters {
		switch {
		case !x.own():
			d.endWait(now, w, id, endMoved)
			d.answerHeld(x, &peer.PlacementResponse{AskAnother: true})
		case spoke || lost:
			d.endWait(now, w, id, endMoved)
			effects = append(effects, d.placementRequested(now, t, x.request)...)
		case now.After(d.beginBy(now, x.request.ask.Job)):
			d.endWait(now, w, id, endRefused)
			d.refuseStopping(now, t, x.request)
		}
	}
	return effects
}
