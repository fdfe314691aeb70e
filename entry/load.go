package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// told is what this box tells of: its own requests, and in a large fleet those
// of the boxes that tell it.
func (d *Daemon) told(now time.Time, t *tables) []peer.Share {
	own := t.ownShares(now)
	if !t.large() || d.spoke.Load() {
		return own
	}
	sum := t.others.Without(t.hubs())
	for _, s := range own {
		sum[s.Target] = s.Plus(sum[s.Target])
	}
	return slices.Collect(maps.Values(sum))
}

// ownShares lists what this box's requests take up, and how long the moves took
// that they waited for.
func (t *tables) ownShares(now time.Time) []peer.Share {
	var list []peer.Share
	t.pace.Each(now, func(source uint64, asked, took time.Duration) {
		list = append(list, peer.Share{Target: source, AskedMS: int(asked.Milliseconds()), TookMS: int(took.Milliseconds())})
	})
	for _, id := range t.fleet.All() {
		x := t.fleet.Target(id)
		if x.Tokens > 0 || x.Unread > 0 {
			list = append(list, peer.Share{Target: placement.Hash(id), Tokens: x.Tokens, Unread: x.Unread})
		}
	}
	return list
}

// heard takes over what another box's requests take up.
func (t *tables) heard(now time.Time, name string, list []peer.Share) {
	if t.members[name] != nil {
		t.others.Set(now, name, list)
	}
}

// load is what all boxes' requests take up at a target. A box that hears no
// other takes each of them to use as much as itself, spread over all targets.
func (d *Daemon) load(t *tables, x *fleet.Target) (tokens, unread int) {
	if t.others.Boxes() == 0 {
		return x.Tokens + t.usual.Tokens, x.Unread + t.usual.Unread
	}
	others := t.others.Of(placement.Hash(x.ID))
	return others.Tokens + x.Tokens, others.Unread + x.Unread
}

// spread is what other boxes' requests take up at each of some targets, if each
// box uses as much as this one.
func (t *tables) spread(targets []*fleet.Target) peer.Share {
	var own peer.Share
	for _, x := range targets {
		own.Tokens += x.Tokens
		own.Unread += x.Unread
	}
	others, n := t.boxes()-1, max(len(targets), 1)
	return peer.Share{Tokens: own.Tokens * others / n, Unread: own.Unread * others / n}
}
