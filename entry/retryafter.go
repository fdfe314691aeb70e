package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/retryafter"
	"github.com/thymewind/thymewind/routing"
)

// Causes for which callers are refused for a while. The pool's name follows noTarget.
const (
	noProof         = "no proof of the configuration"
	noConfiguration = "no configuration"
	noTarget        = "no target of "
)

// retryAfter is the time after which a caller refused with a code should return.
func (d *Daemon) retryAfter(code string, job *deliver.Job) time.Duration {
	now, priority := d.now(), priorityOf(job)
	switch code {
	case codeCrowded, "warming":
		return d.retryEstimator.MemoryFull(job.Route.Goal, priority)
	case "congested", codeLimited:
		return d.retryEstimator.Congested(priority)
	case "no_target", "old_weights", codeLost:
		return d.retryEstimator.DuringOutage(now, noTarget+job.Pool.Name, priority)
	case "no_configuration":
		return d.retryEstimator.DuringOutage(now, noConfiguration, priority)
	case "stale":
		if d.otherBoxAdmits(now) {
			return d.retryEstimator.Soon(priority)
		}
		d.retryEstimator.Started(now, noProof)
		return d.retryEstimator.DuringOutage(now, noProof, priority)
	case "no_time", "no_model", "over_memory", codeQuarantined, codeRegion, codeOriginGone:
		return retryafter.MaxOutage
	}
	return d.retryEstimator.Soon(priority)
}

// retryAfterRefusal is retryAfter, but uses the known end of a backoff.
func (d *Daemon) retryAfterRefusal(now time.Time, t *tables, code string, job *deliver.Job) time.Duration {
	if code == codeBackoff {
		return d.retryEstimator.Ends(t.backoffLeft(now, job.Pool.Name), priorityOf(job))
	}
	return d.retryAfter(code, job)
}

// priorityOf returns a job's priority rank, or the first rank if its route is not known.
func priorityOf(job *deliver.Job) int {
	if job.Route == nil {
		return 0
	}
	return routing.Priority(job.Route, job.Account)
}

// notePlacement notes since when a pool has had no target that takes work. A request for which
// no target is left besides those that it was sent to says nothing about the pool.
func (d *Daemon) notePlacement(now time.Time, request deliver.PlacementRequest, refused *refusal.Refusal) {
	pool := request.Job.Pool.Name
	switch {
	case refused != nil && refused.Code == codeBackoff: // Neither case applies: the end of a backoff is known.
	case refused == nil || refused.Code != "no_target" && refused.Code != "old_weights":
		if lasted := d.retryEstimator.Ended(now, noTarget+pool); lasted > 0 {
			d.Log.Info("pool has usable targets again", "pool", pool, "without_for", lasted)
		}
	case len(request.Attempted) == 0:
		d.retryEstimator.Started(now, noTarget+pool)
	}
}

// logAdmitting notes that callers who need a key are admitted again. What counts is how long
// they were refused, not the outage of the table service that caused it, as refusals begin
// seconds after the outage.
func (d *Daemon) logAdmitting(now time.Time) {
	if !d.keysFresh(now, d.current.Proved()) {
		return
	}
	if lasted := d.retryEstimator.Ended(now, noProof); lasted > 0 {
		d.Log.Info("callers with keys are admitted again", "refused_for", lasted)
	}
}

// admitsKeyed reports whether this box has a configuration that is not superseded, and may trust its
// keys.
func (d *Daemon) admitsKeyed(now time.Time) bool {
	proved := d.current.Proved()
	return proved != nil && proved.Table != nil && d.configurationCurrent(now, proved) && d.keysFresh(now, proved)
}

// refusesKeyed reports whether this box refuses callers who need a key.
func (d *Daemon) refusesKeyed(now time.Time) bool {
	return !d.admitsKeyed(now)
}

// receiveAdmitting notes that another box admits callers. A box that refuses them too says
// nothing about the others.
func (d *Daemon) receiveAdmitting(now time.Time, m peer.Message) {
	if !m.Stale {
		d.otherReadyAt.Store(&now)
	}
}

// otherBoxAdmits reports whether another box admits callers. A caller refused here reaches it
// by returning at once, as a box that refuses is not ready and gets no new connections.
func (d *Daemon) otherBoxAdmits(now time.Time) bool {
	at := d.otherReadyAt.Load()
	return at != nil && now.Sub(*at) < peerLoadTTL
}
