package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/fleet"
)

// errLeaseNotHeld says that this box must not give orders any more.
var errLeaseNotHeld = trace.AccessDenied("the lease is not held")

const (
	// maxUnreachablePolls is how many looks in a row may fail to reach a target before
	// its place among those that load goes to another: a process that crashed is
	// back after some seconds, under another ID, and a lost packet costs one look.
	maxUnreachablePolls = 3
	// orderRetryDelay is how long a target that did not load waits for its next order,
	// so that others come first.
	orderRetryDelay = time.Second
)

// errUnreachable says that a target that was to load could not be reached.
var errUnreachable = errors.New("the target can't be reached")

// loadWeights has one target load weights and waits until it has them.
func (d *Daemon) loadWeights(ctx context.Context, e sendOrder) error {
	ctx, cancel := context.WithTimeout(ctx, maxLoadTime)
	defer cancel()
	ordered := false
	unreachable := 0
	for {
		asked := d.now()
		report, err := d.Platform.Report(ctx, e.at)
		d.signalsFromReport(asked, e.life, report)
		if err == nil && report.Versions[e.order.Model] >= e.order.Version {
			return nil
		}
		if err == nil && !report.Busy && (!ordered || report.OrdersTaken == e.order.After) {
			e.order.After = report.OrdersTaken
			if err = d.order(ctx, e); err == nil {
				ordered = true
			}
			if trace.IsAccessDenied(err) || errors.Is(err, ErrReplaced) {
				return err
			}
		}
		if err != nil {
			d.Log.Warn("order not confirmed", "target", e.order.Target, "version", e.order.Version, "err", err)
		}
		if !errors.Is(err, exchange.ErrNotSent) {
			unreachable = 0
		} else if unreachable++; unreachable == maxUnreachablePolls {
			return errUnreachable
		}
		d.sleep(ctx, loadPollInterval)
		if ctx.Err() != nil {
			return trace.LimitExceeded("the target does not have the version after %v", maxLoadTime)
		}
	}
}

// order sends one order, if the lease is held right before.
func (d *Daemon) order(ctx context.Context, e sendOrder) error {
	epoch, until, held := d.lease.Held()
	if !held || epoch != e.order.Epoch {
		return errLeaseNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(d.now()))
	defer cancel()
	e.order.Until = until
	asked := d.now()
	said, err := d.Platform.Order(ctx, e.at, e.order)
	d.recordSignals(asked, e.life, said, "an order")
	return err
}

// orderEnded frees the order's place among those that load. A target that was
// replaced must not hold it until loadLongest is over: with two places a rollout
// would stand still for half of that.
func (d *Daemon) orderEnded(now time.Time, t *tables, m orderEnded) []effect {
	w := t.rolloutOf(m.model)
	delete(w.ordered, m.target)
	w.orderedAt[m.target] = now
	x := t.fleet.Target(m.target)
	if x == nil {
		return nil
	}
	if errors.Is(m.err, ErrReplaced) {
		return d.dropReplaced(now, t, x.Incarnation(), "its answer to an order")
	}
	x.LoadingUntil = time.Time{}
	t.touch(m.target)
	if m.err != nil {
		w.barredUntil[m.target] = now.Add(orderRetryDelay)
		d.Log.Warn("target did not load weights", "target", m.target, "version", m.version, "err", m.err)
		return nil
	}
	x.Versions[m.model] = max(x.Versions[m.model], m.version)
	d.Log.Info("target has the weights", "target", m.target, "model", m.model, "version", m.version, "since_named", w.age(now, m.version))
	return nil
}

// learnVersion takes from a target's refusal what it says of its weights.
func (d *Daemon) learnVersion(now time.Time, t *tables, x *fleet.Target, m attemptEnded) {
	model := m.Job.Model
	switch m.Verdict {
	case deliver.OtherVersion:
		before := x.Versions[model]
		x.Versions[model] = max(before, m.Version)
		if m.Version == 0 {
			excludeUntil(x, now.Add(turnedAwayPause))
		}
		d.Log.Info("target has other weights", "target", x.ID, "request", m.Job.ID, "thought", before, "told", m.Version)
	case deliver.OtherReplica:
		d.dropReplaced(now, t, x.Incarnation(), "request "+m.Job.ID)
	case deliver.DidNotRun:
		if w := t.rolloutOf(model); w.newestVersion > x.Versions[model] {
			excludeUntil(x, now.Add(turnedAwayPause))
		}
	}
}

// excludeUntil keeps requests from a target until a time, or until it has loaded if that is
// later: a request that it turned away as it began to load says less than the order.
// Cutting the load short had each box that met this send work there every 0.3 s, for
// nothing: of 508 requests that 99 engines turned away in two rollouts 175 are left,
// with targets that are asked whether they have loaded (askLoading).
func excludeUntil(x *fleet.Target, until time.Time) {
	if x.LoadingUntil.Before(until) {
		x.LoadingUntil = until
	}
}
