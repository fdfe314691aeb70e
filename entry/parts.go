package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
)

// A part of prompts may end each engine that begins to answer a request with it, though no two of the
// requests are alike. What crash.go does for whole requests this file does for the parts that requests
// share: which of them were at an engine, without an event yet, when it ended. Package poison judges;
// docs/design/crashing-parts.md has the reasons.

// firstEvent reports the first event of an answer.
type firstEvent struct{ job *deliver.Job }

// firstEventCame tells the loop of an answer's first event while any part is suspected.
func (d *Daemon) firstEventCame(job *deliver.Job) {
	if d.partsSuspected.Load() && len(job.SharedParts()) > 0 {
		d.post(firstEvent{job})
	}
}

// recordParts learns from a request's end what it says of its parts.
func (d *Daemon) recordParts(now time.Time, t *tables, m attemptEnded) {
	if len(m.Job.SharedParts()) == 0 {
		return
	}
	if m.Events || m.Answered {
		d.partsBegan(now, t, m.Job)
		return
	}
	if !m.CutOff && !m.CallerLeft {
		return
	}
	incarnation := placementIncarnation(m.Place)
	for i, part := range m.Job.PartFingerprints() {
		t.namePart(part, m.Job.Parts[i].ID)
		ended := false
		if m.CutOff {
			ended = t.partCrashes.CutOff(now, incarnation, part)
		} else {
			ended = t.partCrashes.CallerLeft(now, incarnation, part)
		}
		if ended {
			d.blamePart(now, t, incarnation, part, d.Settings.Name)
			t.reports.addParts(now, incarnation, []fingerprint.Sum{part})
		}
	}
	d.partsSuspected.Store(true)
}

// maxPartNames bounds the names that are kept of parts.
const maxPartNames = 1024

// namePart keeps the ID of a suspected part for the log.
func (t *tables) namePart(part fingerprint.Sum, id string) {
	if len(t.partNames) < maxPartNames {
		t.partNames[part] = id
	}
}

// partsEnded counts an engine's end against the parts that had not begun there.
func (d *Daemon) partsEnded(now time.Time, t *tables, incarnation string) {
	parts := t.partCrashes.Ended(now, incarnation)
	for _, part := range parts {
		d.blamePart(now, t, incarnation, part, d.Settings.Name)
	}
	t.reports.addParts(now, incarnation, parts)
}

// blamePart counts one engine's end against a part.
func (d *Daemon) blamePart(now time.Time, t *tables, incarnation string, part fingerprint.Sum, from string) {
	d.partsSuspected.Store(true)
	if t.parts.Good(now, part) {
		t.knownGood[part] = now
	}
	if !t.parts.Crashed(now, part, incarnation) {
		return
	}
	d.metrics.quarantinedParts.Set(float64(len(t.parts.Refused(now))))
	d.Log.Warn("prompt part is refused from now on", "part", part, "id", t.partNames[part], "targets_ended", t.parts.Crashes(part), "last", incarnation, "told_by", from)
}

// partsBegan clears the parts of a request that began to be answered.
func (d *Daemon) partsBegan(now time.Time, t *tables, job *deliver.Job) {
	for _, part := range job.PartFingerprints() {
		d.partBegan(now, t, part, "request "+job.ID)
	}
}

// partBegan clears a part, and has gossip tell other boxes if anything was held against it.
func (d *Daemon) partBegan(now time.Time, t *tables, part fingerprint.Sum, from string) {
	refused := t.parts.Refuses(now, part, 0)
	t.partCrashes.Clear(part)
	if !t.parts.Began(now, part) {
		return
	}
	t.begunParts[part] = now
	t.dropTrial(part)
	if refused {
		d.metrics.quarantinedParts.Set(float64(len(t.parts.Refused(now))))
		d.Log.Info("prompt part is not refused any more, as a request with it began", "part", part, "id", t.partNames[part], "told_by", from)
	}
}

// refusedPart returns the shared part of a request that must reach no engine, or false if there is
// none. A retry counts as one more engine that may end.
func (d *Daemon) refusedPart(now time.Time, t *tables, job *deliver.Job, retry bool) (fingerprint.Sum, bool) {
	if t.parts.Len() == 0 && t.partCrashes.Len() == 0 {
		return fingerprint.Sum{}, false
	}
	cut := d.mayHandOn(now, t, job) // This box's own suspicions may be of its links then.
	for _, part := range job.PartFingerprints() {
		suspects := 0
		if !cut {
			suspects = t.partCrashes.Suspects(part)
		}
		if retry && suspects > 0 {
			suspects++
		}
		if t.parts.Refuses(now, part, suspects) {
			return part, true
		}
	}
	return fingerprint.Sum{}, false
}

// refusePart refuses a request for one of its parts.
func (d *Daemon) refusePart(now time.Time, t *tables, job *deliver.Job, part fingerprint.Sum) *refusal.Refusal {
	id := ""
	for i, sum := range job.PartFingerprints() {
		if sum == part {
			id = job.Parts[i].ID
		}
	}
	refused := d.refusePermanently(job, codeQuarantined, "%d targets ended before requests with the prompt part %s began there, and %d more may have", t.parts.Crashes(part), id, t.partCrashes.Suspects(part))
	if !t.parts.Refuses(now, part, 0) { // It is known within half a second.
		return refused.WithRetryAfter(d.retryAfter("suspect", job))
	}
	return refused
}

// receiveParts applies what another box tells of parts: the ends of engines under them, and which
// began.
func (d *Daemon) receiveParts(now time.Time, t *tables, m peer.Message) {
	for _, report := range m.CrashReports {
		for _, part := range report.Parts[:min(len(report.Parts), maxCrashParts)] {
			d.blamePart(now, t, report.Incarnation, part, m.From)
		}
	}
	for _, part := range m.KnownGoodParts {
		t.parts.MarkGood(now, part)
	}
	for _, part := range m.BegunParts {
		if _, known := t.begunParts[part]; !known {
			d.partBegan(now, t, part, m.From)
		}
	}
}

// addParts adds to a message what this box learned of parts so recently that others may not know.
func (t *tables) addParts(now time.Time, m *peer.Message) {
	for _, recent := range []map[fingerprint.Sum]time.Time{t.begunParts, t.knownGood} {
		maps.DeleteFunc(recent, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > announceFor })
	}
	m.BegunParts = slices.Collect(maps.Keys(t.begunParts))
	m.KnownGoodParts = slices.Collect(maps.Keys(t.knownGood))
}

// expireParts forgets parts that nobody asks for, and notes whether any is suspected.
func (d *Daemon) expireParts(now time.Time, t *tables) {
	t.partCrashes.Expire(now)
	t.parts.Expire(now)
	suspected := t.parts.Len() > 0 || t.partCrashes.Len() > 0
	d.partsSuspected.Store(suspected)
	if !suspected {
		clear(t.partNames)
	}
	d.metrics.quarantinedParts.Set(float64(len(t.parts.Refused(now))))
}
