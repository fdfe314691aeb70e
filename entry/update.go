package entry

import (
	"errors"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/revision"
)

// update changes the tables for one message and returns what to do about it.
func (d *Daemon) update(now time.Time, m message) []effect {
	t := &d.tables
	switch m := m.(type) {
	case placeAsked:
		return d.placeAsked(now, t, m)
	case suspectAsked:
		m.reply <- d.looksDead(now, t, m.target)
	case targetSaid:
		d.targetSaid(now, t, m.life)
	case silenceSeen:
		t.silences[m.at] = now
	case answerBegan:
		d.answerBegan(now, t, m.place)
	case sendingEnded:
		d.sendingEnded(now, t, m)
	case operatorRead:
		return d.operatorRead(now, t, m)
	case targetsRead:
		return d.targetsRead(now, t, m)
	case ownRead:
		return d.ownRead(now, t, m)
	case storeLost:
		t.storeAway = true
		d.Log.Warn("table service lost", "err", m.err, "configuration", d.version(), "proved_ago", d.provedAgo(now))
	case storeBack:
		t.storeAway = false
		t.doubtList(now)
		d.Log.Info("table service back", "configuration", d.version())
	case newsRead:
		return d.newsRead(now, t, m)
	case leaseStepped:
		d.leaseStepped(now, t, m)
	case announced:
		return d.announced(now, t, m)
	case freedOld:
		return d.freedOld(now, t, m)
	case loadedAsked:
		d.loadedAsked(now, t, m)
	case orderEnded:
		return d.orderEnded(now, t, m)
	case hubPlaced:
		return d.hubPlaced(now, t, m)
	case configurationFromHub:
		return d.configurationFromHub(now, t, m)
	case peerCalled:
		return d.peerCalled(now, t, m)
	case peerAsks:
		m.reply <- d.peerAsks(now, t, m.m)
	case probed:
		d.probed(now, t, m)
	case trialClaimed:
		return d.trialClaimed(now, t, m)
	case canaryDecided:
		d.canaryDecided(now, t, m)
	case canaryTold:
		d.canaryTold(now, t, m)
	case crashesWritten:
		d.crashesWritten(now, t, m)
	case rewritten:
		return d.rewritten(m)
	}
	return nil
}

// operatorRead takes over what the operator wrote. A lower version is never
// taken.
func (d *Daemon) operatorRead(now time.Time, t *tables, m operatorRead) []effect {
	d.restored(now, t, m.change.Known)
	if m.change.Whole {
		d.Log.Info("what the operator wrote was read whole", "revision", m.change.Known, "known", t.operatorKnown, "newest_known", t.operatorChange)
	}
	d.provedBy(t, d.Settings.Name, m.change.Known)
	d.weightsRead(now, t, m)
	d.evacuationsRead(now, t, m)
	d.canariesRead(now, t, m)
	if d.proves(now, t, m) {
		d.prove(m.asked)
	}
	t.operatorChange = revision.Max(t.operatorChange, m.change.Changed)
	t.operatorKnown = revision.Max(t.operatorKnown, m.change.Known)
	d.behind.Store(false)
	if err := m.change.Unusable; err != nil {
		d.Log.Error("configuration can't be used; the last good one stays", "err", err, "in_force", d.version())
	}
	next := m.change.Table
	if next == nil || next.Version <= d.version() {
		return nil
	}
	d.Log.Info("configuration in force", "version", next.Version, "before", d.version(), "row", m.change.Changed, "asked_ago", now.Sub(m.asked))
	d.counts.configuration.Set(float64(next.Version))
	d.raw.Store(&m.change.Raw)
	d.current.Store(next)
	d.returns.Over(now, noConfiguration)
	d.listStores(t, next)
	t.refreshedList = 0 // Which pools are of engines may have changed.
	d.refresh(now, t)
	return d.follow(now, t)
}

// sendingEnded learns from how a sending went.
func (d *Daemon) sendingEnded(now time.Time, t *tables, m sendingEnded) {
	t.overdue.Done(placement.Hash(m.Place.Target), m.Place.At)
	d.watchEnd(now, t, m)
	x := t.fleet.Of(fleet.Life{ID: m.Place.Target, Born: m.Place.Born})
	if x == nil {
		return
	}
	d.seeCanary(now, t, x, m)
	x.Ended(now, m.Began, m.Place.Unread, m.Place.Tokens, m.Failed)
	if m.Whole {
		t.strain(x.Pool).See(m.Late)
	}
	if m.Verdict != 0 {
		x.Heard(now)
	}
	if m.Began && !m.Failed && m.Job.Pool.Engine == nil {
		t.congestion(x.Pool).See(now, now.Sub(m.Place.At))
	}
	if m.Unreachable {
		x.Fail(now)
		d.noteFailed(now, x, m)
	}
	d.learn(now, t, x, m)
}

// noteFailed logs and counts a request that a target failed.
func (d *Daemon) noteFailed(now time.Time, x *fleet.Target, m sendingEnded) {
	fields := []any{"target", x.ID, "pool", x.Pool, "request", m.Job.ID, "grey", x.Grey(now), "refused", m.Refused}
	if m.Cut {
		d.counts.cut.WithLabelValues(x.Pool).Inc()
		fields = append(fields, "cut_after", now.Sub(m.Place.At), "fingerprint", m.Job.Fingerprint())
	}
	d.Log.Warn("target failed a request", fields...)
}

// probed takes over a target's health.
func (d *Daemon) probed(now time.Time, t *tables, m probed) {
	delete(t.probing, m.target)
	d.examined(now, t, m)
	x := t.fleet.Target(m.target)
	if x == nil {
		return
	}
	if errors.Is(m.err, ErrReplaced) {
		d.replaced(now, t, x.Life(), "its health")
		return
	}
	if m.err == nil {
		x.Heard(now)
		return
	}
	if !m.doubted { // One that is busy has the question wait.
		x.Fail(now)
	}
}
