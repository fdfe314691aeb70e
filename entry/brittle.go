package entry

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
)

// Targets of a pool that are brittle say so in all their answers. That holds for the pool: another start
// of a target is as brittle as the one before, and has not answered yet when the first requests
// come. Boxes gossip it, as most of a large fleet seldom read an answer of a target; permits.go has what
// they do then.

// codeBrittle is the code of refusals while all targets that take work are brittle and have no room.
const codeBrittle = "brittle"

// minNewer is by how much later a target has to have said that it is brittle for that to be news. A message's
// way makes what it tells seem later, and boxes would tell each other so for ever.
const minNewer = time.Second

// brittlePool is a pool with brittle targets.
type brittlePool struct {
	// bears is how many requests a second each target can turn away: the least that one said.
	bears int
	// since is since when they are known to be brittle, saidAt when one last said so.
	since, saidAt time.Time
}

// noteBrittleTargets applies what targets said.
func (d *Daemon) noteBrittleTargets(now time.Time, t *tables) {
	for _, b := range d.notices.BrittleTargets(now) {
		if x := t.fleet.Incarnation(b.Incarnation); x != nil {
			d.noteBrittle(now, t, poolHashOf(x.Pool), brittlePool{b.Bears, now, b.At}, x.ID)
		}
	}
}

// noteBrittle applies what a target or another box said of a pool.
func (d *Daemon) noteBrittle(now time.Time, t *tables, pool uint32, said brittlePool, from string) {
	if now.Sub(said.saidAt) >= notice.BrittleFor {
		return
	}
	known := t.brittlePools[pool]
	if known == nil {
		t.brittlePools[pool] = &said
		d.Log.Info("pool is brittle", "pool", d.poolName(pool), "bears", said.bears, "said_ago", now.Sub(said.saidAt), "known_for", now.Sub(said.since), "told_by", from)
		return
	}
	known.bears = min(known.bears, said.bears)
	if said.since.Before(known.since) {
		known.since = said.since
	}
	if said.saidAt.Sub(known.saidAt) >= minNewer {
		known.saidAt = said.saidAt
	}
}

// updateBrittle brings up to date which pools are brittle, and what requests outside the loop read of it.
func (d *Daemon) updateBrittle(now time.Time, t *tables) []effect {
	d.noteBrittleTargets(now, t)
	maps.DeleteFunc(t.brittlePools, func(pool uint32, b *brittlePool) bool {
		over := now.Sub(b.saidAt) >= notice.BrittleFor
		if over {
			d.Log.Info("pool is brittle no more", "pool", d.poolName(pool), "for", now.Sub(b.since))
		}
		return over
	})
	d.metrics.brittlePools.Set(float64(len(t.brittlePools)))
	d.publishBrittle(now, t)
	return nil
}

// brittleForPeer lists the brittle pools for another box.
func (t *tables) brittleForPeer(now time.Time) []peer.BrittlePool {
	var list []peer.BrittlePool
	for pool, b := range t.brittlePools {
		list = append(list, b.forPeer(now, pool))
	}
	return list
}

// receiveBrittle applies which pools are brittle as another box told in a message made at a time.
func (d *Daemon) receiveBrittle(now, made time.Time, t *tables, m peer.Message) {
	t.heardBox = true
	for _, b := range m.BrittlePools {
		if b.Bears <= 0 || b.SaidMS < 0 || b.KnownMS < 0 {
			d.Log.Warn("brittle pool received from a box is invalid", "from", m.From, "bears", b.Bears, "said_ms", b.SaidMS, "known_ms", b.KnownMS)
			continue
		}
		d.noteBrittle(now, t, b.Pool, brittlePool{b.Bears, made.Add(-time.Duration(b.KnownMS) * time.Millisecond), made.Add(-time.Duration(b.SaidMS) * time.Millisecond)}, m.From)
	}
	if len(m.BrittlePools) > 0 {
		d.publishBrittle(now, t)
	}
}

// poolName returns the name of a pool by its hash, or an empty string.
func (d *Daemon) poolName(hash uint32) string {
	if table := d.current.Load(); table != nil {
		for name := range table.Pools {
			if poolHashOf(name) == hash {
				return name
			}
		}
	}
	return ""
}

// noteTurnedAway counts and logs a request that a target turned away.
func (d *Daemon) noteTurnedAway(now time.Time, m attemptEnded) {
	if m.Verdict != deliver.DidNotRun {
		return
	}
	d.metrics.turnedAway.WithLabelValues(m.Job.Pool.Name).Inc()
	if p := m.Place.Permit; p.Keeper != "" {
		d.Log.Info("brittle target turned a request away", "request", m.Job.ID, "target", m.Place.Target, "rule", m.Place.Rule, "placed_ago", now.Sub(m.Place.PlacedAt), "bears", p.Bears, "said_ago", p.SaidAgo, "slots", m.Place.Slots, "permit_by", p.Keeper, "level", p.Level)
	}
}

// unwilling returns a filter for the targets to which this box must send nothing now: they asked for a
// backoff, or are brittle and had no room a moment ago, or the box that handed the request on named them.
func (d *Daemon) unwilling(now time.Time, request deliver.PlacementRequest) func(*fleet.Target) bool {
	here := d.unwillingHere(now, request)
	if h := request.Job.HandedOn; h != nil && len(h.Unwilling) > 0 {
		return either(here, namedIn(h.Unwilling))
	}
	return here
}

func (d *Daemon) unwillingHere(now time.Time, request deliver.PlacementRequest) func(*fleet.Target) bool {
	switch {
	case request.Only != "":
		return func(x *fleet.Target) bool { return x.ID != request.Only || x.InBackoff(now) }
	case !d.permits.anyPaused() && len(request.Denied) == 0:
		return inBackoff(now)
	}
	urgency := urgencyOf(request.Job)
	return func(x *fleet.Target) bool {
		return x.InBackoff(now) || slices.Contains(request.Denied, x.ID) || d.permits.isPaused(now, incarnationKey(x.Incarnation()), urgency)
	}
}

// alternatives lists targets that a request may go to instead of the one chosen.
func (d *Daemon) alternatives(now time.Time, t *tables, chosen *fleet.Target, skip func(id string) bool) []deliver.Alternative {
	if t.brittlePools[poolHashOf(chosen.Pool)] == nil {
		return nil
	}
	var list []deliver.Alternative
	for _, x := range t.fleet.Pool(chosen.Pool) {
		if len(list) == maxAlternatives {
			break
		}
		if x != chosen && x.Available(now) && !x.Ejected(now) && !skip(x.ID) && !d.isSilent(now, t, x) {
			list = append(list, deliver.Alternative{Target: x.ID, StartedAt: x.StartedAt, Slots: x.Slots})
		}
	}
	return list
}

// engineAlternatives is alternatives for a placement on an engine: the next best first, of those with weights
// that are recent enough. Whether they have memory for it is found out when it is placed there.
func (d *Daemon) engineAlternatives(now time.Time, t *tables, request deliver.PlacementRequest, place deliver.Placement, excluded func(*fleet.Target) bool) []deliver.Alternative {
	job, chosen := request.Job, t.fleet.Target(place.Target)
	if chosen == nil || t.brittlePools[poolHash(job.Pool)] == nil {
		return nil
	}
	minVersion := t.rolloutOf(job.Model).requiredVersion(now, d.bounds.Load().WeightsWithin)
	skip := d.skip(now, t, request, func(x *fleet.Target) bool {
		return excluded(x) || x.Versions[job.Model] < max(minVersion, 1) || d.softwareForbids(now, t, request, x)
	})
	list := d.alternatives(now, t, chosen, skip)
	if at := slices.IndexFunc(list, func(a deliver.Alternative) bool { return a.Target == place.NextBest }); at > 0 {
		list[0], list[at] = list[at], list[0]
	}
	return list
}

// maxAlternatives bounds the targets among which the box that keeps them chooses.
const maxAlternatives = 7

// refuseBrittle refuses a request for which only brittle targets without room are left.
func (d *Daemon) refuseBrittle(now time.Time, t *tables, request deliver.PlacementRequest) *refusal.Refusal {
	unwilling := d.unwilling(now, request)
	full := func(x *fleet.Target) bool { return x.Available(now) && !x.InBackoff(now) && unwilling(x) }
	if !slices.ContainsFunc(t.fleet.Pool(request.Job.Pool.Name), full) {
		return nil
	}
	return refuseNoRoom(request.Job)
}

// refusePaused refuses a request, without a call, while all targets that it could go to are brittle and had no
// room a moment ago.
func (d *Daemon) refusePaused(now time.Time, t *tables, request deliver.PlacementRequest) error {
	job := request.Job
	if request.Only != "" || !d.permits.anyPaused() {
		return nil
	}
	urgency, regions, paused := urgencyOf(job), allowedRegions(job), false
	for _, x := range t.fleet.Pool(job.Pool.Name) {
		if !x.Available(now) || slices.Contains(request.Attempted, x.ID) || !t.inRegions(regions, x.Domain) {
			continue
		}
		if !d.permits.isPaused(now, incarnationKey(x.Incarnation()), urgency) {
			return nil
		}
		paused = true
	}
	if !paused {
		return nil
	}
	refused := refuseNoRoom(job)
	d.notePlacement(now, request, refused)
	return refused.WithRetryAfter(d.retryAfterRefusal(now, t, refused.Code, job))
}

// refuseNoRoom refuses a request for which brittle targets have no room.
func refuseNoRoom(job *deliver.Job) *refusal.Refusal {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, codeBrittle, "the targets of %s that take work are brittle and have no room for another request", job.Pool.Name)
}
