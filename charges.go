package thymewind

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// The interval between a box's writes of charges. It grows with the number of
// boxes, so that all of them together stay within the table service's write rate.
const (
	minFlushInterval    = time.Second
	flushIntervalPerBox = 60 * time.Millisecond
)

// flushCharges writes this box's charges.
type flushCharges struct{}

// applyCharges adds the batches of all boxes to the accounts. Only the holder of
// dutyCharges does that.
type applyCharges struct{}

// chargesProcessed is the result of flushCharges or applyCharges.
type chargesProcessed struct {
	pending string
	err     error
}

// processCharges writes this box's charges when they are due and, if this box
// holds dutyCharges, applies the batches of all boxes.
func (d *Daemon) processCharges(now time.Time, t *tables) []effect {
	var effects []effect
	if !now.Before(t.due.flush) && !t.pending[pendingFlush] && d.ledger.Pending() > 0 {
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

// flushInterval returns the mean interval between a box's writes of charges.
func flushInterval(t *tables) time.Duration {
	return max(minFlushInterval, time.Duration(t.boxCount())*flushIntervalPerBox)
}
