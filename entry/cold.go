package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/slowstart"
)

// placersTTL is how long the list of the boxes that place requests is used. It changes
// when boxes join, and ranking 200 boxes for each placing would take longer than that.
const placersTTL = time.Second

// cold says that a target of a pool is cold, or may be: by what it says of itself, as
// its news broke off and it may have started again, or, without news, as it could not be
// reached a moment ago.
func cold(now time.Time, pool *routing.Pool, x *fleet.Target) bool {
	if pool.ColdRate <= 0 {
		return false
	}
	return x.Cold(now) || pool.Engine == nil && x.Recovering(now, pool.ColdFor)
}

// coldShareUsed says that a target is cold and has got what this box may send it.
func (d *Daemon) coldShareUsed(now time.Time, t *tables, pool *routing.Pool, x *fleet.Target) bool {
	if x == nil || !cold(now, pool, x) {
		return false
	}
	target := placement.Hash(x.ID)
	return !t.gate.Allow(now, target, d.coldShare(now, t, pool, target))
}

// coldShare is how many requests this box may send to a cold target in a window. A box
// that does not know the others sends none.
func (d *Daemon) coldShare(now time.Time, t *tables, pool *routing.Pool, target uint64) int {
	if !t.membersKnown {
		return 0
	}
	bounds := d.bounds.Load()
	most := slowstart.Limit(pool.ColdRate, bounds.ColdFactor, bounds.ColdExtra)
	return slowstart.Share(most, target, d.Settings.Name, t.placing(now, pool))
}

// placing lists the boxes that place requests for a pool: all, but the hubs only where
// there are hubs and the pool is of engines, or nobody knows all boxes.
func (t *tables) placing(now time.Time, pool *routing.Pool) []string {
	if pool.Engine == nil && !t.hasUnregistered(now) {
		return slices.Collect(maps.Keys(t.members))
	}
	if t.placersAt.IsZero() || now.Sub(t.placersAt) > placersTTL {
		t.placers, t.placersAt = t.hubs(), now
	}
	return t.placers
}

// countCold counts a request that goes to a target, if that is cold.
func (d *Daemon) countCold(now time.Time, t *tables, pool *routing.Pool, x *fleet.Target) {
	if cold(now, pool, x) {
		t.gate.Take(now, placement.Hash(x.ID))
	}
}

// countColdExcluded counts the targets that would take a request if they were not cold.
func (d *Daemon) countColdExcluded(now time.Time, t *tables, ask deliver.PlacementRequest) int {
	n := 0
	for _, x := range t.fleet.Pool(ask.Job.Pool.Name) {
		if x.Available(now) && !slices.Contains(ask.Attempted, x.ID) && d.coldShareUsed(now, t, ask.Job.Pool, x) {
			n++
		}
	}
	return n
}

// coldTargets counts the targets that are cold, or may be.
func (t *tables) coldTargets(now time.Time, table *routing.Table) int {
	if table == nil {
		return 0
	}
	n := 0
	for name, pool := range table.Pools {
		for _, x := range t.fleet.Pool(name) {
			if cold(now, pool, x) {
				n++
			}
		}
	}
	return n
}

// assumeCold takes the targets of a domain that was evacuated for cold: they may have
// turned cold shortly before the end, and their entries tell that up to a heartbeat and
// the list's lag later.
func (d *Daemon) assumeCold(now time.Time, t *tables, domain string) {
	table := d.current.Load()
	if table == nil {
		return
	}
	for name, pool := range table.Pools {
		for _, x := range t.fleet.Pool(name) {
			if x.Domain == domain {
				x.MaybeColdUntil = now.Add(pool.ColdFor)
			}
		}
	}
}
