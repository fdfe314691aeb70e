package entry

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// Timing of the gossip in which boxes share the load of their requests at the targets.
const (
	// gossipInterval is how often each pair of boxes exchanges loads. That is short compared
	// with a request, which takes some seconds.
	gossipInterval = 150 * time.Millisecond
	// hubGossipInterval is gossipInterval among hubs, each of which places some 200 requests a
	// second: those that other hubs do not know of yet compete with theirs for the same
	// targets.
	hubGossipInterval = 50 * time.Millisecond
	// spokeGossipInterval is how often a spoke calls its hub, which has some 40 spokes. Until
	// the next call the hub still counts the load of requests that have ended.
	spokeGossipInterval = 150 * time.Millisecond
	// gossipTimeout bounds one call.
	gossipTimeout = 300 * time.Millisecond
	// gossipRetryDelay is the pause after a failed call.
	gossipRetryDelay = time.Second
	// announceFor is how long boxes announce that a target was replaced or ended, or that a
	// request was cleared: several rounds, as calls fail.
	announceFor = 2 * time.Second
	// peerLoadTTL is how long another box's loads count after it was last received.
	peerLoadTTL = time.Second
)

// callPeer exchanges gossip with another box.
type callPeer struct {
	name        string
	address     netip.AddrPort
	requestedAt time.Time
	message     peer.Message
}

// peerAnswered is the result of a call to another box.
type peerAnswered struct {
	name        string
	requestedAt time.Time
	answer      peer.Message
	err         error
}

// peerRequest is a call from another box. The loop answers on reply, which is buffered.
type peerRequest struct {
	message peer.Message
	reply   chan<- peer.Message
}

// gossip exchanges loads with other boxes. In a small fleet and among hubs, each box calls
// those whose names sort after its own, so that each pair talks once. A spoke calls its hub.
func (d *Daemon) gossip(now time.Time, t *tables) []effect {
	t.othersUsage.Expire(now.Add(-peerLoadTTL))
	d.expireAccounts(now, t)
	return d.gossipDue(now, t)
}

// gossipDue gossips if the interval is over.
func (d *Daemon) gossipDue(now time.Time, t *tables) []effect {
	if now.Before(t.due.gossip) || d.credential.Load() == nil {
		return nil
	}
	t.due.gossip = now.Add(d.nextGossipDelay(t))
	d.noteSlowEngines(now, t)
	message := peer.Message{
		Kind: peer.KindGossip, From: d.Settings.Name, TargetLoads: d.gossipLoads(now, t), PrefillTotals: t.prefillBacklog.Totals(now),
		EndedIncarnations: t.recentlyReplaced(now), Stale: d.refusesKeyed(now), CrashReports: t.recentCrashes(now), Lifted: t.recentlyLifted(now), ListRevision: t.listChanged,
		Domain: d.Settings.Domain, Unlisted: t.unlistedMet, AccountLoads: d.accountLoads(now, t), ShortPools: t.accounts.ShortHere(now),
		RunLosses: d.runLossesFor(now, t, ""), LostPools: t.lostPoolNames(),
	}
	t.addParts(now, &message)
	d.addVersion(now, t, &message)
	if !d.spoke.Load() {
		d.addProof(now, t, &message)
	}
	return d.callGossipPartners(now, t, message)
}

// gossipBetweenTicks has hubs gossip as soon as it is due, without waiting for the next tick.
func (d *Daemon) gossipBetweenTicks(now time.Time, t *tables) []effect {
	if d.spoke.Load() || !t.usesHubs() {
		return nil
	}
	return d.gossipDue(now, t)
}

// nextGossipDelay is the interval between two rounds of gossip.
func (d *Daemon) nextGossipDelay(t *tables) time.Duration {
	switch {
	case d.spoke.Load():
		return spokeGossipInterval
	case t.usesHubs():
		return hubGossipInterval
	}
	return gossipInterval
}

// callGossipPartners returns the calls that send a message to this box's gossip partners.
func (d *Daemon) callGossipPartners(now time.Time, t *tables, message peer.Message) []effect {
	var effects []effect
	partners := d.gossipPartners(now, t)
	accountsTo, one := d.accountLoadsTo(now, t, partners)
	for _, name := range partners {
		m := t.members[name]
		if !m.address.IsValid() || m.calling || now.Before(m.retryAt) {
			continue
		}
		m.calling = true
		call := callPeer{name: name, address: m.address, requestedAt: now, message: message}
		if t.hub == name {
			call.message.ListVersion, call.message.ListStartVersion, call.message.QuarantineVersion = t.hubList.Number, t.hubList.SnapshotAt, t.hubQuarantineVersion
		}
		if one && name != accountsTo {
			call.message.AccountLoads = nil
		}
		call.message.CanarySamples = d.canarySamplesForPeer(now, t, m)
		call.message.RateLimits, call.message.BrittlePools = d.limitsForPeer(now, m), t.brittleForPeer(now)
		call.message.RetryCredits = d.takeCredits()
		effects = append(effects, call)
	}
	return effects
}

// gossipPartners are the boxes that this one calls.
func (d *Daemon) gossipPartners(now time.Time, t *tables) []string {
	if d.spoke.Load() {
		if hub := d.viewHub(now, t); hub != "" {
			return []string{hub}
		}
		return nil
	}
	var names []string
	for _, name := range t.hubs() {
		if name > d.Settings.Name {
			names = append(names, name)
		}
	}
	return names
}

// hubs lists the boxes that exchange loads with each other: all boxes of a small fleet, the
// first of each domain in a large one. The caller must not change the list.
func (t *tables) hubs() []string {
	if !t.usesHubs() {
		return slices.Sorted(maps.Keys(t.members))
	}
	t.refreshRanks()
	if t.topHubs == nil {
		t.topHubs = t.topOfEachDomain()
	}
	return t.topHubs
}

// topOfEachDomain lists the first boxes of each domain.
func (t *tables) topOfEachDomain() []string {
	var names []string
	domains := make(map[string]bool)
	for _, m := range t.members {
		domains[m.domain] = true
	}
	for domain := range domains {
		list := t.rankedHubs(domain)
		names = append(names, list[:min(hubsPerDomain, len(list))]...)
	}
	return names
}

func (d *Daemon) callPeer(ctx context.Context, e callPeer) peerAnswered {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.address, e.message)
	return peerAnswered{e.name, e.requestedAt, answer, err}
}

// answerPeer has the loop answer another box's call.
func (d *Daemon) answerPeer(ctx context.Context, m peer.Message) peer.Message {
	if m.Permits != nil {
		return peer.Message{Kind: m.Kind, From: d.Settings.Name, PermitAnswer: d.answerPermits(ctx, m), BrittlePools: d.brittleView.Load().forPeer(d.now())}
	}
	reply := make(chan peer.Message, 1)
	d.postContext(ctx, peerRequest{m, reply})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-d.ended:
	}
	return peer.Message{Kind: m.Kind, Error: "the box is stopping"}
}

// peerRequest answers another box's call.
func (d *Daemon) peerRequest(now time.Time, t *tables, m peer.Message) peer.Message {
	answer := peer.Message{Kind: m.Kind, From: d.Settings.Name}
	switch m.Kind {
	case peer.KindPlace:
		if m.PlacementRequest != nil {
			answer.PlacementResponse = d.placeForPeer(now, t, m)
			break
		}
		answer.Origins = d.answerOrigins(now, t, m)
	case peer.KindConfiguration:
		if raw := d.rawConfiguration.Load(); raw != nil {
			answer.Body = *raw
		}
	case peer.KindOperator:
		d.answerOperator(now, t, m, &answer)
	case peer.KindRetry:
		l := d.retryBudget.Load()
		answer.RetryGranted = l != nil && l.local && d.sharedRetryBudget.Spend(m.RetryPool)
	default:
		d.meetUnlisted(now, t, m)
		d.receiveReplaced(now, t, m)
		d.receiveQuarantine(now, t, m)
		d.receiveAdmitting(now, m)
		d.receiveLimits(now, now, t, m)
		d.receiveBrittle(now, now, t, m)
		t.markHeard(now, m.From)
		t.receiveReach(m)
		answer.LostPools = t.lostPoolNames()
		d.noteBehind(now, t, now, m)
		t.noteProofOf(now, m)
		d.addVersion(now, t, &answer)
		answer.RateLimits, answer.BrittlePools = d.limitsForPeer(now, t.members[m.From]), t.brittleForPeer(now)
		answer.EndedIncarnations, answer.Stale = t.recentlyReplaced(now), d.refusesKeyed(now)
		answer.CrashReports, answer.Lifted = t.recentCrashes(now), t.recentlyLifted(now)
		t.addParts(now, &answer)
		d.applyUsage(now, t, m)
		t.receiveRunLosses(now, m)
		if !t.usesHubs() || slices.Contains(t.hubs(), m.From) {
			answer.TargetLoads, answer.PrefillTotals = d.gossipLoads(now, t), t.prefillBacklog.Totals(now)
			answer.AccountLoads, answer.ShortPools = d.accountLoads(now, t), t.accounts.ShortHere(now)
			answer.RunLosses = d.runLossesFor(now, t, "")
			d.addProof(now, t, &answer)
			d.receiveRewritten(now, t, m)
			d.receiveListRevision(now, t, m)
			answer.ListRevision, answer.Unlisted = t.listChanged, t.unlistedMet
			t.receiveUnlistedCount(now, m)
			d.receiveCanarySamples(now, t, m.CanarySamples)
			if m.CanarySamples != nil {
				answer.CanarySamples = d.canarySamples(t, now.Add(-2*canaryGossipEvery), true)
			}
			break
		}
		t.lastHubRequest = now
		answer.RunLosses = d.runLossesFor(now, t, m.From)
		d.receiveCredits(m)
		d.receiveCanarySamples(now, t, m.CanarySamples)
		answer.View = d.view(now, t, changelog.Cursor{Number: m.ListVersion, SnapshotAt: m.ListStartVersion})
		t.addQuarantine(now, answer.View, m.QuarantineVersion)
		answer.View.Short = t.accounts.Short(now)
		answer.View.Restores, answer.View.RowLost = t.ownRowsRevision.Restores, t.lostRows[m.From]
	}
	return answer
}

func (d *Daemon) peerAnswered(now time.Time, t *tables, m peerAnswered) []effect {
	x := t.members[m.name]
	if x == nil {
		return nil
	}
	x.calling = false
	if errors.Is(m.err, peer.ErrSilent) {
		x.retryAt = now.Add(gossipInterval) // A new connection may work.
		return nil
	}
	failed := m.err != nil || m.answer.Error != ""
	if failed != x.unanswered {
		d.Log.Info("box heard", "name", m.name, "answers", !failed, "err", m.err)
	}
	x.setUnanswered(now, failed)
	if failed {
		x.retryAt = now.Add(gossipRetryDelay)
		if errors.Is(m.err, syscall.ECONNREFUSED) && len(t.brittlePools) > 0 {
			d.keeperSilent(now, t, keeperSilent{m.name, now.Sub(x.heardAt), m.err})
		}
		return nil
	}
	d.receiveReplaced(now, t, m.answer)
	d.receiveQuarantine(now, t, m.answer)
	d.receiveAdmitting(now, m.answer)
	d.receiveLimits(now, m.requestedAt, t, m.answer)
	d.receiveBrittle(now, now, t, m.answer)
	x.heardAt = now
	t.receiveReach(m.answer)
	d.noteBehind(now, t, m.requestedAt, m.answer)
	t.noteProofOf(m.requestedAt, m.answer)
	t.receiveRunLosses(now, m.answer)
	if d.spoke.Load() {
		t.hubHeardAt = now
		t.receiveViewShort(now, m)
		return d.applyView(now, t, m.name, m.requestedAt, m.answer.View)
	}
	d.applyUsage(now, t, m.answer)
	t.receiveViewShort(now, m)
	d.receiveProof(t, m.requestedAt, m.answer)
	d.receiveRewritten(now, t, m.answer)
	t.receiveUnlistedCount(now, m.answer)
	d.receiveCanarySamples(now, t, m.answer.CanarySamples)
	d.receiveListRevision(now, t, m.answer)
	return nil
}

// setUnanswered records whether the box left the last call unanswered.
func (m *member) setUnanswered(now time.Time, failed bool) {
	if failed && !m.unanswered {
		m.unansweredSince = now
	}
	m.unanswered = failed
}

// markHeard records that a box called.
func (t *tables) markHeard(now time.Time, name string) {
	if m := t.members[name]; m != nil {
		m.heardAt = now
	}
}

// recentlyReplaced lists the targets that were found replaced recently enough that other boxes
// may not know.
func (t *tables) recentlyReplaced(now time.Time) []peer.Incarnation {
	var list []peer.Incarnation
	for _, ended := range t.fleet.Ended(now.Add(-announceFor)) {
		list = append(list, peer.Incarnation{ID: ended.ID, StartedMS: unixMS(ended.StartedAt)})
	}
	return list
}

// unixMS returns a time as boxes exchange it, in Unix milliseconds; zero for the zero time.
func unixMS(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMS is the inverse of unixMS.
func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// receiveReplaced applies which targets another box found replaced.
func (d *Daemon) receiveReplaced(now time.Time, t *tables, m peer.Message) {
	for _, ended := range m.EndedIncarnations {
		d.dropReplaced(now, t, fleet.Incarnation{ID: ended.ID, StartedAt: fromUnixMS(ended.StartedMS)}, m.From)
	}
}
