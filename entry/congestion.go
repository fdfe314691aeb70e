package entry

import (
	"time"

	"github.com/thymewind/thymewind/congestion"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
)

// congestion returns the gauge of a plain service's response times.
func (t *tables) congestion(pool string) *congestion.Gauge {
	g := t.congestionByPool[pool]
	if g == nil {
		g = &congestion.Gauge{}
		t.congestionByPool[pool] = g
	}
	return g
}

// refuseCongested refuses a share of the requests to a service whose answers queue, or returns
// nil. A request that was sent before goes on, as it has already waited. Permits keep the queues of
// brittle targets short, so that late answers of those are no sign of a queue.
func (d *Daemon) refuseCongested(t *tables, request deliver.PlacementRequest) *refusal.Refusal {
	job := request.Job
	g := t.congestion(job.Pool.Name)
	if len(request.Attempted) > 0 || t.brittlePools[poolHashOf(job.Pool.Name)] != nil || !g.Shed(job.Route.Goal, d.random()) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, 503, "congested", "answers of %s take %v, as they queue, of a goal of %v", job.Pool.Name, g.Mean().Round(time.Millisecond), job.Route.Goal)
}

// logCongestion logs when services become congested and when they recover.
func (d *Daemon) logCongestion(t *tables) {
	table := d.current.Load()
	if table == nil {
		return
	}
	for pool, g := range t.congestionByPool {
		now := g.ShedShare(table.Goal(pool)) > 0
		if now == t.congestionLogged[pool] {
			continue
		}
		t.congestionLogged[pool] = now
		d.Log.Info("service congestion changed", "pool", pool, "congested", now, "mean", g.Mean(), "refused_share", g.ShedShare(table.Goal(pool)))
	}
}
