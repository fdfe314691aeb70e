// Package entry is the daemon of one entry box on the users' platform. It admits requests,
// places each on a target, passes the complete answer back, and keeps the engines on the
// newest weights. It has no storage of its own: durable state lives in the platform's
// table service.
//
//	d := entry.Daemon{Settings: s, Platform: platform.New(s), Log: logger, Registry: prometheus.NewRegistry()}
//	err := d.Run(ctx) // returns after a planned stop
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/entry/settings"
)

// Daemon is the process of one entry box. Set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Platform Platform
	// Front builds the callers' handler.
	Front Front
	Log   *log.Logger
	// Reload delivers settings that were read again while the daemon runs; nil delivers
	// none. Changed bounds and log levels take effect, changed addresses don't.
	Reload <-chan settings.Settings
	// Registry registers the daemon's metrics.
	Registry *prometheus.Registry
	// Sweep closes connections to targets that are no longer needed; it is called about
	// once a second.
	Sweep func(now time.Time)

	components
	tables  tables
	metrics metricSet
	// messages is buffered, so that requests rarely wait for the loop.
	messages chan message
	// current is the configuration in force and its proof, for readers outside the loop.
	current inForce
	// unprovedReadAt is when the operator's rows were last read without proving that, as a
	// restore of the table service may have lost changes.
	unprovedReadAt atomic.Pointer[time.Time]
	// otherReadyAt is when another box last reported that it can admit callers.
	otherReadyAt atomic.Pointer[time.Time]
	// bounds are the platform's as last read.
	bounds atomic.Pointer[settings.Bounds]
	// rawConfiguration is the configuration as it was read, for boxes that ask this one.
	rawConfiguration atomic.Pointer[[]byte]
	// spoke says that this box takes its view of the platform from a hub.
	spoke atomic.Bool
	// unlisted says that this box has no row in the table service.
	unlisted atomic.Bool
	// roleSince is since when this box knows its role in the fleet.
	roleSince atomic.Pointer[time.Time]
	// listReads triggers a read of the list when another box knows of a later change.
	listReads listReads
	// roleUnknown says that this box waits for the other boxes' rows and so does not
	// know its role.
	roleUnknown atomic.Bool
	// hasSpokes says that other boxes take their view from this one.
	hasSpokes atomic.Bool
	// peerProofMaxAge is, in nanoseconds, the age of another hub's proof up to which this
	// box does not read the operator's rows itself; zero if it does not wait for proofs.
	// operatorBehind says that another hub knows of a later change.
	peerProofMaxAge atomic.Int64
	operatorBehind  atomic.Bool
	// credential authenticates boxes to each other; nil until it was read.
	credential atomic.Pointer[string]
	// newCredential is the one that this box writes if there is none. Only the watcher of the
	// system's own rows uses it.
	newCredential string
	// short says that requests wait for room at this box or at its hub, so that fingerprints are
	// needed.
	short atomic.Bool
	// brittleView is what requests read of brittle pools.
	brittleView atomic.Pointer[brittleView]
	// partsSuspected says that a prompt part may crash engines, so that first events are reported.
	partsSuspected atomic.Bool
	// stopping is set when a planned stop begins, closing when connections should end.
	stopping, closing atomic.Bool
	// stopEnds is when a planned stop cuts off what still runs; nil before it begins.
	stopEnds atomic.Pointer[time.Time]
	effects  sync.WaitGroup
	// ended is closed when the loop takes no more messages.
	ended chan struct{}
}

// Run serves until ctx ends and then stops in order: no accepted request is cut off within
// the time that the platform gives.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := d.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	d.Log.Info("started", "callers", d.Settings.Callers, "ready", d.Settings.Ready, "store", d.Settings.Store.Address, "counts_suspensions", boottime.CountsSuspensions())
	var work sync.WaitGroup
	d.outage.start(background)
	work.Go(func() { d.loop(background) })
	work.Go(func() { d.watch(background) })
	work.Go(func() { d.reload(background) })
	<-ctx.Done()
	d.drain(servers)
	cancel()
	work.Wait()
	d.effects.Wait()
	d.Log.Info("stopped")
	return nil
}

// loop owns all state: update changes the tables for each message, systems run over them
// each tick, and both return effects, which alone use the network.
func (d *Daemon) loop(ctx context.Context) {
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	defer close(d.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			now := d.now()
			d.noteStall(now, &d.tables)
			d.run(ctx, d.update(now, m))
			d.run(ctx, d.gossipBetweenTicks(now, &d.tables))
		case <-ticks.C:
			now := d.now()
			d.noteStall(now, &d.tables)
			for _, system := range d.systems {
				d.run(ctx, system(now, &d.tables))
			}
		}
	}
}

// post sends a message to the loop, unless the loop has ended.
func (d *Daemon) post(m message) {
	select {
	case d.messages <- m:
	case <-d.ended:
	}
}

// postContext sends a message to the loop, unless ctx ends first.
func (d *Daemon) postContext(ctx context.Context, m message) {
	select {
	case d.messages <- m:
	case <-ctx.Done():
	}
}
