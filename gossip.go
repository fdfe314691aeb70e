package thymewind

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/target"
)

// Limits on the contents of a gossip message, which bound its size too.
const (
	// gossipFanOut is how many peers a periodic message goes to, newRevisionFanOut
	// how many get one at once when a new revision is in force.
	gossipFanOut      = 1
	newRevisionFanOut = 3
	// maxBusyLoads bounds the load reports of busy targets, maxOtherLoads those of
	// further targets, busy or not, which take turns from message to message.
	maxBusyLoads  = 8
	maxOtherLoads = 8
	maxLeaving    = 32
	maxDemand     = 12
	maxUsage      = 16
	maxLimits     = 16
	// maxLoadAge is the age from which a load report is not passed on.
	maxLoadAge = 10 * time.Second
	// maxLeavingAge is how long a target's leaving is passed on. The age is part of
	// the message, so that boxes don't renew it among themselves for ever.
	maxLeavingAge = 30 * time.Second
	// busyThreshold is the queueing time from which a target counts as busy. Reports
	// of busy targets need not wait for their turn.
	busyThreshold = 100 * time.Millisecond
)

// peerAnswered is a peer's answer, or the error of the call.
type peerAnswered struct {
	name    string
	message peer.Message
	err     error
}

// peerRequest is a message from a peer; the loop answers on reply.
type peerRequest struct {
	message peer.Message
	reply   chan<- peer.Message
}

// gossip exchanges soft state with random peers when that is due.
func (d *Daemon) gossip(now time.Time, t *tables) []effect {
	if now.Before(t.due.gossip) {
		return nil
	}
	t.due.gossip = now.Add(d.jitter(d.Settings.Timing.Gossip))
	d.peers.Sweep(now)
	return d.gossipTo(now, t, gossipFanOut)
}

// gossipTo sends this box's state to up to so many random peers.
func (d *Daemon) gossipTo(now time.Time, t *tables, peers int) []effect {
	var effects []effect
	for _, name := range d.randomPeers(t, peers) {
		p, _ := t.peers.Lookup(name)
		effects = append(effects, callPeer{name: name, address: p.address, message: d.gossipMessage(now, t)})
	}
	return effects
}

// gossipMessage returns this box's state for its peers: the load reports of busy
// targets and, in turn, of some others, the leaving targets, its demand of accounts
// with limits, its usage of pools, crash reports and targets' rate limits.
func (d *Daemon) gossipMessage(now time.Time, t *tables) peer.Message {
	m := peer.Message{Kind: peer.KindGossip, From: d.Settings.Name, Revision: t.Configuration.Revision}
	names := t.Targets.Keys()
	busy, others := 0, 0
	for i := range names {
		x, _ := t.Targets.Lookup(names[(i+t.nextLoad)%len(names)])
		if leavingAge := now.Sub(x.LeavingAt); x.Leaving && leavingAge < maxLeavingAge && len(m.Leaving) < maxLeaving {
			m.Leaving = append(m.Leaving, peer.Leaving{Target: x.ID, Age: int(leavingAge.Milliseconds())})
		}
		age := now.Sub(x.ReportedAt)
		if x.ReportedAt.IsZero() || age > maxLoadAge {
			continue
		}
		switch {
		case x.Wait(now, busyThreshold) >= busyThreshold && busy < maxBusyLoads:
			busy++
		case others < maxOtherLoads:
			others++
		default:
			continue
		}
		m.Loads = append(m.Loads, loadOf(now, x, age))
	}
	t.nextLoad += maxOtherLoads
	m.Demand = t.demand(now)
	m.Usage = t.usage(now)
	t.crashes.addReports(now, &m)
	m.RateLimits = d.rateLimits(now)
	return m
}

// demand returns this box's demand of accounts that have limits.
func (t *tables) demand(now time.Time) []peer.Demand {
	var all []peer.Demand
	for _, account := range t.Active() {
		a := t.Configuration.Accounts[account]
		if len(all) < maxDemand && (a.Concurrency > 0 || a.TokensPerMinute > 0) {
			all = append(all, peer.Demand{Account: account, Requests: t.Demand(now, account)})
		}
	}
	return all
}

// usage returns what this box's requests occupy in each model pool.
func (t *tables) usage(now time.Time) []peer.PoolUsage {
	var all []peer.PoolUsage
	for name, p := range t.Configuration.Pools {
		if p.Kind != pool.KindModel || len(all) >= maxUsage {
			continue
		}
		engines, slots := t.Used(now, name)
		if engines > 0 || slots > 0 {
			all = append(all, peer.PoolUsage{Pool: name, Engines: int(engines * peer.UsageScale), Slots: int(slots * peer.UsageScale)})
		}
	}
	return all
}

func loadOf(now time.Time, x *target.Target, age time.Duration) peer.Load {
	return peer.Load{
		Target: x.ID, Version: x.Version, Loading: x.Loading, Running: x.Running, Waiting: x.Waiting, Slots: x.Slots,
		Queued: int(x.Wait(now, 0).Milliseconds()), Age: int(age.Milliseconds()),
	}
}

// receiveGossip applies a peer's state. A higher revision is not adopted; it only has
// the configuration read again.
func (d *Daemon) receiveGossip(now time.Time, t *tables, m peer.Message) []effect {
	if p, known := t.peers.Lookup(m.From); known {
		p.heardAt = now
		p.revision = m.Revision
		p.demand, p.usage = m.Demand, m.Usage
		t.peers.Put(m.From, p)
	}
	for _, l := range m.Loads {
		t.receiveLoad(now, l)
	}
	d.receiveCrashReports(now, t, m)
	for _, l := range m.Leaving {
		if x, known := t.byID[l.Target]; known && l.Age >= 0 {
			t.MarkLeaving(x, now.Add(-time.Duration(l.Age)*time.Millisecond), m.From)
		}
	}
	d.receiveLimits(now, t, m)
	if m.Revision > t.Configuration.Revision {
		return d.catchUp(now, t, m.From)
	}
	return nil
}

// receiveLoad applies a load report from a peer if it is newer than the one known.
func (t *tables) receiveLoad(now time.Time, l peer.Load) {
	x, known := t.byID[l.Target]
	at := now.Add(-time.Duration(l.Age) * time.Millisecond)
	if !known || l.Age < 0 || l.Queued < 0 || !at.After(x.ReportedAt) {
		return
	}
	x.Slots, x.Version, x.Loading = l.Slots, l.Version, l.Loading
	busy := time.Duration(l.Queued) * time.Millisecond
	if busy > 0 {
		busy += now.Sub(at) // Queued counts from now, but ApplyReport from the report's time.
	}
	x.ApplyReport(at, l.Running, l.Waiting, busy)
}

// catchUp reads the configuration from the table service and, if that fails, from
// the peer.
func (d *Daemon) catchUp(now time.Time, t *tables, from string) []effect {
	if t.pending[pendingConfiguration] {
		return nil
	}
	t.pending[pendingConfiguration] = true
	p, _ := t.peers.Lookup(from)
	return []effect{readConfiguration{at: now, have: t.Configuration, peer: p.address, name: from}}
}

// answerPeer serves one message from a peer.
func (d *Daemon) answerPeer(ctx context.Context, m peer.Message) peer.Message {
	answer := peer.Message{Kind: m.Kind, From: d.Settings.Name}
	switch m.Kind {
	case peer.KindGossip:
		reply := make(chan peer.Message, 1)
		if d.send(ctx, peerRequest{m, reply}) != nil {
			answer.Error = "stopping"
			return answer
		}
		select {
		case answer = <-reply:
		case <-ctx.Done():
			answer.Error = "stopping"
		}
	case peer.KindConfiguration:
		answer.Body = d.snapshotJSON(ctx)
	case peer.KindQuery:
		answer.Body = d.answerQuery(ctx, m.Statement)
	default:
		answer.Error = "unknown kind of message"
	}
	return answer
}

// snapshotJSON returns this daemon's configuration and list of boxes, in JSON.
func (d *Daemon) snapshotJSON(ctx context.Context) []byte {
	snapshot := peerSnapshot{Configuration: d.current.Load()}
	d.inspect(ctx, func(_ time.Time, t *tables) { snapshot.Boxes = slices.Clone(t.list) })
	body, err := json.Marshal(snapshot)
	if err != nil {
		return nil
	}
	return body
}
