package entry

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/refusal"
)

// refuseQuarantined returns why a request must reach no target, or nil. Targets that may just
// have ended under it count as well: within 0.4 s that is confirmed or refuted, but meanwhile
// one more target would end.
func (d *Daemon) refuseQuarantined(now time.Time, t *tables, job *deliver.Job) *refusal.Refusal {
	if t.quarantine.Len() == 0 && t.crashes.Len() == 0 {
		return nil
	}
	sum := job.Fingerprint()
	if d.mayHandOn(now, t, job) && t.quarantine.Crashes(sum) < quarantine.Threshold {
		return nil // This box's own suspicions may be of its links; the other box has its own.
	}
	if !d.quarantined(now, t, sum) {
		return nil
	}
	return d.refusePermanently(job, codeQuarantined, "%d targets ended while requests for the same ran there, and %d more may have", t.quarantine.Crashes(sum), t.crashes.Suspects(sum))
}

// refuseSuspect is refuseQuarantined for whole requests and for the parts of their prompts. It also
// returns what is refused.
func (d *Daemon) refuseSuspect(now time.Time, t *tables, ask deliver.PlacementRequest) (*refusal.Refusal, fingerprint.Sum) {
	if refused := d.refuseQuarantined(now, t, ask.Job); refused != nil {
		return refused, ask.Job.Fingerprint()
	}
	if part, ok := d.quarantinedPart(now, t, ask.Job, len(ask.Attempted) > 0); ok {
		return d.refusePart(now, t, ask.Job, part), part
	}
	return nil, fingerprint.Sum{}
}

// codeQuarantined is the refusal's code.
const codeQuarantined = "quarantined"

// quarantined reports whether a request must reach no target.
func (t *tables) quarantined(now time.Time, sum fingerprint.Sum) bool {
	return t.quarantine.Refuses(now, sum, t.crashes.Suspects(sum))
}

// clearAnswered clears a request of blame, as it was answered completely.
func (d *Daemon) clearAnswered(now time.Time, t *tables, job *deliver.Job) {
	if t.quarantine.Len() == 0 {
		return
	}
	d.liftQuarantine(now, t, job.Fingerprint(), "request "+job.ID)
}

// liftQuarantine removes a request from quarantine and has gossip report that to other boxes.
func (d *Daemon) liftQuarantine(now time.Time, t *tables, sum fingerprint.Sum, from string) {
	refused := t.quarantine.Crashes(sum) >= quarantine.Threshold
	if !t.quarantine.Answered(now, sum) {
		return
	}
	t.lifted[sum] = now
	t.dropTrial(sum)
	if refused {
		d.countQuarantined(t)
		d.Log.Info("request is not refused any more, as it was answered", "fingerprint", sum, "told_by", from)
	}
}

// dropTrial forgets the trials of what is not refused any more.
func (t *tables) dropTrial(sum fingerprint.Sum) {
	if _, tried := t.nextTrial[sum]; tried {
		delete(t.nextTrial, sum)
		t.reports.deleteKeys = append(t.reports.deleteKeys, trialPrefix+sum.String())
	}
}

// recentlyLifted lists the requests that were cleared so recently that other boxes may not
// know.
func (t *tables) recentlyLifted(now time.Time) []fingerprint.Sum {
	maps.DeleteFunc(t.lifted, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > announceFor })
	var list []fingerprint.Sum
	for sum := range t.lifted {
		list = append(list, sum)
	}
	return list
}

// applyHubQuarantine quarantines the requests that a hub refuses. Requests that the hub does
// not refuse stay quarantined here, as this box may know of more crashes.
func (d *Daemon) applyHubQuarantine(now time.Time, t *tables, hub string, v *peer.View) {
	for _, sum := range v.Quarantined {
		if t.quarantine.AddRemote(now, sum) {
			d.countQuarantined(t)
			d.Log.Warn("request is refused from now on", "fingerprint", sum, "told_by", hub)
		}
	}
	for _, part := range v.QuarantinedParts {
		if t.parts.AddRemote(now, part) {
			d.partsSuspected.Store(true)
			d.Log.Warn("prompt part is refused from now on", "part", part, "told_by", hub)
		}
	}
	t.hubQuarantineVersion = v.QuarantineVersion
}

// addQuarantine adds the requests that a hub refuses to its view, unless the asking box has
// that set.
func (t *tables) addQuarantine(now time.Time, v *peer.View, have uint64) {
	refused, parts := t.quarantine.Refused(), t.parts.Refused(now)
	v.QuarantineVersion = quarantineVersion(refused) ^ quarantineVersion(parts)
	if v.QuarantineVersion != have {
		v.Quarantined, v.QuarantinedParts = refused, parts
	}
}

// quarantineVersion is a hash of a set of fingerprints, the same on every box; zero for the
// empty set.
func quarantineVersion(list []fingerprint.Sum) uint64 {
	var set uint64
	for _, sum := range list {
		set ^= xxhash.Sum64(sum[:])
	}
	return set
}
