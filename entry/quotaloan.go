package entry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// A box without a share of a pool's rate limits refuses its callers at once while the boxes that
// have one are known to be out of tokens. Meanwhile it asks them each tick, as long as requests
// come, and keeps the tokens that it gets for the next ones. That is not for spokes, whose hubs
// place their requests.

const (
	// quotaShortFor is how long after a box was asked in vain no caller waits for another.
	quotaShortFor = time.Second
	// loanTTL is how long a token of another box may be used. Used any later it would add to the
	// tokens of the time since.
	loanTTL = grantTTL / 2
	// maxTokenCalls bounds the calls in flight for the tokens of a pool.
	maxTokenCalls = 4
)

// quotaShortage is a pool for whose targets this box had no token.
type quotaShortage struct {
	// vainAt is when a box was last asked in vain.
	vainAt time.Time
	// asking are the boxes that are being asked for a token.
	asking []string
	// unmet is a request that was refused since boxes were last asked; nil if none was.
	unmet *deliver.PlacementRequest
}

// borrowToken asks a box for a token.
type borrowToken struct {
	box     string
	address netip.AddrPort
	request deliver.PlacementRequest
	ask     peer.PlacementRequest
}

// tokenLent is the box's answer; without a target it has no token.
type tokenLent struct {
	borrowToken
	lent *peer.PlacementResponse
	err  error
}

// quotaShortage returns what is known of a pool's shortage.
func (t *tables) quotaShortage(pool string) *quotaShortage {
	s := t.quotaShortages[pool]
	if s == nil {
		s = &quotaShortage{}
		t.quotaShortages[pool] = s
	}
	return s
}

// isQuotaShort reports whether a caller should not wait until another box was asked for a token.
func (t *tables) isQuotaShort(now time.Time, pool string) bool {
	s := t.quotaShortages[pool]
	return s != nil && (len(s.asking) > 0 || now.Sub(s.vainAt) < quotaShortFor)
}

// borrowTokens asks boxes for tokens for pools in which requests were refused.
func (d *Daemon) borrowTokens(now time.Time, t *tables) []effect {
	var effects []effect
	for _, s := range t.quotaShortages {
		if s.unmet != nil && !d.spoke.Load() {
			effects = append(effects, d.borrow(now, t, s)...)
		}
		s.unmet = nil
	}
	return effects
}

// borrow asks some boxes for tokens for requests like the one that was refused.
func (d *Daemon) borrow(now time.Time, t *tables, s *quotaShortage) []effect {
	var effects []effect
	for len(s.asking) < maxTokenCalls {
		box := d.quotaHub(now, t, placementRequest{ask: *s.unmet, askedHubs: s.asking})
		if box == "" {
			break
		}
		s.asking = append(s.asking, box)
		effects = append(effects, d.askForToken(now, t, box, *s.unmet))
	}
	return effects
}

// askForToken asks a box for a token for requests like this one.
func (d *Daemon) askForToken(now time.Time, t *tables, box string, request deliver.PlacementRequest) borrowToken {
	job := request.Job
	ask := peer.PlacementRequest{Request: job.ID, Pool: job.Pool.Name, Model: job.Model, Tried: request.Attempted, TokenOnly: true}
	_, ask.Excluded = d.targetHints(now, request, t.fleet.Pool(job.Pool.Name))
	if regions := allowedRegions(job); regions.Limited() {
		ask.Limited, ask.Regions = true, regions
	}
	return borrowToken{box, t.members[box].address, request, ask}
}

func (d *Daemon) borrowToken(ctx context.Context, e borrowToken) tokenLent {
	ctx, cancel := context.WithTimeout(ctx, hubPlaceTimeout)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.address, peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, PlacementRequest: &e.ask})
	return tokenLent{e, answer.PlacementResponse, err}
}

// tokenLent keeps the token that another box lent.
func (d *Daemon) tokenLent(now time.Time, t *tables, m tokenLent) {
	s := t.quotaShortage(m.ask.Pool)
	s.asking = slices.DeleteFunc(s.asking, func(box string) bool { return box == m.box })
	if m.err != nil {
		d.hubFailed(now, t, m.box, m.err)
		t.noteQuotaSpent(now, m.box, m.request)
		return
	}
	if box := t.members[m.box]; box != nil {
		box.misses = 0
	}
	if m.lent == nil || !m.lent.QuotaGranted {
		t.noteQuotaSpent(now, m.box, m.request)
		return
	}
	if x := t.fleet.Target(m.lent.Target); x != nil && x.Limited {
		l := d.quota(now, t, x)
		l.loans = append(l.loans, now.Add(loanTTL))
	}
}

// lendToken gives another box a token of this one, or returns nil.
func (d *Daemon) lendToken(now time.Time, t *tables, ask *peer.PlacementRequest) *peer.PlacementResponse {
	excluded := namedIn(ask.Excluded)
	list := slices.DeleteFunc(slices.Clone(t.fleet.Pool(ask.Pool)), func(x *fleet.Target) bool {
		return !x.Limited || !x.Available(now) || x.Ejected(now) || excluded(x) || slices.Contains(ask.Tried, x.ID) ||
			ask.Limited && !slices.Contains(ask.Regions, t.regions[x.Domain]) || !d.withinQuota(now, t, x)
	})
	if len(list) == 0 {
		return nil
	}
	request := placement.Hash(ask.Request)
	x := slices.MinFunc(list, func(a, b *fleet.Target) int {
		return cmp.Compare(placement.Weight(request, placement.Hash(a.ID)), placement.Weight(request, placement.Hash(b.ID)))
	})
	d.takeQuota(now, t, x)
	return &peer.PlacementResponse{Target: x.ID, QuotaGranted: true}
}
