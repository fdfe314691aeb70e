package dispatch

import (
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/quota"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/target"
)

// withinQuota says that a target has no rate limit, or that this box may send it a request now.
func (b *Scheduler) withinQuota(now time.Time, x *target.Target) bool {
	return !x.Limited || b.bucket(now, x).Ready()
}

// takeQuota counts a request sent to a target and says whether the target has a rate limit.
func (b *Scheduler) takeQuota(now time.Time, x *target.Target) bool {
	if !x.Limited {
		return false
	}
	b.bucket(now, x).Take()
	return true
}

// bucket returns the token bucket of a target with a rate limit, refilled up to now.
func (b *Scheduler) bucket(now time.Time, x *target.Target) *quota.Bucket {
	bucket := b.quotas[x.ID]
	if bucket == nil {
		bucket = &quota.Bucket{}
		b.quotas[x.ID] = bucket
	}
	part := x.Rate
	if b.RateShare != nil {
		part = b.RateShare(x)
	}
	bucket.Refill(now, part)
	return bucket
}

// SetLimit sets the rate limit, in requests a second, that a target has for all boxes.
func (b *Scheduler) SetLimit(x *target.Target, limited bool, perSecond float64) {
	x.Limited, x.Rate = limited, perSecond
	if !limited {
		delete(b.quotas, x.ID)
	}
}

// Resumed counts a resume of a run's answer against the target's quota. A resume can't be
// delayed, as the run goes on meanwhile; requests after it are.
func (b *Scheduler) Resumed(now time.Time, x *target.Target) { b.takeQuota(now, x) }

// refuseNoTarget returns the refusal of a request that no target takes. Its code tells whether
// the reason is that the targets' rate limits are used up.
func (b *Scheduler) refuseNoTarget(now time.Time, request route.PlacementRequest, p pool.Pool) *refusal.Refusal {
	spent := func(x *target.Target) bool {
		return x.Usable(now) && !slices.Contains(request.Exclude, x.Name) && !b.withinQuota(now, x)
	}
	if slices.ContainsFunc(b.Pools[p.Name], spent) {
		return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "limited",
			"the targets of pool %s have got the requests that they take a second", p.Name).WithRetryAfter(b.Jitter(time.Second))
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_target",
		"no target of pool %s takes new work", p.Name).WithRetryAfter(b.Jitter(time.Second))
}
