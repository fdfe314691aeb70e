package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// A request may begin on weights that were replaced only for a bound after the
// newer version was named, and each version counts for itself. The bound is
// kept by every box on its own, with times that survive the box: when a version
// was not named yet is written beside the rollout, by the table service's clock.
const (
	// overdueMargin is how long before the bound no request is sent to older
	// weights any more: one that waits for its turn at a busy engine has that
	// long to begin.
	overdueMargin = 1500 * time.Millisecond
	// beginMargin is how long before the bound a request that has not begun on
	// older weights is broken off; it covers the way to the engine.
	beginMargin = 250 * time.Millisecond
	// feedLag is how long the table service takes at most to answer a held read
	// once there is a change: its slowest answers take 60 times the usual 4 ms, a
	// quarter of a second, and this is twice that.
	feedLag = 500 * time.Millisecond
	// minHold is how long a read must have been held, by the service's clock,
	// before its answer tells of a change that came meanwhile: feedLag, and as much
	// for the way there. Without it each naming would be dated by the answer
	// before, up to 1.5 s too early, which older engines then lack for serving.
	minHold = 2 * feedLag
	// unrecordedAge is how long before this box first read a version it is taken
	// to have been named if nobody told: the record is written some 0.5 s after
	// a naming, 2.9 s if the lease's holder ends then.
	unrecordedAge = 4 * time.Second
	// reportBounds is how many bounds long a naming is told to others: after one it can
	// only be the lowest version allowed.
	reportBounds = 2
	// staleBounds is how many bounds long a box goes on without a proof of which
	// weights are the newest. Nothing can be named while the table service is away, and
	// one bound alone is shorter than an outage may last.
	staleBounds = 2
	// announceRetryDelay is the pause after the rollout's row could not be written; each
	// try has its price.
	announceRetryDelay = 500 * time.Millisecond
)

// weightsRead takes over which versions the operator named.
func (d *Daemon) weightsRead(now time.Time, t *tables, m operatorRead) {
	unnamed := d.readTableClock(now, t, m)
	for model, version := range m.change.Weights {
		w := t.rolloutOf(model)
		if version <= w.newestVersion {
			continue
		}
		before := w.newestVersion
		w.name(now, version)
		at, told, proved := d.unnamedAt(t, unnamed)
		if proved {
			w.versionLog.Prove(version, at, told)
		} else {
			w.versionLog.Assume(version, now.Add(-unrecordedAge))
		}
		d.Log.Info("weights named", "model", model, "version", version, "before", before, "at_most_ago", w.age(now, version), "proved", proved)
	}
	for _, w := range t.weights {
		w.versionLog.Date(now, &t.tableClock)
	}
}

// readTableClock takes over the table service's clock. It returns what that showed at a
// time at which nothing of what was just read was there yet: at the answer before,
// or a moment before this one if the read was held that long. A read that was late
// may find a change that is as old as the answer before. It returns zero if that
// is not known.
func (d *Daemon) readTableClock(now time.Time, t *tables, m operatorRead) time.Duration {
	before, told := t.lastTableClock, m.change.Clock
	t.lastTableClock = told
	if told == 0 {
		return 0
	}
	if !t.tableClock.Observe(m.asked, now, told) {
		d.Log.Warn("the table service's clock jumped", "told", told, "before", before)
		for _, w := range t.weights {
			w.versionLog.ForgetClock()
		}
		return 0
	}
	if asked, _ := t.tableClock.Max(m.asked); m.change.Held && before > 0 && told-asked >= minHold {
		return max(before, told-feedLag)
	}
	return before
}

// unnamedAt returns a time at which the operator had not named yet what was just
// read, or false if this is the first read; told is the table service's clock at
// such a time, or zero. It returns what that clock showed at the time returned; zero if
// that is a later proof by another hub.
func (d *Daemon) unnamedAt(t *tables, told time.Duration) (time.Time, time.Duration, bool) {
	proved := d.provedAt.Load()
	if proved == nil {
		return time.Time{}, 0, false
	}
	if seen, ok := t.tableClock.Earliest(told); ok && told > 0 && seen.After(*proved) {
		return seen, told, true
	}
	if d.peerProofMaxAge.Load() > 0 {
		return *proved, 0, true
	}
	return *proved, told, true
}

// name takes a newer version over, which this box heard of at a time.
func (w *modelRollout) name(at time.Time, version int64) {
	w.newestVersion = version
	w.clearing.AddVersion(at, version)
}

// age returns for how long a version, or a newer one, can have been named at most.
func (w *modelRollout) age(now time.Time, version int64) time.Duration {
	at, known := w.versionLog.ReplacedAt(version - 1)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// replacedFor returns for how long a version can have been replaced by a newer one.
func (w *modelRollout) replacedFor(now time.Time, version int64) time.Duration {
	at, known := w.versionLog.ReplacedAt(version)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// requiredVersion returns the lowest version that a request may be sent to.
func (w *modelRollout) requiredVersion(now time.Time, within time.Duration) int64 {
	if within == 0 {
		return 0
	}
	return w.versionLog.Required(now, within-overdueMargin)
}

// beginBy returns when a request must have begun on a version; zero if no newer one
// is known.
func (w *modelRollout) beginBy(version int64, within time.Duration) time.Time {
	at, replaced := w.versionLog.ReplacedAt(version)
	if within == 0 || !replaced {
		return time.Time{}
	}
	return at.Add(within - beginMargin)
}

// weightsStale says that this box's last proof of what the operator wrote is so
// old that any version that it knows may have been replaced for long. It then sends
// nothing to engines, as it can't tell.
func (d *Daemon) weightsStale(now time.Time) bool {
	within := d.bounds.Load().WeightsWithin
	return within > 0 && d.provedAgo(now) >= staleBounds*within
}

// versionsSnapshot lists a model's namings for a box that takes this one's view.
func (w *modelRollout) versionsSnapshot(now time.Time, within time.Duration) []peer.WeightVersion {
	var list []peer.WeightVersion
	for _, n := range w.versionLog.Since(now.Add(-reportBounds * within)) {
		list = append(list, peer.WeightVersion{Version: n.Version, AgeMS: now.Sub(n.At).Milliseconds(), Assumed: n.Assumed})
	}
	return list
}

// applyHubVersions takes a hub's namings over; the ages count from when they were
// asked for, as the answer was made later.
func (d *Daemon) applyHubVersions(now time.Time, t *tables, hub string, asked time.Time, v *peer.View) {
	for _, model := range slices.Sorted(maps.Keys(v.WeightVersions)) {
		w := t.rolloutOf(model)
		for _, n := range v.WeightVersions[model] {
			at := asked.Add(-time.Duration(n.AgeMS) * time.Millisecond)
			if n.Assumed {
				w.versionLog.Assume(n.Version, at)
			} else {
				w.versionLog.Prove(n.Version, at, 0)
			}
			if n.Version > w.newestVersion {
				w.name(now, n.Version)
				d.Log.Info("weights named", "model", model, "version", n.Version, "hub", hub, "at_most_ago", w.age(now, n.Version), "proved", !n.Assumed)
			}
		}
	}
}
