package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// Each hub needs a proof, at most a second old, that it knows the newest of what the operator
// wrote. One hub, the last by name, reads for all; the others call it each 50 ms anyway. Its
// answer carries the newest change that it knows and the age of its proof. A hub that has read
// up to that change takes the proof as its own. A hub reads itself when it learns of a later
// change or when no proof comes. Reads are billed, and all of them would learn the same.

const (
	// peerProofBase is the proof age at which the second hub reads itself. The reading hub's
	// proof is up to twice its hold old and arrives within two rounds of gossip. Proofs then
	// stay younger than maxHubProofAge, at which boxes leave a hub.
	peerProofBase = 2*hubHold + 2*hubGossipInterval
	// peerProofStep is how much later each further hub reads, so that the second hub's proof,
	// which is shared as well, saves the others the read.
	peerProofStep = 2 * hubGossipInterval
	// peerProofLimit bounds the delay for any number of hubs.
	peerProofLimit = peerProofBase + peerProofStep
	// peerProofPoll is how often a hub checks whether it has to read.
	peerProofPoll = hubGossipInterval
)

// peerProofLifetime is for how long this box relies on other hubs' proofs. It is zero unless
// the box is a hub of a large fleet and another hub that answers reads before it.
func (d *Daemon) peerProofLifetime(t *tables) time.Duration {
	hubs := t.hubs()
	if !t.usesHubs() || !slices.Contains(hubs, d.Settings.Name) {
		return 0
	}
	before := 0
	for _, name := range hubs {
		if name > d.Settings.Name && !t.members[name].unanswered {
			before++
		}
	}
	if before == 0 {
		return 0
	}
	return min(peerProofBase+time.Duration(before-1)*peerProofStep, peerProofLimit)
}

// hasPeerProof reports whether another hub reads the operator's rows and has confirmed recently
// that this box knows the newest.
func (d *Daemon) hasPeerProof(now time.Time) bool {
	maxAge := time.Duration(d.peerProofMaxAge.Load())
	return maxAge > 0 && !d.operatorBehind.Load() && !d.outage.lost() && d.readAgo(now) < maxAge
}

// addProof adds to a message what this box knows of the operator's rows and how old its proof
// is.
func (d *Daemon) addProof(now time.Time, t *tables, m *peer.Message) {
	m.OperatorRevision, m.ProofAgeMS = t.operatorChange, d.proofAge(now).Milliseconds()
	d.addVersion(now, t, m)
	if unproved, age := d.unproved(now); unproved {
		m.RewritePending, m.ReadAgeMS = true, age.Milliseconds()
	}
}

// receiveProof takes another hub's proof if this box knows all that was known there. The
// proof's age counts from when it was requested, as the answer was made later. A hub that has
// not read the table service since a restore, or whose proof is from before it, proves nothing
// to one that has: it may know changes that the restore lost and this box never read.
func (d *Daemon) receiveProof(t *tables, requestedAt time.Time, m peer.Message) {
	switch {
	case m.OperatorRevision.IsZero() || d.peerProofMaxAge.Load() == 0:
	case m.OperatorRevision.Restores < t.operatorKnown.Restores || !t.olderSince.IsZero():
	case m.OperatorRevision.After(t.operatorKnown):
		d.operatorBehind.Store(true)
	case m.RewritePending:
		if t.rewriteGrace.Covers(requestedAt) { // Its reads are as good as this box's own.
			d.noteUnprovedRead(requestedAt.Add(-time.Duration(m.ReadAgeMS) * time.Millisecond))
		}
	default:
		d.logPeerProof(t, m.From, m.OperatorRevision)
		d.noteProof(proofTime(requestedAt, m.ProofAgeMS))
	}
}

// noteRead records and counts this box's own read of the operator's rows, or a configuration
// from a hub, and whether it was a proof.
func (d *Daemon) noteRead(t *tables, m operatorRead, proved bool) {
	t.lastReadUnproved = !proved
	if !proved {
		d.metrics.proofs.WithLabelValues("none").Inc()
		d.noteUnprovedRead(m.requestedAt)
		return
	}
	d.metrics.proofs.WithLabelValues("read").Inc()
	d.noteProof(m.requestedAt)
}

// logPeerProof counts another box's proof and logs it if it is of a change not logged before.
func (d *Daemon) logPeerProof(t *tables, box string, newest revision.Revision) {
	d.metrics.proofs.WithLabelValues("another").Inc()
	if newest.After(t.provedNewest) {
		d.Log.Info("configuration proved by another box", "box", box, "newest_there", newest, "known", t.operatorKnown, "configuration", d.version())
		t.provedNewest = newest
	}
}
