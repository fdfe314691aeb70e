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
	// once there is a change: twice the slowest answer that it is known to give, 60
	// times the usual 4 ms.
	feedLag = 500 * time.Millisecond
	// heldAtLeast is how long a read must have been held, by the service's clock,
	// before its answer tells of a change that came meanwhile: feedLag, and as much
	// for the way there. Without it each naming would be dated by the answer
	// before, up to 1.5 s too early, which older engines then lack for serving.
	heldAtLeast = 2 * feedLag
	// unrecordedFor is how long before this box first read a version it is taken
	// to have been named if nobody told: the record is written some 0.5 s after
	// a naming, 2.9 s if the lease's holder ends then.
	unrecordedFor = 4 * time.Second
	// toldFor is how many bounds long a naming is told to others: after one it can
	// only be the lowest version allowed.
	toldFor = 2
	// soundProof is how old the proof of a sound box gets: reads are held for
	// 1.5 s, so it is at most 3 s old.
	soundProof = 3200 * time.Millisecond
	// tellAgain is the pause after the rollout's row could not be written; each
	// try has its price.
	tellAgain = 500 * time.Millisecond
)

// recordedNaming is a naming as the rollout's row tells it.
type recordedNaming struct {
	Version int64 `json:"version"`
	// AtMS is the table service's clock when the version was not named yet.
	AtMS int64 `json:"at_ms"`
	// Assumed says that no read proved that.
	Assumed bool `json:"assumed,omitempty"`
}

// weightsRead takes over which versions the operator named.
func (d *Daemon) weightsRead(now time.Time, t *tables, m operatorRead) {
	unnamed := d.clockRead(now, t, m)
	for model, version := range m.change.Weights {
		w := t.model(model)
		if version <= w.wanted {
			continue
		}
		before := w.wanted
		w.name(now, version)
		at, proved := d.unnamedAt(t, unnamed)
		if proved {
			w.names.Prove(version, at)
			w.record(version, unnamed)
		} else {
			w.names.Assume(version, now.Add(-unrecordedFor))
		}
		d.Log.Info("weights named", "model", model, "version", version, "before", before, "at_most_ago", w.age(now, version), "proved", proved)
	}
	for _, w := range t.weights {
		w.date(now, t)
	}
}

// clockRead takes over the table service's clock. It returns what that showed at a
// time at which nothing of what was just read was there yet: at the answer before,
// or a moment before this one if the read was held that long. A read that was late
// may find a change that is as old as the answer before. It returns zero if that
// is not known.
func (d *Daemon) clockRead(now time.Time, t *tables, m operatorRead) time.Duration {
	before, told := t.toldClock, m.change.Clock
	t.toldClock = told
	if told == 0 {
		return 0
	}
	if !t.clockOfTable.See(m.asked, now, told) {
		d.Log.Warn("the table service's clock jumped", "told", told, "before", before)
		for _, w := range t.weights {
			w.forgetClock()
		}
		return 0
	}
	if asked, _ := t.clockOfTable.Most(m.asked); before > 0 && told-asked >= heldAtLeast {
		return max(before, told-feedLag)
	}
	return before
}

// unnamedAt returns a time at which the operator had not named yet what was just
// read, or false if this is the first read; told is the table service's clock at
// such a time, or zero.
func (d *Daemon) unnamedAt(t *tables, told time.Duration) (time.Time, bool) {
	proved := d.proved.Load()
	if proved == nil {
		return time.Time{}, false
	}
	at := *proved
	if seen, ok := t.clockOfTable.Earliest(told); ok && told > 0 && seen.After(at) {
		at = seen
	}
	return at, true
}

// name takes a newer version over, which this box heard of at a time.
func (w *weights) name(at time.Time, version int64) {
	w.wanted = version
	w.clearing.Name(at, version)
}

// forgetClock drops times that were told by a clock that began anew, and has those
// of this box recorded by the new one.
func (w *weights) forgetClock() {
	clear(w.unnamedAt)
	clear(w.assumedAt)
	w.recorded = 0
}

// age returns for how long a version, or a newer one, can have been named at most.
func (w *weights) age(now time.Time, version int64) time.Duration {
	at, known := w.names.ReplacedAt(version - 1)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// replacedFor returns for how long a version can have been replaced by a newer one.
func (w *weights) replacedFor(now time.Time, version int64) time.Duration {
	at, known := w.names.ReplacedAt(version)
	if !known {
		return 0
	}
	return now.Sub(at)
}

// least returns the lowest version that a request may be sent to.
func (w *weights) least(now time.Time, within time.Duration) int64 {
	if within == 0 {
		return 0
	}
	return w.names.Required(now, within-overdueMargin)
}

// beginBy returns when a request must have begun on a version; zero if no bound
// is known.
func (w *weights) beginBy(version int64, within time.Duration) time.Time {
	at, replaced := w.names.ReplacedAt(version)
	if within == 0 || !replaced {
		return time.Time{}
	}
	return at.Add(within - beginMargin)
}

// weightsUnknown says that this box's last proof of what the operator wrote is so
// old that any version that it knows may have been replaced for too long. It then
// sends nothing to engines, as it can't tell.
func (d *Daemon) weightsUnknown(now time.Time) bool {
	within := d.bounds.Load().WeightsWithin
	return within > 0 && d.provedAgo(now) >= max(within-overdueMargin, soundProof)
}

// record notes the table service's clock when a version was not named yet.
func (w *weights) record(version int64, told time.Duration) {
	if told > 0 {
		w.unnamedAt[version] = max(w.unnamedAt[version], told)
	}
}

// date turns what was told by the table service's clock into this box's times. A
// time that lies ahead was told by another clock and says nothing.
func (w *weights) date(now time.Time, t *tables) {
	for version, told := range w.unnamedAt {
		if at, ok := t.clockOfTable.Earliest(told); ok && !at.After(now) {
			w.names.Prove(version, at)
		}
	}
	for version, told := range w.assumedAt {
		if at, ok := t.clockOfTable.Earliest(told); ok && !at.After(now) {
			w.names.Assume(version, at)
		}
	}
}

// namingsRead takes over when versions were named, as the rollout's row tells.
// Whoever wrote it, it stays true. A row that was written late, over a newer one,
// lacks a naming, which then has to be recorded again.
func (w *weights) namingsRead(now time.Time, t *tables, list []recordedNaming) {
	w.recorded = 0
	for _, n := range list {
		told := time.Duration(n.AtMS) * time.Millisecond
		w.recorded = max(w.recorded, n.Version)
		if !n.Assumed {
			w.record(n.Version, told)
			continue
		}
		if before, known := w.assumedAt[n.Version]; !known || told < before {
			w.assumedAt[n.Version] = told
		}
	}
	w.date(now, t)
}

// namings lists what is known of namings for the rollout's row.
func (w *weights) namings(now time.Time, t *tables, within time.Duration) []recordedNaming {
	var list []recordedNaming
	for _, n := range w.names.Since(now.Add(-toldFor * within)) {
		told, known := w.unnamedAt[n.Version]
		if !known {
			told, known = t.clockOfTable.Least(n.At)
		}
		if known {
			list = append(list, recordedNaming{n.Version, told.Milliseconds(), n.Assumed})
		}
	}
	return list
}

// unrecorded says that the row lacks the newest naming, so that a box that starts
// could not know of its time.
func (w *weights) unrecorded(t *tables) bool {
	return t.clockOfTable.Seen() && w.wanted > w.recorded
}

// forgetOld drops times of versions that are not remembered any more.
func (w *weights) forgetOld() {
	least := w.names.Least()
	over := func(version int64, _ time.Duration) bool { return version < least }
	maps.DeleteFunc(w.unnamedAt, over)
	maps.DeleteFunc(w.assumedAt, over)
}

// namingsTold lists a model's namings for a box that takes this one's view.
func (w *weights) namingsTold(now time.Time, within time.Duration) []peer.Naming {
	var list []peer.Naming
	for _, n := range w.names.Since(now.Add(-toldFor * within)) {
		list = append(list, peer.Naming{Version: n.Version, AgeMS: now.Sub(n.At).Milliseconds(), Assumed: n.Assumed})
	}
	return list
}

// namingsFromHub takes a hub's namings over; the ages count from when they were
// asked for, as the answer was made later.
func (d *Daemon) namingsFromHub(now time.Time, t *tables, hub string, asked time.Time, v *peer.View) {
	for _, model := range slices.Sorted(maps.Keys(v.Namings)) {
		w := t.model(model)
		for _, n := range v.Namings[model] {
			at := asked.Add(-time.Duration(n.AgeMS) * time.Millisecond)
			if n.Assumed {
				w.names.Assume(n.Version, at)
			} else {
				w.names.Prove(n.Version, at)
			}
			if n.Version > w.wanted {
				w.name(now, n.Version)
				d.Log.Info("weights named", "model", model, "version", n.Version, "hub", hub, "at_most_ago", w.age(now, n.Version), "proved", !n.Assumed)
			}
		}
	}
}
