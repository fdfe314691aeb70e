package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// canaryPrefix begins the keys of the rows that say how far the versions that are tried out
// have come; the pool stands behind it. A row is changed only as it was read: of two boxes
// that take themselves for the holder of the lease one changes it.
const canaryPrefix = "canary/"

const (
	// completeAt is the part of the time asked for after which a version that is no worse
	// begins to be completed: one that turns bad later is found until then.
	completeAt = 0.65
	// completionDelay is how long boxes have to hear that all requests go to the new version:
	// hubs read the row within 0.3 s, and boxes their view each 0.15 s.
	completionDelay = 1500 * time.Millisecond
	// decisionMargin is how long before the end it is decided, for the calls that this takes.
	decisionMargin = time.Second
	// canaryRetryDelay is the pause after a change that failed.
	canaryRetryDelay = 300 * time.Millisecond
)

// canaryRow is the value of such a row.
type canaryRow struct {
	Order   uint64       `json:"order"`
	Version string       `json:"version"`
	State   canary.State `json:"state"`
	// DeadlineMS is when it has to be decided, on the table service's clock.
	DeadlineMS int64 `json:"until_ms"`
	// Barred are versions that were tried and not taken.
	Barred []string `json:"barred,omitempty"`
	// Reported says that the operator was told of a state that changes no more.
	Reported bool `json:"told,omitempty"`
}

// writeCanary changes a row as it was read.
type writeCanary struct {
	pool     string
	row      canaryRow
	revision revision.Revision
}

// canaryWritten tells what came of it; current is the row as it stands, if it was another.
type canaryWritten struct {
	writeCanary
	current table.Row
	err     error
}

// reportCanary tells the operator.
type reportCanary struct {
	spec  canary.Rollout
	state canary.State
}

// canaryReported tells what came of it.
type canaryReported struct {
	reportCanary
	err error
}

// judgeCanaries decides on what is tried out, if this box holds the lease, and tries to get
// the lease while there is something to decide.
func (d *Daemon) judgeCanaries(now time.Time, t *tables) []effect {
	var effects []effect
	work := false
	for _, pool := range slices.Sorted(maps.Keys(t.canaries)) {
		c := t.canaries[pool]
		if d.spoke.Load() || c.finished() {
			continue
		}
		work = true
		if _, _, held := d.lease.Held(); held {
			effects = append(effects, d.advanceCanary(now, t, c)...)
		}
	}
	if work {
		effects = append(effects, d.stepLease(now, t)...)
	}
	return effects
}

// markRowLost notes that a restore of the table service lost the row, so that the next change makes
// it anew, and one is due.
func (c *canaryRollout) markRowLost(restores uint64) {
	c.revision = revision.Revision{Restores: restores}
	c.rowLost, c.rowReported = true, false
}

// finished says that nothing is left to decide or to tell.
func (c *canaryRollout) finished() bool { return c.state.Ended() && c.rowReported }

// stateReported says that the operator was told of the state as it is, by this box.
func (c *canaryRollout) stateReported() bool { return c.reported && c.reportedState == c.state }

// advanceCanary has the row written as it should be, and the operator told of it as it is.
func (d *Daemon) advanceCanary(now time.Time, t *tables, c *canaryRollout) []effect {
	if now.Before(c.retryAt) {
		return nil
	}
	var effects []effect
	if !c.writing {
		if row, changes := d.nextCanaryRow(now, t, c); changes {
			c.writing = true
			effects = append(effects, writeCanary{c.spec.Pool, row, c.revision})
		}
	}
	if stands := c.deadline != 0; stands && !c.reporting && !c.stateReported() {
		c.reporting = true
		effects = append(effects, reportCanary{c.spec, c.state})
	}
	return effects
}

// nextCanaryRow returns the row that should stand, and whether that is another one.
func (d *Daemon) nextCanaryRow(now time.Time, t *tables, c *canaryRollout) (canaryRow, bool) {
	clock, known := t.tableClock.Max(now)
	row := canaryRow{Order: c.spec.Order, Version: c.spec.Version, State: c.state, DeadlineMS: c.deadline.Milliseconds(), Barred: c.barred}
	switch {
	case !known:
		return row, false
	case c.state.Ended():
		row.Reported = c.stateReported()
		return row, row.Reported && !c.rowReported
	case c.deadline == 0:
		row.DeadlineMS = (clock + c.spec.Timeout - now.Sub(c.stateSince)).Milliseconds()
		return row, true
	case c.stopped || c.spec.Version == "":
		row.State = canary.RolledBack
	case c.state == canary.Trying:
		row.State = c.afterTrying(clock)
	case d.mayComplete(now, clock, t, c):
		row.State = canary.Completed
	}
	return row, row.State != c.state || c.rowLost
}

// afterTrying is the state by the time that is left. A version that is not shown to be no
// worse by then is taken back: the older one serves, and the operator may ask again.
func (c *canaryRollout) afterTrying(clock time.Duration) canary.State {
	left := c.deadline - clock
	switch {
	case left <= decisionMargin:
		return canary.RolledBack
	case left <= time.Duration(float64(c.spec.Timeout)*(1-completeAt)) && c.judge.Good():
		return canary.Completing
	}
	return canary.Trying
}

// mayComplete says that boxes have heard that nothing goes to the older version, and that
// nothing runs there any more, or that time is up.
func (d *Daemon) mayComplete(now time.Time, clock time.Duration, t *tables, c *canaryRollout) bool {
	if now.Sub(c.stateSince) < completionDelay {
		return false
	}
	return d.baselineInFlight(now, t, c) == 0 || c.deadline-clock <= decisionMargin
}

func (d *Daemon) writeCanary(ctx context.Context, e writeCanary) canaryWritten {
	value, err := json.Marshal(e.row)
	if err != nil {
		return canaryWritten{writeCanary: e, err: trace.Wrap(err)}
	}
	key := canaryPrefix + e.pool
	err = d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: key, Revision: e.revision.Number, Restores: e.revision.Restores}}, Put: []table.Row{{Key: key, Value: value}},
	})
	current, readErr := d.Platform.Read(ctx, key)
	if readErr != nil && err == nil {
		err = readErr
	}
	return canaryWritten{e, current, err}
}

// canaryWritten takes over the row as it stands after a change.
func (d *Daemon) canaryWritten(now time.Time, t *tables, m canaryWritten) {
	if c := t.canaryOf(m.pool); c != nil {
		c.writing = false
		c.retryAt = now.Add(canaryRetryDelay)
	}
	if m.err != nil {
		d.Log.Warn("how far a version has come was not written", "pool", m.pool, "state", m.row.State, "err", m.err)
	}
	if m.current.Value != nil {
		d.applyCanaryRow(now, t, m.pool, m.current.Value, m.current.At())
	}
}

// applyCanaryRow takes over a row.
func (d *Daemon) applyCanaryRow(now time.Time, t *tables, pool string, value []byte, changed revision.Revision) {
	var row canaryRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("the row of a version that is tried out can't be read", "pool", pool, "err", err)
		return
	}
	ask := canary.Rollout{Pool: pool, Version: row.Version, Order: row.Order}
	c := d.startCanary(now, t, ask, "its row")
	if c.revision.After(changed) {
		return
	}
	c.revision, c.rowLost = changed, false
	if !c.spec.Same(ask) {
		c.barred = union(c.barred, row.bars())
		return
	}
	c.deadline = time.Duration(row.DeadlineMS) * time.Millisecond
	c.barred = union(c.barred, row.Barred)
	c.rowReported = row.Reported
	d.setCanaryState(now, c, row.State, "its row")
}

// bars lists the versions that get nothing by an earlier row.
func (r canaryRow) bars() []string {
	if r.State == canary.Completed || r.Version == "" {
		return r.Barred
	}
	return append(slices.Clone(r.Barred), r.Version)
}

// union returns the texts of two lists, each once.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (d *Daemon) reportCanary(ctx context.Context, e reportCanary) canaryReported {
	return canaryReported{e, d.Platform.ReportCanary(ctx, e.spec, e.state)}
}

// canaryReported notes that the operator was told.
func (d *Daemon) canaryReported(now time.Time, t *tables, m canaryReported) {
	c := t.canaryOf(m.spec.Pool)
	if c == nil || !c.spec.Same(m.spec) {
		return
	}
	c.reporting = false
	if m.err != nil {
		c.retryAt = now.Add(canaryRetryDelay)
		d.Log.Warn("the operator was not told how far a version has come", "pool", m.spec.Pool, "state", m.state, "err", m.err)
		return
	}
	c.reported, c.reportedState = true, m.state
}
