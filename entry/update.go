package entry

import (
	"errors"
	"strings"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/revision"
)

// update changes the tables for one message and returns the resulting effects.
func (d *Daemon) update(now time.Time, m message) []effect {
	effects := d.handle(now, &d.tables, m)
	if len(d.tables.waiting) > 0 && mayFreeMemory(m) {
		d.serveQueues(now, &d.tables)
	}
	return effects
}

// mayFreeMemory reports whether engines may have room for waiting requests after a message.
func mayFreeMemory(m message) bool {
	switch m := m.(type) {
	case attemptEnded, peerAnswered, targetsRead, operatorRead:
		return true
	case peerRequest:
		return m.message.Kind == peer.KindGossip
	}
	return false
}

func (d *Daemon) handle(now time.Time, t *tables, m message) []effect {
	switch m := m.(type) {
	case placementRequest:
		return d.placementRequested(now, t, m)
	case copyRequest:
		place, err := d.continueFromCopy(now, t, m)
		m.reply <- placementAnswer{place, err}
	case suspectQuery:
		m.reply <- d.looksDead(now, t, m.target)
	case signalsReceived:
		d.signalsReceived(now, t, m.incarnation)
	case silenceSeen:
		t.silenceSeen(now, m.at)
	case streamContinued:
		return d.recordOrigin(now, t, m)
	case originsTold:
		return d.originsTold(now, t, m)
	case originAnswered:
		return d.originAnswered(now, t, m)
	case soleRead:
		return d.soleRead(now, t, m)
	case versionsWritten:
		d.versionsWritten(now, t, m)
	case firstEvent:
		d.partsBegan(now, t, m.job)
	case answerBegan:
		d.answerBegan(now, t, m.place)
	case attemptEnded:
		d.attemptEnded(now, t, m)
	case operatorRead:
		return d.operatorRead(now, t, m)
	case targetsRead:
		return d.targetsRead(now, t, m)
	case ownRead:
		return d.ownRead(now, t, m)
	case tableServiceLost:
		t.tableServiceDown = true
		d.Log.Warn("table service lost", "err", m.err, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	case tableServiceBack:
		t.tableServiceDown = false
		t.markListUncertain(now)
		d.Log.Info("table service back", "configuration", d.version())
	case cacheEventsRead:
		defer m.end()
		return d.cacheEventsRead(now, t, m)
	case leaseStepped:
		d.leaseStepped(now, t, m)
	case announced:
		return d.announced(now, t, m)
	case staleFreed:
		return d.staleFreed(now, t, m)
	case loadPolled:
		d.loadPolled(now, t, m)
	case orderEnded:
		return d.orderEnded(now, t, m)
	case hubPlaced:
		return d.hubPlaced(now, t, m)
	case keeperSilent:
		d.keeperSilent(now, t, m)
	case brittleTold:
		d.receiveBrittle(now, now, t, m.message)
	case tokenLent:
		d.tokenLent(now, t, m)
	case configurationFromHub:
		return d.configurationFromHub(now, t, m)
	case operatorFromBox:
		return d.operatorFromBox(now, t, m)
	case peerAnswered:
		return d.peerAnswered(now, t, m)
	case peerRequest:
		d.answerPeerRequest(now, t, m)
	case waiterLeft:
		d.waiterLeft(now, t, m)
	case probed:
		d.probed(now, t, m)
	case trialClaimed:
		return d.trialClaimed(now, t, m)
	case canaryWritten:
		d.canaryWritten(now, t, m)
	case canaryReported:
		d.canaryReported(now, t, m)
	case crashesWritten:
		d.crashesWritten(now, t, m)
	case rewritten:
		return d.rewritten(m)
	}
	return nil
}

// operatorRead applies what the operator wrote. A lower configuration version is never
// applied.
func (d *Daemon) operatorRead(now time.Time, t *tables, m operatorRead) []effect {
	d.noteRestore(now, t, m.change.Known)
	if m.change.Snapshot {
		d.Log.Info("what the operator wrote was read whole", "revision", m.change.Known, "known", t.operatorKnown, "newest_known", t.operatorChange)
	}
	proved := d.provesNewest(now, t, m)
	d.applyWeightVersions(now, t, m, proved)
	d.startCanaries(now, t, m)
	if !t.operatorKnown.After(m.change.Known) {
		d.applyEvacuations(now, t, m, proved)
		d.stopCanaries(now, t, m)
	} // Otherwise another box told later ones meanwhile.
	before := d.version()
	newer := d.putInForce(m, proved)
	d.noteRead(t, m, proved)
	t.operatorChange = revision.Max(t.operatorChange, m.change.Changed)
	t.operatorKnown = revision.Max(t.operatorKnown, m.change.Known)
	d.operatorBehind.Store(false)
	if err := m.change.Unusable; err != nil {
		d.Log.Error("configuration can't be used; the last valid one stays in force", "err", err, "in_force", d.version())
	}
	if !newer {
		return nil
	}
	d.Log.Info("configuration in force", "version", d.version(), "before", before, "row", m.change.Changed, "asked_ago", now.Sub(m.requestedAt))
	return d.configurationChanged(now, t, m.change, now)
}

// configurationChanged has everything follow the configuration that was just put in force. since is
// when a box had it at the latest.
func (d *Daemon) configurationChanged(now time.Time, t *tables, change Operator, since time.Time) []effect {
	next := change.Table
	d.noteVersionInForce(now, t, since)
	d.metrics.configuration.Set(float64(next.Version))
	d.rawConfiguration.Store(&change.Raw)
	d.retryEstimator.Ended(now, noConfiguration)
	d.configureStores(t, next)
	t.refreshedList = 0 // Which pools are engine pools may have changed.
	d.refreshInUse(now, t)
	return d.reconcileSources(now, t)
}

// putInForce puts the configuration that was read in force, together with its proof if the read
// proves it, and reports whether it is newer than the one before.
func (d *Daemon) putInForce(m operatorRead, proved bool) bool {
	next := m.change.Table
	if next == nil || next.Version <= d.version() {
		return false
	}
	if proved {
		d.current.Replace(next, m.requestedAt)
	} else {
		d.current.Store(next)
	}
	return true
}

// attemptEnded learns from the result of an attempt.
func (d *Daemon) attemptEnded(now time.Time, t *tables, m attemptEnded) {
	if m.Place.Box != "" {
		d.handedOnEnded(now, t, m)
		return
	}
	t.overdue.Done(placement.Hash(m.Place.Target), m.Place.PlacedAt)
	t.endAccount(m)
	d.recordRunEnd(now, t, m)
	t.copyEnded(now, m)
	d.recordLiveness(now, t, m)
	d.recordParts(now, t, m)
	d.noteTurnedAway(now, m)
	t.placed.remove(m.Place.Tokens, m.Job)
	t.learnHoldTime(now, m)
	if m.Began && m.FirstAfter > 0 {
		t.learnFirstEvent(m.Job.Route.Name, m.FirstAfter)
	}
	x := t.fleet.Incarnation(fleet.Incarnation{ID: m.Place.Target, StartedAt: m.Place.StartedAt})
	if x == nil {
		return
	}
	d.countCanarySample(now, t, x, m)
	x.Ended(now, m.Began, m.Place.PrefillTokens, m.Place.Tokens, m.Failed)
	if m.Completed && !m.SlowCaller {
		t.lateness(x.Pool).Observe(m.Late)
	}
	if m.Verdict != 0 {
		t.heard(now, x)
	}
	if m.Answered {
		t.reach.Heard(now, x.Pool)
	}
	if m.Began && !m.Failed && !m.SlowCaller && m.Job.Pool.Engine == nil {
		t.congestion(x.Pool).Observe(now, now.Sub(m.Place.PlacedAt), m.Job.Route.Goal)
	}
	if m.Unreachable {
		t.unreachable(now, x)
		d.logFailure(now, x, m)
	}
	d.learnVersion(now, t, x, m)
}

// logFailure logs and counts a request that a target failed.
func (d *Daemon) logFailure(now time.Time, x *fleet.Target, m attemptEnded) {
	fields := []any{"target", x.ID, "pool", x.Pool, "request", m.Job.ID, "grey", x.Grey(now), "refused", m.ConnectionRefused}
	if m.CutOff {
		d.metrics.cutOff.WithLabelValues(x.Pool).Inc()
		fields = append(fields, "cut_after", now.Sub(m.Place.PlacedAt), "fingerprint", m.Job.Fingerprint())
		if !m.Events && len(m.Job.SharedParts()) > 0 {
			fields = append(fields, "parts", partIDs(m.Job)) // The target ended, if it did, as it began to answer.
		}
	}
	d.Log.Warn("target failed a request", fields...)
}

// partIDs lists the shared parts of a request's prompt, for the log.
func partIDs(job *deliver.Job) string {
	var ids []string
	for _, p := range job.SharedParts() {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// probed applies the result of a health probe.
func (d *Daemon) probed(now time.Time, t *tables, m probed) {
	delete(t.probing, m.target)
	d.probeAnswered(now, t, m)
	x := t.fleet.Target(m.target)
	if x == nil {
		return
	}
	if errors.Is(m.err, ErrReplaced) {
		d.dropReplaced(now, t, x.Incarnation(), "its health")
		return
	}
	if m.err == nil {
		t.heard(now, x)
		return
	}
	if errors.Is(m.err, notice.ErrBrittle) {
		return // It was not sent.
	}
	if !m.suspected { // A suspect that is only busy may leave its probe unanswered.
		t.callFailed(now, x, m.err)
	}
}
