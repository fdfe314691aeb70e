package thymewind

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
)

// system runs over the tables each tick and returns effects.
type system func(now time.Time, t *tables) []effect

// Keys of tables.pending. Load reads use the target's name as the key; names can't
// contain a space, so they never equal one of these.
const (
	pendingBoxes         = "the boxes"
	pendingConfiguration = "the configuration"
	pendingFlush         = "the charges"
	pendingApply         = "the batches"
	pendingDuty          = "the duty "
	pendingEviction      = "the eviction of "
)

// watchersPerTarget is how many boxes read each target's load.
const watchersPerTarget = 2

// pollPlatform reads the list of boxes and the configuration when they are due.
func (d *Daemon) pollPlatform(now time.Time, t *tables) []effect {
	var effects []effect
	if !now.Before(t.due.boxes) && !t.pending[pendingBoxes] {
		t.due.boxes = now.Add(d.jitter(d.Settings.Timing.Poll))
		t.pending[pendingBoxes] = true
		effects = append(effects, readBoxes{at: now})
	}
	if !now.Before(t.due.configuration) && !t.pending[pendingConfiguration] {
		t.due.configuration = now.Add(d.jitter(d.Settings.Timing.Poll))
		t.pending[pendingConfiguration] = true
		effects = append(effects, readConfiguration{at: now, have: t.Configuration})
	}
	return effects
}

// maxUnreportedReads is how many targets without a load report are read at a time.
const maxUnreportedReads = 50

// pollLoads reads the load of the targets that this box watches, and of some that have
// no report yet.
func (d *Daemon) pollLoads(now time.Time, t *tables) []effect {
	if now.Before(t.due.loads) {
		return nil
	}
	t.due.loads = now.Add(d.Settings.Timing.Load)
	var effects []effect
	for _, name := range t.watched {
		effects = append(effects, t.readLoad(name)...)
	}
	unreported := 0
	for name, x := range t.Targets.All() {
		if x.ReportedAt.IsZero() && unreported < maxUnreportedReads {
			read := t.readLoad(name)
			unreported += len(read)
			effects = append(effects, read...)
		}
	}
	return effects
}

// readLoad reads one model engine's load, unless a read is in flight.
func (t *tables) readLoad(name string) []effect {
	x, known := t.Targets.Lookup(name)
	if !known || t.pending[name] || t.Configuration.Pools[x.Pool].Kind != pool.KindModel {
		return nil
	}
	t.pending[name] = true
	return []effect{readLoad{target: name, address: x.Address}}
}

// chooseWatched chooses the targets whose load this box reads: those for which it is
// among the first watchersPerTarget entry boxes by rendezvous hash. Call it when the
// list of boxes has changed.
func (d *Daemon) chooseWatched(t *tables) {
	t.watched = t.watched[:0]
	for name, x := range t.Targets.All() {
		if d.rank(t, x.Hash) < watchersPerTarget {
			t.watched = append(t.watched, name)
		}
	}
}

// rank returns this box's rank by rendezvous hash among the entry boxes that are not
// leaving; 0 is the first.
func (d *Daemon) rank(t *tables, hash uint64) int {
	own := placement.Weight(placement.Hash(d.Settings.Name), hash)
	n := 0
	for name, p := range t.peers.All() {
		if !p.leaving && placement.Weight(placement.Hash(name), hash) > own {
			n++
		}
	}
	return n
}

// updateMetrics sets the gauges from the tables.
func (d *Daemon) updateMetrics(now time.Time, t *tables) []effect {
	const interval = time.Second
	if now.Before(t.due.metrics) {
		return nil
	}
	t.due.metrics = now.Add(interval)
	for name, targets := range t.Pools {
		usable := 0
		for _, x := range targets {
			if x.Usable(now) {
				usable++
			}
		}
		d.metrics.usable.WithLabelValues(name).Set(float64(usable))
		d.metrics.inFlight.WithLabelValues(name).Set(float64(t.Gate.InFlight(name)))
	}
	d.metrics.peers.Set(float64(t.peers.Len()))
	return nil
}

// randomPeers returns up to n peers that are not leaving.
func (d *Daemon) randomPeers(t *tables, n int) []string {
	var names []string
	for name, p := range t.peers.All() {
		if !p.leaving {
			names = append(names, name)
		}
	}
	for i := range min(n, len(names)) {
		j := i + int(d.random()%uint64(len(names)-i))
		names[i], names[j] = names[j], names[i]
	}
	return slices.Clip(names[:min(n, len(names))])
}

// reportClosed logs the clients' connections that were closed for want of room.
func (d *Daemon) reportClosed(now time.Time, _ *tables) []effect {
	d.gate.Report(now, d.Log)
	return nil
}
