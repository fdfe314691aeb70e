package retryafter_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/retryafter"
)

var start = time.Unix(1000, 0)

// drawn returns the time given for a number drawn.
func drawn(draw float64, prepare func(*retryafter.Estimator), ask func(*retryafter.Estimator) time.Duration) time.Duration {
	e := &retryafter.Estimator{Draw: func() float64 { return draw }}
	prepare(e)
	return ask(e)
}

// TestLasting says from when on, and until when, the least urgent return who were
// refused because of what lasts.
func TestLasting(t *testing.T) {
	// lasted has an outage last for each of some times, and then another one begin.
	lasted := func(times ...time.Duration) func(*retryafter.Estimator) {
		return func(e *retryafter.Estimator) {
			now := start.Add(-time.Hour)
			for _, d := range times {
				e.Started(now, "x")
				e.Ended(now.Add(d), "x")
				now = now.Add(time.Minute)
			}
			e.Started(start, "x")
			e.Started(start.Add(time.Second), "x") // Told again, it began no later.
		}
	}
	tests := []struct {
		name    string
		prepare func(*retryafter.Estimator)
		passed  time.Duration
		from    time.Duration
		to      time.Duration
	}{
		{"does not last", func(*retryafter.Estimator) {}, time.Second, 60 * time.Millisecond, 180 * time.Millisecond},
		{"the first one, as long again", lasted(), 800 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"the first one, just begun", lasted(), 0, 60 * time.Millisecond, 180 * time.Millisecond},
		{"the first one, for long", lasted(), time.Minute, retryafter.MaxOutage, retryafter.MaxOutage * 3 / 2},
		{"the last one's end", lasted(2 * time.Second), 500 * time.Millisecond, 1500 * time.Millisecond, 2250 * time.Millisecond},
		{"nearly over", lasted(2 * time.Second), 1990 * time.Millisecond, 60 * time.Millisecond, 180 * time.Millisecond},
		{"longer than the last one", lasted(time.Second), 1800 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"later ones count", lasted(time.Second, 2*time.Second), 300 * time.Millisecond, time.Second, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ask := func(e *retryafter.Estimator) time.Duration { return e.DuringOutage(start.Add(tt.passed), "x", 9) }
			from, to := drawn(0, tt.prepare, ask), drawn(1, tt.prepare, ask)
			if from != tt.from || to != tt.to {
				t.Errorf("from %v to %v, want %v to %v", from, to, tt.from, tt.to)
			}
		})
	}
}

// TestOver says how long something lasted, once.
func TestOver(t *testing.T) {
	var e retryafter.Estimator
	if got := e.Ended(start, "x"); got != 0 {
		t.Errorf("lasted %v though it never began", got)
	}
	e.Started(start, "x")
	if got := e.Ended(start.Add(time.Second), "x"); got != time.Second {
		t.Errorf("lasted %v", got)
	}
	if got := e.Ended(start.Add(time.Minute), "x"); got != 0 {
		t.Errorf("lasted %v after its end", got)
	}
}

// TestSpread says by the route's goal and the rank of urgency within which times
// those return who were refused together: the more urgent sooner.
func TestSpread(t *testing.T) {
	long := func(e *retryafter.Estimator) { e.Started(start, "x") }
	tests := []struct {
		name string
		ask  func(urgency int) func(*retryafter.Estimator) time.Duration
		from time.Duration
		to   [4]time.Duration // By urgency.
	}{
		{"crowded", func(u int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(600*time.Millisecond, u) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"crowded, a long goal", func(u int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(1200*time.Millisecond, u) }
		}, 120 * time.Millisecond, [4]time.Duration{200, 280, 360, 360}},
		{"crowded, no goal", func(u int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(0, u) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"soon", func(u int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.Soon(u) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"lasting", func(u int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration {
				return e.DuringOutage(start.Add(1200*time.Millisecond), "x", u)
			}
		}, 1200 * time.Millisecond, [4]time.Duration{1400, 1600, 1800, 1800}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for urgency, to := range tt.to {
				if got := drawn(0, long, tt.ask(urgency)); got != tt.from {
					t.Errorf("urgency %d: from %v, want %v", urgency, got, tt.from)
				}
				if got := drawn(1, long, tt.ask(urgency)).Round(time.Microsecond); got != to*time.Millisecond {
					t.Errorf("urgency %d: to %v, want %v ms", urgency, got, int(to))
				}
			}
		})
	}
}
