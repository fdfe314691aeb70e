package entry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/leastrequest"
)

// tick is how often the systems run. Nothing that they do needs to happen sooner.
const tick = 100 * time.Millisecond

// system runs over the tables each tick and returns effects.
type system func(now time.Time, t *tables) []effect

// replacedRetention is how long replaced targets are remembered. Their entries disappear
// after some seconds, or when the table service is back.
const replacedRetention = 5 * time.Minute

// sweep removes expired state: connections, expectations, lapsed entries.
func (d *Daemon) sweep(now time.Time, t *tables) []effect {
	for _, id := range t.fleet.Lapsed(now) {
		d.Log.Warn("target did not return after the table service was back", "target", id)
		d.incarnationEnded(now, t, incarnationKey(t.fleet.Target(id).Incarnation()), "the list")
		d.removeTarget(t, id)
	}
	if now.Before(t.due.sweep) {
		return nil
	}
	t.due.sweep = now.Add(time.Second)
	d.releaseHeld(now, t)
	d.expireLostEvacuations(now, t)
	d.stopLostCanaries(now, t)
	t.directory.Expire(now)
	t.fleet.Expire(now.Add(-replacedRetention))
	t.prefillBacklog.Expire(now)
	t.slowStart.Expire(now)
	t.crashes.Expire(now)
	t.quarantine.Expire(now)
	d.expireParts(now, t)
	d.expirePermits(now)
	d.notices.Expire(now)
	d.expireQuotas(t)
	t.expireQuotaPauses(now)
	t.expireTrials()
	t.returning.Expire(now)
	t.expireEnded(now)
	t.orders.Expire(now)
	for _, w := range t.weights {
		w.versionLog.Trim()
		maps.DeleteFunc(w.orderRetryAt, func(_ string, at time.Time) bool { return now.After(at) })
	}
	maps.DeleteFunc(t.silences, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > silenceTTL })
	d.logSlowStores(now, t)
	t.slowEngines.Expire(now)
	d.noteSlowEngines(now, t)
	d.logOverload(t)
	d.logCongestion(t)
	d.Sweep(now)
	d.handoff.Sweep()
	d.recountBoxes(now, t)
	d.countTables(t)
	d.resizeInUse(now, t)
	return d.reconcileSources(now, t)
}

// reapInterval is how often requests are checked for callers that disconnected. Two checks
// fit into the half second after which the platform's users count what still runs for a
// caller that left. One check of all costs less than a goroutine and a timer for each
// request.
const reapInterval = 2 * tick

// reapRequests ends requests whose callers disconnected without the HTTP server noticing.
func (d *Daemon) reapRequests(now time.Time, t *tables) []effect {
	if now.Before(t.due.reap) {
		return nil
	}
	t.due.reap = now.Add(reapInterval)
	d.server.Reap()
	return nil
}

// probeInterval is how often a silent target's health is probed. Each probe costs
// something, and until one succeeds the target gets no work.
const probeInterval = 500 * time.Millisecond

// probeSilent probes the health of silent services. Engines answer polls for cache events
// all the time and need no probe.
func (d *Daemon) probeSilent(now time.Time, t *tables) []effect {
	table := d.current.Load()
	if table == nil || now.Before(t.due.probe) {
		return nil
	}
	t.due.probe = now.Add(probeInterval)
	var effects []effect
	for name, pool := range table.Pools {
		if pool.Engine != nil || pool.HealthPath == "" {
			continue
		}
		for _, x := range t.fleet.Pool(name) {
			if t.probing[x.ID] || x.Leaving || x.Evacuated || x.InBackoff(now) || !d.withinQuota(now, t, x) || (!x.Ejected(now) && !leastrequest.Silent(now, x)) {
				continue
			}
			t.probing[x.ID] = true
			d.takeQuota(now, t, x)
			effects = append(effects, probe{target: x.ID, path: pool.HealthPath, address: x.Address, incarnation: x.Incarnation(), pool: name, slots: x.Slots, decidedAt: now})
		}
	}
	return effects
}
