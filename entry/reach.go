package entry

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// A box that loses its links to a pool's targets can't tell that by any one of them from a target
// that ended. Package reach judges by all that were tried; boxes tell each other which pools they
// don't reach, so that a lost link is distinguished from a pool that is down.

// heard records that something was received from a target.
func (t *tables) heard(now time.Time, x *fleet.Target) {
	x.Heard(now)
	t.reach.Heard(now, x.Pool)
}

// unreachable records that a target could not be reached.
func (t *tables) unreachable(now time.Time, x *fleet.Target) {
	x.Fail(now)
	t.reach.Failed(now, x.Pool, x.ID)
}

// callFailed records that a call to a target failed. A target that rejected it was reached.
func (t *tables) callFailed(now time.Time, x *fleet.Target, err error) {
	if errors.Is(err, ErrRejected) || errors.Is(err, ErrUnhealthy) {
		x.Fail(now)
		return
	}
	t.unreachable(now, x)
}

// lost reports whether this box seems to reach no target of a pool.
func (t *tables) lost(now time.Time, pool string) bool {
	return t.reach.Lost(now, pool, len(t.fleet.Pool(pool)))
}

// noteReach logs and counts pools that this box stopped or began to reach.
func (d *Daemon) noteReach(now time.Time, t *tables) []effect {
	table := d.current.Load()
	if table == nil {
		return nil
	}
	for name := range table.Pools {
		_, before := t.lostPools[name]
		lost := t.lost(now, name)
		if lost == before {
			continue
		}
		targets, heardAt := t.reach.FailedTargets(name)
		fields := []any{"pool", name, "targets", len(t.fleet.Pool(name)), "failed", len(targets), "reached_by", t.boxesReaching(name)}
		if !lost {
			d.Log.Info("pool is reached again", append(fields, "lost_for", now.Sub(t.lostPools[name]))...)
			delete(t.lostPools, name)
			continue
		}
		if !heardAt.IsZero() {
			fields = append(fields, "heard_ago", now.Sub(heardAt))
		}
		d.Log.Warn("pool is out of this box's reach", fields...)
		t.lostPools[name] = now
	}
	maps.DeleteFunc(t.lostPools, func(name string, _ time.Time) bool { return table.Pools[name] == nil })
	d.metrics.lostPools.Set(float64(len(t.lostPools)))
	return nil
}

// probeLost probes the targets of pools out of this box's reach in turn, one of a pool at a time,
// unless their cache events are read anyway: no request shows when the links are back.
func (d *Daemon) probeLost(now time.Time, t *tables) []effect {
	if len(t.lostPools) == 0 || now.Before(t.due.lostProbe) {
		return nil
	}
	t.due.lostProbe = now.Add(probeInterval)
	var effects []effect
	for _, name := range t.lostPoolNames() {
		targets := t.fleet.Pool(name)
		if len(targets) == 0 || slices.ContainsFunc(targets, func(x *fleet.Target) bool { return t.probing[x.ID] || t.watched[x.ID] != nil }) {
			continue
		}
		t.lostProbes++
		x := targets[t.lostProbes%len(targets)]
		if p, ok := d.probeFor(now, t, x); ok {
			p.suspected = false
			t.probing[x.ID] = true
			effects = append(effects, p)
		}
	}
	return effects
}

// lostPoolNames lists the pools that this box does not reach, for other boxes.
func (t *tables) lostPoolNames() []string { return slices.Sorted(maps.Keys(t.lostPools)) }

// receiveReach records which pools another box does not reach.
func (t *tables) receiveReach(m peer.Message) {
	if x := t.members[m.From]; x != nil {
		x.lostPools = m.LostPools
	}
}

// otherHubReaches reports whether a hub, or in a small fleet any other box, answers and may reach a
// pool that this box does not.
func (t *tables) otherHubReaches(now time.Time, pool string) bool {
	return slices.ContainsFunc(t.hubs(), func(name string) bool {
		m := t.members[name]
		return name != t.self && m.answersCalls(now) && !slices.Contains(m.lostPools, pool)
	})
}

// boxesReaching counts the other boxes that answer and have not reported a pool as out of their
// reach.
func (t *tables) boxesReaching(pool string) int {
	n := 0
	for name, m := range t.members {
		if name != t.self && !m.unanswered && m.address.IsValid() && !slices.Contains(m.lostPools, pool) {
			n++
		}
	}
	return n
}
