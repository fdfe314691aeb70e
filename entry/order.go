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

// errLeaseNotHeld means that this box must not give orders any more.
var errLeaseNotHeld = trace.AccessDenied("the lease is not held")

const (
	// maxUnreachablePolls is how many polls in a row may fail to reach a target before another
	// target takes its slot among the concurrent loads. A process that crashed is back after
	// some seconds under another ID, while a lost packet costs one poll.
	maxUnreachablePolls = 3
	// orderRetryDelay is how long a target that did not load waits for its next order, so that
	// others come first.
	orderRetryDelay = time.Second
)

// errUnreachable means that a target to be loaded could not be reached.
var errUnreachable = errors.New("the target can't be reached")

// loadWeights has one target load weights and waits until it has them.
func (d *Daemon) loadWeights(ctx context.Context, e sendOrder) error {
	ctx, cancel := context.WithTimeout(ctx, maxLoadTime)
	defer cancel()
	ordered := false
	unreachable := 0
	for {
		requestedAt := d.now()
		report, err := d.Platform.Report(ctx, e.address)
		d.signalsFromReport(requestedAt, e.incarnation, report)
		if err == nil && report.Versions[e.order.Model] >= e.order.Version {
			return nil
		}
		if err == nil && !report.Busy && (!ordered || report.OrdersTaken == e.order.OrdersTaken) {
			e.order.OrdersTaken = report.OrdersTaken
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
			return trace.LimitExceeded("target did not load the version within %v", maxLoadTime)
		}
	}
}

// order sends one order, if the lease is still held immediately before.
func (d *Daemon) order(ctx context.Context, e sendOrder) error {
	epoch, until, held := d.lease.Held()
	if !held || epoch != e.order.Epoch {
		return errLeaseNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(d.now()))
	defer cancel()
	e.order.Until = until
	d.Log.Info("order sent", "target", e.order.Target, "model", e.order.Model, "version", e.order.Version, "epoch", epoch, "after_orders", e.order.OrdersTaken, "lease_left", until.Sub(d.now()))
	requestedAt := d.now()
	signals, err := d.Platform.Order(ctx, e.address, e.order)
	d.recordSignals(requestedAt, e.incarnation, signals, "an order")
	d.metrics.orders.WithLabelValues(orderOutcome(err)).Inc()
	return err
}

// orderOutcome is the metric label of an order's result.
func orderOutcome(err error) string {
	switch {
	case err == nil:
		return "taken"
	case errors.Is(err, exchange.ErrNotSent):
		return "not_sent"
	case trace.IsCompareFailed(err), trace.IsBadParameter(err), errors.Is(err, ErrReplaced):
		return "refused"
	}
	return "unanswered"
}

// orderEnded frees the order's slot among the concurrent loads. A target that was replaced must
// not hold it until maxLoadTime is over: with two slots the rollout would run at half speed for
// that time.
func (d *Daemon) orderEnded(now time.Time, t *tables, m orderEnded) []effect {
	w := t.rolloutOf(m.model)
	delete(w.ordered, m.target)
	t.orders.End(now, m.target)
	x := t.fleet.Target(m.target)
	if x == nil {
		return nil
	}
	if errors.Is(m.err, ErrReplaced) {
		return d.dropReplaced(now, t, x.Incarnation(), "its answer to an order")
	}
	x.LoadingUntil = time.Time{}
	t.markChanged(m.target)
	if m.err != nil {
		w.orderRetryAt[m.target] = now.Add(orderRetryDelay)
		d.Log.Warn("target did not load weights", "target", m.target, "version", m.version, "err", m.err)
		return nil
	}
	x.Versions[m.model] = max(x.Versions[m.model], m.version)
	d.Log.Info("target has the weights", "target", m.target, "model", m.model, "version", m.version, "since_named", w.age(now, m.version))
	return nil
}

// learnVersion takes a target's weight version from the refusal of a request.
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
// later: a refusal at the start of a load says less than the order. Ending the load early would
// have each box that met such a refusal send a request there every 0.3 s, only to be refused
// again. Keeping it, together with polling the loading targets (pollLoading), reduced the
// requests turned away by 99 engines in two rollouts from 508 to 175.
func excludeUntil(x *fleet.Target, until time.Time) {
	if x.LoadingUntil.Before(until) {
		x.LoadingUntil = until
	}
}
