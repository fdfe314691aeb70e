package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// Each hub needs a proof, a second old at most, that what the operator wrote is still
// what it knows. One hub reads for all, the last by name, which all others call each 50 ms
// anyway. Its answer tells the newest change that it knows and how old its proof of that
// is: who has read as far as that change knows as much. Another hub reads itself if it
// hears of a later change, or if proofs stay out. Each read has its price, and all of them
// learn the same.

const (
	// peerProofBase is how old a proof gets before the second hub reads itself: the reading
	// one's is up to twice its hold old, and told within two gossips. Proofs then stay
	// younger than staleView, at which boxes leave a hub.
	peerProofBase = 2*hubHold + 2*hubGossipInterval
	// peerProofStep is how much later each further hub does, so that the second one's
	// proof, which is told as well, spares the others the read.
	peerProofStep = 2 * hubGossipInterval
	// peerProofLimit bounds it.
	peerProofLimit = peerProofBase + peerProofStep
	// peerProofPoll is how often a hub looks whether it is to read.
	peerProofPoll = hubGossipInterval
)

// peerProofLifetime is for how long this box goes by other hubs' proofs: not at all unless it is
// a hub in a large fleet, and another one that answers reads before it.
func (d *Daemon) peerProofLifetime(t *tables) time.Duration {
	hubs := t.hubs()
	if !t.usesHubs() || !slices.Contains(hubs, d.Settings.Name) {
		return 0
	}
	before := 0
	for _, name := range hubs {
		if name > d.Settings.Name && !t.members[name].failed {
			before++
		}
	}
	if before == 0 {
		return 0
	}
	return min(peerProofBase+time.Duration(before-1)*peerProofStep, peerProofLimit)
}

// hasPeerProof says that another hub reads the operator's rows and has told lately that this
// box knows the newest.
func (d *Daemon) hasPeerProof(now time.Time) bool {
	wait := time.Duration(d.peerProofMaxAge.Load())
	return wait > 0 && !d.operatorBehind.Load() && !d.outage.lost() && d.provedAgo(now) < wait
}

// receiveProof takes over another hub's proof, if this box knows all that was known there. The
// proof's age counts from when it was asked for, as the answer was made later. A hub that
// has not read the table service since that was restored proves nothing to one that has.
func (d *Daemon) receiveProof(t *tables, asked time.Time, m peer.Message) {
	switch {
	case m.OperatorRevision.IsZero() || d.peerProofMaxAge.Load() == 0:
	case m.OperatorRevision.Restores < t.operatorKnown.Restores || !t.olderSince.IsZero():
	case !m.OperatorRevision.After(t.operatorKnown):
		d.countProof(t, m.From, m.OperatorRevision)
		d.noteProof(asked.Add(-time.Duration(m.ProofAgeMS) * time.Millisecond))
	default:
		d.operatorBehind.Store(true)
	}
}

// countProof counts by whose word this box holds its configuration for the newest, and logs of which
// change that told.
func (d *Daemon) countProof(t *tables, box string, newest revision.Revision) {
	by := "read"
	if box != d.Settings.Name {
		by = "another"
	}
	d.metrics.proofs.WithLabelValues(by).Inc()
	if by == "another" && newest != t.provedNewest {
		d.Log.Info("configuration proved by another box", "box", box, "newest_there", newest, "known", t.operatorKnown, "configuration", d.version())
		t.provedNewest = newest
	}
}
