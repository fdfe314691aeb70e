package thymewind

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// The pace of charging. Every box writes now and then; the more boxes there
// are, the less often, so that all together stay within the table service.
const (
	minFlushInterval = time.Second
	flushIntervalPerBox   = 60 * time.Millisecond
)

// flushCharges writes this box's charges.
type flushCharges struct{}

// applyCharges adds all boxes' batches to the accounts, for the duty's holder.
type applyCharges struct{}

// chargesProcessed tells that either is done.
type chargesProcessed struct {
	pending string
	err     error
}

// processCharges writes charges and, if this box has the duty, applies them.
func (d *Daemon) processCharges(now time.Time, t *tables) []effect {
	var effects []effect
	if !now.Before(t.due.flush) && !t.pending[pendingFlush] && d.ledger.Waiting() > 0 {
		t.due.flush = now.Add(d.jitter(flushInterval(t)))
		t.pending[pendingFlush] = true
		effects = append(effects, flushCharges{})
	}
	x, known := t.dutiesByName[dutyCharges]
	if !known || now.Before(t.due.apply) || t.pending[pendingApply] {
		return effects
	}
	if _, _, ok := x.lease.Held(); ok {
		t.due.apply = now.Add(flushInterval(t) / 2)
		t.pending[pendingApply] = true
		effects = append(effects, applyCharges{})
	}
	return effects
}

func (d *Daemon) chargesProcessed(t *tables, m chargesProcessed) {
	delete(t.pending, m.pending)
	if m.err != nil {
		d.metrics.platformErrors.WithLabelValues("charges").Inc()
	}
}

func (d *Daemon) applyCharges(ctx context.Context) message {
	_, err := d.ledger.Apply(ctx)
	return chargesProcessed{pendingApply, trace.Wrap(err)}
}

// flushInterval is how often each box writes its charges.
func flushInterval(t *tables) time.Duration {
	return max(minFlushInterval, time.Duration(t.boxCount())*flushIntervalPerBox)
}
