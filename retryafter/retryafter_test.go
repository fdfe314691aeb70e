package retryafter_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/retryafter"
)

var start = time.Unix(1000, 0)

// estimate returns the time given for a random number.
func estimate(draw float64, prepare func(*retryafter.Estimator), ask func(*retryafter.Estimator) time.Duration) time.Duration {
	e := &retryafter.Estimator{Draw: func() float64 { return draw }}
	prepare(e)
	return ask(e)
}

// TestDuringOutage checks the span for the lowest priority during an outage.
func TestDuringOutage(t *testing.T) {
	// lasted records an outage of each duration, and then the start of another one.
	lasted := func(times ...time.Duration) func(*retryafter.Estimator) {
		return func(e *retryafter.Estimator) {
			now := start.Add(-time.Hour)
			for _, d := range times {
				e.Started(now, "x")
				e.Ended(now.Add(d), "x")
				now = now.Add(time.Minute)
			}
			e.Started(start, "x")
			e.Started(start.Add(time.Second), "x") // A repeated report does not move the start.
		}
	}
	tests := []struct {
		name    string
		prepare func(*retryafter.Estimator)
		passed  time.Duration
		from    time.Duration
		to      time.Duration
	}{
		{"no outage", func(*retryafter.Estimator) {}, time.Second, 60 * time.Millisecond, 180 * time.Millisecond},
		{"the first one, expected to last as long again", lasted(), 800 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"the first one, just started", lasted(), 0, 60 * time.Millisecond, 180 * time.Millisecond},
		{"the first one, a long one", lasted(), time.Minute, retryafter.MaxOutage, retryafter.MaxOutage * 3 / 2},
		{"as long as the last one", lasted(2 * time.Second), 500 * time.Millisecond, 1500 * time.Millisecond, 2250 * time.Millisecond},
		{"nearly over", lasted(2 * time.Second), 1990 * time.Millisecond, 60 * time.Millisecond, 180 * time.Millisecond},
		{"longer than the last one", lasted(time.Second), 1800 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond},
		{"moving average of two", lasted(time.Second, 2*time.Second), 300 * time.Millisecond, time.Second, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ask := func(e *retryafter.Estimator) time.Duration { return e.DuringOutage(start.Add(tt.passed), "x", 9) }
			from, to := estimate(0, tt.prepare, ask), estimate(1, tt.prepare, ask)
			if from != tt.from || to != tt.to {
				t.Errorf("from %v to %v, want %v to %v", from, to, tt.from, tt.to)
			}
		})
	}
}

// TestEnded checks that the duration of an outage is returned once.
func TestEnded(t *testing.T) {
	var e retryafter.Estimator
	if got := e.Ended(start, "x"); got != 0 {
		t.Errorf("lasted %v though it never started", got)
	}
	e.Started(start, "x")
	if got := e.Ended(start.Add(time.Second), "x"); got != time.Second {
		t.Errorf("lasted %v", got)
	}
	if got := e.Ended(start.Add(time.Minute), "x"); got != 0 {
		t.Errorf("lasted %v after its end", got)
	}
}

// TestSpread checks the span of the times given for each goal and priority: higher
// priorities retry sooner.
func TestSpread(t *testing.T) {
	long := func(e *retryafter.Estimator) { e.Started(start, "x") }
	tests := []struct {
		name string
		ask  func(priority int) func(*retryafter.Estimator) time.Duration
		from time.Duration
		to   [4]time.Duration // By priority.
	}{
		{"memory full", func(priority int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(600*time.Millisecond, priority) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"memory full, a long goal", func(priority int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(1200*time.Millisecond, priority) }
		}, 120 * time.Millisecond, [4]time.Duration{200, 280, 360, 360}},
		{"memory full, no goal", func(priority int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.MemoryFull(0, priority) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"soon", func(priority int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration { return e.Soon(priority) }
		}, 60 * time.Millisecond, [4]time.Duration{100, 140, 180, 180}},
		{"outage", func(priority int) func(*retryafter.Estimator) time.Duration {
			return func(e *retryafter.Estimator) time.Duration {
				return e.DuringOutage(start.Add(1200*time.Millisecond), "x", priority)
			}
		}, 1200 * time.Millisecond, [4]time.Duration{1400, 1600, 1800, 1800}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for priority, to := range tt.to {
				if got := estimate(0, long, tt.ask(priority)); got != tt.from {
					t.Errorf("priority %d: from %v, want %v", priority, got, tt.from)
				}
				if got := estimate(1, long, tt.ask(priority)).Round(time.Microsecond); got != to*time.Millisecond {
					t.Errorf("priority %d: to %v, want %v ms", priority, got, int(to))
				}
			}
		})
	}
}
