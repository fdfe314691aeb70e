package entry

import (
	"maps"
	"slices"
	"time"
)

// An evacuation asks that nothing more be sent to the targets of a failure domain,
// until it is taken back. Which domains are evacuated is part of what the operator
// wrote, so boxes that live on a hub take it with the hub's proof. What runs there
// ends in peace; kept parts are not fetched from there, as who evacuates a domain may
// be about to switch it off. Targets there still load weights, to be fit to return.
// If every domain is evacuated, requests are refused: the ask is the operator's.

// applyEvacuations takes over which domains the operator wants empty.
func (d *Daemon) applyEvacuations(now time.Time, t *tables, m operatorRead) {
	if m.change.Evacuations == nil {
		return // A configuration read from a hub tells nothing of it.
	}
	t.evacuatedAt = now
	wanted := m.change.Evacuations
	if m.change.Snapshot {
		d.revokeMissing(now, t, m)
	}
	for _, domain := range slices.Sorted(maps.Keys(wanted)) {
		delete(t.lostEvacuations, domain)
		d.evacuate(now, t, domain, wanted[domain], "the operator")
	}
}

// revokeMissing takes back the evacuations that a whole read lacks, but for those that a
// restore lost: they stand until the operator has had the time to ask again.
func (d *Daemon) revokeMissing(now time.Time, t *tables, m operatorRead) {
	for _, domain := range t.fleet.Evacuated() {
		_, lost := t.lostEvacuations[domain]
		switch {
		case m.change.Evacuations[domain] || lost:
		case m.change.Known.Restores > t.operatorKnown.Restores:
			d.Log.Warn("a restore lost the ask for an evacuation; it stands until the operator has had the time to ask again", "domain", domain, "for", operatorRewriteGrace)
			t.lostEvacuations[domain] = now
		default:
			d.evacuate(now, t, domain, false, "the operator")
		}
	}
}

// expireLostEvacuations opens the domains of which the operator did not ask again for the
// evacuation that a restore lost.
func (d *Daemon) expireLostEvacuations(now time.Time, t *tables) {
	for domain, at := range t.lostEvacuations {
		if now.Sub(at) >= operatorRewriteGrace {
			delete(t.lostEvacuations, domain)
			d.evacuate(now, t, domain, false, "the operator, who did not ask again")
		}
	}
}

// applyHubEvacuations takes over the domains that a hub knows to be evacuated, which
// was so at a time at the earliest.
func (d *Daemon) applyHubEvacuations(now time.Time, t *tables, hub string, proof time.Time, domains []string) {
	if proof.Before(t.evacuatedAt) {
		return
	}
	t.evacuatedAt = proof
	for _, domain := range t.fleet.Evacuated() {
		if !slices.Contains(domains, domain) {
			d.evacuate(now, t, domain, false, hub)
		}
	}
	for _, domain := range domains {
		d.evacuate(now, t, domain, true, hub)
	}
}

// evacuate closes a domain or opens it again, if that is news.
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

// evacuationsUnknown says that this box's last proof of what the operator wrote is so
// old that any domain may be evacuated by now. It then sends nothing to targets.
func (d *Daemon) evacuationsUnknown(now time.Time) bool {
	bounds := d.bounds.Load()
	return bounds.EvacuatedWithin > 0 && d.provedAgo(now) >= bounds.EvacuatedWithin+bounds.Stretch
}
