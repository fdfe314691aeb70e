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
	maxShareLowPriority = 0.92
	maxShare            = 1.15
)

// typicalWeight is how much a request changes what its route's requests are taken
// to need: about the last forty count.
const typicalWeight = 0.05

// admissionLimit is what a request is admitted by.
type admissionLimit struct {
	// maxMemoryShare is the share of an engine's memory up to which the request is
	// admitted, if it takes up as much as its route's requests do as a rule.
	maxMemoryShare float64
	// typicalTokens is how many tokens they take up. Going by the request's own size
	// instead had a fifth of the longest prompts refused and one in fifty of the
	// others, while a place for a short one is one less for the next long one.
	typicalTokens int
}

// admits says that an engine with some memory taken up has room for a request of so
// many tokens.
func (r admissionLimit) admits(taken, tokens, capacity int) bool {
	share := func(tokens int) float64 { return float64(taken+tokens) / float64(capacity) }
	return capacity <= 0 || share(r.typicalTokens) <= r.maxMemoryShare && share(tokens) <= maxShare
}

// admissionLimit is what a request is admitted by: the least urgent kind of a pool makes
// room for the others, the more so while answers are late.
func (d *Daemon) admissionLimit(t *tables, job *deliver.Job) admissionLimit {
	r := admissionLimit{maxMemoryShare: maxShare, typicalTokens: d.usual(t, job)}
	if routing.Priority(job.Route, job.Account) > 0 && job.Route.Priority >= d.current.Load().LowestPriority(job.Pool.Name) {
		r.maxMemoryShare = d.fillLeast - d.reserve(t.lateness(job.Pool.Name))
	}
	return r
}

// learnTypicalTokens returns what the requests of a job's route take up as a rule, and
// learns from this one.
func (t *tables) learnTypicalTokens(job *deliver.Job) int {
	own := float64(job.PromptTokens + job.MaxOutputTokens)
	usual, known := t.sizes[job.Route.Name]
	if !known {
		usual = own
	}
	usual += (own - usual) * typicalWeight
	t.sizes[job.Route.Name] = usual
	return int(usual)
}

// refuseMemoryFull returns why an engine can't take a request more, or nil.
func (d *Daemon) refuseMemoryFull(now time.Time, t *tables, x *fleet.Target, ask affinity.Request, r admissionLimit) *refusal.Refusal {
	running, _ := d.load(now, t, x)
	if r.admits(running, ask.Tokens, ask.Capacity) {
		return nil
	}
	share := func(tokens int) float64 { return float64(running+tokens) / float64(ask.Capacity) }
	return refusal.New(refusal.DidNotRun, 503, "crowded",
		"the engines' memory is taken up: %.2f at the best of them, %.2f with a usual request, of %.2f", share(ask.Tokens), share(r.typicalTokens), r.maxMemoryShare)
}

// peerAdmissionLimit returns what another box's request is admitted by.
func peerAdmissionLimit(ask *peer.PlacementRequest) admissionLimit {
	return admissionLimit{ask.MaxMemoryShare, ask.TypicalTokens}
}

// logOverload logs the pools whose answers are late so often that the least urgent
// get less room, and those that are well again.
func (d *Daemon) logOverload(t *tables) {
	for pool, g := range t.latenessByPool {
		strained := g.Reserve() > 0
		if strained == t.lateLogged[pool] {
			continue
		}
		t.lateLogged[pool] = strained
		d.Log.Info("pool's answers", "pool", pool, "late_too_often", strained, "late", g.LateShare(), "reserve", g.Reserve())
	}
}
