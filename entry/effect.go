package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/table"
)

// effect is something to do outside the loop.
type effect any

// watchSource watches a source's cache events until ctx ends.
type watchSource struct {
	ctx     context.Context
	name    string
	address netip.AddrPort
	// hold is how long the source may hold a call, interval the least time between two
	// calls.
	hold, interval time.Duration
}

// stepLease acquires or renews the rollout's lease, and reads what the previous holder
// wrote. known is the last epoch in which this box read that; it does so once an epoch.
type stepLease struct{ known uint64 }

// freeParts clears stores of a model's parts below a version.
type freeParts struct {
	model   string
	version int64
	stores  []netip.AddrPort
	// until is when the stores must not act any more, on the targets' clock.
	until time.Duration
}

// announce writes which targets of a model load weights now, under an epoch of the lease.
type announce struct {
	model string
	epoch uint64
	row   table.Row
	// at is the revision of the row that it replaces, as far as this box has read.
	at revision.Revision
}

// sendOrder brings one target to a version.
type sendOrder struct {
	order   rollout.Order
	address netip.AddrPort
	// incarnation is the target's incarnation when the order was decided.
	incarnation fleet.Incarnation
}

// run starts effects; each posts its result to the loop.
func (d *Daemon) run(ctx context.Context, effects []effect) {
	for _, e := range effects {
		d.effects.Go(func() { d.perform(ctx, e) })
	}
}

func (d *Daemon) perform(ctx context.Context, e effect) {
	switch e := e.(type) {
	case watchSource:
		d.watchSource(ctx, e)
	case stepLease:
		d.postContext(ctx, d.step(ctx, e))
	case freeParts:
		d.postContext(ctx, staleFreed{e.model, e.version, d.freeStores(ctx, e)})
	case announce:
		d.postContext(ctx, announced{e, d.writeRolloutRow(ctx, e)})
	case sendOrder:
		err := d.loadWeights(ctx, e)
		d.postContext(ctx, orderEnded{e.order.Target, e.order.Model, e.order.Version, err})
	case askHub:
		d.postContext(ctx, d.askHub(ctx, e))
	case borrowToken:
		d.postContext(ctx, d.borrowToken(ctx, e))
	case renewAt:
		d.renewAt(ctx, e)
	case fetchConfiguration:
		d.postContext(ctx, d.fetchConfiguration(ctx, e))
	case readFromBox:
		d.postContext(ctx, d.readFromBox(ctx, e))
	case callPeer:
		d.postContext(ctx, d.callPeer(ctx, e))
	case pollLoaded:
		requestedAt := d.now()
		report, err := d.Platform.Report(ctx, e.address)
		d.signalsFromReport(requestedAt, e.incarnation, report)
		d.postContext(ctx, loadPolled{e.target, report, err})
	case probe:
		d.postContext(ctx, probed{e, d.runProbe(ctx, e)})
	case claimTrial:
		d.postContext(ctx, d.claimTrial(ctx, e))
	case tellOrigins:
		d.postContext(ctx, d.tellOrigins(ctx, e))
	case askOrigin:
		d.postContext(ctx, d.askOrigin(ctx, e))
	case readSole:
		d.postContext(ctx, d.readSole(ctx, e))
	case writeVersions:
		d.postContext(ctx, d.writeVersions(ctx, e))
	case writeCanary:
		d.postContext(ctx, d.writeCanary(ctx, e))
	case reportCanary:
		d.postContext(ctx, d.reportCanary(ctx, e))
	case writeCrashes:
		d.postContext(ctx, d.writeCrashes(ctx, e))
	case rewrite:
		d.postContext(ctx, d.rewrite(ctx, e))
	}
}

func (d *Daemon) step(ctx context.Context, e stepLease) leaseStepped {
	m := leaseStepped{err: d.lease.AcquireOrRenew(ctx)}
	epoch, _, held := d.lease.Held()
	if !held || epoch == e.known {
		return m
	}
	own, err := d.Platform.OwnRows(ctx, revision.Revision{}, 0)
	if err != nil {
		m.err = err
		return m
	}
	m.read, m.rows = true, own.Rows
	return m
}
