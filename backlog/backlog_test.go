package backlog_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/peer"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func newClock() *backlog.Estimator {
	return &backlog.Estimator{TokenTime: func() time.Duration { return token }}
}

// after returns what a target is to read some time after the start.
func after(c *backlog.Estimator, wait time.Duration) int { return c.PrefillBacklog(start.Add(wait), 7) }

func TestUnread(t *testing.T) {
	const second = 70000 // Tokens read in one second.
	read := func(total uint64) []peer.PrefillTotal { return []peer.PrefillTotal{{Target: 7, Total: total}} }
	tests := []struct {
		name   string
		change func(c *backlog.Estimator)
		wait   time.Duration
		want   int
	}{
		{"nothing", func(*backlog.Estimator) {}, 0, 0},
		{"just placed", func(c *backlog.Estimator) { c.Place(start, 7, second) }, 0, second},
		{"half read", func(c *backlog.Estimator) { c.Place(start, 7, second) }, 500 * ms, second / 2},
		{"read", func(c *backlog.Estimator) { c.Place(start, 7, second) }, time.Second, 0},
		{"one behind the other", func(c *backlog.Estimator) {
			c.Place(start, 7, second)
			c.Place(start, 7, second)
		}, time.Second, second},
		{"at another target", func(c *backlog.Estimator) { c.Place(start, 8, second) }, 0, 0},
		{"no token", func(c *backlog.Estimator) { c.Place(start, 7, 0) }, 0, 0},
		{"another box, heard first", func(c *backlog.Estimator) { c.Merge(start, "b", read(5*second)) }, 0, 0},
		{"another box", func(c *backlog.Estimator) {
			c.Merge(start, "b", read(5*second))
			c.Merge(start, "b", read(6*second))
		}, 0, second},
		{"another box, told twice", func(c *backlog.Estimator) {
			c.Merge(start, "b", nil)
			c.Merge(start, "b", read(second))
			c.Merge(start, "b", read(second))
		}, 0, second},
		{"another box that began anew", func(c *backlog.Estimator) {
			c.Merge(start, "b", read(5*second))
			c.Merge(start, "b", read(second))
		}, 0, second},
		{"told for half of the time before", func(c *backlog.Estimator) {
			c.Merge(start.Add(-200*ms), "b", nil)
			c.Merge(start, "b", read(second))
		}, 0, second * 9 / 10},
		{"own and another's", func(c *backlog.Estimator) {
			c.Place(start, 7, second)
			c.Merge(start, "b", nil)
			c.Merge(start, "b", read(second))
		}, 0, 2 * second},
		{"far too much", func(c *backlog.Estimator) {
			c.Merge(start, "b", nil)
			c.Merge(start, "b", read(1<<60))
		}, 0, 10 * second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newClock()
			tt.change(c)
			got := after(c, tt.wait)
			if off := got - tt.want; off < -second/50 || off > second/50 {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
		})
	}
}

// TestTold shows what other boxes are told: running totals of own choices, for as
// long as a message may have been lost.
func TestTold(t *testing.T) {
	c := newClock()
	c.Place(start, 7, 10)
	c.Place(start.Add(ms), 7, 5)
	c.Merge(start, "b", nil)
	c.Merge(start, "b", []peer.PrefillTotal{{Target: 8, Total: 3}})
	if got := c.Totals(start.Add(time.Second)); len(got) != 1 || got[0] != (peer.PrefillTotal{Target: 7, Total: 15}) {
		t.Errorf("told %v", got)
	}
	if got := c.Totals(start.Add(time.Minute)); len(got) != 0 {
		t.Errorf("a minute later still told %v", got)
	}
}

// TestExpire shows that nothing is kept of what ended long ago, and that a total
// that begins anew is taken for what it is.
func TestExpire(t *testing.T) {
	c := newClock()
	c.Place(start, 7, 10)
	c.Merge(start, "b", []peer.PrefillTotal{{Target: 8, Total: 3}})
	c.Expire(start.Add(2 * time.Minute))
	c.Place(start.Add(2*time.Minute), 7, 4)
	if got := c.Totals(start.Add(2 * time.Minute)); len(got) != 1 || got[0].Total != 4 {
		t.Errorf("told %v", got)
	}
}
