package entry

import (
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// The table service may be away for a moment and come back from a copy some seconds old. Only
// then does it lose writes that it acknowledged. The operator and the targets write theirs
// again; this system's own rows stay lost unless the boxes write them again.
// docs/design/restores.md describes how each part of the daemon handles that.

const (
	// operatorRewriteGrace is how long the operator may take to write again what a restore
	// lost. The platform's own parts take some 2 s.
	operatorRewriteGrace = 5 * time.Second
	// startRewriteGrace is how long after its first read a starting box assumes that the
	// operator may not have written lost rows again yet.
	startRewriteGrace = 2 * time.Second
	// maxRewrittenProofAge is the greatest age of another box's proof that they are written
	// again.
	maxRewrittenProofAge = time.Second
)

// provesNewest reports whether a read proves that the configuration in force is the newest.
func (d *Daemon) provesNewest(now time.Time, t *tables, m operatorRead) bool {
	older, pending := d.rowsOlder(now, t, m), t.rewritePending(now, m)
	d.outage.setOlder(older || pending)
	return !older && !pending
}

// rewritePending reports whether the operator's rows, as read by a box that has just started,
// may lack what the operator has yet to write again after a restore: the box has nothing to
// compare them with. That ends once the operator writes, another box confirms it, or
// startRewriteGrace is over.
func (t *tables) rewritePending(now time.Time, m operatorRead) bool {
	switch {
	case m.change.Known.Restores == 0:
		return false
	case t.operatorKnown.IsZero():
		t.operatorRewrittenBy = now.Add(startRewriteGrace)
	case m.change.Table != nil && !m.change.Snapshot:
		t.operatorRewrittenBy = time.Time{}
	}
	if m.requestedAt.Before(t.operatorRewrittenBy) {
		return true
	}
	t.operatorRewrittenBy = time.Time{}
	return false
}

// receiveRewritten records that the operator has written its rows again if the message's sender
// has a recent proof of them and no newer configuration.
func (d *Daemon) receiveRewritten(t *tables, m peer.Message) {
	if t.operatorRewrittenBy.IsZero() || m.OperatorRevision.Restores != t.operatorKnown.Restores || m.ProofAgeMS >= maxRewrittenProofAge.Milliseconds() {
		return
	}
	if m.ConfigurationVersion == 0 || m.ConfigurationVersion > d.version() {
		return
	}
	t.operatorRewrittenBy = time.Time{}
	d.Log.Info("the operator has written its rows again, as another box confirms", "box", m.From, "proved_there", time.Duration(m.ProofAgeMS)*time.Millisecond, "configuration", d.version())
}

// rowsOlder reports whether the operator's rows are older than the configuration in force, as a
// restore lost them and they are not written again yet. A read without changes then proves
// nothing. If they stay older for longer than operatorRewriteGrace, they count as the newest.
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

// noteRestore records that a read was answered by a table service restored since the last one.
func (d *Daemon) noteRestore(now time.Time, t *tables, known revision.Revision) {
	if !d.lease.Restored(known.Restores, now) {
		return
	}
	d.metrics.restores.Set(float64(known.Restores))
	if first := t.operatorKnown.IsZero() && t.listKnown.IsZero() && t.ownRowsRevision.IsZero(); !first {
		d.Log.Warn("the table service was restored from an older copy", "revision", known, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
}
