package dispatch

import (
	"math"
	"net/http"
	"time"

	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// How much of a pool accounts may use. Over lowShare of it, requests of accounts above
// their fair share get a lower priority in the engines' queues; over highShare they are
// refused. An account that floods, by asking for more than floodPart of the whole pool
// while others use it too, is refused over floodShare already, so that the others' waits
// stay as they were.
const (
	lowShare   = 0.3
	highShare  = 0.85
	floodShare = 0.55
	floodPart  = 0.4
	fairWindow = 5 * time.Second
	// learnWeight is the weight of one run in the moving means.
	learnWeight = 0.05
)

// Usage is how many engines and slots other boxes' requests keep busy.
type Usage struct {
	Engines, Slots float64
	// Unreported counts the boxes that have not reported their usage recently.
	Unreported int
}

// priority returns the engines' priority for a request, or refuses it if its account has
// more than its fair share of a pool that is nearly full.
func (b *Scheduler) priority(now time.Time, request route.PlacementRequest, p pool.Pool) (int, error) {
	if p.Kind != pool.KindModel {
		return 0, nil
	}
	c := b.cacheStatsOf(p.Name)
	c.offered.Add(now, request.Account, 1, c.predictPrefill(request.Account, len(request.Prompt)/BytesPerToken))
	engines, slots := b.size(now, p.Name)
	others := b.Others(p.Name)
	over := func(share float64) bool {
		return c.prefill.OverShare(now, request.Account, b.shareOf(share*engines, others.Engines, others.Unreported)) ||
			c.slots.OverShare(now, request.Account, b.shareOf(share*slots, others.Slots, others.Unreported))
	}
	switch {
	case over(highShare), c.floods(now, request.Account, b.shareOf(floodPart*engines, others.Engines, others.Unreported)) && over(floodShare):
		return 0, refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over_share",
			"pool %s is crowded and the account has its share", p.Name).WithRetryAfter(b.Jitter(fairWindow / 2))
	case over(lowShare):
		return 1, nil
	}
	return 0, nil
}

// shareOf is what this box may use of a capacity: what the other boxes leave of it, but at
// least an equal share. Boxes without a recent report are assumed to use an equal share.
func (b *Scheduler) shareOf(capacity, others float64, unreported int) float64 {
	equal := capacity / float64(b.Boxes())
	return max(equal, capacity-others-float64(unreported)*equal)
}

// Demand is how many requests an account has in flight plus how many it made recently, within
// the window over which demand decays.
func (b *Scheduler) Demand(now time.Time, account string) int {
	return b.Gate.AccountInFlight(account) + int(math.Ceil(b.demand.Rate(now, account)*fairWindow.Seconds()))
}

// Active lists the accounts with recent requests.
func (b *Scheduler) Active() []string { return b.demand.Accounts() }

// Used is how many engines and slots this box's requests in a pool keep busy.
func (b *Scheduler) Used(now time.Time, name string) (engines, slots float64) {
	c := b.cacheStatsOf(name)
	return c.prefill.Sum(now), c.slots.Sum(now)
}

// size counts the pool's usable engines and their slots.
func (b *Scheduler) size(now time.Time, name string) (engines, slots float64) {
	for _, x := range b.Pools[name] {
		if x.Usable(now) {
			engines++
			slots += float64(x.Slots)
		}
	}
	return engines, slots
}

// recordUse records the expected cost of an admitted request.
func (b *Scheduler) recordUse(now time.Time, request route.PlacementRequest, p pool.Pool, tokens int) {
	if p.Kind != pool.KindModel {
		return
	}
	c := b.cacheStatsOf(p.Name)
	weight := b.Configuration.Accounts[request.Account].Weight
	c.prefill.Add(now, request.Account, weight, c.predictPrefill(request.Account, tokens))
	c.slots.Add(now, request.Account, weight, c.meanRun)
}

// predictPrefill predicts the engine-seconds that an account's prompt takes.
func (c *cacheStats) predictPrefill(account string, tokens int) float64 {
	perToken, known := c.perToken[account]
	if !known {
		perToken = ratio(1, c.estimate.Prefill)
	}
	return perToken * float64(tokens)
}

// floods says whether an account requests more than a given part of the pool while others
// use it.
func (c *cacheStats) floods(now time.Time, account string, part float64) bool {
	return c.offered.Rate(now, account) > part && len(c.offered.Accounts()) > 1
}

// learnCost learns from the actual cost of a run.
func (c *cacheStats) learnCost(e route.AttemptResult) {
	c.meanRun += (e.Took.Seconds() - c.meanRun) * learnWeight
	u := e.End.Usage
	if u.Prompt == 0 {
		return
	}
	perToken := u.PrefillMillis / 1000 / float64(u.Prompt)
	if mean, known := c.perToken[e.Placement.Account]; known {
		perToken = mean + (perToken-mean)*learnWeight
	}
	c.perToken[e.Placement.Account] = perToken
}
