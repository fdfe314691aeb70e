package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// gossipLoads is what this box tells of: its own requests, and in a large fleet those
// of the boxes that tell it.
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

// ownLoads lists what this box's requests take up, and how long the moves took
// that they waited for.
func (t *tables) ownLoads(now time.Time) []peer.TargetLoad {
	var list []peer.TargetLoad
	t.pace.Each(now, func(source uint64, asked, took time.Duration) {
		list = append(list, peer.TargetLoad{Target: source, ExpectedMS: int(asked.Milliseconds()), ActualMS: int(took.Milliseconds())})
	})
	for id, x := range t.targetsInUse {
		share := peer.TargetLoad{Target: placement.Hash(id), Tokens: x.Tokens}
		share.PrefillBacklog = t.overdue.Tokens(now, share.Target)
		if share.IsZero() {
			delete(t.targetsInUse, id) // The next request there brings it back.
			continue
		}
		list = append(list, share)
	}
	return list
}

// receiveLoads takes over what another box's requests take up.
func (t *tables) receiveLoads(now time.Time, name string, list []peer.TargetLoad) {
	if t.members[name] != nil {
		t.othersUsage.Set(now, name, list)
	}
}

// receivePrefill takes over what another box had targets read.
func (t *tables) receivePrefill(now time.Time, name string, list []peer.PrefillTotal) {
	if t.members[name] != nil {
		t.prefillBacklog.Merge(now, name, list)
	}
}

// load is what all boxes' requests take up at a target: memory, and the prompt
// tokens that it is still to read. A box that hears no other takes each of them to
// use as much as itself, spread over all targets.
func (d *Daemon) load(now time.Time, t *tables, x *fleet.Target) (tokens, unread int) {
	target := placement.Hash(x.ID)
	unread = t.prefillBacklog.PrefillBacklog(now, target) + t.overdue.Tokens(now, target)
	if t.othersUsage.Boxes() == 0 {
		return x.Tokens + t.usual.Tokens, unread + t.usual.PrefillBacklog
	}
	others := t.othersUsage.Of(target)
	return others.Tokens + x.Tokens, unread + others.PrefillBacklog
}

// firstTokenJitter is by how much first events miss the time reckoned for them, as a rule.
// A prompt counts as overdue beyond that.
const firstTokenJitter = 60 * time.Millisecond

// countSent counts a request at its target, and notes when the target should have read
// its prompt.
func (t *tables) countSent(now time.Time, p deliver.Placement) {
	x := t.fleet.Target(p.Target)
	x.Sent(now, p.PrefillTokens, p.Tokens)
	t.targetsInUse[p.Target] = x
	if p.PrefillTokens == 0 {
		return
	}
	base, token := t.pace.Prefill()
	due := now.Add(base + time.Duration(p.PrefillBacklog+p.PrefillTokens)*token + firstTokenJitter)
	for _, m := range p.Transfers {
		due = due.Add(m.Expected)
	}
	t.overdue.Add(placement.Hash(p.Target), p.PlacedAt, due, p.PrefillTokens)
}

// presumedOthers is what other boxes' requests take up at each of some targets, if each
// box uses as much as this one.
func (t *tables) presumedOthers(now time.Time, targets []*fleet.Target) peer.TargetLoad {
	var own peer.TargetLoad
	for _, x := range targets {
		own.Tokens += x.Tokens
		own.PrefillBacklog += x.PrefillBacklog
	}
	others, n := t.boxCount(now)-1, max(len(targets), 1)
	return peer.TargetLoad{Tokens: own.Tokens * others / n, PrefillBacklog: own.PrefillBacklog * others / n}
}
