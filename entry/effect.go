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

// followSource reads a source's news until ctx ends.
type followSource struct {
	ctx  context.Context
	name string
	at   netip.AddrPort
	// hold is how long the source may hold a call, every the least time between
	// two calls.
	hold, every time.Duration
}

// stepLease renews or takes the rollout's lease, and reads what its earlier
// holder wrote if this box has not done so in the epoch known.
type stepLease struct{ known uint64 }

// freeParts clears stores of a model's parts under versions below one.
type freeParts struct {
	model   string
	version int64
	stores  []netip.AddrPort
	// until is when the stores must not act any more, on the targets' clock.
	until time.Duration
}

// announce writes which targets of a model load weights now.
type announce struct {
	model string
	row   table.Row
}

// sendOrder brings one target to a version.
type sendOrder struct {
	order rollout.Order
	at    netip.AddrPort
	// life is the target's when the order was decided on.
	life fleet.Life
}

// run starts effects; each tells the loop what came of it.
func (d *Daemon) run(ctx context.Context, effects []effect) {
	for _, e := range effects {
		d.effects.Go(func() { d.do(ctx, e) })
	}
}

func (d *Daemon) do(ctx context.Context, e effect) {
	switch e := e.(type) {
	case followSource:
		d.followSource(ctx, e)
	case stepLease:
		d.tell(ctx, d.step(ctx, e))
	case freeParts:
		d.tell(ctx, freedOld{e.model, e.version, d.free(ctx, e)})
	case announce:
		d.tell(ctx, announced{e.model, d.write(ctx, e.row)})
	case sendOrder:
		err := d.bring(ctx, e)
		d.tell(ctx, orderEnded{e.order.Target, e.order.Model, e.order.Version, err})
	case askHub:
		d.tell(ctx, d.askHub(ctx, e))
	case readFromHub:
		d.tell(ctx, d.readFromHub(ctx, e))
	case callPeer:
		d.tell(ctx, d.callPeer(ctx, e))
	case askLoaded:
		asked := d.now()
		report, err := d.Platform.Report(ctx, e.at)
		d.heedReport(asked, e.life, report)
		d.tell(ctx, loadedAsked{e.target, report, err})
	case probe:
		d.tell(ctx, probed{e, d.ask(ctx, e)})
	case claimTrial:
		d.tell(ctx, d.claimTrial(ctx, e))
	case decideCanary:
		d.tell(ctx, d.decideCanary(ctx, e))
	case tellCanary:
		d.tell(ctx, d.tellCanary(ctx, e))
	case writeCrashes:
		d.tell(ctx, d.writeCrashes(ctx, e))
	case rewrite:
		d.tell(ctx, d.rewrite(ctx, e))
	}
}

func (d *Daemon) step(ctx context.Context, e stepLease) leaseStepped {
	m := leaseStepped{err: d.lease.Step(ctx)}
	epoch, _, held := d.lease.Held()
	if !held || epoch == e.known {
		return m
	}
	own, err := d.Platform.Own(ctx, revision.Revision{}, 0)
	if err != nil {
		m.err = err
		return m
	}
	m.read, m.rows = true, own.Rows
	return m
}

// write puts one row without a condition: only the holder of the rollout's
// lease writes it, and readers take it for a hint.
func (d *Daemon) write(ctx context.Context, row table.Row) error {
	return d.Platform.Commit(ctx, table.Transaction{Put: []table.Row{row}})
}
