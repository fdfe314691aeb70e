package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// serveQueues places waiting requests for which engines have room.
func (d *Daemon) serveQueues(now time.Time, t *tables) {
	for _, w := range t.waiting {
		if w.queue.Len() > 0 && now.Sub(w.servedAt) >= serveInterval {
			d.serveQueue(now, t, w)
		}
	}
}

// serveQueue ends the waits that are in vain and then places requests, in order, up to the first
// for which there is no room, and at most maxServed. It passes over those that yield to other boxes'
// requests, and over those that continue streams while the engines of their software version have no
// room, as others may have.
func (d *Daemon) serveQueue(now time.Time, t *tables, w *waitingPool) {
	w.servedAt = now
	if table := d.current.Load(); table != nil && table.Pools[w.pool.Name] != nil {
		w.pool = table.Pools[w.pool.Name]
	}
	d.dropLost(now, t, w)
	for _, r := range w.queue.Expire(now) {
		d.refuseWaiter(now, t, w, r, endExpired, "the request waited for the engines' memory and can't be answered in time any more")
	}
	full := make(map[string]bool) // Software versions whose engines have no room.
	for range maxServed {
		yields := d.yields(now, t, w.pool.Name) // Changes with each placement.
		next, ok := w.queue.Next(now, func(id string) bool {
			x := w.waiters[id]
			bound := x.software()
			return !x.ready() || bound != nil && full[*bound] || yields != nil && yields(x.queued.Account, x.queued.Urgency())
		})
		if !ok {
			return
		}
		x := w.waiters[next.ID]
		if d.serveWaiter(now, t, w, x) {
			continue
		}
		bound := x.software()
		if bound == nil {
			return
		}
		full[*bound] = true
	}
}

// dropLost ends the waits of requests that nobody asks for any more.
func (d *Daemon) dropLost(now time.Time, t *tables, w *waitingPool) {
	var lost []string
	for id, x := range w.waiters {
		if x.own() && x.request.ctx.Err() != nil || !x.own() && x.held.lost(now) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost) // The same order each time.
	for _, id := range lost {
		if w.waiters[id].own() {
			d.leave(now, t, w, id)
			continue
		}
		d.answerHeld(d.endWait(now, w, id, endCallerLeft), &peer.PlacementResponse{AskAnother: true})
	}
}

// serveWaiter places a waiting request, or refuses it if it can't be placed for other reasons than
// room. It reports whether the next one may be tried.
func (d *Daemon) serveWaiter(now time.Time, t *tables, w *waitingPool, x *waiter) bool {
	if !x.own() {
		return d.serveHeld(now, t, w, x)
	}
	if refused, _ := d.refuseSuspect(now, t, x.request.ask); refused != nil && !x.request.trial {
		d.endWait(now, w, x.queued.ID, endRefused)
		t.answer(now, x.request, placementAnswer{err: refused})
		return true
	}
	place, refused := d.placeOnEngine(now, t, x.request.ask, d.limitOf(t, &x.request))
	if refused != nil && refused.Code == codeCrowded {
		return false
	}
	if refused != nil {
		d.endWait(now, w, x.queued.ID, endRefused)
		d.answerPlaced(now, t, x.request, place, refused)
		return true
	}
	w.served.Add(now, float64(x.queued.Tokens))
	d.endWait(now, w, x.queued.ID, endPlaced)
	t.answer(now, x.request, placementAnswer{place: place})
	return true
}

// tendQueues serves the queues each tick, and answers held calls in time.
func (d *Daemon) tendQueues(now time.Time, t *tables) []effect {
	d.short.Store(len(t.accounts.Short(now)) > 0)
	if len(t.waiting) == 0 {
		return nil
	}
	d.serveQueues(now, t)
	var effects []effect
	for name, w := range t.waiting {
		effects = append(effects, d.moveWaiters(now, t, w)...)
		d.answerHeldInTime(now, w)
		if w.queue.Len() > 0 || now.Sub(w.stats.emptyAt) < queueQuiet {
			continue
		}
		d.Log.Info("no request waits for engine memory any more", "pool", name, "for", w.stats.emptyAt.Sub(w.stats.since), "waited", w.stats.waited, "longest", w.stats.longest, "refused", w.stats.refused, "evicted", w.stats.evicted)
		delete(t.waiting, name)
	}
	return effects
}
