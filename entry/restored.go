package entry

import (
	"time"

	"github.com/thymewind/thymewind/revision"
)

// The table service may be away for a moment and come back from a copy some seconds old. Only
// then does it lose what it acknowledged: the operator and the targets write theirs again, this
// system's own rows are gone unless their boxes do. docs/design/restores.md tells what each
// part of the daemon makes of that.

// askAgainWithin is how long the operator may take to write again what a restore lost. The
// platform's own parts take some 2 s.
const askAgainWithin = 5 * time.Second

// rowsOlder says whether the operator's rows are older than what this box has in force, since
// they were lost and are not written again: to read that nothing changed then proves nothing.
// Where they stay so for longer than the operator takes, they are what counts.
func (d *Daemon) rowsOlder(now time.Time, t *tables, m operatorRead) bool {
	next, inForce := m.change.Table, d.version()
	switch {
	case next != nil && next.Version >= inForce || m.change.Unusable != nil:
		t.olderSince = time.Time{}
	case m.change.Whole && m.change.Known.Restores > t.operatorKnown.Restores && inForce > 0:
		t.olderSince = now
		d.Log.Warn("the operator's rows are older than the configuration in force", "revision", m.change.Known, "configuration", inForce)
	case !t.olderSince.IsZero() && now.Sub(t.olderSince) >= askAgainWithin:
		t.olderSince = time.Time{}
		d.Log.Error("the operator did not write the configuration in force again; it stays, and what is read counts as the newest", "configuration", inForce)
	}
	older := !t.olderSince.IsZero()
	d.outage.setOlder(older)
	return older
}

// restored notes that a read was answered by a table service that had been restored since the
// last one.
func (d *Daemon) restored(now time.Time, t *tables, known revision.Revision) {
	if !d.lease.Restored(known.Restores, now) {
		return
	}
	d.counts.restores.Set(float64(known.Restores))
	if first := t.operatorKnown.IsZero() && t.listKnown.IsZero() && t.ownKnownAt.IsZero(); !first {
		d.Log.Warn("the table service was restored from an older copy", "revision", known, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
}
