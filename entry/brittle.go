package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/brittle"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/refusal"
)

// codeBrittle is the code of refusals while all targets that take work are brittle and have this
// box's share of requests.
const codeBrittle = "brittle"

// engineShare is how many requests of a box may wait for their first event at a brittle engine,
// whatever that bears: it runs as many as its memory holds, which placement sees to.
const engineShare = 2

// hasBrittleShare reports whether a target is brittle and has this box's share of requests.
func (d *Daemon) hasBrittleShare(now time.Time, t *tables, x *fleet.Target) bool {
	target, outstanding := d.brittleTarget(now, t, x)
	return target.Bears > 0 && !t.brittle.Allows(now, incarnationKey(x.Incarnation()), target, outstanding, x.InFlight)
}

// brittleTarget describes a target to the limiter, with this box's requests there that count; Bears is
// zero unless the target is brittle.
func (d *Daemon) brittleTarget(now time.Time, t *tables, x *fleet.Target) (target brittle.Target, outstanding int) {
	bears := d.notices.Brittle(now, x.Incarnation())
	if bears == 0 {
		return brittle.Target{}, 0
	}
	boxes := t.boxCount(now)
	target, outstanding = brittle.Target{Bears: bears, Places: x.Slots, Boxes: boxes}, x.InFlight
	if len(x.Versions) > 0 {
		target.Places, outstanding = max(engineShare*boxes-bears, 0), x.Waiting()
	}
	return target, outstanding
}

// noteTurnedAway counts a request that a target turned away.
func (d *Daemon) noteTurnedAway(now time.Time, t *tables, m attemptEnded) {
	if m.Verdict != deliver.DidNotRun {
		return
	}
	d.metrics.turnedAway.WithLabelValues(m.Job.Pool.Name).Inc()
	if d.notices.Brittle(now, incarnationOf(m.Place)) == 0 {
		return
	}
	inFlight := 0
	if x := t.fleet.Incarnation(incarnationOf(m.Place)); x != nil {
		target, outstanding := d.brittleTarget(now, t, x)
		inFlight = x.InFlight - 1
		d.Log.Info("brittle target turned a request away", "request", m.Job.ID, "target", x.ID, "rule", m.Place.Rule, "placed_ago", now.Sub(m.Place.PlacedAt), "bears", target.Bears, "places", target.Places, "boxes", target.Boxes, "own", outstanding)
	}
	t.brittle.TurnedAway(now, placementIncarnation(m.Place), inFlight)
}

// unwilling returns a filter for the targets to which this box must send nothing now: they asked for a
// backoff, or are brittle and have its share.
func (d *Daemon) unwilling(now time.Time, t *tables) func(*fleet.Target) bool {
	return func(x *fleet.Target) bool { return x.InBackoff(now) || d.hasBrittleShare(now, t, x) }
}

// refuseBrittle refuses a request for which only brittle targets are left that have this box's share.
// One to an engine may wait.
func (d *Daemon) refuseBrittle(now time.Time, t *tables, request deliver.PlacementRequest) *refusal.Refusal {
	pool := request.Job.Pool
	full := func(x *fleet.Target) bool {
		return x.Available(now) && !x.InBackoff(now) && d.hasBrittleShare(now, t, x)
	}
	if !slices.ContainsFunc(t.fleet.Pool(pool.Name), full) {
		return nil
	}
	code := codeBrittle
	if pool.Engine != nil {
		code = codeCrowded
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, code, "the targets of %s that take work are brittle and have this box's share of requests", pool.Name)
}
