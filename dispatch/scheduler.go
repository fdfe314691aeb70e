// Package dispatch decides which request is admitted, which target it goes to, and
// whether cached prompts are worth moving. It holds the state that these decisions need
// and does no input or output, so that the daemon and the benchmark tool run the same
// code.
//
//	b := dispatch.Scheduler{Choose: chooser.Choose, ...}
//	b.Init()
//	b.Configuration = c
//	placed, err := b.Place(now, request)
//	...
//	export := b.Ended(now, ended)
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

// BytesPerToken estimates tokens for limits; charges use the engines' counts.
const BytesPerToken = 4

// recentPrompts limits the prompts remembered as recently served.
const recentPrompts = 8192

// StoreBackoff is how long a store box gets no work after it failed.
const StoreBackoff = 2 * time.Second

// Scheduler holds the state for decisions. Set the exported function fields before Init;
// it is not safe for concurrent use.
type Scheduler struct {
	Configuration *configuration.Configuration
	Targets       entity.Table[string, *target.Target]
	// Pools lists the targets of each pool in name order; see GroupByPool.
	Pools  map[string][]*target.Target
	Stores entity.Table[string, boxes.Box]
	Gate   admission.Gate
	// StoreAvoidUntil is until when store boxes that failed get no work.
	StoreAvoidUntil map[string]time.Time

	// Choose picks a target; it is (*placement.Chooser).Choose.
	Choose func(now time.Time, request placement.Request, targets []*target.Target) (placement.Choice, error)
	// Scope identifies the cache of a client account and weight version; it is
	// prefix.Scope.
	Scope func(account, version string) prefix.Key
	// Keep decides whether a prompt is worth its export; it is
	// (*retention.Policy).Keep.
	Keep func(p *retention.Policy, k retention.Candidate) bool
	// Boxes counts the entry boxes that share the work, at least 1.
	Boxes func() int
	// Others is other boxes' usage of a pool.
	Others func(pool string) Usage
	// RateShare is this box's share, in requests a second, of the rate limit that a target
	// sets for all boxes. If nil, this box has all of it.
	RateShare func(x *target.Target) float64
	// Limit is this box's share of an account's limit.
	Limit  func(account string, limit int) int
	Jitter func(mean time.Duration) time.Duration
	Record func(decision.Record)
	// OnFailing and OnLeaving are called when a target begins to fail or to leave.
	OnFailing func(name string)
	OnLeaving func(name, source string)

	// quotas hold what this box may send to targets with rate limits, by target ID.
	quotas map[uint64]*quota.Bucket
	// demand counts each account's recent requests, including refused ones.
	demand fair.Meter
	// now is the time of the current placement, at the same time as target.SinceStart
	// returns it.
	now time.Time
	at  time.Duration
	// prefillTime is the predicted prefill time of the prompt being placed.
	prefillTime time.Duration
	// recent maps the homes of prompts served here to target and version.
	recent *lru.LRU[prefix.Key, string]
	// cache holds cache statistics by pool.
	cache map[string]*cacheStats
}

// cacheStats is what is known about one pool's prefix cache.
type cacheStats struct {
	estimate reuse.Estimate
	policy   retention.Policy
	// computed and computedNew are the recent shares of prompt tokens that were prefilled:
	// of prompts served here before, and of others.
	computed, computedNew float64
	// hitShare is the recent share of prompt tokens that engines had in memory, of prompts
	// sent to the target that served them last.
	hitShare float64
	// prefill and slots measure the accounts' usage of engines, in engine-seconds.
	prefill, slots fair.Meter
	// offered measures the load of all requests of accounts, including refused ones.
	offered fair.Meter
	// meanRun is a moving mean of the time that a run occupies a slot, in seconds.
	meanRun float64
	// perToken are the accounts' moving means of prefill time per prompt token, in
	// seconds; an account without one is assumed to prefill everything.
	perToken map[string]float64
	// bytesPerToken is the size of one token's KV cache; zero if unknown.
	bytesPerToken float64
}

// Init initialises an empty scheduler.
func (b *Scheduler) Init() {
	b.Configuration = &configuration.Configuration{}
	b.Pools = make(map[string][]*target.Target)
	b.StoreAvoidUntil = make(map[string]time.Time)
	b.cache = make(map[string]*cacheStats)
	b.quotas = make(map[uint64]*quota.Bucket)
	b.demand = fair.Meter{Window: fairWindow}
	// The size is a positive constant, so NewLRU can't fail.
	b.recent, _ = lru.NewLRU[prefix.Key, string](recentPrompts, nil)
}

// GroupByPool rebuilds the lists of targets by pool. Call it when targets were added or removed.
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

// Capacity is how many requests the pool's usable targets take at once, load an estimate
// of how many they have.
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

// LeavingFor is how long a target gets no new work after it, or the list, last reported that
// it is leaving. It is longer than the list can lag.
const LeavingFor = 2 * time.Minute

// MarkLeaving stops new work to a target that was reported as leaving at a time.
func (b *Scheduler) MarkLeaving(x *target.Target, at time.Time, source string) {
	if at.After(x.LeavingAt) {
		x.LeavingAt = at
	}
	if x.Leaving {
		return
	}
	x.Leaving = true
	b.OnLeaving(x.Name, source)
}

// ExpireLeaving lets targets take new work again that have not been reported as leaving
// for long, such as one that was restarted at its address.
func (b *Scheduler) ExpireLeaving(now time.Time) {
	for _, x := range b.Targets.All() {
		if x.Leaving && now.Sub(x.LeavingAt) > LeavingFor {
			x.Leaving = false
		}
	}
}

// Fail puts a target into backoff, for longer with each failure in a row.
func (b *Scheduler) Fail(now time.Time, x *target.Target) {
	const (
		initialBackoff = 500 * time.Millisecond
		maxBackoff     = 8 * time.Second
		maxDoublings   = 10
	)
	if x.Failures == 0 {
		b.OnFailing(x.Name)
	}
	x.Failures++
	x.AvoidUntil = now.Add(min(initialBackoff<<min(x.Failures-1, maxDoublings), maxBackoff))
}

// cacheStatsOf returns a pool's statistics and creates them on first use.
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
