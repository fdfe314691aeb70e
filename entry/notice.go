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

// What a target says of itself in an answer is a limit, and the first word of it: the list
// of targets tells later, and nothing while the table service is away. So it is noted where
// the answer is read, before any of it is passed on, and asked for right before a request
// leaves this box, whoever placed it and however long ago.

// What targets say of themselves, for counters.
const (
	signalLeaving = "leaving"
	signalBackoff = "backoff"
	signalLimit   = "limit"
)

// codeBackoff is the refusal's code where all targets want no requests for a while.
const codeBackoff = "backoff"

// signalsHeard tells that a target said something of itself; the book of notices has it.
type signalsHeard struct{ life fleet.Incarnation }

// incarnationOf is the life that a request was placed on.
func incarnationOf(p deliver.Placement) fleet.Incarnation {
	return fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt}
}

// send sends a request to the target placed, unless that said something against it
// meanwhile, and notes what the answer says of the target.
func (d *Daemon) send(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error) {
	life := incarnationOf(s.Place)
	s.Allow = func() error { return d.allow(life, s) }
	asked := d.now()
	if d.notices.Limit(life).Active {
		d.metrics.rateLimited.Inc()
	}
	reply, err := d.Platform.Send(ctx, s)
	if err == nil {
		d.recordSignals(asked, life, reply.Signals, "request "+s.Job.ID)
	}
	return reply, err
}

// allow returns why a request must not leave for its target any more, or nil.
func (d *Daemon) allow(life fleet.Incarnation, s deliver.Attempt) error {
	now := d.now()
	err := d.notices.Allow(now, life)
	if err == nil && d.notices.Limit(life).Active && (!s.Place.QuotaGranted || now.Sub(s.Place.PlacedAt) > grantTTL) {
		err = notice.ErrLimited
	}
	if err == nil {
		return nil
	}
	word := signalBackoff
	switch {
	case errors.Is(err, notice.ErrLeaving):
		word = signalLeaving
	case errors.Is(err, notice.ErrLimited):
		word = signalLimit
	}
	d.metrics.withheld.WithLabelValues(word).Inc()
	d.Log.Info("request is kept from a target at the last moment", "request", s.Job.ID, "target", life.ID, "said", word, "placed_ago", now.Sub(s.Place.PlacedAt), "rule", s.Place.Rule)
	return err
}

// recordSignals notes what the answer to a request sent at asked says of its target. It is for callers
// outside the loop.
func (d *Daemon) recordSignals(asked time.Time, life fleet.Incarnation, said notice.Signals, from string) {
	if d.observeSignals(asked, life, said, from) {
		d.post(signalsHeard{life})
	}
}

// signalsFromReport does so with a report of a target whose life was the one given when it was
// asked; the report may be a later one's.
func (d *Daemon) signalsFromReport(asked time.Time, life fleet.Incarnation, report Report) {
	if !report.StartedAt.IsZero() {
		life.StartedAt = report.StartedAt
	}
	d.recordSignals(asked, life, report.Signals, "its report")
}

// observeSignals puts what an answer says of its target into the book, and says whether any of
// it is news.
func (d *Daemon) observeSignals(asked time.Time, life fleet.Incarnation, said notice.Signals, from string) bool {
	now := d.now()
	news := d.notices.Observe(now, life, said)
	if news.Leaving {
		d.metrics.notices.WithLabelValues(signalLeaving).Inc()
		d.Log.Info("target says that it leaves", "target", life.ID, "born", life.StartedAt, "told_by", from)
	}
	if news.Backoff > 0 {
		d.metrics.notices.WithLabelValues(signalBackoff).Inc()
		d.Log.Info("target wants no requests", "target", life.ID, "born", life.StartedAt, "for", news.Backoff, "told_by", from)
	}
	limited := d.notices.ObserveLimit(now, asked, life, said)
	if limited {
		d.logLimit(notice.TargetLimit{Incarnation: life, Limit: d.notices.Limit(life)}, from)
	}
	return limited || news != (notice.Signals{})
}

// logLimit logs and counts that a target's limit began, changed or ended.
func (d *Daemon) logLimit(x notice.TargetLimit, from string) {
	if !x.Limit.Active {
		d.Log.Info("target limits its requests no more", "target", x.Incarnation.ID, "born", x.Incarnation.StartedAt, "told_by", from)
		return
	}
	d.metrics.notices.WithLabelValues(signalLimit).Inc()
	d.Log.Info("target limits the requests of all boxes", "target", x.Incarnation.ID, "born", x.Incarnation.StartedAt, "per_second", x.Limit.PerSecond, "told_by", from)
}

// signalsFromEvents does so in the loop, with what a target's news say.
func (d *Daemon) signalsFromEvents(now time.Time, t *tables, x *fleet.Target, said notice.Signals) {
	if d.observeSignals(now, x.Incarnation(), said, "its news") {
		d.signalsHeard(now, t, x.Incarnation())
	}
}

// signalsHeard takes over what a target said of itself, for choosing.
func (d *Daemon) signalsHeard(now time.Time, t *tables, life fleet.Incarnation) {
	if x := t.fleet.Incarnation(life); x != nil && d.applyNotices(now, x) {
		t.touch(x.ID)
	}
}

// applyNotices has a target as listed be what it said of itself, also where an old list
// names it anew; that the list once said that it leaves is kept likewise. It says whether it
// leaves and did not before.
func (d *Daemon) applyNotices(now time.Time, x *fleet.Target) bool {
	before := x.Leaving
	d.notices.Observe(now, x.Incarnation(), notice.Signals{Leaving: x.Leaving})
	d.notices.Touch(now, x.Incarnation())
	x.Leaving = x.Leaving || d.notices.Leaving(x.Incarnation())
	x.BackoffUntil = d.notices.BackoffUntil(x.Incarnation())
	setLimit(x, d.notices.Limit(x.Incarnation()))
	return x.Leaving && !before
}

// refuseBackoff returns the refusal of a request whose pool has targets that would take
// work, but none from the box that sends it; nil if there are none.
func refuseBackoff(now time.Time, t *tables, ask deliver.PlacementRequest, closed func(*fleet.Target) bool) *refusal.Refusal {
	waits := func(x *fleet.Target) bool { return x.Available(now) && closed(x) }
	if !slices.ContainsFunc(t.fleet.Pool(ask.Job.Pool.Name), waits) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, 503, codeBackoff, "the targets of %s that take work asked for a time without requests", ask.Job.Pool.Name)
}

// backoffLeft is for how long yet the first target of a pool wants no requests, zero if none
// that takes work asked for that.
func (t *tables) backoffLeft(now time.Time, pool string) time.Duration {
	left := time.Duration(0)
	for _, x := range t.fleet.Pool(pool) {
		if span := x.BackoffUntil.Sub(now); x.Available(now) && span > 0 && (left == 0 || span < left) {
			left = span
		}
	}
	return left
}
