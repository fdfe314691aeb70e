package entry

import (
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// How far engines' memory is filled, as shares of it. Beyond it requests wait
// for others to end, and parts that were kept are read again, which makes all of
// them slower.
const (
	fillLeast = 0.92
	fillMost  = 1.15
)

// usualWeight is how much a request changes what its route's requests are taken
// to need: about the last forty count.
const usualWeight = 0.05

// room is what a request is admitted by.
type room struct {
	// fill is the share of an engine's memory up to which the request is
	// admitted, if it takes up as much as its route's requests do as a rule.
	fill float64
	// usual is how many tokens they take up. Going by the request's own size
	// instead had a fifth of the longest prompts refused and one in fifty of the
	// others, while a place for a short one is one less for the next long one.
	usual int
}

// admits says that an engine with some memory taken up has room for a request of so
// many tokens.
func (r room) admits(taken, tokens, capacity int) bool {
	share := func(tokens int) float64 { return float64(taken+tokens) / float64(capacity) }
	return capacity <= 0 || share(r.usual) <= r.fill && share(tokens) <= fillMost
}

// room is what a request is admitted by: the least urgent kind of a pool makes
// room for the others, the more so while answers are late.
func (d *Daemon) room(t *tables, job *deliver.Job) room {
	r := room{fill: fillMost, usual: d.usual(t, job)}
	if routing.Urgency(job.Route, job.Account) > 0 && job.Route.Urgency >= d.current.Load().LeastUrgent(job.Pool.Name) {
		r.fill = d.fillLeast - d.reserve(t.strain(job.Pool.Name))
	}
	return r
}

// usualTokens returns what the requests of a job's route take up as a rule, and
// learns from this one.
func (t *tables) usualTokens(job *deliver.Job) int {
	own := float64(job.Input + job.Output)
	usual, known := t.sizes[job.Route.Name]
	if !known {
		usual = own
	}
	usual += (own - usual) * usualWeight
	t.sizes[job.Route.Name] = usual
	return int(usual)
}

// refuseCrowded returns why an engine can't take a request more, or nil.
func (d *Daemon) refuseCrowded(now time.Time, t *tables, x *fleet.Target, ask affinity.Ask, r room) *refusal.Refusal {
	running, _ := d.load(now, t, x)
	if r.admits(running, ask.Tokens, ask.Capacity) {
		return nil
	}
	share := func(tokens int) float64 { return float64(running+tokens) / float64(ask.Capacity) }
	return refusal.New(refusal.DidNotRun, 503, "crowded",
		"the engines' memory is taken up: %.2f at the best of them, %.2f with a usual request, of %.2f", share(ask.Tokens), share(r.usual), r.fill)
}

// roomOf returns what another box's request is admitted by.
func roomOf(ask *peer.PlaceAsk) room { return room{ask.Fill, ask.Usual} }

// noteStrain logs the pools whose answers are late so often that the least urgent
// get less room, and those that are well again.
func (d *Daemon) noteStrain(t *tables) {
	for pool, g := range t.strains {
		strained := g.Reserve() > 0
		if strained == t.strained[pool] {
			continue
		}
		t.strained[pool] = strained
		d.Log.Info("pool's answers", "pool", pool, "late_too_often", strained, "late", g.Late(), "reserve", g.Reserve())
	}
}
