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

// canaryPrefix begins the keys of the rows that hold the stage of canary rollouts; the pool's
// name follows. A row is changed by compare-and-swap: of two boxes that both believe that they
// hold the lease, only one changes it.
const canaryPrefix = "canary/"

const (
	// completeAfterShare is the share of the rollout's time after which a version that is no worse
	// begins to be completed. One that turns bad later is still found within that time.
	completeAfterShare = 0.65
	// completionDelay is the time for all boxes to learn that all requests go to the new
	// version: hubs read the row within 0.3 s, and other boxes take a hub's view every 0.15 s.
	completionDelay = 1500 * time.Millisecond
	// decisionMargin is how long before the deadline the decision is made, for the calls that
	// it takes.
	decisionMargin = time.Second
	// canaryRetryDelay is the pause after a failed write or report.
	canaryRetryDelay = 300 * time.Millisecond
)

// canaryRow is the value of such a row.
type canaryRow struct {
	Order   uint64       `json:"order"`
	Version string       `json:"version"`
	State   canary.State `json:"state"`
	// DeadlineMS is when the decision is due, on the table service's clock.
	DeadlineMS int64 `json:"until_ms"`
	// Barred are versions that were tried and rejected.
	Barred []string `json:"barred,omitempty"`
	// Reported means that the final state was reported to the operator.
	Reported bool `json:"told,omitempty"`
}

// writeCanary writes a row if it is unchanged since it was read.
type writeCanary struct {
	pool     string
	row      canaryRow
	revision revision.Revision
}

// canaryWritten is the result; current is the row as read after the write.
type canaryWritten struct {
	writeCanary
	current table.Row
	err     error
}

// reportCanary reports the rollout's state to the operator.
type reportCanary struct {
	spec  canary.Rollout
	state canary.State
}

// canaryReported is the result.
type canaryReported struct {
	reportCanary
	err error
}

// judgeCanaries decides on canary rollouts if this box holds the lease, and tries to get the
// lease while there is something to decide.
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

// markRowLost notes that a restore of the table service lost the row, so that the next write
// creates it again, and that such a write is due.
func (c *canaryRollout) markRowLost(restores uint64) {
	c.revision = revision.Revision{Restores: restores}
	c.rowLost, c.rowReported = true, false
}

// finished reports whether nothing is left to decide or to report.
func (c *canaryRollout) finished() bool { return c.state.Ended() && c.rowReported }

// stateReported reports whether this box reported the current state to the operator.
func (c *canaryRollout) stateReported() bool { return c.reported && c.reportedState == c.state }

// advanceCanary writes the row that is due and reports the current state to the operator.
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
	if known := c.deadline != 0; known && !c.reporting && !c.stateReported() {
		c.reporting = true
		effects = append(effects, reportCanary{c.spec, c.state})
	}
	return effects
}

// nextCanaryRow returns the row as it should be, and whether it has to be written.
func (d *Daemon) nextCanaryRow(now time.Time, t *tables, c *canaryRollout) (canaryRow, bool) {
	clock, known := t.tableClock.Max(now)
	row := canaryRow{Order: c.spec.Order, Version: c.spec.Version, State: c.state, DeadlineMS: c.deadline.Milliseconds(), Barred: c.barred}
	switch {
	case !known:
		return row, false
	case c.state.Ended():
		row.Reported = c.stateReported()
		return row, row.Reported && !c.rowReported
	case c.deadline == 0 && c.spec.Timeout == 0 && c.spec.Version != "":
		return row, false // Another box told of it; this one has yet to read how long it may take.
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

// afterTrying is the state by the time left. A version not shown to be no worse by the deadline
// is rolled back: the older one serves, and the operator may request it again.
func (c *canaryRollout) afterTrying(clock time.Duration) canary.State {
	left := c.deadline - clock
	switch {
	case left <= decisionMargin:
		return canary.RolledBack
	case left <= time.Duration(float64(c.spec.Timeout)*(1-completeAfterShare)) && c.judge.Good():
		return canary.Completing
	}
	return canary.Trying
}

// mayComplete reports whether boxes have learned that the older version gets no requests, and
// none is in flight there any more or time is up.
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

// canaryWritten applies the row as read after a write.
func (d *Daemon) canaryWritten(now time.Time, t *tables, m canaryWritten) {
	if c := t.canaryOf(m.pool); c != nil {
		c.writing = false
		c.retryAt = now.Add(canaryRetryDelay)
	}
	if m.err != nil {
		d.Log.Warn("canary rollout's state was not written", "pool", m.pool, "state", m.row.State, "err", m.err)
	}
	if m.current.Value != nil {
		d.applyCanaryRow(now, t, m.pool, m.current.Value, m.current.At())
	}
}

// applyCanaryRow applies a row.
func (d *Daemon) applyCanaryRow(now time.Time, t *tables, pool string, value []byte, changed revision.Revision) {
	var row canaryRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("canary rollout's row is invalid", "pool", pool, "err", err)
		return
	}
	spec := canary.Rollout{Pool: pool, Version: row.Version, Order: row.Order}
	c := d.startCanary(now, t, spec, "its row")
	if c.revision.After(changed) {
		return
	}
	c.revision, c.rowLost = changed, false
	if !c.spec.Same(spec) {
		c.barred = union(c.barred, row.nextBarred())
		return
	}
	c.deadline = time.Duration(row.DeadlineMS) * time.Millisecond
	c.barred = union(c.barred, row.Barred)
	c.rowReported = row.Reported
	d.setCanaryState(now, c, row.State, "its row")
}

// nextBarred lists the versions that get no requests once another rollout follows this row's.
func (r canaryRow) nextBarred() []string {
	if r.State == canary.Completed || r.Version == "" {
		return r.Barred
	}
	return append(slices.Clone(r.Barred), r.Version)
}

// union returns the strings of two lists, sorted and without duplicates.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (d *Daemon) reportCanary(ctx context.Context, e reportCanary) canaryReported {
	return canaryReported{e, d.Platform.ReportCanary(ctx, e.spec, e.state)}
}

// canaryReported notes that the state was reported to the operator.
func (d *Daemon) canaryReported(now time.Time, t *tables, m canaryReported) {
	c := t.canaryOf(m.spec.Pool)
	if c == nil || !c.spec.Same(m.spec) {
		return
	}
	c.reporting = false
	if m.err != nil {
		c.retryAt = now.Add(canaryRetryDelay)
		d.Log.Warn("canary rollout's state was not reported to the operator", "pool", m.spec.Pool, "state", m.state, "err", m.err)
		return
	}
	c.reported, c.reportedState = true, m.state
}
