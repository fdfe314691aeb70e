package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// A request may begin on replaced weights only within a bound after the newer version was
// named. The bound applies to each version separately, and each box enforces it alone. The
// times survive restarts of boxes: a time at which each version had not been named yet is
// written to the rollout's row, on the table service's clock.
const (
	// overdueMargin is how long before the bound requests are no longer sent to older weights.
	// A request that queues at a busy engine has that long to begin.
	overdueMargin = 1500 * time.Millisecond
	// beginMargin is how long before the bound a request that has not begun on older weights is
	// cancelled. It covers the network latency to the engine.
	beginMargin = 250 * time.Millisecond
	// feedLag is the maximum latency of the table service's answer to a held read once there is
	// a change. Its slowest answers take 60 times the usual 4 ms, a quarter of a second; this
	// is twice that.
	feedLag = 500 * time.Millisecond
	// minHold is how long a read must have been held, on the service's clock, for its answer to
	// show that the change came meanwhile: feedLag, and as much for the request's way. Without
	// it each new version would be dated by the answer before, up to 1.5 s too early, which would
	// shorten the time for which engines with older weights may serve.
	minHold = 2 * feedLag
	// unrecordedAge is how long before this box first read a version it is assumed to have been
	// named if there is no record. A record is written some 0.5 s after the operator names a
	// version, 2.9 s if the lease's holder ends then.
	unrecordedAge = 4 * time.Second
	// reportBounds is for how many bounds a version is reported to other boxes. After one bound
	// it can only be the lowest version allowed.
	reportBounds = 2
	// staleBounds is for how many bounds a box goes on without a proof of which weights are the
	// newest. Nothing can be named while the table service is away, and an outage may last
	// longer than one bound.
	staleBounds = 2
	// announceRetryDelay is the pause after a failed write of the rollout's row, as each
	// attempt is charged for.
	announceRetryDelay = 500 * time.Millisecond
)

// applyWeightVersions applies the versions that the operator named. proved says that the read
// proves the operator's rows.
func (d *Daemon) applyWeightVersions(now time.Time, t *tables, m operatorRead, proved bool) {
	unnamed := d.readTableClock(now, t, m, proved)
	for model, version := range m.change.Weights {
		w := t.rolloutOf(model)
		if version <= w.newestVersion {
			continue
		}
		before := w.newestVersion
		w.setNewest(now, version)
		at, clock, proved := d.unnamedAt(t, unnamed)
		if proved {
			w.versionLog.Prove(version, at, clock)
		} else {
			w.versionLog.Assume(version, now.Add(-unrecordedAge))
		}
		d.Log.Info("weights named", "model", model, "version", version, "before", before, "at_most_ago", w.age(now, version), "proved", proved)
	}
	for _, w := range t.weights {
		w.versionLog.Date(now, &t.tableClock)
	}
}

// readTableClock reads the table service's clock. It returns a time on that clock at which none
// of the changes just read had been made: that of the answer before, or feedLag before this one
// if the read was held for long enough. The answer to a late read may show changes as old as
// the answer before. It returns zero if no such time is known.
//
// Answers that prove nothing date nothing: a version that appears after them may have been
// named before a restore that lost it.
func (d *Daemon) readTableClock(now time.Time, t *tables, m operatorRead, proved bool) time.Duration {
	before, clock := t.lastTableClock, m.change.Clock
	if proved {
		t.lastTableClock = clock
	}
	if clock == 0 {
		return 0
	}
	if !t.tableClock.Observe(m.requestedAt, now, clock) {
		d.Log.Warn("the table service's clock was reset", "told", clock, "before", before)
		for _, w := range t.weights {
			w.versionLog.ForgetClock()
		}
		if !proved {
			t.lastTableClock = 0
		}
		return 0
	}
	meanwhile := m.change.Held && proved && !t.lastReadUnproved
	if clockAtRequest, _ := t.tableClock.Max(m.requestedAt); meanwhile && before > 0 && clock-clockAtRequest >= minHold {
		return max(before, clock-feedLag)
	}
	return before
}

// unnamedAt returns a time at which the operator had not yet named what was just read; false if
// this is the first read. clock is such a time on the table service's clock, or zero. The
// second result is the same time on that clock, or zero if it comes from a later proof by
// another hub.
func (d *Daemon) unnamedAt(t *tables, clock time.Duration) (time.Time, time.Duration, bool) {
	proved, ever := d.current.ProvedAt()
	if !ever {
		return time.Time{}, 0, false
	}
	if seen, ok := t.tableClock.Earliest(clock); ok && clock > 0 && seen.After(proved) {
		return seen, clock, true
	}
	if d.peerProofMaxAge.Load() > 0 {
		return proved, 0, true
	}
	return proved, clock, true
}

// setNewest sets a newer version, of which this box learned at a time.
func (w *modelRollout) setNewest(at time.Time, version int64) {
	w.newestVersion = version
	w.reclaim.AddVersion(at, version)
}

// age returns the longest time for which a version, or a newer one, can have been named.
func (w *modelRollout) age(now time.Time, version int64) time.Duration {
	at, known := w.versionLog.ReplacedAt(version - 1)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// replacedFor returns the longest time for which a version can have been replaced.
func (w *modelRollout) replacedFor(now time.Time, version int64) time.Duration {
	at, known := w.versionLog.ReplacedAt(version)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// requiredVersion returns the lowest version to which a request may be sent.
func (w *modelRollout) requiredVersion(now time.Time, within time.Duration) int64 {
	if within == 0 {
		return 0
	}
	return w.versionLog.MinVersion(now, within-overdueMargin)
}

// beginBy returns the deadline for a request to begin on a version; zero if no newer version is
// known.
func (w *modelRollout) beginBy(version int64, within time.Duration) time.Time {
	at, replaced := w.versionLog.ReplacedAt(version)
	if within == 0 || !replaced {
		return time.Time{}
	}
	return at.Add(within - beginMargin)
}

// weightsStale reports whether this box's last proof of the operator's rows is so old that any
// version it knows may have been replaced for too long. It then sends nothing to engines.
func (d *Daemon) weightsStale(now time.Time) bool {
	within := d.bounds.Load().WeightsWithin
	return within > 0 && d.provedAgo(now) >= staleBounds*within
}

// versionsSnapshot lists a model's recent weight versions for a box that uses this one's view.
func (w *modelRollout) versionsSnapshot(now time.Time, within time.Duration) []peer.WeightVersion {
	var list []peer.WeightVersion
	for _, n := range w.versionLog.Since(now.Add(-reportBounds * within)) {
		list = append(list, peer.WeightVersion{Version: n.Version, AgeMS: now.Sub(n.At).Milliseconds(), Assumed: n.Assumed})
	}
	return list
}

// applyHubVersions applies a hub's weight versions. Their ages count from when they were
// requested, as the answer was made later.
func (d *Daemon) applyHubVersions(now time.Time, t *tables, hub string, requestedAt time.Time, v *peer.View) {
	for _, model := range slices.Sorted(maps.Keys(v.WeightVersions)) {
		w := t.rolloutOf(model)
		for _, n := range v.WeightVersions[model] {
			at := requestedAt.Add(-time.Duration(n.AgeMS) * time.Millisecond)
			if n.Assumed {
				w.versionLog.Assume(n.Version, at)
			} else {
				w.versionLog.Prove(n.Version, at, 0)
			}
			if n.Version > w.newestVersion {
				w.setNewest(now, n.Version)
				d.Log.Info("weights named", "model", model, "version", n.Version, "hub", hub, "at_most_ago", w.age(now, n.Version), "proved", !n.Assumed)
			}
		}
	}
}
