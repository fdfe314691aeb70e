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
	// operatorRewriteGrace is how long the operator may take to write again rows of which this
	// box knows that a restore lost them.
	operatorRewriteGrace = 5 * time.Second
	// rewriteGrace is how long after a restore the rows may still lack what it lost: the
	// platform's own parts take some 2 s to write again.
	rewriteGrace = 2 * time.Second
	// maxRewriteGrace bounds the same over restores in a row. Keys are trusted for some 4 s
	// after a proof, so boxes that were in touch before the first restore go on serving.
	maxRewriteGrace = 2 * rewriteGrace
	// maxRewrittenProofAge is the greatest age of another box's proof that they are written
	// again.
	maxRewrittenProofAge = time.Second
)

// provesNewest reports whether a read proves that the configuration in force is the newest.
func (d *Daemon) provesNewest(now time.Time, t *tables, m operatorRead) bool {
	if m.change.Known.IsZero() {
		return true // A hub sent the configuration with its proof.
	}
	older, pending := d.rowsOlder(now, t, m), d.rewritePending(now, t, m)
	d.outage.setOlder(older || pending)
	return !older && !pending
}

// rewritePending reports whether the operator's rows may lack what the operator has yet to
// write again after a restore: changes that were confirmed in the lost seconds and that this
// box never read. That ends once the operator writes the configuration, another box confirms
// it, or the grace period is over.
func (d *Daemon) rewritePending(now time.Time, t *tables, m operatorRead) bool {
	restores := m.change.Known.Restores
	if t.rewriteGrace.Begin(now, restores) {
		d.Log.Warn("the operator's rows prove nothing until what a restore lost can be written again", "restores", restores, "for", t.rewriteGrace.Left(now), "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
	written := m.change.Table != nil && !m.change.Snapshot && m.change.Table.Version >= d.version()
	if written && t.rewriteGrace.End(now, restores) {
		d.Log.Info("the operator has written its rows again", "revision", m.change.Known, "configuration", m.change.Table.Version)
		return false
	}
	return t.rewriteGrace.Covers(m.requestedAt)
}

// receiveRewritten records that the operator has written its rows again if the message's sender
// has a recent proof of them and no newer configuration.
func (d *Daemon) receiveRewritten(now time.Time, t *tables, m peer.Message) {
	if !t.rewriteGrace.Covers(now) || m.RewritePending || m.OperatorRevision.Restores != t.operatorKnown.Restores || m.ProofAgeMS >= maxRewrittenProofAge.Milliseconds() {
		return
	}
	if m.ConfigurationVersion == 0 || m.ConfigurationVersion > d.version() {
		return
	}
	t.rewriteGrace.End(now, m.OperatorRevision.Restores)
	d.Log.Info("the operator has written its rows again, as another box confirms", "box", m.From, "proved_there", time.Duration(m.ProofAgeMS)*time.Millisecond, "configuration", d.version())
}

// awaitsSameRewrite reports whether this box knows no more than a hub whose reads prove nothing
// after a restore. Another hub would help no further, and neither would a read of its own.
func (t *tables) awaitsSameRewrite(now time.Time, v *peer.View) bool {
	return v.RewritePending && (t.rewriteGrace.Restores() < v.OperatorRestores || t.rewriteGrace.Covers(now))
}

// unproved reports whether this box's last read proved nothing, and how old that read is.
func (d *Daemon) unproved(now time.Time) (bool, time.Duration) {
	read := d.unprovedReadAt.Load()
	if read == nil {
		return false, 0
	}
	proved, ever := d.current.ProvedAt()
	return !ever || read.After(proved), now.Sub(*read)
}

// noteUnprovedRead records when the operator's rows were read without a proof.
func (d *Daemon) noteUnprovedRead(at time.Time) {
	if last := d.unprovedReadAt.Load(); last == nil || at.After(*last) {
		d.unprovedReadAt.Store(&at)
	}
}

// readAgo is how long ago the operator's rows were last read, whether or not that proved
// anything, by this box or by a hub that told it.
func (d *Daemon) readAgo(now time.Time) time.Duration {
	if unproved, age := d.unproved(now); unproved {
		return age
	}
	return d.provedAgo(now)
}

// rowsOlder reports whether the operator's rows are older than the configuration in force, as a
// restore lost them and they are not written again yet. A read without changes then proves
// nothing. If they stay older for longer than operatorRewriteGrace, they count as the newest;
// further restores meanwhile don't extend that.
func (d *Daemon) rowsOlder(now time.Time, t *tables, m operatorRead) bool {
	next, inForce := m.change.Table, d.version()
	switch {
	case next != nil && next.Version >= inForce || m.change.Unusable != nil:
		t.olderSince = time.Time{}
	case !t.olderSince.IsZero() && now.Sub(t.olderSince) >= operatorRewriteGrace:
		t.olderSince = time.Time{}
		d.Log.Error("the operator did not write the configuration in force again; it stays, and what is read counts as the newest", "configuration", inForce)
	case t.olderSince.IsZero() && m.change.Snapshot && m.change.Known.Restores > t.operatorKnown.Restores && inForce > 0:
		t.olderSince = now
		d.Log.Warn("the operator's rows are older than the configuration in force", "revision", m.change.Known, "configuration", inForce)
	}
	return !t.olderSince.IsZero()
}

// noteRestore records that a read was answered by a table service restored since the last one.
func (d *Daemon) noteRestore(now time.Time, t *tables, known revision.Revision) {
	t.noteRestoredAt(now, known.Restores)
	if !d.lease.Restored(known.Restores, now) {
		return
	}
	d.metrics.restores.Set(float64(known.Restores))
	if first := t.operatorKnown.IsZero() && t.listKnown.IsZero() && t.ownRowsRevision.IsZero(); !first {
		d.Log.Warn("the table service was restored from an older copy", "revision", known, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	}
}
