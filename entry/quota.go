package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/quota"
	"github.com/thymewind/thymewind/refusal"
)

// An overloaded target names a rate limit in requests a second for all boxes together. Boxes
// gossip the limit and divide it by package quota. In a fleet with hubs the hubs share the
// whole limit, as they place the requests for the other boxes. A request takes a token where it
// is placed, and that is checked again right before it is sent.

const (
	// grantTTL is how long a placed request may be sent on the token taken for it. Sent any
	// later it would add to the tokens of the time since.
	grantTTL = time.Second
	// holderTimeout is how long a box may be silent before its share goes to the others.
	holderTimeout = 5 * time.Second
	// maxLimitsPerMessage bounds the limits in one message, at some 40 bytes each.
	maxLimitsPerMessage = 64
	// newLimitRepeat is how long a new limit is repeated in each message: for some rounds, as
	// calls fail. All limits are sent every allLimitsInterval, for boxes that missed those
	// messages.
	newLimitRepeat    = time.Second
	allLimitsInterval = 2 * time.Second
)

// codeLimited is the refusal's code where all targets that would take a request have reached
// their rate limits.
const codeLimited = "limited"

// withinQuota reports whether a target has no rate limit or this box may send it a request now.
func (d *Daemon) withinQuota(now time.Time, t *tables, x *fleet.Target) bool {
	return !x.Limited || d.quota(now, t, x).ready(now)
}

// takeQuota counts a request sent to a target and reports whether the target has a rate limit.
func (d *Daemon) takeQuota(now time.Time, t *tables, x *fleet.Target) bool {
	if !x.Limited {
		return false
	}
	d.quota(now, t, x).take(now)
	return true
}

// targetQuota is this box's quota at a target with a rate limit.
type targetQuota struct {
	bucket quota.Bucket
	// share is this box's share of rate, as computed at dividedAt.
	share, rate float64
	dividedAt   time.Time
	// loans are until when each token that other boxes lent may be used, the next to end first.
	loans []time.Time
}

// ready reports whether a request may be sent now.
func (l *targetQuota) ready(now time.Time) bool { return l.hasLoan(now) || l.bucket.Ready() }

// hasLoan drops the lent tokens that were not used in time and reports whether one is left.
func (l *targetQuota) hasLoan(now time.Time) bool {
	l.loans = slices.DeleteFunc(l.loans, func(until time.Time) bool { return !now.Before(until) })
	return len(l.loans) > 0
}

// take counts a request that is sent.
func (l *targetQuota) take(now time.Time) {
	if l.hasLoan(now) {
		l.loans = l.loans[1:]
		return
	}
	l.bucket.Take()
}

// quota returns this box's quota at a target with a rate limit, refilled up to now.
func (d *Daemon) quota(now time.Time, t *tables, x *fleet.Target) *targetQuota {
	l := t.quotas[x.Incarnation()]
	if l == nil {
		l = &targetQuota{}
		t.quotas[x.Incarnation()] = l
	}
	if l.rate != x.Rate || now.Sub(l.dividedAt) >= tick {
		l.share, l.rate, l.dividedAt = d.rateShare(now, t, x), x.Rate, now
	}
	l.bucket.Refill(now, l.share)
	return l
}

// rateShare is this box's share of a target's rate limit, in requests a second. A box that does
// not know the others, or is a spoke, has none.
func (d *Daemon) rateShare(now time.Time, t *tables, x *fleet.Target) float64 {
	if !t.membersKnown || d.spoke.Load() {
		return 0
	}
	return quota.Share(x.Rate, placement.Hash(x.ID), d.Settings.Name, t.quotaHolders(now, d.Settings.Name))
}

// quotaHolders lists the boxes that share the rate limits: this one and those that exchange
// soft state with it, except boxes that can be called and have been silent for holderTimeout.
func (t *tables) quotaHolders(now time.Time, self string) []string {
	var list []string
	for _, name := range t.hubs() {
		if m := t.members[name]; name == self || !m.address.IsValid() || now.Sub(m.heardAt) < holderTimeout {
			list = append(list, name)
		}
	}
	return list
}

// setLimit sets a target's rate limit.
func setLimit(x *fleet.Target, limit notice.Limit) {
	x.Limited, x.Rate = limit.Active, limit.PerSecond
}

// limitsForPeer lists the rate limits to send to another box now; m is nil for an unknown box.
func (d *Daemon) limitsForPeer(now time.Time, m *member) []peer.RateLimit {
	all := m == nil || !now.Before(m.limitsDue)
	if all && m != nil {
		m.limitsDue = now.Add(allLimitsInterval)
	}
	var list []peer.RateLimit
	for _, x := range d.notices.Limits() {
		if len(list) == maxLimitsPerMessage {
			break
		}
		if !all && now.Sub(x.Since) > newLimitRepeat {
			continue
		}
		list = append(list, peer.NewRateLimit(now, x))
	}
	return list
}

// receiveLimits applies the rate limits that another box sent, as of a time.
func (d *Daemon) receiveLimits(now, asOf time.Time, t *tables, m peer.Message) {
	for _, l := range m.RateLimits {
		x, err := l.Decode(asOf)
		if err != nil {
			d.Log.Warn("rate limit received from a box is invalid", "from", m.From, "err", err)
			continue
		}
		if t.fleet.Incarnation(x.Incarnation) == nil {
			continue // Recording a later incarnation would discard the signals of the listed one.
		}
		if d.notices.SetLimit(now, x) {
			d.logLimit(x, m.From)
		}
		d.signalsReceived(now, t, x.Incarnation)
	}
}

// expireQuotas drops the quotas of targets that have no rate limit any more.
func (d *Daemon) expireQuotas(t *tables) {
	for incarnation := range t.quotas {
		if x := t.fleet.Incarnation(incarnation); x == nil || !x.Limited {
			delete(t.quotas, incarnation)
		}
	}
}

// refuseLimited refuses a request for which some targets would have room but for their rate
// limits; it returns nil if there are none.
func (d *Daemon) refuseLimited(now time.Time, t *tables, request deliver.PlacementRequest, excluded func(*fleet.Target) bool) *refusal.Refusal {
	spent := func(x *fleet.Target) bool {
		return x.Available(now) && !excluded(x) && !slices.Contains(request.Attempted, x.ID) && !d.withinQuota(now, t, x)
	}
	if !slices.ContainsFunc(t.fleet.Pool(request.Job.Pool.Name), spent) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, codeLimited, "the targets of %s that take work have got the requests that they take a second", request.Job.Pool.Name)
}

// onlyLimited reports whether all targets left for a request have rate limits, so that a hub,
// which has a share of them, has to place it.
func (t *tables) onlyLimited(now time.Time, request deliver.PlacementRequest) bool {
	limited := false
	for _, x := range t.fleet.Pool(request.Job.Pool.Name) {
		if !x.Available(now) || x.InBackoff(now) || slices.Contains(request.Attempted, x.ID) {
			continue
		}
		if !x.Limited {
			return false
		}
		limited = true
	}
	return limited
}
