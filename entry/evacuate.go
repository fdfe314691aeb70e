package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/revision"
)

// An evacuation asks that nothing more be sent to the targets of a failure domain until it is
// revoked. Which domains are evacuated is part of the operator's rows, so spokes apply it with
// their hub's proof. Requests in flight there run to their end. Cached parts are not fetched
// from there, as the operator may be about to switch the domain off. Targets there still load
// weights, so that they can serve when the evacuation ends. If every domain is evacuated,
// requests are refused, as the operator asked.

// applyEvacuations applies which domains the operator wants evacuated.
func (d *Daemon) applyEvacuations(now time.Time, t *tables, m operatorRead, proved bool) {
	if m.change.Evacuations == nil {
		return // A configuration read from a hub does not include it.
	}
	if proved { // Otherwise a hub may know of an evacuation that a restore lost.
		t.evacuatedAt = now
	}
	t.evacuatedRevision = m.change.Known
	wanted := m.change.Evacuations
	if m.change.Snapshot {
		d.revokeMissing(now, t, m)
	}
	for _, domain := range slices.Sorted(maps.Keys(wanted)) {
		delete(t.lostEvacuations, domain)
		d.evacuate(now, t, domain, wanted[domain], "the operator")
	}
}

// revokeMissing revokes the evacuations that a snapshot lacks, except those that a restore
// lost: they stay until the operator has had the time to request them again.
func (d *Daemon) revokeMissing(now time.Time, t *tables, m operatorRead) {
	for _, domain := range t.fleet.Evacuated() {
		_, lost := t.lostEvacuations[domain]
		switch {
		case m.change.Evacuations[domain] || lost:
		case m.change.Known.Restores > t.operatorKnown.Restores:
			d.Log.Warn("a restore lost an evacuation; it stays until the operator has had the time to write it again", "domain", domain, "for", operatorRewriteGrace)
			t.lostEvacuations[domain] = now
		default:
			d.evacuate(now, t, domain, false, "the operator")
		}
	}
}

// expireLostEvacuations revokes evacuations that a restore lost and the operator did not ask
// for again.
func (d *Daemon) expireLostEvacuations(now time.Time, t *tables) {
	for domain, at := range t.lostEvacuations {
		if now.Sub(at) >= operatorRewriteGrace {
			delete(t.lostEvacuations, domain)
			d.evacuate(now, t, domain, false, "the operator, who did not ask again")
		}
	}
}

// applyHubEvacuations applies which domains a hub knows to be evacuated as of proof or later.
func (d *Daemon) applyHubEvacuations(now time.Time, t *tables, hub string, proof time.Time, domains []string) {
	if proof.Before(t.evacuatedAt) {
		return
	}
	t.evacuatedRevision = revision.Revision{}
	d.replaceEvacuations(now, t, hub, proof, domains)
}

// applyBoxEvacuations applies which domains another box knows to be evacuated. The later rows
// count if both sides know from which theirs are: an own read may have been answered late, and
// a proof may be younger than the rows that it is for.
func (d *Daemon) applyBoxEvacuations(now time.Time, t *tables, m operatorFromBox, proof time.Time) {
	read := m.answer.OperatorRevision
	if read.IsZero() || t.evacuatedRevision.IsZero() || !read.SameRestores(t.evacuatedRevision) {
		d.applyHubEvacuations(now, t, m.box, proof, m.answer.View.Evacuated)
		return
	}
	if read.After(t.evacuatedRevision) {
		t.evacuatedRevision = read
		d.replaceEvacuations(now, t, m.box, later(t.evacuatedAt, proof), m.answer.View.Evacuated)
	}
}

// replaceEvacuations sets which domains are evacuated, as known at a time.
func (d *Daemon) replaceEvacuations(now time.Time, t *tables, from string, at time.Time, domains []string) {
	t.evacuatedAt = at
	for _, domain := range t.fleet.Evacuated() {
		if !slices.Contains(domains, domain) {
			d.evacuate(now, t, domain, false, from)
		}
	}
	for _, domain := range domains {
		d.evacuate(now, t, domain, true, from)
	}
}

// evacuate closes a domain or opens it again, if that changes its state.
func (d *Daemon) evacuate(now time.Time, t *tables, domain string, closed bool, from string) {
	if slices.Contains(t.fleet.Evacuated(), domain) == closed {
		return
	}
	targets := t.fleet.Evacuate(domain, closed)
	d.Log.Info("evacuation", "domain", domain, "asked", closed, "told_by", from, "targets", targets, "proved_ago", d.provedAgo(now))
	if closed && targets == 0 {
		d.Log.Warn("a domain without any target is evacuated", "domain", domain)
	}
	if !closed {
		d.assumeCold(now, t, domain)
	}
	d.metrics.evacuated.Set(float64(len(t.fleet.Evacuated())))
}

// evacuationsStale reports whether this box's last proof of the operator's rows is so old that
// any domain may have been evacuated since. It then sends nothing to targets.
func (d *Daemon) evacuationsStale(now time.Time) bool {
	bounds := d.bounds.Load()
	return bounds.EvacuatedWithin > 0 && d.provedAgo(now) >= bounds.EvacuatedWithin+bounds.Stretch
}
