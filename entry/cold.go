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

// placersTTL is how long the list of the boxes that place requests is cached. The list changes
// when boxes join; ranking 200 boxes for each request would take longer than placing it.
const placersTTL = time.Second

// cold reports whether a target of a pool is cold or may be: because its entry says so, because
// its domain's evacuation has just ended, because its cache events broke off and it may have
// restarted, or, for a target without cache events, because it was unreachable a moment ago.
func cold(now time.Time, pool *routing.Pool, x *fleet.Target) bool {
	if pool.ColdRate <= 0 {
		return false
	}
	return x.Cold(now) || pool.Engine == nil && x.Recovering(now, pool.ColdFor)
}

// coldShareUsed reports whether a target is cold and this box has sent it its share.
func (d *Daemon) coldShareUsed(now time.Time, t *tables, pool *routing.Pool, x *fleet.Target) bool {
	if x == nil || !cold(now, pool, x) {
		return false
	}
	target := placement.Hash(x.ID)
	return !t.slowStart.Allow(now, target, d.coldShare(now, t, pool, target))
}

// coldShare is how many requests this box may send to a cold target in a window. A box that
// does not know the others may send none.
func (d *Daemon) coldShare(now time.Time, t *tables, pool *routing.Pool, target uint64) int {
	if !t.membersKnown {
		return 0
	}
	bounds := d.bounds.Load()
	most := slowstart.Limit(pool.ColdRate, bounds.ColdFactor, bounds.ColdExtra)
	return slowstart.Share(most, target, d.Settings.Name, t.placing(now, pool))
}

// placing lists the boxes that place requests for a pool: all of them, or only the hubs if the
// fleet has hubs and the pool is of engines or no box knows all others.
func (t *tables) placing(now time.Time, pool *routing.Pool) []string {
	if pool.Engine == nil && !t.hasUnlisted(now) {
		return slices.Collect(maps.Keys(t.members))
	}
	if t.placersAt.IsZero() || now.Sub(t.placersAt) > placersTTL {
		t.placers, t.placersAt = t.hubs(), now
	}
	return t.placers
}

// countCold counts a request sent to a target, if the target is cold.
func (d *Daemon) countCold(now time.Time, t *tables, pool *routing.Pool, x *fleet.Target) {
	if cold(now, pool, x) {
		t.slowStart.Take(now, placement.Hash(x.ID))
	}
}

// countColdExcluded counts the targets that would take a request if they were not cold.
func (d *Daemon) countColdExcluded(now time.Time, t *tables, request deliver.PlacementRequest) int {
	n := 0
	for _, x := range t.fleet.Pool(request.Job.Pool.Name) {
		if x.Available(now) && !slices.Contains(request.Attempted, x.ID) && d.coldShareUsed(now, t, request.Job.Pool, x) {
			n++
		}
	}
	return n
}

// coldTargets counts the targets that are cold or may be.
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

// assumeCold treats the targets of a domain whose evacuation has ended as cold. They may have
// restarted shortly before the end, and their entries show that only after up to a heartbeat
// plus the lag of the list.
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
