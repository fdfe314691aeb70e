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

// A target in need names how many requests a second it takes of all boxes together. Boxes tell
// each other of that and divide the rate by quota; in a fleet with hubs the hubs have all of it
// and send for the boxes that live on them what they place. A request's part is taken where it
// is placed, and asked for again right before it leaves.

const (
	// grantTTL is for how long a placed request may leave on the part that was taken for it.
	// What waits for longer would leave together with the parts of the time since.
	grantTTL = time.Second
	// holderTimeout is after how long without a word from a box its part goes to others.
	holderTimeout = 5 * time.Second
	// maxLimitsPerMessage bounds the limits told in one message, at some 40 bytes each.
	maxLimitsPerMessage = 64
	// newLimitRepeat is for how long news of a limit are told in each message: some rounds, as
	// calls fail. All limits are told each limitsEvery, for boxes that missed the news.
	newLimitRepeat    = time.Second
	allLimitsInterval = 2 * time.Second
)

// codeLimited is the refusal's code where the targets that would take a request have got what
// they take a second.
const codeLimited = "limited"

// withinQuota says that a target limits no requests, or that this box may send one now.
func (d *Daemon) withinQuota(now time.Time, t *tables, x *fleet.Target) bool {
	return !x.Limited || d.bucket(now, t, x).Ready()
}

// takeQuota counts a request that goes to a target, and says whether that limits requests.
func (d *Daemon) takeQuota(now time.Time, t *tables, x *fleet.Target) bool {
	if !x.Limited {
		return false
	}
	d.bucket(now, t, x).Take()
	return true
}

// targetQuota is what this box may send to a target that limits requests.
type targetQuota struct {
	bucket quota.Bucket
	// share is this box's of rate, as divided at a time.
	share, rate float64
	dividedAt   time.Time
}

// bucket holds what this box may send to a target that limits requests, as of now.
func (d *Daemon) bucket(now time.Time, t *tables, x *fleet.Target) *quota.Bucket {
	l := t.quotas[x.Incarnation()]
	if l == nil {
		l = &targetQuota{}
		t.quotas[x.Incarnation()] = l
	}
	if l.rate != x.Rate || now.Sub(l.dividedAt) >= tick {
		l.share, l.rate, l.dividedAt = d.rateShare(now, t, x), x.Rate, now
	}
	l.bucket.Refill(now, l.share)
	return &l.bucket
}

// rateShare is this box's of a target's rate, in requests a second. A box that does not know the
// others, or lives on a hub, has none.
func (d *Daemon) rateShare(now time.Time, t *tables, x *fleet.Target) float64 {
	if !t.membersKnown || d.spoke.Load() {
		return 0
	}
	return quota.Share(x.Rate, placement.Hash(x.ID), d.Settings.Name, t.quotaHolders(now, d.Settings.Name))
}

// quotaHolders lists the boxes that share the rates: those that exchange soft state with each other
// and were heard of lately, or can't be, and this one.
func (t *tables) quotaHolders(now time.Time, self string) []string {
	var list []string
	for _, name := range t.hubs() {
		if m := t.members[name]; name == self || !m.address.IsValid() || now.Sub(m.heardAt) < holderTimeout {
			list = append(list, name)
		}
	}
	return list
}

// setLimit takes over a target's limit, for choosing.
func setLimit(x *fleet.Target, limit notice.Limit) {
	x.Limited, x.Rate = limit.Active, limit.PerSecond
}

// limitsFor lists the limits that another box is told now; nil is a box not known.
func (d *Daemon) limitsFor(now time.Time, m *member) []peer.RateLimit {
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

// receiveLimits takes over the limits that another box knows, as of a time.
func (d *Daemon) receiveLimits(now, asOf time.Time, t *tables, m peer.Message) {
	for _, l := range m.RateLimits {
		x, err := l.Decode(asOf)
		if err != nil {
			d.Log.Warn("a box's word of a limit can't be used", "from", m.From, "err", err)
			continue
		}
		if t.fleet.Incarnation(x.Incarnation) == nil {
			continue // What this box hears itself is of the life that its list names.
		}
		if d.notices.SetLimit(now, x) {
			d.logLimit(x, m.From)
		}
		d.signalsHeard(now, t, x.Incarnation)
	}
}

// expireQuotas forgets what was sent to targets that limit requests no more.
func (d *Daemon) expireQuotas(t *tables) {
	for life := range t.quotas {
		if x := t.fleet.Incarnation(life); x == nil || !x.Limited {
			delete(t.quotas, life)
		}
	}
}

// refuseLimited returns the refusal of a request for which some targets would have room if they
// did not limit requests; nil if there are none.
func (d *Daemon) refuseLimited(now time.Time, t *tables, ask deliver.PlacementRequest, closed func(*fleet.Target) bool) *refusal.Refusal {
	spent := func(x *fleet.Target) bool {
		return x.Available(now) && !closed(x) && !slices.Contains(ask.Attempted, x.ID) && !d.withinQuota(now, t, x)
	}
	if !slices.ContainsFunc(t.fleet.Pool(ask.Job.Pool.Name), spent) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, codeLimited, "the targets of %s that take work have got the requests that they take a second", ask.Job.Pool.Name)
}

// onlyLimited says that all targets left for a request limit requests, so that a hub, which
// has a part of their rates, has to place it.
func (t *tables) onlyLimited(now time.Time, ask deliver.PlacementRequest) bool {
	limited := false
	for _, x := range t.fleet.Pool(ask.Job.Pool.Name) {
		if !x.Available(now) || x.InBackoff(now) || slices.Contains(ask.Attempted, x.ID) {
			continue
		}
		if !x.Limited {
			return false
		}
		limited = true
	}
	return limited
}
