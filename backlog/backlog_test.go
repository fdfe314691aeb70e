package backlog_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/peer"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func newEstimator() *backlog.Estimator {
	return &backlog.Estimator{TokenTime: func() time.Duration { return token }}
}

// after returns the backlog of target 7 some time after the start.
func after(e *backlog.Estimator, wait time.Duration) int { return e.PrefillBacklog(start.Add(wait), 7) }

func TestPrefillBacklog(t *testing.T) {
	const second = 70000 // Tokens prefilled in one second.
	totals := func(total uint64) []peer.PrefillTotal { return []peer.PrefillTotal{{Target: 7, Total: total}} }
	tests := []struct {
		name   string
		change func(e *backlog.Estimator)
		wait   time.Duration
		want   int
	}{
		{"nothing", func(*backlog.Estimator) {}, 0, 0},
		{"just placed", func(e *backlog.Estimator) { e.Place(start, 7, second) }, 0, second},
		{"half prefilled", func(e *backlog.Estimator) { e.Place(start, 7, second) }, 500 * ms, second / 2},
		{"prefilled", func(e *backlog.Estimator) { e.Place(start, 7, second) }, time.Second, 0},
		{"two in a row", func(e *backlog.Estimator) {
			e.Place(start, 7, second)
			e.Place(start, 7, second)
		}, time.Second, second},
		{"at another target", func(e *backlog.Estimator) { e.Place(start, 8, second) }, 0, 0},
		{"no tokens", func(e *backlog.Estimator) { e.Place(start, 7, 0) }, 0, 0},
		{"first report of another box", func(e *backlog.Estimator) { e.Merge(start, "b", totals(5*second)) }, 0, 0},
		{"another box", func(e *backlog.Estimator) {
			e.Merge(start, "b", totals(5*second))
			e.Merge(start, "b", totals(6*second))
		}, 0, second},
		{"another box, reported twice", func(e *backlog.Estimator) {
			e.Merge(start, "b", nil)
			e.Merge(start, "b", totals(second))
			e.Merge(start, "b", totals(second))
		}, 0, second},
		{"another box that restarted", func(e *backlog.Estimator) {
			e.Merge(start, "b", totals(5*second))
			e.Merge(start, "b", totals(second))
		}, 0, second},
		{"placed halfway since the last report", func(e *backlog.Estimator) {
			e.Merge(start.Add(-200*ms), "b", nil)
			e.Merge(start, "b", totals(second))
		}, 0, second * 9 / 10},
		{"own and another box's", func(e *backlog.Estimator) {
			e.Place(start, 7, second)
			e.Merge(start, "b", nil)
			e.Merge(start, "b", totals(second))
		}, 0, 2 * second},
		{"far too much", func(e *backlog.Estimator) {
			e.Merge(start, "b", nil)
			e.Merge(start, "b", totals(1<<60))
		}, 0, 10 * second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEstimator()
			tt.change(e)
			got := after(e, tt.wait)
			if off := got - tt.want; off < -second/50 || off > second/50 {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
		})
	}
}

// TestTotals checks what other boxes are sent: running totals of this box's placements,
// for as long as a message may have been lost.
func TestTotals(t *testing.T) {
	e := newEstimator()
	e.Place(start, 7, 10)
	e.Place(start.Add(ms), 7, 5)
	e.Merge(start, "b", nil)
	e.Merge(start, "b", []peer.PrefillTotal{{Target: 8, Total: 3}})
	if got := e.Totals(start.Add(time.Second)); len(got) != 1 || got[0] != (peer.PrefillTotal{Target: 7, Total: 15}) {
		t.Errorf("reported %v", got)
	}
	if got := e.Totals(start.Add(time.Minute)); len(got) != 0 {
		t.Errorf("a minute later still reported %v", got)
	}
}

// TestExpire checks that totals of long ago are dropped, so that later ones start at
// zero.
func TestExpire(t *testing.T) {
	e := newEstimator()
	e.Place(start, 7, 10)
	e.Merge(start, "b", []peer.PrefillTotal{{Target: 8, Total: 3}})
	e.Expire(start.Add(2 * time.Minute))
	e.Place(start.Add(2*time.Minute), 7, 4)
	if got := e.Totals(start.Add(2 * time.Minute)); len(got) != 1 || got[0].Total != 4 {
		t.Errorf("reported %v", got)
	}
}
