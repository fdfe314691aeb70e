// Package thymewind is the daemon of an entry box, which serves language-model
// requests whose prompts come back after long gaps. It places each request on a
// target, relays the whole answer and records the reason of each decision.
//
// A daemon runs on every entry box; all are equal:
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
	// Registry receives the daemon's metrics.
	Registry *prometheus.Registry
	// OnListening, if set, is called with the addresses once all listeners are
	// open. With port 0 in the settings this is how to learn the ports.
	OnListening func(callers, operators, peers netip.AddrPort)

	components
	tables  tables
	records decision.Ring
	metrics metricSet
	// messages carries events to the loop. A sender blocks while its buffer of
	// messageQueueSize is full, which bounds how far the loop can fall behind.
	messages chan message
	// current is the configuration in force, for readers outside the loop.
	current atomic.Pointer[configuration.Configuration]
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// effects counts the effects that are still running.
	effects sync.WaitGroup
}

// Run serves until ctx ends and then drains: every accepted request gets its
// whole answer before Run returns.
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

// loop is the daemon's event loop. Messages change the tables in update, and
// systems run over the tables on each tick. Both return effects; only effects
// do I/O.
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

// tick runs all systems over the tables.
func (d *Daemon) tick(now time.Time) []effect {
	var effects []effect
	d.tables.noteTick(now)
	for _, system := range d.systems {
		effects = append(effects, system(now, &d.tables)...)
	}
	return effects
}

// send passes a message to the loop, unless ctx ends first.
func (d *Daemon) send(ctx context.Context, m message) error {
	select {
	case d.messages <- m:
		return nil
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "the daemon is stopping")
	}
}
