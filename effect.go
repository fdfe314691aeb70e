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

// effect is I/O that the loop requests. Its result, if any, is sent to the loop as a
// message.
type effect any

// readBoxes reads the platform's list of boxes.
type readBoxes struct{ at time.Time }

// readConfiguration reads the configuration if it is newer than have.
type readConfiguration struct {
	at   time.Time
	have *configuration.Configuration
	// peer is the fallback if the table service does not answer; it may be unset.
	peer netip.AddrPort
	name string
}

// fetchFromPeer asks a peer for what a daemon needs to start.
type fetchFromPeer struct{ address netip.AddrPort }

// readLoad reads one target's load report.
type readLoad struct {
	target  string
	address netip.AddrPort
}

// callPeer sends a message to a peer and waits for the answer.
type callPeer struct {
	name    string
	address netip.AddrPort
	message peer.Message
}

// run performs each effect on its own goroutine and sends the results to the loop.
func (d *Daemon) run(ctx context.Context, effects []effect) {
	for _, e := range effects {
		d.effects.Go(func() {
			if m := d.perform(ctx, e); m != nil {
				_ = d.send(ctx, m)
			}
		})
	}
}

// perform carries out an effect and returns its result, or nil.
func (d *Daemon) perform(ctx context.Context, e effect) message {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
		requestedAt := d.now()
		load, err := d.engines.Load(ctx, e.address)
		return loadRead{e.target, load, err, requestedAt}
	case renewLease:
		return leaseRenewed{e.duty, e.lease.AcquireOrRenew(ctx)}
	case readOrders:
		return d.readOrders(ctx, e)
	case sendOrder:
		_ = d.order(ctx, e) // The decision record and the target's report show the outcome.
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

// readConfiguration reads from the table service and, if that fails, from the
// peer.
func (d *Daemon) readConfiguration(ctx context.Context, e readConfiguration) message {
	next, err := d.readNewer(ctx, e.have)
	if err == nil || !e.peer.IsValid() {
		return configurationRead{requestedAt: e.at, configuration: next, err: trace.Wrap(err)}
	}
	snapshot, err := d.fetchSnapshot(ctx, e.peer)
	return configurationRead{requestedAt: e.at, configuration: snapshot.Configuration, err: trace.Wrap(err), from: e.name}
}

// peerSnapshot is what a daemon sends a peer that catches up without the platform.
type peerSnapshot struct {
	Configuration *configuration.Configuration `json:"configuration"`
	Boxes         []boxes.Box                  `json:"boxes"`
}

// fetchSnapshot asks a peer for its snapshot.
func (d *Daemon) fetchSnapshot(ctx context.Context, at netip.AddrPort) (peerSnapshot, error) {
	var snapshot peerSnapshot
	answer, err := d.peers.Call(ctx, at, peer.Message{Kind: peer.KindConfiguration, From: d.Settings.Name})
	if err != nil {
		return snapshot, trace.Wrap(err)
	}
	return snapshot, trace.Wrap(json.Unmarshal(answer.Body, &snapshot))
}

func (d *Daemon) fetchFromPeer(ctx context.Context, at netip.AddrPort) message {
	snapshot, err := d.fetchSnapshot(ctx, at)
	if err != nil || len(snapshot.Boxes) == 0 {
		return nil
	}
	return peerSnapshotRead{
		boxesRead{list: snapshot.Boxes, from: at.String()},
		configurationRead{configuration: snapshot.Configuration, from: at.String()},
	}
}

// readNewer returns the table service's revision if it is higher than have, or
// nil.
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
