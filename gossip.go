package thymewind

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/target"
)

// The bounds of what one message holds, so that its bytes are bounded too.
const (
	partners      = 2
	maxLoads      = 64
	maxLeaving    = 32
	maxDemand     = 32
	loadWorthless = 5 * time.Second
)

// peerAnswered is a peer's answer, or why it gave none.
type peerAnswered struct {
	name    string
	message peer.Message
	err     error
}

// peerSaid is a message that a peer sent; the loop answers on reply.
type peerSaid struct {
	message peer.Message
	reply   chan<- peer.Message
}

// gossip exchanges soft state with a few random peers.
func (d *Daemon) gossip(now time.Time, t *tables) []effect {
	if now.Before(t.due.gossip) {
		return nil
	}
	t.due.gossip = now.Add(d.jitter(d.Settings.Timing.Gossip))
	d.peers.Sweep(now)
	return d.tell(now, t)
}

// tell sends this box's state to a few random peers.
func (d *Daemon) tell(now time.Time, t *tables) []effect {
	var effects []effect
	for _, name := range d.randomPeers(t, partners) {
		p, _ := t.peers.Lookup(name)
		effects = append(effects, tellPeer{name: name, address: p.address, message: d.state(now, t)})
	}
	return effects
}

// state is what this box tells its peers: the freshest reports, the targets
// that are leaving, and its use of limited accounts.
func (d *Daemon) state(now time.Time, t *tables) peer.Message {
	m := peer.Message{Kind: peer.KindGossip, From: d.Settings.Name, Revision: t.Configuration.Revision}
	// Start at a random target, so that over time all of them are told.
	keys := t.Targets.Keys()
	for i := range keys {
		x, _ := t.Targets.Lookup(keys[(i+int(t.turn))%len(keys)])
		age := now.Sub(x.ReportedAt)
		if len(m.Loads) < maxLoads && !x.ReportedAt.IsZero() && age < loadWorthless {
			m.Loads = append(m.Loads, loadOf(now, x, age))
		}
		if len(m.Leaving) < maxLeaving && x.Leaving && x.Listed {
			m.Leaving = append(m.Leaving, peer.Leaving{Target: x.Name, Address: x.Address.String()})
		}
	}
	t.turn += maxLoads
	for account, n := range t.Gate.Accounts() {
		if len(m.Demand) < maxDemand && t.Configuration.Accounts[account].Concurrency > 0 {
			m.Demand = append(m.Demand, peer.Demand{Account: account, Requests: n})
		}
	}
	return m
}

func loadOf(now time.Time, x *target.Target, age time.Duration) peer.Load {
	return peer.Load{
		Target: x.Name, Address: x.Address.String(), Version: x.Version,
		Queued: x.Wait(now, 0), Loading: x.Loading, Running: x.Running, Waiting: x.Waiting, Slots: x.Slots, Age: age,
	}
}

// heard takes a peer's state in. A higher revision is fetched, not believed.
func (d *Daemon) heard(now time.Time, t *tables, m peer.Message) []effect {
	if p, known := t.peers.Lookup(m.From); known {
		p.heard = now
		p.revision = m.Revision
		p.demand = m.Demand
		t.peers.Put(m.From, p)
	}
	for _, l := range m.Loads {
		d.heardLoad(now, t, l)
	}
	for _, l := range m.Leaving {
		x, known := t.Targets.Lookup(l.Target)
		if known && x.Address.String() == l.Address {
			t.MarkLeaving(x, m.From)
		}
	}
	if m.Revision > t.Configuration.Revision {
		return d.catchUp(t, m.From)
	}
	return nil
}

func (d *Daemon) heardLoad(now time.Time, t *tables, l peer.Load) {
	x, known := t.Targets.Lookup(l.Target)
	at := now.Add(-l.Age)
	if !known || x.Address.String() != l.Address || l.Age < 0 || !at.After(x.ReportedAt) {
		return
	}
	x.Slots, x.Version, x.Loading = l.Slots, l.Version, l.Loading
	x.Report(at, l.Running, l.Waiting, l.Queued)
}

// catchUp reads the table service and, if that fails, asks the peer.
func (d *Daemon) catchUp(t *tables, from string) []effect {
	if t.pending[pendingConfiguration] {
		return nil
	}
	t.pending[pendingConfiguration] = true
	p, _ := t.peers.Lookup(from)
	return []effect{readConfiguration{have: t.Configuration, peer: p.address, name: from}}
}

// answerPeer serves one message of a peer.
func (d *Daemon) answerPeer(ctx context.Context, m peer.Message) peer.Message {
	answer := peer.Message{Kind: m.Kind, From: d.Settings.Name}
	switch m.Kind {
	case peer.KindGossip:
		reply := make(chan peer.Message, 1)
		if d.send(ctx, peerSaid{m, reply}) != nil {
			answer.Error = "stopping"
			return answer
		}
		select {
		case answer = <-reply:
		case <-ctx.Done():
			answer.Error = "stopping"
		}
	case peer.KindConfiguration:
		answer.Body = d.holding(ctx)
	case peer.KindQuery:
		answer.Body = d.answerQuery(ctx, m.Statement)
	default:
		answer.Error = "unknown kind of message"
	}
	return answer
}

// holding is what this daemon holds of the platform's, in JSON.
func (d *Daemon) holding(ctx context.Context) []byte {
	held := holding{Configuration: d.current.Load()}
	d.inspect(ctx, func(_ time.Time, t *tables) { held.Boxes = slices.Clone(t.list) })
	body, err := json.Marshal(held)
	if err != nil {
		return nil
	}
	return body
}
