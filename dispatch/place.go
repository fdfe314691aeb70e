package dispatch

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/target"
)

// Place admits a request and chooses the target of one attempt. The error is a
// *refusal.Refusal.
func (b *Scheduler) Place(now time.Time, request route.PlacementRequest) (route.Placement, error) {
	b.now, b.at = now, target.SinceStart(now)
	name := request.Pool
	if request.Model != "" {
		name = b.Configuration.Models[request.Model].Pool
	}
	p, known := b.Configuration.Pools[name]
	if !known {
		return route.Placement{}, refusal.New(refusal.DidNotRun, http.StatusNotFound, "unknown_pool", "pool %q is not configured any more", name)
	}
	if request.Attempt > 1 {
		b.Gate.AddAttempt(request.Account, name)
	} else if err := b.admit(now, request, name); err != nil {
		return route.Placement{}, err
	}
	priority, err := b.priority(now, request, p)
	if request.Attempt > 1 {
		err = nil
	}
	var placed route.Placement
	if err == nil {
		placed, err = b.choose(now, request, p)
	}
	placed.Priority = priority
	if err != nil {
		b.Gate.Release(request.Account, name)
	}
	if err != nil && request.Attempt == 1 {
		b.Gate.Refund(request.Account, request.Tokens+len(request.Prompt)/BytesPerToken)
	}
	return placed, err
}

// admit asks the admission gate and turns its rejection into a refusal with a Retry-After.
func (b *Scheduler) admit(now time.Time, request route.PlacementRequest, name string) error {
	a := b.Configuration.Accounts[request.Account]
	capacity, load := b.Capacity(now, name)
	b.demand.Add(now, request.Account, 1, 1)
	concurrency, tokens := 0, 0
	if a.Concurrency > 0 {
		concurrency = b.Limit(request.Account, a.Concurrency)
	}
	if a.TokensPerMinute > 0 {
		tokens = b.Limit(request.Account, a.TokensPerMinute)
	}
	v := b.Gate.Admit(admission.Request{
		Account: request.Account, Pool: name, Weight: max(a.Weight, 1),
		WeightOf: func(other string) int { return max(b.Configuration.Accounts[other].Weight, 1) },
		Capacity: float64(capacity), Load: float64(load), Concurrency: concurrency,
		TokensPerMinute: float64(tokens),
		Tokens:          request.Tokens + len(request.Prompt)/BytesPerToken, Now: now,
	})
	if v.OK {
		return nil
	}
	return refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over_limit", "%s", v.Reason).WithRetryAfter(b.Jitter(v.After))
}

// choose picks the target of an attempt and counts the attempt on it.
func (b *Scheduler) choose(now time.Time, request route.PlacementRequest, p pool.Pool) (route.Placement, error) {
	targets := b.Pools[p.Name]
	skip := func(x *target.Target) bool {
		if slices.Contains(request.Exclude, x.Name) || slices.Contains(p.Leaving, x.Name) || !b.withinQuota(now, x) {
			return true
		}
		if p.Kind != pool.KindModel {
			return false
		}
		return !p.Serves(x.Version) || (request.Version != "" && x.Version != request.Version)
	}
	tokens := len(request.Prompt) / BytesPerToken
	b.prefillTime = b.predictPrefillTime(p, request, tokens)
	want := placement.Request{Home: request.Home.Rank(), Slack: b.slack(p, request, tokens), Skip: func(x *target.Target) bool {
		return skip(x) || (request.AvoidDomain != "" && x.Domain == request.AvoidDomain)
	}}
	choice, err := b.Choose(now, want, targets)
	if err != nil && request.AvoidDomain != "" {
		want.Skip = skip
		choice, err = b.Choose(now, want, targets)
	}
	if err != nil {
		return route.Placement{}, b.refuseNoTarget(now, request, p)
	}
	x := targets[choice.Index]
	x.InFlight++
	if p.Kind == pool.KindModel {
		// Plain services report no load, which would reset what RecordSent counts.
		x.RecordSent(now, scaled(now, b.prefillTime, x))
		b.recordUse(now, request, p, tokens)
	}
	b.recordPlaced(now, request, p, targets, choice)
	placed := route.Placement{
		Request: request.Request, Account: request.Account, Pool: p.Name, Attempt: request.Attempt,
		Target: x.Name, Address: x.Address, Domain: x.Domain, Version: x.Version,
		Scope: b.Scope(request.Account, x.Version), PieceBytes: p.PieceBytes, Rule: choice.Rule,
		FirstToken: firstTokenTimeout(p), Wait: choice.Wait, PlacedAt: now, QuotaGranted: b.takeQuota(now, x),
	}
	if p.Kind == pool.KindModel {
		b.addCacheInfo(now, request, p, &placed)
	}
	return placed, nil
}

// slack is how much longer a request may wait in order to reach the target that probably
// has its cache: as long as the wait costs no more, by the pool's weights, than computing
// again what engines recently had in memory of such prompts.
func (b *Scheduler) slack(p pool.Pool, request route.PlacementRequest, tokens int) time.Duration {
	if p.Kind != pool.KindModel || p.Policy.FirstToken <= 0 {
		return minSlack
	}
	c := b.cacheStatsOf(p.Name)
	if !b.recent.Contains(request.Home) {
		return minSlack
	}
	compute := ratio(float64(tokens), c.estimate.Prefill)
	gain := hitDiscount * c.hitShare * compute * (p.Policy.FirstToken + p.Policy.Recompute) / p.Policy.FirstToken
	return minSlack + time.Duration(min(gain, maxSlack)*float64(time.Second))
}

// Wait predicts the wait at a target, including how much longer than elsewhere it takes
// to prefill the prompt being placed; it is for the chooser.
func (b *Scheduler) Wait(x *target.Target) time.Duration {
	if x.Slots == 0 {
		return time.Duration(x.InFlight) * serviceWait
	}
	wait := x.WaitAt(b.at, assumedRun)
	if slow := x.Slowdown(b.now); slow > 1 {
		wait += time.Duration((slow - 1) * float64(b.prefillTime))
	}
	return wait
}

// predictPrefillTime predicts a prompt's prefill time from the recent share of tokens
// prefilled of prompts like it.
func (b *Scheduler) predictPrefillTime(p pool.Pool, request route.PlacementRequest, tokens int) time.Duration {
	c := b.cacheStatsOf(p.Name)
	share := c.computedNew
	if b.recent.Contains(request.Home) {
		share = c.computed
	}
	return time.Duration(ratio(share*float64(tokens), c.estimate.Prefill) * float64(time.Second))
}

// Report applies a target's own load report. Queued are the prompt tokens that were still
// to be prefilled; lag is the report's age.
func (b *Scheduler) Report(now time.Time, x *target.Target, running, waiting, queued int, lag time.Duration) {
	busy := ratio(float64(queued), b.cacheStatsOf(x.Pool).estimate.Prefill)
	x.ApplyReport(now.Add(-lag-reportLag), running, waiting, scaled(now, time.Duration(busy*float64(time.Second)), x))
}

// scaled scales a time that is the pool's mean to a target's speed.
func scaled(now time.Time, d time.Duration, x *target.Target) time.Duration {
	return time.Duration(float64(d) * x.Slowdown(now))
}

// reportLag is the delay with which targets report their load.
const reportLag = 500 * time.Millisecond

// Limits of the slack: below minSlack, lagged reports don't tell targets apart.
// initialHitShare is the share of cache hits assumed before any is known.
const (
	minSlack        = 20 * time.Millisecond
	maxSlack        = 5.0 // seconds
	initialHitShare = 0.4
	// hitDiscount is the value of an expected cache hit relative to the wait for it, as
	// the wait is certain and the hit is not.
	hitDiscount = 0.6
)

// serviceWait is the assumed wait for each request in flight on a plain service, assumedRun
// the assumed time that a run occupies an engine's slot.
const (
	serviceWait = 10 * time.Millisecond
	assumedRun  = 2 * time.Second
)

// firstTokenTimeout is how long an engine may be silent before its first text: a few times
// the pool's goal, so that only a dead or frozen engine exceeds it. Zero means no limit.
func firstTokenTimeout(p pool.Pool) time.Duration {
	const (
		factor  = 3
		without = 10 * time.Second
	)
	if p.FirstTokenMillis == 0 && p.Kind == pool.KindService {
		return 0 // The request's own deadline applies.
	}
	if p.FirstTokenMillis == 0 {
		return without
	}
	return factor * time.Duration(p.FirstTokenMillis) * time.Millisecond
}

// addCacheInfo adds what is known about the cache of a prompt's beginning.
func (b *Scheduler) addCacheInfo(now time.Time, request route.PlacementRequest, p pool.Pool, placed *route.Placement) {
	last, known := b.recent.Get(request.Home)
	placed.PrefixKnown = known
	placed.TargetWarm = known && last == placed.Target+placed.Version
	placed.Home = request.Home
	placed.Estimate = b.cacheStatsOf(p.Name).estimate
	if !p.Stores {
		return
	}
	if store, ok := b.storeOf(now, request.Home); ok {
		placed.Store, placed.StoreName = store.Address, store.Name
	}
}

// storeOf returns the store box for a prompt's cache: the best-ranked one that is not
// failing.
func (b *Scheduler) storeOf(now time.Time, home prefix.Key) (boxes.Box, bool) {
	var best boxes.Box
	var weight uint64
	found := false
	for name, box := range b.Stores.All() {
		w := placement.Weight(home.Rank(), placement.Hash(name))
		if now.Before(b.StoreAvoidUntil[name]) || box.Leaving || (found && w <= weight) {
			continue
		}
		best, weight, found = box, w, true
	}
	return best, found
}

func (b *Scheduler) recordPlaced(now time.Time, request route.PlacementRequest, p pool.Pool, targets []*target.Target, choice placement.Choice) {
	r := decision.Record{
		At: now, Kind: decision.Placed, Request: request.Request, Account: request.Account, Pool: p.Name, Rule: choice.Rule,
		Inputs: fmt.Sprintf("attempt %d, %d usable targets, shortest wait %v, excluded %v", request.Attempt, choice.Usable, choice.MinWait, request.Exclude),
		Result: targets[choice.Index].Name,
	}
	r.Candidates = append(r.Candidates, candidate(b.Wait(targets[choice.Home]), targets[choice.Home], "best ranked"))
	if choice.Index != choice.Home {
		r.Candidates = append(r.Candidates, candidate(choice.Wait, targets[choice.Index], "best ranked within the slack"))
	}
	if request.Attempt > 1 {
		r.Kind = decision.Retried
	}
	b.Record(r)
}

func candidate(wait time.Duration, x *target.Target, note string) decision.Candidate {
	return decision.Candidate{Name: x.Name, Score: wait.Seconds(), Note: note + "; score is the wait in seconds"}
}
