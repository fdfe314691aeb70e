package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
)

// A target's address that refuses connections shows that its process has ended, unless the box's own
// links are lost: these can be reset and refused just so. The refusal therefore counts once something
// comes from another target after it, and not if the pool was out of reach in between. Where a box
// loses only a part of its links it is wrong nevertheless, and each box that hears the target itself
// takes that back.

const (
	// refusalMargin is how much later than a refusal another target must be heard: what arrived
	// before a cut may still be on its way to the loop.
	refusalMargin = 150 * time.Millisecond
	// refusalTTL is how long a refusal waits to be confirmed. The list drops a target that ended
	// some 4 s later.
	refusalTTL = 5 * time.Second
)

// connRefusal is a target whose address refuses connections.
type connRefusal struct {
	at      time.Time
	foundBy string
	// probed says that another target was probed to confirm it, lost that the pool was out of this
	// box's reach meanwhile.
	probed, lost bool
}

// addressRefuses records that the address of an incarnation refuses connections.
func (d *Daemon) addressRefuses(now time.Time, t *tables, incarnation, foundBy string) {
	if t.crashes.HasEnded(incarnation) {
		d.incarnationEnded(now, t, incarnation, foundBy)
		return
	}
	if _, known := t.refusals[incarnation]; !known {
		t.refusals[incarnation] = connRefusal{at: now, foundBy: foundBy}
	}
}

// judgeRefusals confirms refusals or drops them.
func (d *Daemon) judgeRefusals(now time.Time, t *tables) []effect {
	var effects []effect
	for incarnation, r := range t.refusals {
		x := t.fleet.Target(incarnationTarget(incarnation))
		switch {
		case x == nil || incarnationKey(x.Incarnation()) != incarnation || x.HeardSince(r.at.Add(refusalMargin)) || now.Sub(r.at) > refusalTTL:
			delete(t.refusals, incarnation) // The list tells of its end, or it lives.
		case d.otherHeard(t, x, r.at.Add(refusalMargin)):
			delete(t.refusals, incarnation)
			if !r.lost { // Otherwise the links may be just back; a target that ended refuses again.
				d.incarnationEnded(now, t, incarnation, r.foundBy)
			}
		case !r.lost && t.lost(now, x.Pool):
			r.lost = true
			t.refusals[incarnation] = r
		case !r.probed && now.Sub(r.at) >= refusalMargin:
			r.probed = true
			t.refusals[incarnation] = r
			effects = append(effects, d.probeOther(now, t, x)...)
		}
	}
	return effects
}

// otherHeard reports whether any target but one has been heard since a time.
func (d *Daemon) otherHeard(t *tables, except *fleet.Target, since time.Time) bool {
	return slices.ContainsFunc(t.fleet.IDs(), func(id string) bool {
		x := t.fleet.Target(id)
		return x != except && x.HeardSince(since)
	})
}

// probeOther probes a target that may well live, to tell whether this box's links work.
func (d *Daemon) probeOther(now time.Time, t *tables, except *fleet.Target) []effect {
	for _, id := range t.fleet.IDs() {
		x := t.fleet.Target(id)
		incarnation := incarnationKey(x.Incarnation())
		if _, refuses := t.refusals[incarnation]; refuses || x == except || t.probing[id] || !x.Active(now) || t.crashes.HasEnded(incarnation) || t.crashes.Suspected(incarnation) {
			continue
		}
		if p, ok := d.probeFor(now, t, x); ok {
			t.probing[id] = true
			return []effect{p}
		}
	}
	return nil
}

// alive records that an incarnation answered what was sent at a time. If it was taken for ended, its
// end is taken back.
func (d *Daemon) alive(now time.Time, t *tables, incarnation string, sentAt time.Time) {
	t.partCrashes.Alive(incarnation, sentAt)
	if !t.crashes.Alive(incarnation, sentAt) {
		return
	}
	d.Log.Warn("target was taken for ended and lives", "target", incarnation)
	delete(t.endedIncarnations, incarnation)
	if t.reports.byIncarnation[incarnation] != nil {
		delete(t.reports.byIncarnation, incarnation)
		t.reports.deleteKeys = append(t.reports.deleteKeys, d.crashKey(incarnation))
	}
	for _, part := range t.parts.Lives(incarnation) {
		t.begunParts[part] = now // Other boxes clear it as if a request had begun.
	}
	for _, sum := range t.quarantine.Lives(incarnation) {
		d.announceLifted(now, t, sum, "target "+incarnation)
	}
}

// announceLifted has gossip tell other boxes that a request is not refused any more.
func (d *Daemon) announceLifted(now time.Time, t *tables, sum fingerprint.Sum, from string) {
	t.lifted[sum] = now
	t.dropTrial(sum)
	d.countQuarantined(t)
	d.Log.Info("request is not refused any more, as its target lives", "fingerprint", sum, "told_by", from)
}

// verifyEnd probes a target that another box reports as ended, if this box does not watch it: the
// links of the other box may be at fault.
func (t *tables) verifyEnd(now time.Time, incarnation string) {
	x := t.fleet.Target(incarnationTarget(incarnation))
	if x != nil && incarnationKey(x.Incarnation()) == incarnation && t.watched[x.ID] == nil {
		t.verify[incarnation] = now
	}
}

// probeReported probes targets that other boxes reported as ended.
func (d *Daemon) probeReported(now time.Time, t *tables) []effect {
	var effects []effect
	for incarnation := range t.verify {
		x := t.fleet.Target(incarnationTarget(incarnation))
		if x != nil && t.probing[x.ID] {
			continue
		}
		delete(t.verify, incarnation)
		if x == nil || incarnationKey(x.Incarnation()) != incarnation {
			continue
		}
		if p, ok := d.probeFor(now, t, x); ok {
			t.probing[x.ID] = true
			effects = append(effects, p)
		}
	}
	return effects
}
