package entry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
)

// update changes the tables for one message and returns what to do about it.
func (d *Daemon) update(now time.Time, m message) []effect {
	t := &d.tables
	switch m := m.(type) {
	case placeAsked:
		if effects, remote := d.placeRemotely(now, t, m); remote {
			return effects
		}
		place, err := d.place(now, t, m.ask)
		m.reply <- placeAnswer{place, err}
	case suspectAsked:
		m.reply <- looksDead(now, t, m.target)
	case answerBegan:
		if x := t.fleet.Target(m.place.Target); x != nil {
			x.Began(now, m.place.Unread)
		}
	case sendingEnded:
		d.sendingEnded(now, t, m)
	case operatorRead:
		return d.operatorRead(now, t, m)
	case targetsRead:
		return d.targetsRead(now, t, m)
	case ownRead:
		return d.ownRead(now, t, m)
	case storeLost:
		t.storeAway = true
		d.Log.Warn("table service lost", "err", m.err, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	case storeBack:
		t.storeAway = false
		t.doubtList(now)
		d.Log.Info("table service back", "configuration", d.version())
	case newsRead:
		return d.newsRead(now, t, m)
	case leaseStepped:
		d.leaseStepped(now, t, m)
	case announced:
		return d.announced(now, t, m)
	case freedOld:
		return d.freedOld(now, t, m)
	case orderEnded:
		d.orderEnded(now, t, m)
	case hubPlaced:
		return d.hubPlaced(now, t, m)
	case configurationFromHub:
		return d.configurationFromHub(now, t, m)
	case peerCalled:
		return d.peerCalled(now, t, m)
	case peerAsks:
		m.reply <- d.peerAsks(now, t, m.m)
	case probed:
		d.probed(now, t, m)
	}
	return nil
}

// operatorRead takes over what the operator wrote. A lower version is never
// taken.
func (d *Daemon) operatorRead(now time.Time, t *tables, m operatorRead) []effect {
	d.prove(m.asked)
	for model, version := range m.change.Weights {
		if w := t.model(model); version > w.wanted {
			d.Log.Info("weights named", "model", model, "version", version, "before", w.wanted)
			w.name(now, version)
		}
	}
	if err := m.change.Unusable; err != nil {
		d.Log.Error("configuration can't be used; the last good one stays", "err", err, "in_force", d.version())
	}
	next := m.change.Table
	if next == nil || next.Version <= d.version() {
		return nil
	}
	d.Log.Info("configuration in force", "version", next.Version, "before", d.version(), "asked_ago", now.Sub(m.asked))
	d.counts.configuration.Set(float64(next.Version))
	d.raw.Store(&m.change.Raw)
	d.current.Store(next)
	d.listStores(t, next)
	return d.follow(now, t)
}

// targetsRead takes over the list of targets.
func (d *Daemon) targetsRead(now time.Time, t *tables, m targetsRead) []effect {
	if t.listNumber == 0 {
		t.listNumber = rand.Uint64()
	}
	t.listNumber++
	for _, err := range m.change.Unusable {
		d.Log.Error("entry of a target can't be used", "err", err)
	}
	seen := make(map[string]bool, len(m.change.Listed))
	for _, e := range m.change.Listed {
		seen[e.ID] = true
		d.listTarget(t, e)
	}
	gone := m.change.Gone
	if m.change.Whole {
		for _, id := range t.fleet.All() {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		d.unlist(now, t, id, m.away)
	}
	return d.follow(now, t)
}

// listTarget takes an entry over. It returns nil if the target is known to be
// replaced.
func (d *Daemon) listTarget(t *tables, e fleet.Entry) *fleet.Target {
	before := t.fleet.Target(e.ID)
	wasLeaving := before != nil && before.Leaving
	x, fresh := t.fleet.List(e)
	switch {
	case x == nil: // Its address is another replica's by now.
	case fresh:
		d.Log.Info("target in", "target", e.ID, "pool", e.Pool, "at", e.Address, "domain", e.Domain, "leaving", e.Leaving)
	case x.Leaving && !wasLeaving:
		d.Log.Info("target leaves", "target", e.ID, "pool", e.Pool)
	}
	return x
}

// unlist handles an entry that is gone. One that was lost while the table
// service was away may come back.
func (d *Daemon) unlist(now time.Time, t *tables, id string, away bool) {
	x := t.fleet.Target(id)
	if x == nil {
		return
	}
	if !x.Leaving {
		t.doubtGone(now, x)
	}
	if away && !x.Leaving {
		d.Log.Warn("target's entry lapsed while the table service was away", "target", id, "kept_for", fleet.LapsedFor)
		t.fleet.Lapse(now, id)
		return
	}
	d.Log.Info("target gone", "target", id, "pool", x.Pool, "in_flight", x.InFlight)
	d.drop(t, id)
}

// doubtGone notes that a target went from the list without notice: it may live,
// and be used by boxes that have not read that yet.
func (t *tables) doubtGone(now time.Time, x *fleet.Target) {
	for model, version := range x.Versions {
		if w := t.weights[model]; w != nil && version < w.wanted {
			w.clearing.Doubt(now)
		}
	}
}

func (d *Daemon) drop(t *tables, id string) {
	t.changed()
	t.fleet.Drop(id)
	t.directory.Forget(id)
}

// newsRead takes over what a source says of its kept parts.
func (d *Daemon) newsRead(now time.Time, t *tables, m newsRead) []effect {
	if t.followed[m.source] == nil {
		return nil // It came while the following was stopped.
	}
	x := t.fleet.Target(m.source)
	if m.err != nil {
		t.directory.Silence(m.source)
		if x != nil {
			if !x.Avoided(now) {
				d.Log.Warn("target can't be heard", "target", m.source, "err", m.err)
			}
			x.Fail(now)
		}
		return nil
	}
	restarted := t.directory.Begin(m.source, m.news.Epoch)
	if restarted && x != nil {
		return d.replaced(now, t, m.source, "its news")
	}
	if restarted {
		d.Log.Warn("store restarted and lost what it kept", "store", m.source, "epoch", m.news.Epoch)
	}
	if x != nil {
		x.Heard(now)
	}
	if m.news.Clock > 0 {
		t.clock, t.timed = m.news.Clock-d.uptime(now), true
	}
	if m.listed {
		t.directory.Clear(m.source)
	}
	for _, c := range m.news.Changes {
		key := directory.Of(c.Scope, c.Part)
		if c.Kept {
			t.directory.Add(m.source, key, c.Tokens)
			continue
		}
		t.directory.Remove(m.source, key)
	}
	return nil
}

// replaced forgets a target for good, as another replica has its address.
func (d *Daemon) replaced(now time.Time, t *tables, id, from string) []effect {
	if x := t.fleet.Target(id); x != nil {
		t.doubtGone(now, x) // It may be back under another ID, with its weights.
	}
	if !t.fleet.Replace(now, id) {
		return nil
	}
	d.Log.Warn("another replica has the target's address", "target", id, "told_by", from)
	t.directory.Forget(id)
	t.changed()
	return d.follow(now, t)
}

// sendingEnded learns from how a sending went.
func (d *Daemon) sendingEnded(now time.Time, t *tables, m sendingEnded) {
	x := t.fleet.Target(m.Place.Target)
	if x == nil {
		return
	}
	x.Ended(now, m.Began, m.Place.Unread, m.Place.Tokens, m.Failed)
	if m.Verdict != 0 {
		x.Heard(now)
	}
	if m.Unreachable {
		x.Fail(now)
		d.Log.Warn("target failed a request", "target", x.ID, "pool", x.Pool, "request", m.Job.ID, "grey", x.Grey(now))
	}
	d.learn(now, t, x, m)
}

// probed takes over a target's health.
func (d *Daemon) probed(now time.Time, t *tables, m probed) {
	delete(t.probing, m.target)
	x := t.fleet.Target(m.target)
	if x == nil {
		return
	}
	if errors.Is(m.err, ErrReplaced) {
		d.replaced(now, t, m.target, "its health")
		return
	}
	if m.err != nil {
		x.Fail(now)
		return
	}
	x.Heard(now)
}
