package dispatch

import (
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/retention"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/target"
)

// Ended releases what Place counted and learns from the attempt's result. It returns true
// if the prompt's cache should be exported to its store box.
func (b *Scheduler) Ended(now time.Time, e route.AttemptResult) (export bool) {
	b.Gate.Release(e.Placement.Account, e.Placement.Pool)
	x, known := b.Targets.Lookup(e.Placement.Target)
	if !known || x.Address != e.Placement.Address {
		return false
	}
	x.InFlight--
	switch {
	case e.Failed:
		b.Fail(now, x)
	case e.Refused:
		// The refusal is newer than the report, so the target counts as full.
		x.Running = max(x.Running, x.Slots)
	default:
		x.Failures = 0
		b.learnSpeed(now, x, e)
		return b.learn(now, e)
	}
	return false
}

// ApplySignals applies a target's signals in an answer. Call it as soon as the answer's head
// has arrived, as the answer itself may last for minutes.
func (b *Scheduler) ApplySignals(now time.Time, placed route.Placement, signals notice.Signals) {
	x, known := b.Targets.Lookup(placed.Target)
	if !known || x.Address != placed.Address {
		return
	}
	if signals.Leaving {
		b.MarkLeaving(x, now, "its own answer")
	}
	if until := now.Add(min(signals.Backoff, notice.MaxBackoff)); until.After(x.BackoffUntil) {
		x.BackoffUntil = until
	}
}

// learn updates the cache statistics from a complete answer and decides whether the
// prompt's cache is exported.
func (b *Scheduler) learn(now time.Time, e route.AttemptResult) (export bool) {
	p := b.Configuration.Pools[e.Placement.Pool]
	if p.Kind != pool.KindModel || len(e.Placement.Keys) == 0 {
		return false
	}
	c := b.cacheStatsOf(p.Name)
	bytes := 0
	if e.Placement.Import != nil {
		_, bytes = kvcache.Size(e.Placement.Import.Run)
	}
	c.estimate.Learn(now, reuse.Sample{Usage: e.End.Usage, Bytes: bytes, Predicted: e.Placement.PredictedImport})
	if e.Placement.Import != nil && e.End.Usage.Imported == 0 && e.End.Usage.Reused == 0 {
		b.StoreAvoidUntil[e.Placement.StoreName] = now.Add(StoreBackoff)
	}
	c.learnCost(e)
	c.learnComputed(e)
	c.policy.Observe(e.Placement.Account, e.Placement.TargetWarm || e.Placement.CachedPieces > 0)
	b.recent.Add(e.Placement.Home, e.Placement.Target+e.Placement.Version)
	if !p.Stores || !e.Placement.Store.IsValid() || e.Placement.CachedPieces >= len(e.Placement.Keys) {
		return false
	}
	if c.bytesPerToken == 0 || c.estimate.Link == 0 {
		return true // The link speed is unknown until something was moved.
	}
	tokens := float64(len(e.Placement.Keys) * p.PieceBytes / BytesPerToken)
	return b.Keep(&c.policy, retention.Candidate{
		At: now, Account: e.Placement.Account, Weights: p.Policy,
		Prefill: ratio(tokens, c.estimate.Prefill), Link: tokens * c.bytesPerToken / c.estimate.Link,
	})
}

// Exported learns the size of one token's cache from an export.
func (b *Scheduler) Exported(pool string, run []kvcache.Manifest) {
	if tokens, bytes := kvcache.Size(run); tokens > 0 {
		b.cacheStatsOf(pool).bytesPerToken = float64(bytes) / float64(tokens)
	}
}

// learnSpeed learns a target's speed from the prefill time of a prompt.
func (b *Scheduler) learnSpeed(now time.Time, x *target.Target, e route.AttemptResult) {
	u := e.End.Usage
	computed := float64(u.Prompt - u.Reused - u.Imported)
	prefill := b.cacheStatsOf(x.Pool).estimate.Prefill
	if u.PrefillMillis <= 0 || computed <= 0 || prefill == 0 {
		return
	}
	x.ObservePrefill(now, u.PrefillMillis/1000*prefill/computed)
}

// learnComputed updates the shares of prompt tokens that were prefilled.
func (c *cacheStats) learnComputed(e route.AttemptResult) {
	u := e.End.Usage
	if u.Prompt == 0 {
		return
	}
	if e.Placement.TargetWarm {
		c.hitShare += (float64(u.Reused)/float64(u.Prompt) - c.hitShare) * computedWeight
	}
	share := &c.computedNew
	if e.Placement.PrefixKnown {
		share = &c.computed
	}
	*share += (float64(u.Prompt-u.Reused-u.Imported)/float64(u.Prompt) - *share) * computedWeight
}

// computedWeight is the weight of one prompt in the moving shares.
const computedWeight = 0.02

// ratio divides, and returns zero if the rate is unknown.
func ratio(amount, rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return amount / rate
}
