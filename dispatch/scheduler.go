// Package dispatch decides: which request is admitted, which target it goes
// to, whether kept cache is worth moving. It holds the tables that decisions
// need and does no input or output, so that the daemon and the measuring tool
// drive the same code.
//
//	b := dispatch.Board{Configuration: c, Choose: chooser.Choose, ...}
//	placed, err := b.Place(now, ask)
//	...
//	keep := b.Ended(now, ended)
package dispatch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/entity"
	"github.com/thymewind/thymewind/fair"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/quota"
	"github.com/thymewind/thymewind/retention"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/target"
)

// BytesPerToken estimates tokens for throttles; charges come from engines.
const BytesPerToken = 4

// recentPrompts bounds the prompts remembered as served lately.
const recentPrompts = 8192

// StoreBackoff keeps a store box out of use after it failed.
const StoreBackoff = 2 * time.Second

// Scheduler holds what decisions need. Set the exported function fields before
// Start; it is not safe for concurrent use.
type Scheduler struct {
	Configuration *configuration.Configuration
	Targets       entity.Table[string, *target.Target]
	// Pools lists the targets of each pool in name order; see Group.
	Pools  map[string][]*target.Target
	Stores entity.Table[string, boxes.Box]
	Gate   admission.Gate
	// StoreAvoidUntil keeps store boxes that failed out of use for a while.
	StoreAvoidUntil map[string]time.Time

	// Choose picks a target; it is (*placement.Chooser).Choose.
	Choose func(now time.Time, ask placement.Request, targets []*target.Target) (placement.Choice, error)
	// Scope names the cache of one client account and weight version; it is
	// prefix.Scope.
	Scope func(account, version string) prefix.Key
	// Keep decides whether a prompt is worth its export; it is
	// (*retention.Policy).Keep.
	Keep func(p *retention.Policy, k retention.Candidate) bool
	// Boxes counts the entry boxes that share the work. It is at least 1.
	Boxes func() int
	// Others is the use of a pool by other boxes.
	Others func(pool string) Usage
	// RateShare is this box's part, in requests a second, of the rate that a target takes of all
	// boxes. Without it this box has all of it.
	RateShare func(x *target.Target) float64
	// Limit is this box's part of an account's limit.
	Limit  func(account string, limit int) int
	Jitter func(mean time.Duration) time.Duration
	Record func(decision.Record)
	// OnFailing and Leaving hear when a target begins to fail or to leave.
	OnFailing func(name string)
	OnLeaving func(name, heard string)

	// quotas hold what this box may send to targets that limit requests, by the target's ID.
	quotas map[uint64]*quota.Bucket
	// demand counts what each account asked for lately, refused or not.
	demand fair.Meter
	// now is the time of the placement under way, and at the same for targets.
	now time.Time
	at  time.Duration
	// prefillTime is how long its prompt is predicted to be computed.
	prefillTime time.Duration
	// recent maps the homes of prompts served here to target and version.
	recent *lru.LRU[prefix.Key, string]
	// cache is what is known about cache, by pool.
	cache map[string]*cacheStats
}

// cacheStats is what the board knows about one pool's cache.
type cacheStats struct {
	estimate reuse.Estimate
	policy   retention.Policy
	// computed and computedNew are the shares of prompt tokens that were
	// computed lately, of prompts served here before and of others.
	computed, computedNew float64
	// hitShare is the share of prompt tokens that engines had in memory lately, of
	// prompts sent to the target that served them last.
	hitShare float64
	// prefill and slots measure the accounts' use of engines, in engine-seconds.
	prefill, slots fair.Meter
	// offered measures what accounts ask for, refused or not.
	offered fair.Meter
	// meanRun is a moving mean of the time that a run has a slot for, in seconds.
	meanRun float64
	// perToken are the accounts' moving means of the prefill that a prompt
	// token takes, in seconds; an account without one is taken to compute all.
	perToken map[string]float64
	// bytesPerToken is what one token's KV cache takes; zero if not known.
	bytesPerToken float64
}

// Start makes an empty board ready.
func (b *Scheduler) Start() {
	b.Configuration = &configuration.Configuration{}
	b.Pools = make(map[string][]*target.Target)
	b.StoreAvoidUntil = make(map[string]time.Time)
	b.cache = make(map[string]*cacheStats)
	b.quotas = make(map[uint64]*quota.Bucket)
	b.demand = fair.Meter{Window: fairWindow}
	// The size is a positive constant, the only thing that could be refused.
	b.recent, _ = lru.NewLRU[prefix.Key, string](recentPrompts, nil)
}

// GroupByPool lists the targets by pool anew. Call it when targets came or went.
func (b *Scheduler) GroupByPool() {
	b.Pools = make(map[string][]*target.Target)
	quotas := make(map[uint64]*quota.Bucket)
	for _, x := range b.Targets.All() {
		b.Pools[x.Pool] = append(b.Pools[x.Pool], x)
		if bucket := b.quotas[x.ID]; bucket != nil {
			quotas[x.ID] = bucket
		}
	}
	b.quotas = quotas
}

// Capacity is how many requests the pool's usable targets take at once, and
// load how many are thought to be on them.
func (b *Scheduler) Capacity(now time.Time, pool string) (capacity, load int) {
	perTarget := b.Configuration.Pools[pool].Concurrency
	for _, x := range b.Pools[pool] {
		if x.Usable(now) {
			capacity += perTarget
			load += x.Load()
		}
	}
	return capacity, load
}

// LeavingFor is how long a target gets no new work after it or the list last
// said that it is leaving. It is longer than the list can lag.
const LeavingFor = 2 * time.Minute

// MarkLeaving stops new work to a target that was said to be leaving at a time.
func (b *Scheduler) MarkLeaving(x *target.Target, at time.Time, heard string) {
	if at.After(x.LeavingAt) {
		x.LeavingAt = at
	}
	if x.Leaving {
		return
	}
	x.Leaving = true
	b.OnLeaving(x.Name, heard)
}

// ExpireLeaving lets targets that nothing has called leaving for long take new
// work again, such as one that was restarted at its address.
func (b *Scheduler) ExpireLeaving(now time.Time) {
	for _, x := range b.Targets.All() {
		if x.Leaving && now.Sub(x.LeavingAt) > LeavingFor {
			x.Leaving = false
		}
	}
}

// Fail keeps new work off a target for a while that grows with its failures.
func (b *Scheduler) Fail(now time.Time, x *target.Target) {
	const (
		first   = 500 * time.Millisecond
		longest = 8 * time.Second
		doubled = 10
	)
	if x.Failures == 0 {
		b.OnFailing(x.Name)
	}
	x.Failures++
	x.AvoidUntil = now.Add(min(first<<min(x.Failures-1, doubled), longest))
}

// cacheStatsOf returns a pool's state, new if need be.
func (b *Scheduler) cacheStatsOf(pool string) *cacheStats {
	c, known := b.cache[pool]
	if !known {
		c = &cacheStats{
			computed: 1, computedNew: 1, hitShare: initialHitShare, policy: retention.Policy{Burst: 5, LinkShare: 0.3},
			offered: fair.Meter{Window: fairWindow}, prefill: fair.Meter{Window: fairWindow}, slots: fair.Meter{Window: fairWindow}, perToken: make(map[string]float64),
		}
		b.cache[pool] = c
	}
	return c
}
