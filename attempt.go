package thymewind

import (
	"fmt"
	"time"

	"github.com/thymewind/thymewind/decision"
)

// attemptEnded records an attempt's outcome and applies it to the tables. It has the
// prompt's cache exported if that is worthwhile, and the load of a target that
// refused read again.
func (d *Daemon) attemptEnded(now time.Time, t *tables, m attemptEnded) []effect {
	d.recordAttempt(now, m)
	d.recordLiveness(now, t, m.AttemptResult)
	if t.Ended(now, m.AttemptResult) {
		return []effect{exportCache{m.Placement}}
	}
	if m.Refused {
		return t.readLoad(m.Placement.Target) // This box's knowledge of it is stale.
	}
	return nil
}

// signalsReceived applies a target's signals and logs a new backoff.
func (d *Daemon) signalsReceived(now time.Time, t *tables, m signalsReceived) {
	if x, known := t.Targets.Lookup(m.placed.Target); known && m.signals.Backoff > 0 && !now.Before(x.BackoffUntil) {
		d.Log.Info("target wants no requests", "target", x.Name, "for", m.signals.Backoff, "request", m.placed.Request)
	}
	t.ApplySignals(now, m.placed, m.signals)
	d.applyLimits(t)
}

func (d *Daemon) recordAttempt(now time.Time, m attemptEnded) {
	u := m.End.Usage
	r := decision.Record{
		At: now, Kind: decision.Finished, Request: m.Placement.Request, Account: m.Placement.Account, Pool: m.Placement.Pool,
		Rule: "whole answer", Result: m.Placement.Target,
		Inputs: fmt.Sprintf("first token %v, prompt %d tokens: %d reused, %d imported; answer %d tokens", m.FirstToken.Round(time.Microsecond), u.Prompt, u.Reused, u.Imported, u.Completion),
	}
	switch {
	case m.Refused:
		r.Kind, r.Rule = decision.Refused, "refused by the target before it started"
	case m.Failed:
		r.Rule = "broken off"
	default:
		if m.FirstToken == 0 {
			break
		}
		d.metrics.firstToken.WithLabelValues(m.Placement.Pool).Observe(m.FirstToken.Seconds())
		d.metrics.tokens.WithLabelValues(m.Placement.Pool, "reused").Add(float64(u.Reused))
		d.metrics.tokens.WithLabelValues(m.Placement.Pool, "imported").Add(float64(u.Imported))
		d.metrics.tokens.WithLabelValues(m.Placement.Pool, "computed").Add(float64(u.Prompt - u.Reused - u.Imported))
	}
	d.records.Add(r)
}
