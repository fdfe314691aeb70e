package entry

import (
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// The table service may be away for a moment and come back from a copy some seconds old. Only
// then does it lose what it acknowledged: the operator and the targets write theirs again, this
// system's own rows are gone unless their boxes do. docs/design/restores.md tells what each
// part of the daemon makes of that.

const (
	// operatorRewriteGrace is how long the operator may take to write again what a restore lost. The
	// platform's own parts take some 2 s.
	operatorRewriteGrace = 5 * time.Second
	// startRewriteGrace is how long after its first read a box that starts takes the operator's
	// rows for such as may not be written again yet.
	startRewriteGrace = 2 * time.Second
	// maxRewrittenProofAge is how old the proof of another box may be that says that they are.
	maxRewrittenProofAge = time.Second
)

// provesNewest says whether a read proves that the configuration in force is the newest.
func (d *Daemon) provesNewest(now time.Time, t *tables, m operatorRead) bool {
	older, unsettled := d.rowsOlder(now, t, m), t.rewritePending(now, m)
	d.outage.setOlder(older || unsettled)
	return !older && !unsettled
}

// rewritePending says whether the operator's rows, read by a box that has just started, may be from
// before the operator wrote again what a restore lost: the box knows nothing to compare them
// with. They are settled once the operator writes, another box says so, or time has passed.
func (t *tables) rewritePending(now time.Time, m operatorRead) bool {
	switch {
	case m.change.Known.Restores == 0:
		return false
	case t.operatorKnown.IsZero():
		t.operatorRewrittenBy = now.Add(startRewriteGrace)
	case m.change.Table != nil && !m.change.Snapshot:
		t.operatorRewrittenBy = time.Time{}
	}
	if m.asked.Before(t.operatorRewrittenBy) {
		return true
	}
	t.operatorRewrittenBy = time.Time{}
	return false
}

// receiveRewritten takes over that the operator's rows are settled, from a box that has a young proof
// of them and no newer configuration.
func (d *Daemon) receiveRewritten(t *tables, m peer.Message) {
	if t.operatorRewrittenBy.IsZero() || m.OperatorRevision.Restores != t.operatorKnown.Restores || m.ProofAgeMS >= maxRewrittenProofAge.Milliseconds() {
		return
	}
	if m.ConfigurationVersion == 0 || m.ConfigurationVersion > d.version() {
		return
	}
	t.operatorRewrittenBy = time.Time{}
	d.Log.Info("the operator's rows are settled, another box says", "box", m.From, "proved_there", time.Duration(m.ProofAgeMS)*time.Millisecond, "configuration", d.version())
}

// rowsOlder says whether the operator's rows are older than what this box has in force, since
// they were lost and are not written again: to read that nothing changed then proves nothing.
// Where they stay so for longer than the operator takes, they are what counts.
func (d *Daemon) rowsOlder(now time.Time, t *tables, m operatorRead) bool {
	next, inForce := m.change.Table, d.version()
	switch {
	case next != nil && next.Version >= inForce || m.change.Unusable != nil:
		t.olderSince = time.Time{}
	case m.change.Snapshot && m.change.Known.Restores > t.operatorKnown.Restores && inForce > 0:
		t.olderSince = now
		d.Log.Warn("the operator's rows are older than the configuration in force", "revision", m.change.Known, "configuration", inForce)
	case !t.olderSince.IsZero() && now.Sub(t.olderSince) >= operatorRewriteGrace:
		t.olderSince = time.Time{}
		d.Log.Error("the operator did not write the configuration in force again; it stays, and what is read counts as the newest", "configuration", inForce)
	}
	return !t.olderSince.IsZero()
}

// noteRestore notes that a read was answered by a table service that had been restored since the
// last one.
func (d *Daemon) noteRestore(now time.Time, t *tables, known revision.Revision) {
	if !d.lease.Restored(known.Restores, now) {
		return
	}
	d.metrics.restores.Set(float64(known.Restores))
	if first := t.operatorKnown.IsZero() && t.listKnown.IsZero() && t.ownRowsRevision.IsZero(); !first {
		d.Log.Warn("the table service was restored from an older copy", "revision", known, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
}
