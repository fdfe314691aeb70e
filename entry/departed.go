package entry

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// A restored table service may list a target again that went before the restore, until the
// platform drops its entry. Such entries are held back.

// tombstone is how a target went from the list.
type tombstone struct {
	life fleet.Incarnation
	// leaving says that it had been said to leave, which no life takes back.
	leaving bool
	at      time.Time
}

// heldEntry is an entry that may be from before its target went.
type heldEntry struct {
	entry fleet.Entry
	// until is when the list has dropped it, if its target went; zero if it is known to have
	// left, so that only its own word brings it back.
	until time.Time
}

// staleEntryTTL is how long an entry whose target is gone may stand in a list that came from
// an older copy: the platform drops one behind three heartbeats of silence, some 4 s.
const staleEntryTTL = 10 * time.Second

// tombstoneTTL is how long departures are remembered: a copy is some seconds old.
const tombstoneTTL = time.Minute

// holdEntry keeps an entry of a restored list from being taken over, if its target went from the
// list before: it may still serve, but nobody is to send it anything.
func (d *Daemon) holdEntry(now time.Time, t *tables, e fleet.Entry) bool {
	last, known := t.tombstones[e.ID]
	if !known || e.StartedAt.After(last.life.StartedAt) || now.Sub(last.at) > tombstoneTTL {
		return false
	}
	held := heldEntry{entry: e, until: now.Add(staleEntryTTL)}
	if last.leaving {
		held.until = time.Time{}
	}
	t.heldEntries[e.ID] = held
	d.Log.Warn("target's entry is not taken over, as it went before the table service was restored", "target", e.ID, "gone_for", now.Sub(last.at), "left", last.leaving)
	return true
}

// releaseHeld takes over the entries that the list has kept for longer than it keeps those of
// targets that went.
func (d *Daemon) releaseHeld(now time.Time, t *tables) {
	for id, held := range t.heldEntries {
		if held.until.IsZero() || now.Before(held.until) {
			continue
		}
		delete(t.heldEntries, id)
		d.Log.Info("target's entry is taken over, as the list kept it", "target", id)
		d.listTarget(now, t, held.entry)
	}
	maps.DeleteFunc(t.tombstones, func(_ string, x tombstone) bool { return now.Sub(x.at) > tombstoneTTL })
}
