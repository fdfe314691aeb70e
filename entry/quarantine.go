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

// refuseQuarantined returns why a request must reach no target, or nil. A target that may
// have ended under it a moment ago counts: that is known for sure, or known to be wrong, 0.4 s
// later, and meanwhile one more would end.
func (d *Daemon) refuseQuarantined(now time.Time, t *tables, job *deliver.Job) *refusal.Refusal {
	if t.quarantine.Len() == 0 && t.crashes.Len() == 0 {
		return nil
	}
	sum := job.Fingerprint()
	if !d.quarantined(now, t, sum) {
		return nil
	}
	return d.never(job, codeQuarantined, "%d targets ended while requests for the same ran there, and %d more may have", t.quarantine.Lives(sum), t.crashes.Lives(sum))
}

// codeQuarantined is the refusal's code.
const codeQuarantined = "quarantined"

// quarantined says whether a request must reach no target.
func (t *tables) quarantined(now time.Time, sum fingerprint.Sum) bool {
	return t.quarantine.Refuses(now, sum, t.crashes.Lives(sum))
}

// answered notes that a request was answered whole, so that nothing speaks against it.
func (d *Daemon) answered(now time.Time, t *tables, job *deliver.Job) {
	if t.quarantine.Len() == 0 {
		return
	}
	d.lift(now, t, job.Fingerprint(), "request "+job.ID)
}

// lift drops what speaks against a request and has other boxes told.
func (d *Daemon) lift(now time.Time, t *tables, sum fingerprint.Sum, from string) {
	refused := t.quarantine.Lives(sum) >= quarantine.Threshold
	if !t.quarantine.Answered(now, sum) {
		return
	}
	t.lifted[sum] = now
	if _, tried := t.trials[sum]; tried {
		delete(t.trials, sum)
		t.reports.drop = append(t.reports.drop, trialPrefix+sum.String())
	}
	if refused {
		d.countQuarantined(t)
		d.Log.Info("request is not refused any more, as it was answered", "fingerprint", sum, "told_by", from)
	}
}

// liftedLately lists the requests that were answered so lately that other boxes may not
// know.
func (t *tables) liftedLately(now time.Time) []fingerprint.Sum {
	maps.DeleteFunc(t.lifted, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > tellFor })
	var list []fingerprint.Sum
	for sum := range t.lifted {
		list = append(list, sum)
	}
	return list
}

// refusedFromHub takes over which requests a hub refuses. What it does not refuse says
// nothing: this box may know of more.
func (d *Daemon) refusedFromHub(now time.Time, t *tables, hub string, v *peer.View) {
	for _, sum := range v.Refused {
		if t.quarantine.Tell(now, sum) {
			d.countQuarantined(t)
			d.Log.Warn("request is refused from now on", "fingerprint", sum, "told_by", hub)
		}
	}
	t.hubRefuses = v.Refuses
}

// tellRefused puts into a hub's view which requests it refuses, if the asking box does not
// have that set.
func (t *tables) tellRefused(v *peer.View, have uint64) {
	refused := t.quarantine.Refused()
	v.Refuses = setOf(refused)
	if v.Refuses != have {
		v.Refused = refused
	}
}

// setOf numbers a set of fingerprints, the same on every box; zero is the empty one.
func setOf(list []fingerprint.Sum) uint64 {
	var set uint64
	for _, sum := range list {
		set ^= xxhash.Sum64(sum[:])
	}
	return set
}
