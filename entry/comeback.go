package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/retryafter"
	"github.com/thymewind/thymewind/routing"
)

// What keeps callers from being served for a while. Of a pool, noTarget and its
// name.
const (
	noProof         = "no proof of the configuration"
	noConfiguration = "no configuration"
	noTarget        = "no target of "
)

// retryAfter says when a caller should return who was refused with a code.
func (d *Daemon) retryAfter(code string, job *deliver.Job) time.Duration {
	now, urgency := d.now(), priorityOf(job)
	switch code {
	case "crowded", "warming":
		return d.retryEstimator.MemoryFull(job.Route.Goal, urgency)
	case "congested", codeLimited:
		return d.retryEstimator.Congested(urgency)
	case "no_target", "old_weights":
		return d.retryEstimator.DuringOutage(now, noTarget+job.Pool.Name, urgency)
	case "no_configuration":
		return d.retryEstimator.DuringOutage(now, noConfiguration, urgency)
	case "stale":
		if d.otherBoxAdmits(now) {
			return d.retryEstimator.Soon(urgency)
		}
		d.retryEstimator.Started(now, noProof)
		return d.retryEstimator.DuringOutage(now, noProof, urgency)
	case "no_time", "no_model", "over_memory", codeQuarantined, codeRegion:
		return retryafter.MaxOutage
	}
	return d.retryEstimator.Soon(urgency)
}

// retryAfterRefusal is comeBack where the cause may be one whose end is known.
func (d *Daemon) retryAfterRefusal(now time.Time, t *tables, code string, job *deliver.Job) time.Duration {
	if code == codeBackoff {
		return d.retryEstimator.Ends(t.backoffLeft(now, job.Pool.Name), priorityOf(job))
	}
	return d.retryAfter(code, job)
}

// priorityOf returns a job's rank, or the first rank if its route is not known.
func priorityOf(job *deliver.Job) int {
	if job.Route == nil {
		return 0
	}
	return routing.Priority(job.Route, job.Account)
}

// notePlacement notes since when a pool has no target that takes work. That none is
// left beside those that a request was sent to says nothing of the pool.
func (d *Daemon) notePlacement(now time.Time, ask deliver.PlacementRequest, refused *refusal.Refusal) {
	pool := ask.Job.Pool.Name
	switch {
	case refused != nil && refused.Code == codeBackoff: // Neither: the end is known by itself.
	case refused == nil || refused.Code != "no_target" && refused.Code != "old_weights":
		if lasted := d.retryEstimator.Ended(now, noTarget+pool); lasted > 0 {
			d.Log.Info("pool has targets again", "pool", pool, "without_for", lasted)
		}
	case len(ask.Attempted) == 0:
		d.retryEstimator.Started(now, noTarget+pool)
	}
}

// logAdmitting notes that callers who need a key are admitted again. How long they
// were refused counts, not the outage of the table service behind it: it begins
// seconds later.
func (d *Daemon) logAdmitting(now time.Time) {
	if !d.keysFresh(now) {
		return
	}
	if lasted := d.retryEstimator.Ended(now, noProof); lasted > 0 {
		d.Log.Info("callers with keys are admitted again", "refused_for", lasted)
	}
}

// refusesKeyed says that this box refuses callers who need a key.
func (d *Daemon) refusesKeyed(now time.Time) bool {
	return d.current.Load() == nil || !d.keysFresh(now)
}

// receiveAdmitting notes that another box admits callers. One that is shut as well says
// nothing of the others.
func (d *Daemon) receiveAdmitting(now time.Time, m peer.Message) {
	if !m.Stale {
		d.otherReadyAt.Store(&now)
	}
}

// otherBoxAdmits says that another box admits callers, so that one refused here
// finds it by returning at once: a box that refuses is not ready, and gets no new
// connections.
func (d *Daemon) otherBoxAdmits(now time.Time) bool {
	at := d.otherReadyAt.Load()
	return at != nil && now.Sub(*at) < peerLoadTTL
}
