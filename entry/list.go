package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// targetsRead takes over the list of targets.
func (d *Daemon) targetsRead(now time.Time, t *tables, m targetsRead) []effect {
	if t.listVersion == 0 {
		t.beginList()
	}
	d.noteRestore(now, t, m.change.Known)
	restored := m.change.Known.Restores > t.listRestores
	t.listRestores = m.change.Known.Restores
	t.listRead = m.asked
	t.hub, t.hubList, t.hubSeen = "", changelog.Cursor{}, nil // What it lacks of a hub's list is not known.
	d.noteListRead(now, t, m)
	for _, id := range slices.Sorted(maps.Keys(m.change.Unusable)) {
		d.Log.Error("entry can't be used, so it names no target", "target", id, "err", m.change.Unusable[id])
		d.unlist(now, t, id, false)
	}
	if m.change.Snapshot {
		d.Log.Info("list of targets read", "targets", len(m.change.Listed), "revision", m.change.Known, "known", t.listKnown, "before", t.fleet.Len())
	}
	seen := make(map[string]bool, len(m.change.Listed))
	for _, e := range m.change.Listed {
		seen[e.ID] = true
		if restored && d.holdEntry(now, t, e) {
			continue
		}
		delete(t.heldEntries, e.ID)
		d.listTarget(now, t, e)
	}
	gone := m.change.Gone
	if m.change.Snapshot {
		for _, id := range t.fleet.IDs() {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		delete(t.heldEntries, id)
		d.unlist(now, t, id, m.away || restored)
	}
	d.refreshInUse(now, t)
	return d.reconcileSources(now, t)
}

// markStaleVersions notes weights older than the newest named with which a target comes
// into the list.
func (t *tables) markStaleVersions(x *fleet.Target) {
	for model, version := range x.Versions {
		if version < t.rolloutOf(model).newestVersion {
			x.StaleVersions[model] = version
		}
	}
}

// listTarget takes an entry over. It returns nil if the target is known to be
// replaced.
func (d *Daemon) listTarget(now time.Time, t *tables, e fleet.Entry) *fleet.Target {
	before := t.fleet.Target(e.ID)
	wasLeaving := before != nil && before.Leaving
	wasCold := before != nil && before.Cold(now)
	var told peer.Entry
	if before != nil {
		told = entryOf(now, before)
	}
	x, fresh := t.fleet.Upsert(now, e)
	if x != nil {
		d.applyNotices(now, x)
	}
	if x != nil && e.Cold > 0 && !wasCold {
		d.Log.Info("target is cold", "target", e.ID, "pool", e.Pool, "domain", e.Domain, "for", e.Cold)
	}
	if x != nil && (fresh || differs(told, entryOf(now, x))) {
		t.touch(e.ID)
	}
	switch {
	case x == nil: // Its address is another replica's by now.
	case fresh:
		if before != nil {
			d.targetRestarted(now, t, before, x)
		}
		t.markStaleVersions(x)
		d.logTarget(t, x)
	case x.Leaving && !wasLeaving:
		d.Log.Info("target leaves", "target", e.ID, "pool", e.Pool)
	}
	return x
}

// maxLoggedTargets is how many targets a box logs as they come: of a list of thousands its number is
// told.
const maxLoggedTargets = 600

// logTarget logs that a target is in the list.
func (d *Daemon) logTarget(t *tables, x *fleet.Target) {
	log := d.Log.Info
	if t.fleet.Len() > maxLoggedTargets {
		log = d.Log.Debug
	}
	log("target in", "target", x.ID, "born", x.StartedAt, "pool", x.Pool, "at", x.Address, "domain", x.Domain, "leaving", x.Leaving)
}

// targetRestarted drops what is kept of a target's earlier life beside the fleet's table: what
// it kept, its news and that it was loading.
func (d *Daemon) targetRestarted(now time.Time, t *tables, before, x *fleet.Target) {
	d.Log.Warn("target has started again", "target", x.ID, "pool", x.Pool, "born", x.StartedAt, "before", before.StartedAt, "in_flight", before.InFlight)
	d.incarnationEnded(now, t, incarnationKey(before.Incarnation()), "its entry")
	t.markGoneUncertain(now, before)
	t.forgetTarget(x.ID)
}

// forgetTarget drops what a target kept and what this box's requests took up there, and ends the following of its news, which begins
// anew if it is listed.
func (t *tables) forgetTarget(id string) {
	t.directory.Forget(id)
	delete(t.loading, id)
	delete(t.targetsInUse, id)
	if stop := t.watched[id]; stop != nil {
		stop()
		delete(t.watched, id)
	}
}

// unlist handles an entry that is gone. One that was lost while the table
// service was away may come back.
func (d *Daemon) unlist(now time.Time, t *tables, id string, away bool) {
	x := t.fleet.Target(id)
	if x == nil {
		return
	}
	if !x.Leaving {
		t.markGoneUncertain(now, x)
	}
	if away && !x.Leaving {
		d.Log.Warn("target's entry lapsed while the table service was away, or a restore lost it", "target", id, "kept_for", fleet.LapseGrace)
		t.fleet.Lapse(now, id)
		return
	}
	d.Log.Info("target gone", "target", id, "pool", x.Pool, "in_flight", x.InFlight)
	t.tombstones[id] = tombstone{x.Incarnation(), x.Leaving, now}
	if !x.Leaving {
		d.incarnationEnded(now, t, incarnationKey(x.Incarnation()), "the list")
	}
	d.removeTarget(t, id)
}

// markGoneUncertain notes that a target went from the list without notice: it may live,
// and be used by boxes that have not read that yet.
func (t *tables) markGoneUncertain(now time.Time, x *fleet.Target) {
	for model, version := range x.Versions {
		if w := t.weights[model]; w != nil && version < w.newestVersion {
			w.clearing.MarkIncomplete(now)
		}
	}
}

func (d *Daemon) removeTarget(t *tables, id string) {
	t.untouch(id)
	t.fleet.Drop(id)
	t.forgetTarget(id)
}

// dropReplaced forgets a target whose life is over, as another replica has its address or
// as it started again. Its next life comes with its entry.
func (d *Daemon) dropReplaced(now time.Time, t *tables, life fleet.Incarnation, from string) []effect {
	x := t.fleet.Incarnation(life)
	if !t.fleet.MarkEnded(now, life) {
		return nil
	}
	if x != nil {
		t.markGoneUncertain(now, x) // It may be back, with its weights.
	}
	d.Log.Warn("a target's life is over", "target", life.ID, "born", life.StartedAt, "told_by", from)
	d.incarnationEnded(now, t, incarnationKey(life), from)
	t.forgetTarget(life.ID)
	t.untouch(life.ID)
	return d.reconcileSources(now, t)
}
