package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/engineslow"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// This file tells boxes which engines answer late; package engineslow holds the state. What other
// boxes observed comes with their loads.

const (
	// slowRatio is the ratio from which an engine is logged and counted as slow, normalRatio the
	// one below which it no longer is. Ratios aren't used in pools most of whose engines are slow
	// by this count; nothing else depends on it.
	slowRatio   = 1.5
	normalRatio = 1.2
	// maxSlowLines bounds the log lines about slow engines in a second; the gauge counts all.
	maxSlowLines = 10
)

// engineKey identifies an engine's incarnation in reports, so that one that started again begins
// without a ratio.
func engineKey(incarnation fleet.Incarnation) uint64 {
	return placement.Hash(incarnationKey(incarnation))
}

// observeEngine compares the first event of an answer with its prediction. That is made with
// the speed of the whole pool. It reports whether the answer was late because of the engine.
func (t *tables) observeEngine(now time.Time, p deliver.Placement) bool {
	base, token := t.throughput.Prefill()
	predicted := base + time.Duration(p.PrefillBacklog+p.PrefillTokens)*token
	for _, m := range p.Transfers {
		predicted += time.Duration(float64(m.Expected) * t.slowdownOf(now, m.Source))
	}
	return t.slowEngines.Observe(now, engineKey(fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt}), predicted, now.Sub(p.PlacedAt), p.EngineSlowdown > 1)
}

// engineSlowdown is by which factor an engine's first events are expected to be later than
// predicted, and by which they may be, as observed by all boxes.
func (t *tables) engineSlowdown(now time.Time, x *fleet.Target) (expected, possible float64) {
	if t.slowEngines.IsEmpty() && !t.othersUsage.AnyLate() {
		return 1, 1
	}
	key := engineKey(fleet.Incarnation{ID: x.ID, StartedAt: x.StartedAt})
	others := t.othersUsage.Of(key)
	return t.slowEngines.Of(now, key).Add(engineslow.Evidence{
		Expected: milliseconds(others.FirstExpectedMS), Took: milliseconds(others.FirstTookMS), LateTenths: others.LateTenths,
	}).Ratio()
}

// effectiveSlowdown is what placement uses: engineSlowdown, unless most engines of the pool are slow.
func (t *tables) effectiveSlowdown(now time.Time, x *fleet.Target) (expected, possible float64) {
	if t.mostlySlow[x.Pool] {
		return 1, 1
	}
	return t.engineSlowdown(now, x)
}

// reportOf is what other boxes are told of an engine.
func reportOf(engine uint64, e engineslow.Evidence) peer.TargetLoad {
	return peer.TargetLoad{Target: engine, FirstExpectedMS: int(e.Expected.Milliseconds()), FirstTookMS: int(e.Took.Milliseconds()), LateTenths: e.LateTenths}
}

// noteSlowEngines logs and counts engines that become slow or normal again, and notes the pools
// most of whose engines are slow.
func (d *Daemon) noteSlowEngines(now time.Time, t *tables) {
	table := d.current.Load()
	if table == nil || len(t.slowEnginesLogged) == 0 && t.slowEngines.IsEmpty() && !t.othersUsage.AnyLate() {
		return
	}
	slow := make(map[string]float64)
	clear(t.mostlySlow)
	for name, pool := range table.Pools {
		if pool.Engine == nil {
			continue
		}
		engines, before := t.engines(name), len(slow)
		for _, x := range engines {
			_, ratio := t.engineSlowdown(now, x)
			if ratio >= slowRatio || t.slowEnginesLogged[x.ID] && ratio >= normalRatio {
				slow[x.ID] = ratio
			}
		}
		t.mostlySlow[name] = !engineslow.IsUneven(len(slow)-before, len(engines))
	}
	d.metrics.slowEngines.Set(float64(len(slow)))
	d.logSlowEngines(t, slow)
}

// logSlowEngines logs which engines became slow and which no longer are, or have gone.
func (d *Daemon) logSlowEngines(t *tables, slow map[string]float64) {
	lines := 0
	logChange := func(id string, isSlow bool, ratio float64) {
		if lines++; lines <= maxSlowLines {
			d.Log.Info("engine's first events", "target", id, "slow", isSlow, "ratio", ratio, "boxes", t.othersUsage.Boxes()+1)
		}
	}
	for id, ratio := range slow {
		if !t.slowEnginesLogged[id] {
			t.slowEnginesLogged[id] = true
			logChange(id, true, ratio)
		}
	}
	for id := range t.slowEnginesLogged {
		if _, still := slow[id]; !still {
			delete(t.slowEnginesLogged, id)
			logChange(id, false, 1)
		}
	}
}
