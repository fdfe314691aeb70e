package thymewind

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/peer"
)

// effect is something to do outside the tables. Its result, if any, comes back
// as a message.
type effect any

// readBoxes reads the platform's list.
type readBoxes struct{ at time.Time }

// readConfiguration reads what is newer than the revision at hand.
type readConfiguration struct {
	at   time.Time
	have *configuration.Configuration
	// peer is asked if the table service does not answer; it may be unset.
	peer netip.AddrPort
	name string
}

// fetchFromPeer asks a peer for all that a daemon needs to boot.
type fetchFromPeer struct{ address netip.AddrPort }

// readLoad reads one target's report.
type readLoad struct {
	target  string
	address netip.AddrPort
}

// callPeer sends a peer a message and takes its answer in.
type callPeer struct {
	name    string
	address netip.AddrPort
	message peer.Message
}

// run performs effects, each on a goroutine of its own.
func (d *Daemon) run(ctx context.Context, effects []effect) {
	for _, e := range effects {
		d.effects.Go(func() {
			if m := d.perform(ctx, e); m != nil {
				_ = d.send(ctx, m)
			}
		})
	}
}

// perform is the one place where effects touch the network.
func (d *Daemon) perform(ctx context.Context, e effect) message {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	switch e := e.(type) {
	case readBoxes:
		list, changed, err := d.boxes.Read(ctx)
		return boxesRead{requestedAt: e.at, list: list, unchanged: err == nil && !changed, err: err}
	case fetchFromPeer:
		return d.fetchFromPeer(ctx, e.address)
	case readConfiguration:
		return d.readConfiguration(ctx, e)
	case readLoad:
		asked := d.now()
		load, err := d.engines.Load(ctx, e.address)
		return loadRead{e.target, load, err, asked}
	case renewLease:
		return leaseRenewed{e.duty, e.lease.AcquireOrRenew(ctx)}
	case readOrders:
		return d.readOrders(ctx, e)
	case sendOrder:
		_ = d.order(ctx, e) // The record and the target's report tell.
	case flushCharges:
		return chargesProcessed{pendingFlush, d.ledger.Flush(ctx)}
	case applyCharges:
		return d.applyCharges(ctx)
	case exportCache:
		return d.export(context.WithoutCancel(ctx), e.placed)
	case evictCache:
		return d.evictCache(ctx, e)
	case callPeer:
		answer, err := d.peers.Call(ctx, e.address, e.message)
		return peerAnswered{name: e.name, message: answer, err: err}
	}
	return nil
}

// readConfiguration asks the table service and, if that does not answer, the
// peer.
func (d *Daemon) readConfiguration(ctx context.Context, e readConfiguration) message {
	next, err := d.readNewer(ctx, e.have)
	if err == nil || !e.peer.IsValid() {
		return configurationRead{requestedAt: e.at, configuration: next, err: trace.Wrap(err)}
	}
	held, err := d.fetchSnapshot(ctx, e.peer)
	return configurationRead{requestedAt: e.at, configuration: held.Configuration, err: trace.Wrap(err), from: e.name}
}

// peerSnapshot is what a daemon tells a peer that has to catch up without the
// platform.
type peerSnapshot struct {
	Configuration *configuration.Configuration `json:"configuration"`
	Boxes         []boxes.Box                  `json:"boxes"`
}

// fetchSnapshot asks a peer what it holds.
func (d *Daemon) fetchSnapshot(ctx context.Context, at netip.AddrPort) (peerSnapshot, error) {
	var held peerSnapshot
	answer, err := d.peers.Call(ctx, at, peer.Message{Kind: peer.KindConfiguration, From: d.Settings.Name})
	if err != nil {
		return held, trace.Wrap(err)
	}
	return held, trace.Wrap(json.Unmarshal(answer.Body, &held))
}

func (d *Daemon) fetchFromPeer(ctx context.Context, at netip.AddrPort) message {
	held, err := d.fetchSnapshot(ctx, at)
	if err != nil || len(held.Boxes) == 0 {
		return nil
	}
	return peerSnapshotRead{
		boxesRead{list: held.Boxes, from: at.String()},
		configurationRead{configuration: held.Configuration, from: at.String()},
	}
}

// readNewer returns the revision in force if it is higher than the one at hand.
func (d *Daemon) readNewer(ctx context.Context, have *configuration.Configuration) (*configuration.Configuration, error) {
	if have.Revision == 0 {
		return d.rows.Load(ctx)
	}
	head, err := d.rows.Head(ctx)
	if err != nil || head <= have.Revision {
		return nil, trace.Wrap(err)
	}
	return d.rows.CatchUp(ctx, have)
}
