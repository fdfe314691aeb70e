package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/engineslow"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// gossipLoads is the load that this box reports: that of its own requests and, on a hub of a
// large fleet, that of the boxes that report to it.
func (d *Daemon) gossipLoads(now time.Time, t *tables) []peer.TargetLoad {
	own := t.ownLoads(now)
	if !t.usesHubs() || d.spoke.Load() {
		return own
	}
	sum := t.othersUsage.Without(t.hubs())
	for _, s := range own {
		sum[s.Target] = s.Add(sum[s.Target])
	}
	return slices.Collect(maps.Values(sum))
}

// ownLoads lists what this box's requests use at each target, and how long the transfers took
// that they waited for.
func (t *tables) ownLoads(now time.Time) []peer.TargetLoad {
	var list []peer.TargetLoad
	t.throughput.Each(now, func(source uint64, expected, took time.Duration) {
		list = append(list, peer.TargetLoad{Target: source, ExpectedMS: int(expected.Milliseconds()), ActualMS: int(took.Milliseconds())})
	})
	t.slowEngines.Each(now, func(engine uint64, e engineslow.Evidence) { list = append(list, reportOf(engine, e)) })
	for id, x := range t.targetsInUse {
		load := peer.TargetLoad{Target: placement.Hash(id), Tokens: x.Tokens}
		load.PrefillBacklog = t.overdue.Tokens(now, load.Target)
		if load.IsZero() {
			delete(t.targetsInUse, id) // The next request there adds it again.
			continue
		}
		list = append(list, load)
	}
	return list
}

// receiveLoads applies the load that another box reported.
func (t *tables) receiveLoads(now time.Time, name string, list []peer.TargetLoad) {
	if t.members[name] != nil {
		t.othersUsage.Set(now, name, list)
	}
}

// receivePrefill applies what another box has sent to targets for prefill.
func (t *tables) receivePrefill(now time.Time, name string, list []peer.PrefillTotal) {
	if t.members[name] != nil {
		t.prefillBacklog.Merge(now, name, list)
	}
}

// load is what all boxes' requests use at a target: memory, and the prompt tokens that it has
// yet to prefill. A box that receives no other's loads assumes that each of them loads the
// targets as much as itself, spread over all targets.
func (d *Daemon) load(now time.Time, t *tables, x *fleet.Target) (tokens, prefill int) {
	target := placement.Hash(x.ID)
	prefill = t.prefillBacklog.PrefillBacklog(now, target) + t.overdue.Tokens(now, target)
	if t.othersUsage.Boxes() == 0 {
		return x.Tokens + t.presumedLoad.Tokens, prefill + t.presumedLoad.PrefillBacklog
	}
	others := t.othersUsage.Of(target)
	return others.Tokens + x.Tokens, prefill + others.PrefillBacklog
}

// firstTokenJitter is the usual error of the predicted time to first token. A prompt is overdue
// once it is later than that.
const firstTokenJitter = 60 * time.Millisecond

// countSent counts a request at its target and notes when the target should have prefilled its
// prompt.
func (t *tables) countSent(now time.Time, p deliver.Placement) {
	x := t.fleet.Target(p.Target)
	x.Sent(now, p.PrefillTokens, p.Tokens)
	t.targetsInUse[p.Target] = x
	if p.PrefillTokens == 0 {
		return
	}
	base, token := t.throughput.Prefill()
	due := now.Add(base + time.Duration(p.PrefillBacklog+p.PrefillTokens)*token + firstTokenJitter)
	for _, m := range p.Transfers {
		due = due.Add(m.Expected)
	}
	t.overdue.Add(placement.Hash(p.Target), p.PlacedAt, due, p.PrefillTokens)
}

// presumedOthers is the load of other boxes at each of some targets, assuming that each box
// loads them as much as this one.
func (t *tables) presumedOthers(now time.Time, targets []*fleet.Target) peer.TargetLoad {
	var own peer.TargetLoad
	for _, x := range targets {
		own.Tokens += x.Tokens
		own.PrefillBacklog += x.PrefillBacklog
	}
	others, n := t.boxCount(now)-1, max(len(targets), 1)
	return peer.TargetLoad{Tokens: own.Tokens * others / n, PrefillBacklog: own.PrefillBacklog * others / n}
}
