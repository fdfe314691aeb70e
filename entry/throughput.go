package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/throughput"
)

// answerBegan learns from the time to first byte of an answer.
func (d *Daemon) answerBegan(now time.Time, t *tables, p deliver.Placement) {
	if p.Box != "" {
		return
	}
	if x := t.fleet.Incarnation(fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt}); x != nil {
		x.Began(now, p.PrefillTokens)
		t.reach.Heard(now, x.Pool)
	}
	d.alive(now, t, placementIncarnation(p), p.PlacedAt)
	t.overdue.Done(placement.Hash(p.Target), p.PlacedAt)
	if p.Scope != "" && !p.FromCopy { // What a run that continues has to read is not known.
		// What the engine's own slowness explains is no sample of the pool's speed or of the sources'.
		if d.observeEngine(now, t, p) && len(p.Transfers) == 0 {
			return
		}
		took := time.Duration(float64(now.Sub(p.PlacedAt)) / max(p.EngineSlowdown, 1))
		t.throughput.Observe(now, throughput.Sample{Took: took, Tokens: p.PrefillBacklog + p.PrefillTokens, Transfers: p.Transfers})
	}
}

// prefillPerToken is the learned prefill time of an engine per token.
func (d *Daemon) prefillPerToken() time.Duration {
	_, token := d.tables.throughput.Prefill()
	return token
}

// slowdown is the factor by which transfers from a source take longer than planned, as observed
// by all boxes.
func (t *tables) slowdown(now time.Time, source string) float64 {
	return t.slowdownOf(now, placement.Hash(source))
}

// slowdownOf is slowdown by the hash of the source's name.
func (t *tables) slowdownOf(now time.Time, source uint64) float64 {
	expected, took := t.throughput.Transferred(now, source)
	others := t.othersUsage.Of(source)
	return throughput.Slowdown(expected+milliseconds(others.ExpectedMS), took+milliseconds(others.ActualMS))
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// slowFactor is the factor from which a store is logged as slow. It is used for nothing else.
const slowFactor = 3

// logSlowStores logs when stores become slow and when they recover.
func (d *Daemon) logSlowStores(now time.Time, t *tables) {
	for _, s := range t.stores {
		slowdown := t.slowdown(now, s.Name)
		slow := slowdown >= slowFactor
		if slow == t.slowLogged[s.Name] {
			continue
		}
		t.slowLogged[s.Name] = slow
		d.Log.Info("store's moves", "store", s.Name, "slow", slow, "stretch", slowdown, "boxes", t.othersUsage.Boxes()+1)
	}
}
