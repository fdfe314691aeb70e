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

// withinQuota says that a target limits no requests, or that this box may send one now.
func (b *Scheduler) withinQuota(now time.Time, x *target.Target) bool {
	return !x.Limited || b.bucket(now, x).Ready()
}

// takeQuota counts a request that goes to a target, and says whether that limits requests.
func (b *Scheduler) takeQuota(now time.Time, x *target.Target) bool {
	if !x.Limited {
		return false
	}
	b.bucket(now, x).Take()
	return true
}

// bucket holds what this box may send to a target that limits requests, as of now.
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

// SetLimit takes over how many requests a second a target takes of all boxes, if it limits them.
func (b *Scheduler) SetLimit(x *target.Target, limited bool, perSecond float64) {
	x.Limited, x.Rate = limited, perSecond
	if !limited {
		delete(b.quotas, x.ID)
	}
}

// Resumed counts that a run's answer is read again from a target. It can't wait, as the run
// goes on meanwhile, so later requests do.
func (b *Scheduler) Resumed(now time.Time, x *target.Target) { b.takeQuota(now, x) }

// refuseNoTarget refuses a request that no target takes, and says whether that is as they got the
// requests that they take a second.
func (b *Scheduler) refuseNoTarget(now time.Time, ask route.Ask, p pool.Pool) *refusal.Refusal {
	spent := func(x *target.Target) bool {
		return x.Usable(now) && !slices.Contains(ask.Exclude, x.Name) && !b.withinQuota(now, x)
	}
	if slices.ContainsFunc(b.Pools[p.Name], spent) {
		return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "limited",
			"the targets of pool %s have got the requests that they take a second", p.Name).After(b.Jitter(time.Second))
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_target",
		"no target of pool %s takes new work", p.Name).After(b.Jitter(time.Second))
}
