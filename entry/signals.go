package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
)

// In its answers a target signals that it is leaving, wants a backoff or has a rate limit. This
// binds the box, and it comes earlier than the target list, which shows nothing while the table
// service is away. Signals are therefore recorded where the answer is read, before any of it is
// passed on, and checked right before a request is sent, whichever box placed it and however
// long ago.

// Labels of the targets' signals.
const (
	signalLeaving = "leaving"
	signalBackoff = "backoff"
	signalLimit   = "limit"
	signalBrittle = "brittle"
)

const (
	// restartLag is how long a box may take to read the entry of a target that started again. Until
	// then it attributes the target's answers to the incarnation before, as they name none.
	restartLag = readHold
	// maxInheritedBackoff bounds a backoff that may be of the incarnation before, which can have
	// asked for minutes. A target that still wants no requests says so again.
	maxInheritedBackoff = 5 * time.Second
)

// codeBackoff is the refusal's code where all targets asked for a backoff.
const codeBackoff = "backoff"

// signalsReceived reports to the loop that a target's signals changed; they are in Daemon.notices.
type signalsReceived struct{ incarnation fleet.Incarnation }

// incarnationOf is the incarnation on which a request was placed.
func incarnationOf(p deliver.Placement) fleet.Incarnation {
	return fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt}
}

// send sends a request to its target, unless the target has since asked for none, and records
// the signals in the answer.
func (d *Daemon) send(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error) {
	if s.Place.Box != "" {
		return d.sendToBox(ctx, s)
	}
	incarnation := incarnationOf(s.Place)
	s.Allow = func() error { return d.allow(incarnation, s) }
	sentAt := d.now()
	if d.notices.Limit(incarnation).Active {
		d.metrics.rateLimited.Inc()
	}
	reply, err := d.Platform.Send(ctx, s)
	d.countCopies(s, reply, err)
	if err == nil {
		d.recordSignals(sentAt, incarnation, reply.Signals, "request "+s.Job.ID)
	}
	return reply, err
}

// allow returns why a request must not be sent to its target any more, or nil.
func (d *Daemon) allow(incarnation fleet.Incarnation, s deliver.Attempt) error {
	now := d.now()
	err := d.notices.Allow(now, incarnation)
	if err == nil && d.notices.Limit(incarnation).Active && (!s.Place.QuotaGranted || now.Sub(s.Place.PlacedAt) > grantTTL) {
		err = notice.ErrLimited
	}
	if p := s.Place.Permit; err == nil && p.Keeper != "" && now.Sub(p.GivenAt) > permitTTL {
		err = notice.ErrBrittle
	}
	if err == nil {
		return nil
	}
	signal := signalBackoff
	switch {
	case errors.Is(err, notice.ErrLeaving):
		signal = signalLeaving
	case errors.Is(err, notice.ErrLimited):
		signal = signalLimit
	case errors.Is(err, notice.ErrBrittle):
		signal = signalBrittle
	}
	d.metrics.withheld.WithLabelValues(signal).Inc()
	d.Log.Info("request is kept from a target at the last moment", "request", s.Job.ID, "target", incarnation.ID, "said", signal, "placed_ago", now.Sub(s.Place.PlacedAt), "rule", s.Place.Rule)
	return err
}

// recordSignals records the signals in the answer to a request sent at sentAt. It is for callers
// outside the loop.
func (d *Daemon) recordSignals(sentAt time.Time, incarnation fleet.Incarnation, signals notice.Signals, from string) {
	if d.observeSignals(sentAt, incarnation, signals, from) {
		d.post(signalsReceived{incarnation})
	}
}

// signalsFromReport records the signals in a target's report. incarnation is the one that was
// asked; the report may be of a later one.
func (d *Daemon) signalsFromReport(sentAt time.Time, incarnation fleet.Incarnation, report Report) {
	if !report.StartedAt.IsZero() {
		incarnation.StartedAt = report.StartedAt
	}
	d.recordSignals(sentAt, incarnation, report.Signals, "its report")
}

// observeSignals records the signals in an answer, and reports whether any of it is new.
func (d *Daemon) observeSignals(sentAt time.Time, incarnation fleet.Incarnation, signals notice.Signals, from string) bool {
	now := d.now()
	added := d.notices.Observe(now, incarnation, signals)
	if added.Leaving {
		d.metrics.notices.WithLabelValues(signalLeaving).Inc()
		d.Log.Info("target says that it leaves", "target", incarnation.ID, "born", incarnation.StartedAt, "told_by", from)
	}
	if added.Backoff > 0 {
		d.metrics.notices.WithLabelValues(signalBackoff).Inc()
		d.Log.Info("target wants no requests", "target", incarnation.ID, "born", incarnation.StartedAt, "for", added.Backoff, "told_by", from)
	}
	if added.Brittle > 0 {
		d.metrics.notices.WithLabelValues(signalBrittle).Inc()
		d.Log.Info("target is brittle", "target", incarnation.ID, "born", incarnation.StartedAt, "bears", added.Brittle, "told_by", from)
	}
	limited := d.notices.ObserveLimit(now, sentAt, incarnation, signals)
	if limited {
		d.logLimit(notice.TargetLimit{Incarnation: incarnation, Limit: d.notices.Limit(incarnation)}, from)
	}
	return limited || added != (notice.Signals{})
}

// logLimit logs and counts that a target's rate limit began, changed or ended.
func (d *Daemon) logLimit(x notice.TargetLimit, from string) {
	if !x.Limit.Active {
		d.Log.Info("target limits its requests no more", "target", x.Incarnation.ID, "born", x.Incarnation.StartedAt, "told_by", from)
		return
	}
	d.metrics.notices.WithLabelValues(signalLimit).Inc()
	d.Log.Info("target limits the requests of all boxes", "target", x.Incarnation.ID, "born", x.Incarnation.StartedAt, "per_second", x.Limit.PerSecond, "told_by", from)
}

// signalsFromEvents records the signals in a target's cache events, within the loop.
func (d *Daemon) signalsFromEvents(now time.Time, t *tables, x *fleet.Target, signals notice.Signals) {
	if d.observeSignals(now, x.Incarnation(), signals, "its news") {
		d.signalsReceived(now, t, x.Incarnation())
	}
}

// signalsReceived applies a target's recorded signals to it.
func (d *Daemon) signalsReceived(now time.Time, t *tables, incarnation fleet.Incarnation) {
	if len(t.brittlePools) == 0 {
		d.updateBrittle(now, t)
	}
	x := t.fleet.Incarnation(incarnation)
	if x == nil {
		if again := t.fleet.Target(incarnation.ID); again != nil && again.StartedAt.After(incarnation.StartedAt) && now.Sub(again.ListedAt) <= restartLag {
			d.inheritBackoff(now, incarnation, again) // Sent before its entry was read.
		}
		return
	}
	if d.applySignals(now, x) {
		t.markChanged(x.ID)
	}
}

// applySignals applies the recorded signals to a listed target, so that they hold even if a
// stale list adds the target again. If the list shows it as leaving, that is recorded as well.
// It reports whether the target is leaving and was not before.
func (d *Daemon) applySignals(now time.Time, x *fleet.Target) bool {
	before := x.Leaving
	d.notices.Observe(now, x.Incarnation(), notice.Signals{Leaving: x.Leaving})
	d.notices.Touch(now, x.Incarnation())
	x.Leaving = x.Leaving || d.notices.Leaving(x.Incarnation())
	x.BackoffUntil = d.notices.BackoffUntil(x.Incarnation())
	setLimit(x, d.notices.Limit(x.Incarnation()))
	return x.Leaving && !before
}

// inheritBackoff applies to a target that started again the backoff that it may have asked for
// before its entry was read.
func (d *Daemon) inheritBackoff(now time.Time, earlier fleet.Incarnation, x *fleet.Target) {
	askedAt, until := d.notices.BackoffAskedAt(earlier), d.notices.BackoffUntil(earlier)
	if askedAt.IsZero() || now.Sub(askedAt) > restartLag || askedAt.Before(x.StartedAt) || !now.Before(until) {
		return
	}
	left := min(until.Sub(now), maxInheritedBackoff)
	d.notices.Observe(now, x.Incarnation(), notice.Signals{Backoff: left})
	d.Log.Info("target wants no requests", "target", x.ID, "born", x.StartedAt, "for", left, "told_by", "an answer before its entry was read", "told_ago", now.Sub(askedAt))
	d.applySignals(now, x)
}

// refuseBackoff refuses a request for which some targets are available but excluded for the box
// that sends it; it returns nil if there are none.
func refuseBackoff(now time.Time, t *tables, request deliver.PlacementRequest, excluded func(*fleet.Target) bool) *refusal.Refusal {
	waits := func(x *fleet.Target) bool { return x.Available(now) && excluded(x) }
	if !slices.ContainsFunc(t.fleet.Pool(request.Job.Pool.Name), waits) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, 503, codeBackoff, "the targets of %s that take work asked for a time without requests", request.Job.Pool.Name)
}

// backoffLeft is the time until the first backoff in a pool ends; zero if no available target
// asked for one.
func (t *tables) backoffLeft(now time.Time, pool string) time.Duration {
	left := time.Duration(0)
	for _, x := range t.fleet.Pool(pool) {
		if span := x.BackoffUntil.Sub(now); x.Available(now) && span > 0 && (left == 0 || span < left) {
			left = span
		}
	}
	return left
}
