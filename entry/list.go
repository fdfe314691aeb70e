package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// targetsRead applies a read of the target list.
func (d *Daemon) targetsRead(now time.Time, t *tables, m targetsRead) []effect {
	if t.listVersion == 0 {
		t.beginList()
	}
	d.noteRestore(now, t, m.change.Known)
	restored := m.change.Known.Restores > t.listRestores
	t.listRestores = m.change.Known.Restores
	t.listRead = m.requestedAt
	t.hub, t.hubList, t.hubListed = "", changelog.Cursor{}, nil // What it lacks of a hub's list is unknown, so the next one is taken whole.
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
		if x := d.listTarget(now, t, e); x != nil {
			t.markAnnounced(x)
		}
	}
	gone := m.change.Removed
	if m.change.Snapshot {
		for _, id := range t.fleet.IDs() {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		delete(t.heldEntries, id)
		d.unlist(now, t, id, m.afterOutage || restored)
	}
	if !t.ownRowsKnown { // Then it depends on how many versions a pool has.
		t.markAllAnnounced()
	}
	d.refreshInUse(now, t)
	return d.reconcileSources(now, t)
}

// markStaleVersions records for a newly listed target which of its weights are older than the
// newest version named.
func (t *tables) markStaleVersions(x *fleet.Target) {
	for model, version := range x.Versions {
		if version < t.rolloutOf(model).newestVersion {
			x.StaleVersions[model] = version
		}
	}
}

// listTarget adds or updates a target by its entry. It returns nil if the target is known to
// have been replaced.
func (d *Daemon) listTarget(now time.Time, t *tables, e fleet.Entry) *fleet.Target {
	before := t.fleet.Target(e.ID)
	wasLeaving := before != nil && before.Leaving
	wasCold := before != nil && before.Cold(now)
	var earlier peer.Entry
	if before != nil {
		earlier = entryOf(now, before)
	}
	x, fresh := t.fleet.Upsert(now, e)
	if x != nil {
		d.applySignals(now, x)
	}
	if x != nil && e.Cold > 0 && !wasCold {
		d.Log.Info("target is cold", "target", e.ID, "pool", e.Pool, "domain", e.Domain, "for", e.Cold)
	}
	if x != nil && (fresh || differs(earlier, entryOf(now, x))) {
		t.markChanged(e.ID)
	}
	switch {
	case x == nil: // Another replica has its address by now.
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

// maxLoggedTargets is the fleet size up to which each new target is logged at info level. For a
// list of thousands the count is logged instead.
const maxLoggedTargets = 600

// logTarget logs that a target is in the list.
func (d *Daemon) logTarget(t *tables, x *fleet.Target) {
	log := d.Log.Info
	if t.fleet.Len() > maxLoggedTargets {
		log = d.Log.Debug
	}
	log("target in", "target", x.ID, "born", x.StartedAt, "pool", x.Pool, "at", x.Address, "domain", x.Domain, "software", x.Software, "leaving", x.Leaving)
}

// targetRestarted drops the state of a target's earlier incarnation that is kept outside the
// fleet's table: its cached parts, its feed of cache events and whether it was loading.
func (d *Daemon) targetRestarted(now time.Time, t *tables, before, x *fleet.Target) {
	d.Log.Warn("target has started again", "target", x.ID, "pool", x.Pool, "born", x.StartedAt, "before", before.StartedAt, "in_flight", before.InFlight)
	d.inheritBackoff(now, before.Incarnation(), x)
	d.incarnationEnded(now, t, incarnationKey(before.Incarnation()), "its entry")
	t.markGoneUncertain(now, before)
	t.forgetTarget(x.ID)
}

// forgetTarget drops which parts a target caches and the load that this box's requests have
// there, and stops watching it. Watching starts again if the target is listed.
func (t *tables) forgetTarget(id string) {
	t.directory.Forget(id)
	delete(t.loading, id)
	delete(t.targetsInUse, id)
	if stop := t.watched[id]; stop != nil {
		stop()
		delete(t.watched, id)
	}
}

// unlist handles an entry that is gone from the list. With away, the entry may come back: it
// was lost in an outage or a restore of the table service.
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

// markGoneUncertain records that a target left the list without draining: it may still run, and
// boxes that have not read the change may still send to it.
func (t *tables) markGoneUncertain(now time.Time, x *fleet.Target) {
	for model, version := range x.Versions {
		if w := t.weights[model]; w != nil && version < w.newestVersion {
			w.reclaim.MarkIncomplete(now)
		}
	}
}

func (d *Daemon) removeTarget(t *tables, id string) {
	if x := t.fleet.Target(id); x != nil {
		t.reach.Forget(x.Pool, id)
	}
	t.markRemoved(id)
	t.fleet.Drop(id)
	t.forgetTarget(id)
}

// dropReplaced forgets a target whose incarnation is over, as another replica has its address
// or it restarted. The next incarnation comes with its own entry.
func (d *Daemon) dropReplaced(now time.Time, t *tables, ended fleet.Incarnation, from string) []effect {
	x := t.fleet.Incarnation(ended)
	if !t.fleet.MarkEnded(now, ended) {
		return nil
	}
	if x != nil {
		t.markGoneUncertain(now, x) // It may come back with its old weights.
	}
	d.Log.Warn("a target's life is over", "target", ended.ID, "born", ended.StartedAt, "told_by", from)
	d.incarnationEnded(now, t, incarnationKey(ended), from)
	t.forgetTarget(ended.ID)
	t.markRemoved(ended.ID)
	return d.reconcileSources(now, t)
}
