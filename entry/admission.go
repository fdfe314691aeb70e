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

// Bounds of engines' memory use, as shares of it. Beyond them requests wait for others to end
// and cached parts are evicted and computed again, which slows all requests down.
const (
	maxShareLowPriority = 0.92
	maxShare            = 1.15
)

// typicalWeight is the weight of one request in its route's typical size; about the last forty
// requests count.
const typicalWeight = 0.05

// admissionLimit is the bound up to which a request is admitted.
type admissionLimit struct {
	// maxMemoryShare is the share of an engine's memory up to which the request is admitted,
	// counted with the typical size of its route's requests.
	maxMemoryShare float64
	// typicalTokens is that typical size in tokens. Counting the request's own size instead
	// refused a fifth of the longest prompts and one in fifty of the others, while admitting a
	// short request takes the place of the next long one.
	typicalTokens int
}

// admits reports whether an engine with some tokens of its memory taken has room for a request.
func (r admissionLimit) admits(taken, tokens, capacity int) bool {
	share := func(tokens int) float64 { return float64(taken+tokens) / float64(capacity) }
	return capacity <= 0 || share(r.typicalTokens) <= r.maxMemoryShare && share(tokens) <= maxShare
}

// admissionLimit returns the bound for a job. Requests of the pool's lowest priority leave a
// reserve for the others, which grows while answers are late.
func (d *Daemon) admissionLimit(t *tables, job *deliver.Job) admissionLimit {
	return admissionLimit{maxMemoryShare: d.maxMemoryShare(t, job), typicalTokens: d.typicalTokens(t, job)}
}

func (d *Daemon) maxMemoryShare(t *tables, job *deliver.Job) float64 {
	if d.leavesReserve(job) {
		return d.maxShareLowPriority - d.reservedShare(t.lateness(job.Pool.Name))
	}
	return maxShare
}

// leavesReserve reports whether a request must leave a reserve of the engines' memory to others.
func (d *Daemon) leavesReserve(job *deliver.Job) bool {
	return routing.Priority(job.Route, job.Account) > 0 && job.Route.Priority >= d.current.Load().LowestPriority(job.Pool.Name)
}

// limitOf is the admissionLimit of a request that may be placed again and again while it waits.
// Its size counts in its route's typical size once.
func (d *Daemon) limitOf(t *tables, m *placementRequest) admissionLimit {
	if m.ask.Job.Pool.Engine == nil {
		return admissionLimit{}
	}
	if m.typicalTokens == 0 {
		m.typicalTokens = d.typicalTokens(t, m.ask.Job)
	}
	return admissionLimit{d.maxMemoryShare(t, m.ask.Job), m.typicalTokens}
}

// learnTypicalTokens returns the typical size in tokens of the requests on a job's route, and
// learns from this job.
func (t *tables) learnTypicalTokens(job *deliver.Job) int {
	own := float64(job.PromptTokens + job.MaxOutputTokens)
	typical, known := t.typicalSizes[job.Route.Name]
	if !known {
		typical = own
	}
	typical += (own - typical) * typicalWeight
	t.typicalSizes[job.Route.Name] = typical
	return int(typical)
}

// refuseMemoryFull returns why an engine has no room for a request, or nil.
func (d *Daemon) refuseMemoryFull(now time.Time, t *tables, x *fleet.Target, query affinity.Request, r admissionLimit) *refusal.Refusal {
	running, _ := d.load(now, t, x)
	if r.admits(running, query.Tokens, query.Capacity) {
		return nil
	}
	share := func(tokens int) float64 { return float64(running+tokens) / float64(query.Capacity) }
	return refusal.New(refusal.DidNotRun, 503, codeCrowded,
		"the engines' memory is taken up: %.2f at the best of them, %.2f with a usual request, of %.2f", share(query.Tokens), share(r.typicalTokens), r.maxMemoryShare)
}

// peerAdmissionLimit returns the bound that another box sent with its request.
func peerAdmissionLimit(request *peer.PlacementRequest) admissionLimit {
	return admissionLimit{request.MaxMemoryShare, request.TypicalTokens}
}

// logOverload logs when a pool's answers become late so often that requests of the lowest
// priority get less room, and when they recover.
func (d *Daemon) logOverload(t *tables) {
	for pool, g := range t.latenessByPool {
		late := g.Reserve() > 0
		if late == t.lateLogged[pool] {
			continue
		}
		t.lateLogged[pool] = late
		d.Log.Info("pool's answers", "pool", pool, "late_too_often", late, "late", g.LateShare(), "reserve", g.Reserve())
	}
}
