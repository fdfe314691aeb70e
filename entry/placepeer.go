package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// This file is the hub's side of placing: placehub.go is that of the boxes that ask it.

// warmShare is the share of the sources of kept parts that a hub must have heard of once
// before it places requests for others.
const warmShare = 0.8

// placeForPeer places another box's request, by all that this box knows. It
// returns nil if that is too little.
func (d *Daemon) placeForPeer(now time.Time, t *tables, m peer.Message) *peer.Placed {
	t.askedAsHub = now
	table := d.current.Load()
	if table == nil || table.Pools[m.Ask.Pool] == nil || d.evacuationsUnknown(now) {
		return nil
	}
	pool := table.Pools[m.Ask.Pool]
	if pool.Engine != nil && (!d.warm(t) || d.weightsUnknown(now)) {
		return nil
	}
	job := &deliver.Job{
		Call: &deliver.Call{ID: m.Ask.Request, Model: m.Ask.Model, Input: m.Ask.Tokens},
		Pool: pool, Route: &routing.Route{Goal: time.Duration(m.Ask.GoalMS) * time.Millisecond},
	}
	if m.Ask.Limited {
		job.Route.Regions = append(routing.Regions{}, m.Ask.Regions...)
	}
	if m.Ask.Walled != "" {
		job.Account = &routing.Account{Name: m.Ask.Walled, Isolated: true}
	}
	for _, p := range m.Ask.Parts {
		job.Parts = append(job.Parts, deliver.Part{ID: p.ID, Tokens: p.Tokens})
	}
	ask, closed := deliver.Ask{Job: job, Tried: m.Ask.Tried}, among(m.Ask.Closed)
	var place deliver.Place
	var refused *refusal.Refusal
	if job.Pool.Engine == nil {
		place, refused = d.choosePlain(now, t, ask, closed)
	} else {
		place, refused = d.chooseEngine(now, t, ask, sender{t.domainOf(m.From), roomOf(m.Ask), among(m.Ask.Linked), closed})
	}
	if refused != nil {
		return &peer.Placed{Refused: refused.Code, Reason: refused.Reason}
	}
	t.charge(m.From, place)
	t.reads.Place(now, placement.Hash(place.Target), place.Unread)
	var moves []peer.Move
	for _, m := range place.Moves {
		moves = append(moves, peer.Move{Source: m.Source, TakesUS: m.Takes.Microseconds()})
	}
	return &peer.Placed{
		Entry:  t.comes(now, place.Target),
		Target: place.Target, Version: place.Version, Fetch: format(place.Fetch), Save: format(place.Save),
		UntilMS: place.FetchUntil.Milliseconds(), Kept: place.Kept, Fetched: place.Fetched, Saved: place.Saved,
		Unread: place.Unread, Rule: place.Rule, Ahead: place.Ahead, Moves: moves, Granted: place.Granted,
	}
}

// comes is the entry of a target that came into use so lately that other boxes may not know
// of it, or nil.
func (t *tables) comes(now time.Time, id string) *peer.Entry {
	x := t.fleet.Target(id)
	u := t.inUse[x.Pool]
	if u == nil || u.members == nil || !x.LapsedAt.IsZero() || now.Sub(u.since[id]) > comesFor {
		return nil
	}
	entry := entryOf(now, x)
	return &entry
}

// domainOf returns the failure domain of a box, or an empty text if it is not
// known.
func (t *tables) domainOf(box string) string {
	if m := t.members[box]; m != nil {
		return m.domain
	}
	return ""
}

// warm says that most sources of kept parts were heard of since this box follows
// them. Sources that end later make no odds.
func (d *Daemon) warm(t *tables) bool {
	if t.warmed {
		return true
	}
	if t.unsteady(d.now()) {
		return false
	}
	heard := 0
	for name := range t.followed {
		if t.directory.Heard(name) {
			heard++
		}
	}
	t.warmed = heard > 0 && float64(heard) >= warmShare*float64(len(t.followed))
	if t.warmed {
		d.Log.Info("hub knows what is kept", "heard", heard, "followed", len(t.followed))
	}
	return t.warmed
}

// charge counts a request that was just placed for another box, until that box
// tells of it itself.
func (t *tables) charge(box string, place deliver.Place) {
	t.others.Add(box, peer.Share{Target: placement.Hash(place.Target), Tokens: place.Tokens})
}

// among says which targets another box named.
func among(list []uint32) func(*fleet.Target) bool {
	return func(x *fleet.Target) bool { return slices.Contains(list, short(x)) }
}

func format(list []netip.AddrPort) []string {
	if list == nil {
		return nil
	}
	out := make([]string, len(list))
	for i, at := range list {
		if at.IsValid() {
			out[i] = at.String()
		}
	}
	return out
}
