// Package thymewind serves language-model prompts that return after long gaps:
// it places each request on a target, relays the whole answer, and can say why.
//
// A daemon runs on every entry box; none is special:
//
//	d := thymewind.Daemon{Settings: s, Log: logger, Registry: prometheus.NewRegistry()}
//	err := d.Run(ctx) // returns after a planned stop
package thymewind

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/settings"
)

// Daemon is the process of one entry box. Set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Log      *log.Logger
	// Registry takes the daemon's metrics.
	Registry *prometheus.Registry
	// Listening, if it is set, hears of the addresses once all are open. With
	// port 0 in the settings it is the way to learn them.
	OnListening func(callers, operators, peers netip.AddrPort)

	components
	tables  tables
	records decision.Ring
	metrics  metricSet
	// messages is unbuffered enough that the loop is never far behind.
	messages chan message
	// current is the revision in force, for readers outside the loop.
	current atomic.Pointer[configuration.Configuration]
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// effects counts effects that still run.
	effects sync.WaitGroup
}

// Run serves until ctx ends and then stops in order: no request that was
// accepted is cut.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.build(); err != nil {
		return trace.Wrap(err)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	listeners, err := d.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	var work sync.WaitGroup
	work.Go(func() { d.loop(background) })
	work.Go(func() { d.claims.Run(background) })
	<-ctx.Done()
	err = d.drain(background, listeners)
	cancel()
	work.Wait()
	d.effects.Wait()
	return trace.Wrap(err)
}

// loop is the whole daemon: a message changes the tables in update, systems
// run over them each tick, and both return effects, which alone touch the
// network.
func (d *Daemon) loop(ctx context.Context) {
	tick := time.NewTicker(d.Settings.Timing.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			d.run(ctx, d.update(d.now(), m))
		case <-tick.C:
			d.run(ctx, d.tick(d.now()))
		}
	}
}

// tick runs the systems over the tables.
func (d *Daemon) tick(now time.Time) []effect {
	var effects []effect
	d.tables.noteTick(now)
	for _, system := range d.systems {
		effects = append(effects, system(now, &d.tables)...)
	}
	return effects
}

// send hands a message to the loop, unless ctx ends first.
func (d *Daemon) send(ctx context.Context, m message) error {
	select {
	case d.messages <- m:
		return nil
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "the daemon is stopping")
	}
}
