package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// This file is the hub's side of placing; placehub.go is the side of the boxes that ask it.

// warmShare is the share of the sources of cached parts of which a hub must have received cache
// events at least once before it places requests for others.
const warmShare = 0.8

// placeForPeer places another box's request by what this box knows, or queues it. It returns nil
// if it knows too little.
func (d *Daemon) placeForPeer(now time.Time, t *tables, m peer.Message) *peer.PlacementResponse {
	t.lastHubRequest = now
	if m.PlacementRequest.TokenOnly {
		return d.lendToken(now, t, m.PlacementRequest)
	}
	if t.lost(now, m.PlacementRequest.Pool) && t.otherHubReaches(now, m.PlacementRequest.Pool) {
		return &peer.PlacementResponse{AskAnother: true} // It can't tell which targets live.
	}
	if !m.PlacementRequest.Wait && len(t.waiting) == 0 {
		return d.placeNowForPeer(now, t, m)
	}
	return d.placeOrQueueForPeer(now, t, m)
}

// placeNowForPeer is placeForPeer without the queue.
func (d *Daemon) placeNowForPeer(now time.Time, t *tables, m peer.Message) *peer.PlacementResponse {
	table := d.current.Load()
	if table == nil || table.Pools[m.PlacementRequest.Pool] == nil || d.evacuationsStale(now) {
		return nil
	}
	pool := table.Pools[m.PlacementRequest.Pool]
	if pool.Engine != nil && (!d.knowsCache(t) || d.weightsStale(now)) {
		return nil
	}
	job := &deliver.Job{
		Call: &deliver.Call{ID: m.PlacementRequest.Request, Model: m.PlacementRequest.Model, PromptTokens: m.PlacementRequest.Tokens},
		Pool: pool, Route: &routing.Route{Goal: time.Duration(m.PlacementRequest.GoalMS) * time.Millisecond, Stream: m.PlacementRequest.Resumable, Resumable: m.PlacementRequest.Resumable},
	}
	if m.PlacementRequest.Limited {
		job.Route.Regions = append(routing.Regions{}, m.PlacementRequest.Regions...)
	}
	if m.PlacementRequest.IsolatedAccount != "" {
		job.Account = &routing.Account{Name: m.PlacementRequest.IsolatedAccount, Isolated: true}
	}
	for _, p := range m.PlacementRequest.Parts {
		job.Parts = append(job.Parts, deliver.Part{ID: p.ID, Tokens: p.Tokens})
	}
	request, excluded := deliver.PlacementRequest{Job: job, Attempted: m.PlacementRequest.Tried, Continues: m.PlacementRequest.Software != nil, Software: m.PlacementRequest.Software}, namedIn(m.PlacementRequest.Excluded)
	var place deliver.Placement
	var refused *refusal.Refusal
	if job.Pool.Engine == nil {
		place, refused = d.choosePlain(now, t, request, excluded)
	} else {
		place, refused = d.chooseEngine(now, t, request, sender{t.domainOf(m.From), peerAdmissionLimit(m.PlacementRequest), namedIn(m.PlacementRequest.IdleConnections), excluded})
	}
	if refused != nil {
		if d.waits && refused.Code == codeCrowded {
			t.noteShort(now, pool.Name, m.PlacementRequest.Account)
		}
		return &peer.PlacementResponse{Refused: refused.Code, Reason: refused.Reason}
	}
	d.addCopy(now, t, request, &place, time.Duration(m.PlacementRequest.LossMS)*time.Millisecond, excluded)
	t.countForPeer(m.From, place)
	t.placed.addUntil(now, now.Add(t.holdTime(pool.Name)), place.Tokens, pool.Name)
	t.accounts.Place(m.From, pool.Name, m.PlacementRequest.Account, place.Tokens)
	t.prefillBacklog.Place(now, placement.Hash(place.Target), place.PrefillTokens)
	var transfers []peer.Transfer
	for _, m := range place.Transfers {
		transfers = append(transfers, peer.Transfer{Source: m.Source, ExpectedUS: m.Expected.Microseconds()})
	}
	var nextBest uint32
	if place.NextBest != "" {
		nextBest = shortIDOf(place.NextBest)
	}
	return &peer.PlacementResponse{
		Entry:  t.recentEntry(now, place.Target),
		Target: place.Target, Version: place.Version, Fetch: formatAddresses(place.Fetch), Save: formatAddresses(place.Save),
		UntilMS: place.FetchUntil.Milliseconds(), CachedTokens: place.CachedTokens, FetchedTokens: place.FetchedTokens, SavedTokens: place.SavedTokens,
		PrefillTokens: place.PrefillTokens, Rule: place.Rule, PrefillBacklog: place.PrefillBacklog, Transfers: transfers, QuotaGranted: place.QuotaGranted,
		NextBest: nextBest, NextBestCostMS: place.NextBestCost.Round(time.Millisecond).Milliseconds(),
		CopyTarget:      place.CopyTarget,
		SlowdownPercent: int(place.EngineSlowdown * 100),
	}
}

// recentEntry returns the entry of a target that came into use within recentEntryFor, as other
// boxes may not know of it yet; otherwise nil.
func (t *tables) recentEntry(now time.Time, id string) *peer.Entry {
	x := t.fleet.Target(id)
	u := t.inUse[x.Pool]
	if u == nil || u.members == nil || !x.LapsedAt.IsZero() || now.Sub(u.since[id]) > recentEntryFor {
		return nil
	}
	entry := entryOf(now, x)
	return &entry
}

// domainOf returns the failure domain of a box, or an empty string if it is not known.
func (t *tables) domainOf(box string) string {
	if m := t.members[box]; m != nil {
		return m.domain
	}
	return ""
}

// knowsCache reports whether this box has received cache events of most sources of cached parts
// since it began to watch them. It stays true when sources end later.
func (d *Daemon) knowsCache(t *tables) bool {
	if t.hubWarm {
		return true
	}
	if t.unstable(d.now()) {
		return false
	}
	connected := 0
	for name := range t.watched {
		if t.directory.IsConnected(name) {
			connected++
		}
	}
	t.hubWarm = connected > 0 && float64(connected) >= warmShare*float64(len(t.watched))
	if t.hubWarm {
		d.Log.Info("hub knows what is kept", "heard", connected, "followed", len(t.watched))
	}
	return t.hubWarm
}

// countForPeer counts a request placed for another box until that box reports it itself.
func (t *tables) countForPeer(box string, place deliver.Placement) {
	t.othersUsage.Add(box, peer.TargetLoad{Target: placement.Hash(place.Target), Tokens: place.Tokens})
	if place.CopyTarget != "" {
		t.othersUsage.Add(box, peer.TargetLoad{Target: placement.Hash(place.CopyTarget), Tokens: place.Tokens})
	}
}

// namedIn returns a filter for the targets that another box named.
func namedIn(list []uint32) func(*fleet.Target) bool {
	return func(x *fleet.Target) bool { return slices.Contains(list, shortID(x)) }
}

func formatAddresses(list []netip.AddrPort) []string {
	if list == nil {
		return nil
	}
	out := make([]string, len(list))
	for i, at := range list {
		if at.IsValid() {
			out[i] = at.String()
		}
	}
	return out
}
