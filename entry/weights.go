package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/rollout"
)

// Parameters of weight rollouts.
const (
	// maxLoadTime is the maximum time for which a target is assumed to be loading. A load takes
	// 1.3 s once the target's running requests have ended.
	maxLoadTime = 6 * time.Second
	// loadPollInterval is the interval at which a loading target is polled.
	loadPollInterval = 200 * time.Millisecond
	// turnedAwayPause is how long a target that turned a request away during a rollout gets no
	// other.
	turnedAwayPause = 300 * time.Millisecond
	// leaseRetryInterval is the interval at which a box without the lease tries to get it while
	// there is work to do.
	leaseRetryInterval = 300 * time.Millisecond
	// leaseRetryJitter is the jitter of that interval, so that the boxes' attempts are spread.
	leaseRetryJitter = 200 * time.Millisecond
	// concurrentLoads targets, or concurrentLoadShare of all if that is more, load at the same
	// time. More would slow each load down and crowd the other engines. The platform's pools of
	// 9, 90 and 112 engines load 2, 18 and 22 at full speed.
	concurrentLoads     = 2
	concurrentLoadShare = 0.2
	// handoverMargin is added to the platform's bound between two lease holders' orders to one
	// target.
	handoverMargin = 300 * time.Millisecond
)

// ordersApart is the least time between two lease holders' orders to one target.
func (d *Daemon) ordersApart() time.Duration { return d.bounds.Load().Takeover + handoverMargin }

// rollWeights keeps all engines on the newest weights if this box holds the lease, and tries to
// get the lease while there is work to do.
func (d *Daemon) rollWeights(now time.Time, t *tables) []effect {
	var effects []effect
	work := false
	for _, model := range slices.Sorted(maps.Keys(t.weights)) {
		w := t.weights[model]
		if at := (scan{t.listVersion, w.newestVersion}); t.listVersion != 0 && at == w.upToDateScan && !w.hasStaleParts(t) {
			w.reclaim.SetFloor(now, w.minVersion)
			continue
		}
		replicas := d.replicas(now, t, model, w)
		least := rollout.MinVersion(replicas)
		w.reclaim.SetFloor(now, least)
		behind := rollout.Behind(w.newestVersion, replicas) > 0
		if !behind && !w.hasStaleParts(t) {
			w.upToDateScan, w.minVersion = scan{t.listVersion, w.newestVersion}, least
			continue
		}
		work = true
		epoch, _, held := d.lease.Held()
		if !held || w.announcing || !t.mayOrder(epoch) || now.Before(w.announceRetryAt) {
			continue
		}
		effects = append(effects, d.freeStale(now, t, model, w)...)
		if w.planned = d.plan.Next(w.newestVersion, replicas); len(w.planned) > 0 || behind && w.versionLog.Missing(w.newestVersion, &t.tableClock) {
			effects = append(effects, d.announceRollout(now, t, model, w, epoch))
		}
	}
	if work {
		effects = append(effects, d.stepLease(now, t)...)
	}
	return effects
}

// mayOrder reports whether the rows of the lease's previous holder were read. Until then this box
// neither orders targets nor replaces a row.
func (t *tables) mayOrder(epoch uint64) bool { return t.readEpoch == epoch }

// replicas lists the engines that serve a model.
func (d *Daemon) replicas(now time.Time, t *tables, model string, w *modelRollout) []rollout.Replica {
	table := d.current.Load()
	if table == nil {
		return nil
	}
	var list []rollout.Replica
	for name, pool := range table.Pools {
		if pool.Engine == nil {
			continue
		}
		for _, x := range t.fleet.Pool(name) {
			version, serves := x.Versions[model]
			if !serves || !x.Active(now) {
				continue
			}
			list = append(list, rollout.Replica{
				ID: x.ID, Version: version, Loading: w.ordered[x.ID], Busy: x.InFlight, Barred: now.Before(w.orderRetryAt[x.ID]) || t.orders.Barred(now, x.ID),
			})
		}
	}
	slices.SortFunc(list, func(a, b rollout.Replica) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (d *Daemon) stepLease(now time.Time, t *tables) []effect {
	if d.spoke.Load() || t.leaseStepping || !d.lease.Due() || now.Before(t.due.lease) {
		return nil
	}
	t.leaseStepping = true
	return []effect{stepLease{t.readEpoch}}
}

func (d *Daemon) leaseStepped(now time.Time, t *tables, m leaseStepped) {
	t.leaseStepping = false
	epoch, _, held := d.lease.Held()
	if held && epoch != t.readEpoch && m.read {
		t.readEpoch = epoch
		d.barRecentlyOrdered(now, t, m.rows)
	}
	t.due.lease = now.Add(leaseRetryInterval + d.jitter(leaseRetryJitter))
	if held {
		t.due.lease = now
	}
	if held != t.leaseHeld || m.err != nil {
		d.Log.Info("lease of the weights", "held", held, "epoch", epoch, "err", m.err)
	}
	t.leaseHeld = held
}
