package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// How boxes tell each other what their requests take up at the targets.
const (
	// gossipEvery is how often each pair of boxes exchanges shares; a request
	// takes some seconds.
	gossipEvery = 150 * time.Millisecond
	// gossipFor is how long a call may take.
	gossipFor = 300 * time.Millisecond
	// gossipAgain is the pause after a call that failed.
	gossipAgain = time.Second
	// heardFor is how long another box's shares count.
	heardFor = time.Second
	// meshBoxes is the most boxes that all call each other: a box then spends
	// about a hundredth of a core on it.
	meshBoxes = 16
)

// callPeer exchanges shares with another box.
type callPeer struct {
	name string
	at   netip.AddrPort
	own  []peer.Share
}

// peerCalled tells what another box answered.
type peerCalled struct {
	name string
	m    peer.Message
	err  error
}

// peerAsks is another box's call; the loop answers on reply, which has room.
type peerAsks struct {
	m     peer.Message
	reply chan<- peer.Message
}

// gossip calls the boxes whose names come behind this one's, so that each pair
// talks once.
func (d *Daemon) gossip(now time.Time, t *tables) []effect {
	if now.Before(t.due.gossip) || len(t.members) > meshBoxes || d.credential.Load() == nil {
		return nil
	}
	t.due.gossip = now.Add(gossipEvery)
	own := shares(t)
	var effects []effect
	for name, m := range t.members {
		if name <= d.Settings.Name || !m.at.IsValid() || m.calling || now.Before(m.retry) {
			continue
		}
		m.calling = true
		effects = append(effects, callPeer{name, m.at, own})
	}
	return effects
}

// shares lists what this box's requests take up.
func shares(t *tables) []peer.Share {
	var list []peer.Share
	for _, id := range t.fleet.All() {
		x := t.fleet.Target(id)
		if x.Tokens > 0 || x.Unread > 0 {
			list = append(list, peer.Share{Target: placement.Hash(id), Tokens: x.Tokens, Unread: x.Unread})
		}
	}
	return list
}

func (d *Daemon) callPeer(ctx context.Context, e callPeer) peerCalled {
	ctx, cancel := context.WithTimeout(ctx, gossipFor)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.at, peer.Message{Kind: peer.KindGossip, From: d.Settings.Name, Shares: e.own})
	return peerCalled{e.name, answer, err}
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

func (d *Daemon) peerCalled(now time.Time, t *tables, m peerCalled) {
	x := t.members[m.name]
	if x == nil {
		return
	}
	x.calling = false
	failed := m.err != nil || m.m.Error != ""
	if failed != x.failed {
		d.Log.Info("box heard", "name", m.name, "answers", !failed, "err", m.err)
	}
	x.failed = failed
	if failed {
		x.retry = now.Add(gossipAgain)
		return
	}
	t.heard(now, m.name, m.m.Shares)
}

// heard takes over what another box's requests take up.
func (t *tables) heard(now time.Time, name string, list []peer.Share) {
	x := t.members[name]
	if x == nil {
		return
	}
	x.heard = now
	x.shares = make(map[uint64]peer.Share, len(list))
	for _, s := range list {
		x.shares[s.Target] = s
	}
}

// load is what all boxes' requests take up at a target. A box that hears no
// other takes them to use as much as itself.
func (d *Daemon) load(now time.Time, t *tables, x *fleet.Target) (tokens, unread int) {
	tokens, unread = x.Tokens, x.Unread
	known, hash := 1, placement.Hash(x.ID)
	for name, m := range t.members {
		if name == d.Settings.Name || now.Sub(m.heard) > heardFor {
			continue
		}
		s := m.shares[hash]
		tokens += s.Tokens
		unread += s.Unread
		known++
	}
	if known > 1 {
		return tokens, unread
	}
	return tokens * t.boxes(), unread * t.boxes()
}
