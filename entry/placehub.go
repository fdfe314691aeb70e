package entry

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/throughput"
)

const (
	// hubPlaceTimeout bounds the call to a hub for a placement. The hub takes about 1 ms, and a
	// weak box some 10 ms to read the answer.
	hubPlaceTimeout = 100 * time.Millisecond
	// maxHubsAsked is how many hubs are asked to place a request before this box places it alone.
	// Alone it knows of no cached part, so the engine prefills the whole prompt: for 12,000
	// tokens that costs more than the request earns.
	maxHubsAsked = 2
)

// askHub asks a hub for a placement.
type askHub struct {
	hub     string
	address netip.AddrPort
	request placementRequest
	ask     peer.PlacementRequest
}

// hubPlaced is the hub's answer.
type hubPlaced struct {
	hub     string
	request placementRequest
	placed  *peer.PlacementResponse
	err     error
}

// placementRequested has a hub place the request, or places it here. A request whose caller
// left or whose deadline has passed is not counted at any target and costs no hub any work.
func (d *Daemon) placementRequested(now time.Time, t *tables, m placementRequest) []effect {
	if m.ctx.Err() != nil {
		t.answer(now, m, placementAnswer{err: d.timeoutRefusal(m.ask.Job)})
		return nil
	}
	if effects, done := d.refuseOrClaimTrial(now, t, m); done {
		return effects
	}
	if refused := d.refuseImpossible(t, m.ask.Job); refused != nil {
		t.answer(now, m, placementAnswer{err: refused})
		return nil
	}
	if effects, done := d.findOrigin(now, t, &m); done {
		return effects
	}
	if d.handOn(now, t, m) {
		return nil
	}
	if refused := d.refusePaused(now, t, m.ask); refused != nil {
		t.answer(now, m, placementAnswer{err: refused})
		return nil
	}
	if effects, remote := d.placeRemotely(now, t, m); remote {
		return effects
	}
	if m.atHub && d.spoke.Load() {
		d.refuseLostWait(now, t, m)
		return nil
	}
	d.placeHere(now, t, m)
	return nil
}

// placeRemotely hands a request to another box, if that has to place it.
func (d *Daemon) placeRemotely(now time.Time, t *tables, m placementRequest) ([]effect, bool) {
	if len(m.askedHubs) >= maxHubsAsked || d.weightsStale(now) {
		return nil, false
	}
	hub := d.placingBox(now, t, m)
	if hub == "" {
		return nil, false
	}
	if d.spoke.Load() {
		return []effect{d.askHubToPlace(now, t, hub, m, false)}, true
	}
	if len(m.askedHubs) == 0 && t.isQuotaShort(now, m.ask.Job.Pool.Name) {
		t.quotaShortage(m.ask.Job.Pool.Name).unmet = new(m.ask)
		return nil, false
	}
	if m.askUntil.IsZero() {
		m.askUntil = now.Add(hubPlaceTimeout)
	}
	if !now.Before(m.askUntil) {
		return nil, false
	}
	return []effect{d.askHubToPlace(now, t, hub, m, false)}, true
}

// askHubToPlace asks a hub to place a request; with hold, as one that waits there.
func (d *Daemon) askHubToPlace(now time.Time, t *tables, hub string, m placementRequest, hold bool) askHub {
	job := m.ask.Job
	r := d.limitOf(t, &m)
	request := peer.PlacementRequest{
		Request: job.ID, Pool: job.Pool.Name, Model: job.Model, Tokens: job.PromptTokens + job.MaxOutputTokens, MaxMemoryShare: r.maxMemoryShare, TypicalTokens: r.typicalTokens, Tried: m.ask.Attempted, GoalMS: job.Route.Goal.Milliseconds(),
		Software: m.ask.Software, Resumable: job.Resumable(),
	}
	if d.waits {
		request.Account, request.Priority, request.RoutePriority = accountName(job), routing.Priority(job.Route, job.Account), job.Route.Priority
	}
	request.IdleConnections, request.Excluded = d.targetHints(now, m.ask, t.engines(job.Pool.Name))
	request.LossMS = d.copyLoss(now, t, m.ask).Milliseconds()
	if regions := allowedRegions(job); regions.Limited() {
		request.Limited, request.Regions = true, regions
	}
	if job.Account != nil && job.Account.Isolated {
		request.IsolatedAccount = job.Account.Name
	}
	for _, p := range job.Parts {
		request.Parts = append(request.Parts, peer.Part{ID: p.ID, Tokens: p.Tokens})
	}
	d.addWait(now, t, &m, &request, hold)
	return askHub{hub, t.members[hub].address, m, request}
}

// placingBox returns the box that has to place a request: one that may have a token if only
// rate-limited targets are left, and otherwise a spoke's hub if the request is for a model. It
// returns an empty name if this box places it.
func (d *Daemon) placingBox(now time.Time, t *tables, m placementRequest) string {
	if hub := d.quotaHub(now, t, m); hub != "" {
		return hub
	}
	if !d.spoke.Load() || m.ask.Job.Pool.Engine == nil && !t.onlyLimited(now, m.ask) {
		return ""
	}
	return d.placementHub(now, t, m.ask.Job.Pool.Name, m.askedHubs)
}

// targetHints lists the targets to which this box has an idle connection, and those to which it
// must send nothing: the hub may not know of the latter, or may use them itself.
func (d *Daemon) targetHints(now time.Time, request deliver.PlacementRequest, targets []*fleet.Target) (idle, excluded []uint32) {
	unwilling := d.unwilling(now, request)
	for _, x := range targets {
		if d.hasIdleConnection(x) {
			idle = append(idle, shortID(x))
		}
		if x.Leaving || unwilling(x) {
			excluded = append(excluded, shortID(x))
		}
	}
	return idle, excluded
}

func (d *Daemon) askHub(ctx context.Context, e askHub) hubPlaced {
	timeout := hubPlaceTimeout
	if e.ask.Hold {
		timeout += waitHold
	} else if until := e.request.askUntil; !until.IsZero() {
		timeout = min(timeout, until.Sub(d.now()))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(e.request.ctx, cancel)()
	answer, err := d.peers.Call(ctx, e.address, peer.Message{Kind: peer.KindPlace, From: d.Settings.Name, PlacementRequest: &e.ask})
	return hubPlaced{e.hub, e.request, answer.PlacementResponse, err}
}

// hubPlaced passes on the placement that the hub chose, unless this box knows of a reason
// against it. Then another hub is asked, or this box places the request alone. A call that
// ended with its request does not count as a failure of the hub.
func (d *Daemon) hubPlaced(now time.Time, t *tables, m hubPlaced) []effect {
	if m.request.ctx.Err() != nil {
		return d.placementRequested(now, t, m.request)
	}
	switch {
	case m.err != nil || m.placed == nil && d.spoke.Load():
		d.hubFailed(now, t, m.hub, m.err)
		if !d.spoke.Load() {
			t.noteQuotaSpent(now, m.hub, m.request.ask)
		}
	case m.placed == nil: // It can't place requests yet, though it answers.
		t.noteQuotaSpent(now, m.hub, m.request.ask)
	default:
		if m.placed.Refused == codeLimited {
			t.noteQuotaSpent(now, m.hub, m.request.ask)
		}
		t.members[m.hub].misses = 0
		t.hubHeardAt = now
		if m.placed.Queued {
			return d.queuedAtHub(now, t, m)
		}
		if m.placed.AskAnother {
			break
		}
		if answer, ok := d.acceptHubPlace(now, t, m.request.ask, m.placed); ok && !otherHubHasQuota(m) {
			t.answer(now, m.request, answer)
			return nil
		}
		if m.placed.Target != "" {
			m.request.ask.Attempted = append(slices.Clone(m.request.ask.Attempted), m.placed.Target)
		}
	}
	m.request.askedHubs = append(m.request.askedHubs, m.hub)
	return d.placementRequested(now, t, m.request)
}

// otherHubHasQuota reports whether the hub has used up its share of the rate-limited targets'
// quotas while another hub, which has a share of its own, can still be asked.
func otherHubHasQuota(m hubPlaced) bool {
	return m.placed.Refused == codeLimited && len(m.request.askedHubs)+1 < maxHubsAsked
}

func (d *Daemon) hubFailed(now time.Time, t *tables, hub string, err error) {
	m := t.members[hub]
	if m == nil || now.Before(m.retryAt) {
		return
	}
	if m.misses++; m.misses < maxHubMisses {
		return
	}
	m.misses = 0
	m.setUnanswered(now, true)
	m.retryAt = now.Add(gossipRetryDelay)
	d.Log.Warn("hub does not answer", "hub", hub, "err", err)
}

// acceptHubPlace converts a hub's answer to a placement, unless this box knows of a reason
// against the target.
func (d *Daemon) acceptHubPlace(now time.Time, t *tables, request deliver.PlacementRequest, p *peer.PlacementResponse) (placementAnswer, bool) {
	job := request.Job
	if p.Refused == codeBackoff {
		return d.allExcludedAtHub(now, t, request)
	}
	if p.Refused != "" {
		refused := refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, p.Refused, "%s", p.Reason)
		d.notePlacement(now, request, refused)
		after := time.Duration(p.RetryAfterMS) * time.Millisecond
		if after == 0 {
			after = d.retryAfterRefusal(now, t, p.Refused, job)
		}
		return placementAnswer{err: refused.WithRetryAfter(after)}, true
	}
	if p.Entry != nil && t.fleet.Target(p.Target) == nil {
		d.applyHubEntry(now, t, *p.Entry)
	}
	x := t.fleet.Target(p.Target)
	if x == nil || !x.Available(now) || x.Ejected(now) || d.unwilling(now, request)(x) || x.Limited && !p.QuotaGranted || d.softwareForbids(now, t, request, x) || !t.inRegions(allowedRegions(job), x.Domain) {
		return placementAnswer{}, false
	}
	w := t.rolloutOf(job.Model)
	within := d.bounds.Load().WeightsWithin
	if job.Pool.Engine != nil && p.Version < w.requiredVersion(now, within) {
		return placementAnswer{}, false
	}
	fetch, save, err := transferAddresses(p)
	if err != nil {
		d.Log.Error("placement chosen by a hub is invalid", "request", job.ID, "target", p.Target, "err", err)
		return placementAnswer{}, false
	}
	place := deliver.Placement{
		Target: x.ID, StartedAt: x.StartedAt, Address: x.Address, Software: x.Software, Slots: x.Slots, Version: p.Version, Scope: scope(p.Version, job), PrefillTokens: p.PrefillTokens,
		Tokens: job.PromptTokens + job.MaxOutputTokens, Fetch: fetch, Save: save, FetchUntil: time.Duration(p.UntilMS) * time.Millisecond,
		CachedTokens: p.CachedTokens, FetchedTokens: p.FetchedTokens, SavedTokens: p.SavedTokens, Rule: "hub, " + p.Rule,
		PlacedAt: now, PrefillBacklog: p.PrefillBacklog, QuotaGranted: p.QuotaGranted,
		NewestVersion: w.newestVersion, ReplacedFor: w.replacedFor(now, p.Version), BeginBy: w.beginBy(p.Version, within),
		NextBest: t.targetName(job.Pool.Name, p.NextBest), NextBestCost: time.Duration(p.NextBestCostMS) * time.Millisecond,
		EngineSlowdown: float64(p.SlowdownPercent) / 100,
	}
	for _, m := range p.Transfers {
		place.Transfers = append(place.Transfers, throughput.Transfer{Source: m.Source, Expected: time.Duration(m.ExpectedUS) * time.Microsecond})
	}
	place.Alternatives = d.engineAlternatives(now, t, request, place, d.unwilling(now, request))
	d.acceptCopy(now, t, job, &place, p.CopyTarget)
	t.countSent(now, place)
	t.placed.add(place.Tokens, job)
	t.beginAccount(job, place)
	t.countCopy(job.ID, place)
	d.notePlacement(now, request, nil)
	return placementAnswer{place: place}, true
}

// allExcludedAtHub refuses a request for which the hub knows only targets that this box named
// as excluded. If this box knows of others, the hub's list is stale and another hub is asked.
func (d *Daemon) allExcludedAtHub(now time.Time, t *tables, request deliver.PlacementRequest) (placementAnswer, bool) {
	fits := func(x *fleet.Target) bool {
		return x.Available(now) && !x.InBackoff(now) && !slices.Contains(request.Attempted, x.ID)
	}
	if slices.ContainsFunc(t.fleet.Pool(request.Job.Pool.Name), fits) {
		return placementAnswer{}, false
	}
	refused := d.refuseNone(now, t, request, inBackoff(now))
	d.notePlacement(now, request, refused)
	return placementAnswer{err: refused.WithRetryAfter(d.retryAfterRefusal(now, t, refused.Code, request.Job))}, true
}

// transferAddresses returns the sources and destinations of the transfers that a hub planned.
func transferAddresses(p *peer.PlacementResponse) (fetch, save []netip.AddrPort, err error) {
	if fetch, err = parseAddresses(p.Fetch); err != nil {
		return nil, nil, err
	}
	save, err = parseAddresses(p.Save)
	return fetch, save, err
}

// parseAddresses reads addresses; an empty string means none.
func parseAddresses(list []string) ([]netip.AddrPort, error) {
	if len(list) == 0 {
		return nil, nil
	}
	out := make([]netip.AddrPort, len(list))
	for i, text := range list {
		if text == "" {
			continue
		}
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		out[i] = at
	}
	return out, nil
}

// hasIdleConnection reports whether this box has an idle connection to a target.
func (d *Daemon) hasIdleConnection(x *fleet.Target) bool {
	return d.Platform.HasIdleConnection == nil || d.Platform.HasIdleConnection(x.Address)
}

// shortID is a four-byte ID of a target among those of its pool.
func shortID(x *fleet.Target) uint32 { return shortIDOf(x.ID) }

func shortIDOf(id string) uint32 { return uint32(placement.Hash(id)) }

// targetName returns the ID of the target of a pool that has a short ID, or an empty string if
// this box knows none.
func (t *tables) targetName(pool string, short uint32) string {
	if short == 0 {
		return ""
	}
	for _, x := range t.fleet.Pool(pool) {
		if shortID(x) == short {
			return x.ID
		}
	}
	return ""
}
