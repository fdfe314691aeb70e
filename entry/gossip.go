package entry

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// How boxes tell each other what their requests take up at the targets.
const (
	// gossipEvery is how often each pair of boxes exchanges shares; a request
	// takes some seconds.
	gossipEvery = 150 * time.Millisecond
	// hubsEvery is the same among hubs, each of which places some 200 requests a
	// second: what the others do not know of meanwhile meets theirs at the same
	// targets.
	hubsEvery = 50 * time.Millisecond
	// spokeEvery is how often a box tells its hub: some 40 do. What its requests no
	// longer take up counts until then.
	spokeEvery = 150 * time.Millisecond
	// gossipFor is how long a call may take.
	gossipFor = 300 * time.Millisecond
	// gossipAgain is the pause after a call that failed.
	gossipAgain = time.Second
	// tellFor is how long boxes tell each other of a target that was replaced:
	// some rounds, as calls fail.
	tellFor = 2 * time.Second
	// heardFor is how long another box's shares count.
	heardFor = time.Second
)

// callPeer exchanges shares with another box.
type callPeer struct {
	name  string
	at    netip.AddrPort
	asked time.Time
	m     peer.Message
}

// peerCalled tells what another box answered.
type peerCalled struct {
	name  string
	asked time.Time
	m     peer.Message
	err   error
}

// peerAsks is another box's call; the loop answers on reply, which has room.
type peerAsks struct {
	m     peer.Message
	reply chan<- peer.Message
}

// gossip exchanges shares. Without hubs, and among hubs, each box calls those
// whose names come behind its own, so that each pair talks once; other boxes
// call their hub.
func (d *Daemon) gossip(now time.Time, t *tables) []effect {
	t.others.Expire(now.Add(-heardFor))
	return d.gossipDue(now, t)
}

// gossipDue does so if it is time.
func (d *Daemon) gossipDue(now time.Time, t *tables) []effect {
	if now.Before(t.due.gossip) || d.credential.Load() == nil {
		return nil
	}
	t.due.gossip = now.Add(d.gossipPause(t))
	message := peer.Message{
		Kind: peer.KindGossip, From: d.Settings.Name, Shares: d.told(now, t), Reads: t.reads.Told(now),
		Replaced: t.replacedLately(now), Stale: d.shut(now), Ended: t.endedLately(now), Lifted: t.liftedLately(now), Listed: t.listChanged,
		Domain: d.Settings.Domain, Unlisted: t.unlisted,
	}
	if !t.large() {
		d.tellProof(now, t, &message)
	}
	return d.callPartners(now, t, message)
}

// tellProof tells what this box knows of the operator's rows, and since when.
func (d *Daemon) tellProof(now time.Time, t *tables, m *peer.Message) {
	m.Operator, m.ProofMS, m.Configuration = t.operatorChange, d.provedAgo(now).Milliseconds(), d.version()
}

// hurryGossip has hubs tell each other between two ticks.
func (d *Daemon) hurryGossip(now time.Time, t *tables) []effect {
	if d.spoke.Load() || !t.large() {
		return nil
	}
	return d.gossipDue(now, t)
}

// gossipPause is how long this box waits until it tells others again.
func (d *Daemon) gossipPause(t *tables) time.Duration {
	switch {
	case d.spoke.Load():
		return spokeEvery
	case t.large():
		return hubsEvery
	}
	return gossipEvery
}

// callPartners has a message sent to the boxes that this one calls.
func (d *Daemon) callPartners(now time.Time, t *tables, message peer.Message) []effect {
	var effects []effect
	for _, name := range d.partners(now, t) {
		m := t.members[name]
		if !m.at.IsValid() || m.calling || now.Before(m.retry) {
			continue
		}
		m.calling = true
		call := callPeer{name: name, at: m.at, asked: now, m: message}
		if t.hub == name {
			call.m.List, call.m.ListFrom, call.m.Refuses = t.hubList.Number, t.hubList.From, t.hubRefuses
		}
		call.m.Seen = d.seenFor(now, t, m)
		call.m.Limits = d.limitsFor(now, m)
		call.m.Earned = d.paid()
		effects = append(effects, call)
	}
	return effects
}

// partners are the boxes that this one calls.
func (d *Daemon) partners(now time.Time, t *tables) []string {
	if d.spoke.Load() {
		if hub := d.myHub(now, t); hub != "" {
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

// hubs lists the boxes that exchange shares with each other: all in a small
// fleet, the first of each domain in a large one. The caller must not change the list.
func (t *tables) hubs() []string {
	if !t.large() {
		return slices.Sorted(maps.Keys(t.members))
	}
	t.freshRanks()
	if t.firsts == nil {
		t.firsts = t.firstOfEach()
	}
	return t.firsts
}

// firstOfEach lists the first boxes of each domain.
func (t *tables) firstOfEach() []string {
	var names []string
	domains := make(map[string]bool)
	for _, m := range t.members {
		domains[m.domain] = true
	}
	for domain := range domains {
		list := t.ranked(domain)
		names = append(names, list[:min(standbys, len(list))]...)
	}
	return names
}

func (d *Daemon) callPeer(ctx context.Context, e callPeer) peerCalled {
	ctx, cancel := context.WithTimeout(ctx, gossipFor)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.at, e.m)
	return peerCalled{e.name, e.asked, answer, err}
}

// answerPeer has the loop answer another box.
func (d *Daemon) answerPeer(ctx context.Context, m peer.Message) peer.Message {
	reply := make(chan peer.Message, 1)
	d.tell(ctx, peerAsks{m, reply})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-d.ended:
	}
	return peer.Message{Kind: m.Kind, Error: "the box is stopping"}
}

// peerAsks answers another box's call.
func (d *Daemon) peerAsks(now time.Time, t *tables, m peer.Message) peer.Message {
	answer := peer.Message{Kind: m.Kind, From: d.Settings.Name}
	switch m.Kind {
	case peer.KindPlace:
		if m.Ask != nil {
			answer.Placed = d.placeForPeer(now, t, m)
		}
	case peer.KindConfiguration:
		if raw := d.raw.Load(); raw != nil {
			answer.Body = *raw
		}
	case peer.KindRetry:
		l := d.lender.Load()
		answer.Granted = l != nil && l.own && d.purse.Spend(m.Pool)
	default:
		d.meet(now, t, m)
		d.hearReplaced(now, t, m)
		d.hearQuarantine(now, t, m)
		d.hearOpen(now, m)
		d.hearLimits(now, now, t, m)
		t.heardFrom(now, m.From)
		answer.Limits = d.limitsFor(now, t.members[m.From])
		answer.Replaced, answer.Stale = t.replacedLately(now), d.shut(now)
		answer.Ended, answer.Lifted = t.endedLately(now), t.liftedLately(now)
		d.hear(now, t, m)
		if !t.large() || slices.Contains(t.hubs(), m.From) {
			answer.Shares, answer.Reads = d.told(now, t), t.reads.Told(now)
			d.tellProof(now, t, &answer)
			d.hearSettled(t, m)
			d.hearListed(now, t, m)
			answer.Listed, answer.Unlisted = t.listChanged, t.unlisted
			t.hearCount(now, m)
			d.hearSeen(now, t, m.Seen)
			if m.Seen != nil {
				answer.Seen = d.seenTold(t, now.Add(-2*seenEvery), true)
			}
			break
		}
		t.askedAsHub = now
		d.takePaid(m)
		d.hearSeen(now, t, m.Seen)
		answer.View = d.view(now, t, changelog.Cursor{Number: m.List, From: m.ListFrom})
		t.tellRefused(answer.View, m.Refuses)
		answer.View.Restores, answer.View.RowLost = t.ownKnownAt.Restores, t.rowsLost[m.From]
	}
	return answer
}

func (d *Daemon) peerCalled(now time.Time, t *tables, m peerCalled) []effect {
	x := t.members[m.name]
	if x == nil {
		return nil
	}
	x.calling = false
	if errors.Is(m.err, peer.ErrSilent) {
		x.retry = now.Add(gossipEvery) // A new connection may work.
		return nil
	}
	failed := m.err != nil || m.m.Error != ""
	if failed != x.failed {
		d.Log.Info("box heard", "name", m.name, "answers", !failed, "err", m.err)
	}
	x.failed = failed
	if failed {
		x.retry = now.Add(gossipAgain)
		return nil
	}
	d.hearReplaced(now, t, m.m)
	d.hearQuarantine(now, t, m.m)
	d.hearOpen(now, m.m)
	d.hearLimits(now, m.asked, t, m.m)
	x.heard = now
	if d.spoke.Load() {
		t.hubHeard = now
		return d.viewRead(now, t, m.name, m.asked, m.m.View)
	}
	d.hear(now, t, m.m)
	d.hearProof(t, m.asked, m.m)
	d.hearSettled(t, m.m)
	t.hearCount(now, m.m)
	d.hearSeen(now, t, m.m.Seen)
	d.hearListed(now, t, m.m)
	return nil
}

// heardFrom notes that a box called.
func (t *tables) heardFrom(now time.Time, name string) {
	if m := t.members[name]; m != nil {
		m.heard = now
	}
}

// replacedLately lists the targets that were found replaced so lately that other
// boxes may not know.
func (t *tables) replacedLately(now time.Time) []peer.Life {
	var list []peer.Life
	for _, life := range t.fleet.Replaced(now.Add(-tellFor)) {
		list = append(list, peer.Life{ID: life.ID, BornMS: unixMS(life.Born)})
	}
	return list
}

// unixMS returns a time as it travels between boxes; zero for the zero time.
func unixMS(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMS returns the time that milliseconds stand for.
func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// hearReplaced takes over which targets another box found replaced.
func (d *Daemon) hearReplaced(now time.Time, t *tables, m peer.Message) {
	for _, life := range m.Replaced {
		d.replaced(now, t, fleet.Life{ID: life.ID, Born: fromUnixMS(life.BornMS)}, m.From)
	}
}
