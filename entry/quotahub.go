package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/quota"
)

// Where only targets with rate limits are left, a box that has no share of any of their rates
// asks one that has: at a low rate most boxes have none and would refuse all their callers.

const (
	// asksPerToken bounds how often a box without a token is asked again, relative to the
	// tokens that it gets. It bounds the calls between boxes while callers want more than the
	// targets take, and a token waits for at most a share of the time to the next one.
	asksPerToken = 8
	// maxQuotaPause is the longest pause before a box without a token is asked again.
	maxQuotaPause = 250 * time.Millisecond
)

// quotaAsk is a pool for which a box was asked.
type quotaAsk struct{ box, pool string }

// quotaHub returns the box to ask for a placement on the limited targets of a request's pool, or
// an empty name if this box has a share itself or no other can be asked. A spoke asks its own
// hub if that has a share.
func (d *Daemon) quotaHub(now time.Time, t *tables, m placementRequest) string {
	if !t.onlyLimited(now, m.ask) {
		return ""
	}
	targets := t.limitedTargets(now, m.ask)
	if d.spoke.Load() {
		if hub := d.placementHub(now, t, m.ask.Job.Pool.Name, m.askedHubs); hub != "" && t.shareOf(hub, targets) > 0 {
			return hub
		}
	} else if t.shareOf(d.Settings.Name, targets) > 0 || d.hasToken(now, t, targets) {
		return ""
	}
	return d.shareHolder(now, t, m, targets)
}

// limitedTargets lists the targets with rate limits that a request may go to.
func (t *tables) limitedTargets(now time.Time, request deliver.PlacementRequest) []*fleet.Target {
	var list []*fleet.Target
	for _, x := range t.fleet.Pool(request.Job.Pool.Name) {
		if x.Limited && x.Available(now) && !x.InBackoff(now) && !slices.Contains(request.Attempted, x.ID) {
			list = append(list, x)
		}
	}
	return list
}

// shareHolder returns the box to ask among those that have a share of a target's rate limit: the
// one that was out of tokens least recently.
func (d *Daemon) shareHolder(now time.Time, t *tables, m placementRequest, targets []*fleet.Target) string {
	request, pool := placement.Hash(m.ask.Job.ID), m.ask.Job.Pool.Name
	order := func(a, b string) int {
		x, y := t.quotaRetryAt[quotaAsk{a, pool}], t.quotaRetryAt[quotaAsk{b, pool}]
		return cmp.Or(x.Compare(y), cmp.Compare(placement.Weight(request, placement.Hash(a)), placement.Weight(request, placement.Hash(b))))
	}
	best := ""
	for _, name := range t.hubs() {
		if name == d.Settings.Name || slices.Contains(m.askedHubs, name) || !t.members[name].answersCalls(now) || now.Before(t.quotaRetryAt[quotaAsk{name, pool}]) {
			continue
		}
		if t.shareOf(name, targets) > 0 && (best == "" || order(name, best) < 0) {
			best = name
		}
	}
	return best
}

// shareOf returns how many requests a second a box may send to targets with rate limits.
func (t *tables) shareOf(box string, targets []*fleet.Target) float64 {
	sum := 0.0
	for _, x := range targets {
		sum += quota.Share(x.Rate, placement.Hash(x.ID), box, t.hubs())
	}
	return sum
}

// answersCalls reports whether a box can be called and answered the last call.
func (m *member) answersCalls(now time.Time) bool {
	return m.address.IsValid() && !m.unanswered && !now.Before(m.retryAt)
}

// hasToken reports whether this box may send one of some targets with rate limits a request now.
func (d *Daemon) hasToken(now time.Time, t *tables, targets []*fleet.Target) bool {
	return slices.ContainsFunc(targets, func(x *fleet.Target) bool { return d.withinQuota(now, t, x) })
}

// noteQuotaSpent records that a box that was asked had no token for a request, or did not answer.
func (t *tables) noteQuotaSpent(now time.Time, box string, request deliver.PlacementRequest) {
	pause := maxQuotaPause
	if share := t.shareOf(box, t.limitedTargets(now, request)); share > 0 {
		pause = min(pause, time.Duration(float64(time.Second)/(asksPerToken*share)))
	}
	t.quotaRetryAt[quotaAsk{box, request.Job.Pool.Name}] = now.Add(pause)
	t.quotaShortage(request.Job.Pool.Name).vainAt = now
}

// expireQuotaPauses forgets the boxes that may be asked again and the shortages that are over.
func (t *tables) expireQuotaPauses(now time.Time) {
	for ask, until := range t.quotaRetryAt {
		if !now.Before(until) {
			delete(t.quotaRetryAt, ask)
		}
	}
	for pool, s := range t.quotaShortages {
		if len(s.asking) == 0 && now.Sub(s.vainAt) >= quotaShortFor {
			delete(t.quotaShortages, pool)
		}
	}
}
