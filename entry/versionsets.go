package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/versionset"
)

// Which versions of a pool's software may begin streams is agreed on in a row of the table service
// (package versionset). Boxes that read the list of targets write it, the first by rank at once.

// softwarePrefix begins the keys of these rows; the pool's name follows.
const softwarePrefix = "software/"

const (
	// announceStep and forgetStep are by how much later each next box by rank writes a version that
	// came, and one that is gone for long.
	announceStep = 60 * time.Millisecond
	forgetStep   = 10 * time.Second
	// versionsRetryDelay is the pause after a write.
	versionsRetryDelay = 300 * time.Millisecond
)

// versionRow is the value of such a row.
type versionRow struct {
	Versions []string `json:"versions"`
}

func decodeVersions(value []byte) (*versionset.Set, error) {
	var row versionRow
	if value != nil {
		if err := json.Unmarshal(value, &row); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	set := &versionset.Set{}
	set.Read(time.Time{}, row.Versions)
	return set, nil
}

// poolVersions is what a box knows of a pool's row.
type poolVersions struct {
	versionset.Set
	// revision is the row's; its number is zero if there is none.
	revision revision.Revision
	// dueSince is since when the row should be another one, zero if it is as it should be.
	dueSince time.Time
	// writing says that a write is under way; after it none begins before retryAt.
	writing bool
	retryAt time.Time
}

// writeVersions writes a row if it is as it was read.
type writeVersions struct {
	pool     string
	versions []string
	revision revision.Revision
}

// versionsWritten is the result; current is the row as read after the write, or nil if it was not
// read.
type versionsWritten struct {
	writeVersions
	current *table.Row
	err     error
}

// versionsOf returns what is known of a pool's row.
func (t *tables) versionsOf(pool string) *poolVersions {
	v := t.versionSets[pool]
	if v == nil {
		v = &poolVersions{revision: revision.Revision{Restores: t.ownRowsRevision.Restores}}
		t.versionSets[pool] = v
	}
	return v
}

// announceVersions writes the rows that differ from what the list shows.
func (d *Daemon) announceVersions(now time.Time, t *tables) []effect {
	current := d.current.Load()
	if !d.bindsSoftware || d.spoke.Load() || !t.ownRowsKnown || t.listRead.IsZero() || t.tableServiceDown || current == nil {
		return nil
	}
	var effects []effect
	for _, pool := range current.StreamPools() {
		v := t.versionsOf(pool)
		due, changes := v.Due(now, t.fleet.SoftwareVersions(pool))
		if !changes {
			v.dueSince = time.Time{}
			continue
		}
		if v.dueSince.IsZero() {
			v.dueSince = now
		}
		step := forgetStep
		if v.Grows(due) {
			step = announceStep
		}
		if v.writing || now.Before(v.retryAt) || now.Sub(v.dueSince) < step*time.Duration(t.rankAmongHubs()) {
			continue
		}
		v.writing = true
		effects = append(effects, writeVersions{pool, due, v.revision})
	}
	return effects
}

// rankAmongHubs is this box's place among those that read the list.
func (t *tables) rankAmongHubs() int {
	if rank := slices.Index(t.hubs(), t.self); rank >= 0 {
		return rank
	}
	return len(t.hubs())
}

func (d *Daemon) writeVersions(ctx context.Context, e writeVersions) versionsWritten {
	key := softwarePrefix + e.pool
	value, err := json.Marshal(versionRow{e.versions})
	if err == nil {
		err = d.Platform.Commit(ctx, table.Transaction{
			Expect: []table.Condition{{Key: key, Revision: e.revision.Number, Restores: e.revision.Restores}}, Put: []table.Row{{Key: key, Value: value}},
		})
	}
	current, readErr := d.Platform.Read(ctx, key)
	if readErr != nil && !trace.IsNotFound(readErr) {
		return versionsWritten{e, nil, cmp.Or(err, readErr)}
	}
	return versionsWritten{e, &current, err}
}

// versionsWritten applies the row as read after a write.
func (d *Daemon) versionsWritten(now time.Time, t *tables, m versionsWritten) {
	v := t.versionsOf(m.pool)
	v.writing, v.retryAt = false, now.Add(versionsRetryDelay)
	if m.err != nil && !trace.IsCompareFailed(m.err) {
		d.Log.Warn("a pool's software versions were not written", "pool", m.pool, "versions", m.versions, "err", m.err)
	}
	if m.current != nil {
		d.applyVersions(now, t, m.pool, m.current.Value, m.current.At())
	}
}

// applyVersions applies a pool's row; its value is nil if there is none.
func (d *Daemon) applyVersions(now time.Time, t *tables, pool string, value []byte, changed revision.Revision) {
	v := t.versionsOf(pool)
	if v.revision.After(changed) {
		return
	}
	var row versionRow
	if value != nil {
		if err := json.Unmarshal(value, &row); err != nil {
			d.Log.Error("a row of software versions can't be decoded", "pool", pool, "err", err)
			return
		}
	}
	if !slices.Equal(v.Versions(), row.Versions) {
		d.Log.Info("software versions that may begin streams", "pool", pool, "versions", row.Versions, "before", v.Versions(), "row", changed)
	}
	v.revision = changed
	v.Read(now, row.Versions)
	for _, x := range t.fleet.Pool(pool) {
		t.markAnnounced(x)
	}
}

// forgetVersions drops what is known of rows that a snapshot after a restore lacks.
func (d *Daemon) forgetVersions(now time.Time, t *tables, stored map[string][]byte, restores uint64) {
	for pool := range t.versionSets {
		if stored[softwarePrefix+pool] == nil {
			d.applyVersions(now, t, pool, nil, revision.Revision{Restores: restores})
		}
	}
}

// mayBegin reports whether a target's version may begin streams. Until this box has read whether there is
// a row, none may of a pool with several: the row may have one of them alone, so that streams are taken
// up as if that one had begun them.
func (t *tables) mayBegin(x *fleet.Target) bool {
	if !t.ownRowsKnown && len(t.fleet.SoftwareVersions(x.Pool)) > 1 {
		return false
	}
	return t.versionsOf(x.Pool).May(x.Software)
}

// markAllAnnounced is markAnnounced for all targets.
func (t *tables) markAllAnnounced() {
	for _, id := range t.fleet.IDs() {
		t.markAnnounced(t.fleet.Target(id))
	}
}

// markAnnounced notes whether a target's version may begin streams.
func (t *tables) markAnnounced(x *fleet.Target) {
	if unannounced := !t.mayBegin(x); unannounced != x.Unannounced {
		x.Unannounced = unannounced
		t.markChanged(x.ID)
	}
}
