package entry

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// A restored table service may list a target again that was removed before the restore, until
// the platform drops its entry. Such entries are held back.

// tombstone records a target that was removed from the list.
type tombstone struct {
	incarnation fleet.Incarnation
	// leaving means that the target had announced its drain, which is final within an
	// incarnation.
	leaving   bool
	removedAt time.Time
}

// heldEntry is an entry that may be from before its target was removed.
type heldEntry struct {
	entry fleet.Entry
	// until is when the list must have dropped the entry if its target is gone. It is zero for
	// a target that drained, which only a later entry of its own brings back.
	until time.Time
}

// staleEntryTTL is how long the entry of a removed target may stay in a list restored from an
// older copy. The platform drops an entry after three missed heartbeats, some 4 s.
const staleEntryTTL = 10 * time.Second

// tombstoneTTL is how long tombstones are kept. A copy is some seconds old.
const tombstoneTTL = time.Minute

// holdEntry keeps an entry of a restored list from being applied if its target was removed
// before: the target may still serve, but must get no work.
func (d *Daemon) holdEntry(now time.Time, t *tables, e fleet.Entry) bool {
	last, known := t.tombstones[e.ID]
	if !known || e.StartedAt.After(last.incarnation.StartedAt) || now.Sub(last.removedAt) > tombstoneTTL {
		return false
	}
	held := heldEntry{entry: e, until: now.Add(staleEntryTTL)}
	if last.leaving {
		held.until = time.Time{}
	}
	t.heldEntries[e.ID] = held
	d.Log.Warn("target's entry is not taken over, as the target was gone before the table service was restored", "target", e.ID, "gone_for", now.Sub(last.removedAt), "left", last.leaving)
	return true
}

// releaseHeld applies the held entries that stayed in the list for longer than those of removed
// targets do.
func (d *Daemon) releaseHeld(now time.Time, t *tables) {
	for id, held := range t.heldEntries {
		if held.until.IsZero() || now.Before(held.until) {
			continue
		}
		delete(t.heldEntries, id)
		d.Log.Info("held entry of a target is applied, as the list still has it", "target", id)
		d.listTarget(now, t, held.entry)
	}
	maps.DeleteFunc(t.tombstones, func(_ string, x tombstone) bool { return now.Sub(x.removedAt) > tombstoneTTL })
}
