package entry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/nearest"
)

// tick is how often the systems run. Nothing that they do is more urgent.
const tick = 100 * time.Millisecond

// system runs over the tables each tick and returns effects.
type system func(now time.Time, t *tables) []effect

// replacedFor is how long targets that were replaced are remembered. Their
// entries go after some seconds, or when the table service is back.
const replacedFor = 5 * time.Minute

// sweep forgets what is over: connections, expectations, lapsed entries.
func (d *Daemon) sweep(now time.Time, t *tables) []effect {
	for _, id := range t.fleet.Lapsed(now) {
		d.Log.Warn("target did not come back after the table service did", "target", id)
		d.targetEnded(now, t, lifeText(t.fleet.Target(id).Life()), "the list")
		d.drop(t, id)
	}
	if now.Before(t.due.sweep) {
		return nil
	}
	t.due.sweep = now.Add(time.Second)
	d.releaseHeld(now, t)
	d.endLostEvacuations(now, t)
	d.endLostCanaries(now, t)
	t.directory.Expire(now)
	t.fleet.Expire(now.Add(-replacedFor))
	t.reads.Expire(now)
	t.gate.Expire(now)
	t.crashes.Expire(now)
	t.quarantine.Expire(now)
	d.notices.Expire(now)
	d.expireQuotas(t)
	t.expireTrials()
	t.expireOver(now)
	for _, w := range t.weights {
		w.names.Trim()
		maps.DeleteFunc(w.barred, func(_ string, until time.Time) bool { return now.After(until) })
	}
	maps.DeleteFunc(t.silences, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > silenceFor })
	d.noteSlow(now, t)
	d.noteStrain(t)
	d.noteCongestion(t)
	d.Sweep(now)
	d.count(now, t)
	d.countTables(t)
	d.fitInUse(now, t)
	return d.follow(now, t)
}

// lookEvery is how often callers' connections are asked whether they are closed. Two
// looks lie within the half second after which the platform's users count what still
// goes on for a caller that left. One look at all costs less than a goroutine and a timer for
// each request.
const lookEvery = 2 * tick

// lookAtCallers ends requests whose callers left unseen by the HTTP server.
func (d *Daemon) lookAtCallers(now time.Time, t *tables) []effect {
	if now.Before(t.due.callers) {
		return nil
	}
	t.due.callers = now.Add(lookEvery)
	d.server.Look()
	return nil
}

// probeEvery is how often a silent target is asked for its health. Each probe
// has its price, and until one succeeds the target gets no work.
const probeEvery = 500 * time.Millisecond

// probeSilent asks services that say nothing for their health. Engines answer
// for their news all the time and need no probe.
func (d *Daemon) probeSilent(now time.Time, t *tables) []effect {
	table := d.current.Load()
	if table == nil || now.Before(t.due.probe) {
		return nil
	}
	t.due.probe = now.Add(probeEvery)
	var effects []effect
	for name, pool := range table.Pools {
		if pool.Engine != nil || pool.HealthPath == "" {
			continue
		}
		for _, x := range t.fleet.Pool(name) {
			if t.probing[x.ID] || x.Leaving || x.Evacuated || x.BacksOff(now) || !d.withinQuota(now, t, x) || (!x.Avoided(now) && !nearest.Silent(now, x)) {
				continue
			}
			t.probing[x.ID] = true
			d.takeQuota(now, t, x)
			effects = append(effects, probe{target: x.ID, path: pool.HealthPath, at: x.Address, life: x.Life(), asked: now})
		}
	}
	return effects
}
