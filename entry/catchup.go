package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// A box whose own reads of the operator's rows are late is told by the other boxes: each message
// between boxes names the sender's configuration and for how long it has existed. A box that lacks
// one for longer than a read takes, or whose proof is older than a healthy one, gets all that
// another box knows of the operator's rows, as a spoke does with each view of its hub. Until it has
// the later configuration it goes on by its own for as long as the platform allows after the
// change, and then refuses callers. In an outage of the table service no box has a later one, and
// all go on.

const (
	// catchUpAfter is how long a box that is behind waits for its own read.
	catchUpAfter = 200 * time.Millisecond
	// lateProof is an age that a box's proof does not reach while its reads are answered: twice the
	// hold of a read, and some time for the answers. lateOwnProof is the same for the hub that
	// reads for the others, latePeerProof for a hub that relies on its proofs.
	lateProof     = 2*proofHold + 250*time.Millisecond
	lateOwnProof  = peerProofBase
	latePeerProof = peerProofLimit + 2*hubGossipInterval
	// laterVersionTTL is for how long a later configuration counts that no box tells any more. Boxes
	// repeat theirs more often, also after a call that failed. If all that had it are gone, the table
	// service is as well, or others would have read it.
	laterVersionTTL = 2 * time.Second
)

// behind is what a box lacks of the operator's rows, as another one told it.
type behind struct {
	// since is since when it lacks something, toldAt when that was last told; zero if it lacks
	// nothing.
	since, toldAt time.Time
	// box is the one that told it last.
	box string
	// version and revision are the latest that were told.
	version  int64
	revision revision.Revision
	// reading says that a call for it is in flight, retryAt is when the next may be made, and
	// asked how many were made since this box was last up to date.
	reading bool
	retryAt time.Time
	asked   int
}

// addVersion adds to a message which configuration this box has and for how long it has existed.
func (d *Daemon) addVersion(now time.Time, t *tables, m *peer.Message) {
	if m.ConfigurationVersion = d.version(); m.ConfigurationVersion > 0 {
		m.ConfigurationAgeMS = min(now.Sub(t.versionSince), time.Minute).Milliseconds()
	}
}

// noteVersionInForce records since when a box is known to have had the configuration that was just
// put in force.
func (d *Daemon) noteVersionInForce(now time.Time, t *tables, since time.Time) {
	if told, known := t.laterVersions.Since(now, d.version()-1); known && told.Before(since) {
		since = told
	}
	t.versionSince = since
	d.noteSuperseded(now, t)
}

// noteSuperseded makes known to requests since when there is a later configuration than the one in
// force.
func (d *Daemon) noteSuperseded(now time.Time, t *tables) {
	since, _ := t.laterVersions.Since(now, d.version())
	d.current.Supersede(since)
}

// noteBehind compares what another box knows of the operator's rows with what this one does. The
// ages in its message count from madeAt, the time at which it was made at the earliest, as far as
// this box can tell.
func (d *Daemon) noteBehind(now time.Time, t *tables, madeAt time.Time, m peer.Message) {
	version := m.ConfigurationVersion
	if m.View != nil { // A hub of the release before names it only there.
		version = max(version, m.View.ConfigurationVersion)
	}
	later := version > d.version()
	if d.version() == 0 || !later && !d.lacks(t, m.OperatorRevision) {
		return
	}
	if later {
		t.laterVersions.Note(now, version, madeAt.Add(-time.Duration(m.ConfigurationAgeMS)*time.Millisecond))
		d.noteSuperseded(now, t)
	}
	b := &t.behind
	if b.since.IsZero() {
		b.since = now
	}
	b.toldAt, b.box = now, m.From
	b.version, b.revision = max(b.version, version), revision.Max(b.revision, m.OperatorRevision)
}

// lacks reports whether this box has not read up to a revision of the operator's rows. Revisions
// from before and after a restore of the table service are not compared: each box reads itself what
// the restore lost.
func (d *Daemon) lacks(t *tables, r revision.Revision) bool {
	return !d.spoke.Load() && r.SameRestores(t.operatorKnown) && r.After(t.operatorKnown)
}

// catchUp reads from another box what this one lacks of the operator's rows.
func (d *Daemon) catchUp(now time.Time, t *tables) []effect {
	d.noteSuperseded(now, t)
	b := &t.behind
	missing := !b.since.IsZero() && now.Sub(b.toldAt) < laterVersionTTL && (b.version > d.version() || d.lacks(t, b.revision))
	if !missing {
		b.since, b.box, b.version, b.revision = time.Time{}, "", 0, revision.Revision{}
	}
	late := d.proofLate(now, t)
	if !missing && !late {
		b.asked = 0
		return nil
	}
	if b.reading || t.loadingConfiguration || now.Before(b.retryAt) || !late && now.Sub(b.since) < catchUpAfter {
		return nil
	}
	name := b.box
	if b.asked++; !missing || b.asked%2 == 0 { // The box that told it may not answer.
		name = d.anotherReader(now, t, b.asked)
	}
	m := t.members[name]
	if m == nil || !m.address.IsValid() {
		return nil
	}
	b.reading = true
	return []effect{readFromBox{name, m.address, now, d.version()}}
}

// proofLate reports whether this box's proof is older than one of its own reads would be. Spokes
// have their hubs, and boxes that never had a proof read themselves.
func (d *Daemon) proofLate(now time.Time, t *tables) bool {
	if _, ever := d.current.ProvedAt(); !ever || d.spoke.Load() {
		return false
	}
	return d.readAgo(now) > d.lateProofAge(t)
}

// lateProofAge is the age from which this box's proof is late.
func (d *Daemon) lateProofAge(t *tables) time.Duration {
	switch {
	case !t.usesHubs():
		return lateProof
	case d.peerProofMaxAge.Load() == 0:
		return lateOwnProof
	}
	return latePeerProof
}

// noteProofOf records when another box's knowledge of the operator's rows was last proved. Its message
// was made at madeAt at the earliest.
func (t *tables) noteProofOf(madeAt time.Time, m peer.Message) {
	x := t.members[m.From]
	if x == nil || m.OperatorRevision.IsZero() || m.RewritePending {
		return
	}
	x.provedAt = proofTime(madeAt, m.ProofAgeMS)
}

// anotherReader returns one of the boxes that read the operator's rows themselves and that answers,
// another one with each number, or an empty name. Those whose proof is not late go first.
func (d *Daemon) anotherReader(now time.Time, t *tables, n int) string {
	names := slices.DeleteFunc(slices.Clone(t.hubs()), func(name string) bool {
		m := t.members[name]
		return name == d.Settings.Name || m.unanswered || now.Before(m.retryAt) || !m.address.IsValid()
	})
	fresh := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return now.Sub(t.members[name].provedAt) > d.lateProofAge(t)
	})
	if len(fresh) > 0 {
		names = fresh
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[n%len(names)]
}
