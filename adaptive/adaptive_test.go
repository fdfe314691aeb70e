package adaptive_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/adaptive"
)

func TestWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		happen func(timeout *adaptive.Timeout)
		want   time.Duration
	}{
		{"no answer yet", func(*adaptive.Timeout) {}, 1500 * ms},
		{"fast answers", func(timeout *adaptive.Timeout) { timeout.Observe(4 * ms) }, 500 * ms},
		{"ten times as slow", func(timeout *adaptive.Timeout) { timeout.Observe(4 * ms); timeout.Observe(40 * ms) }, 500 * ms},
		{"sixty times as slow", func(timeout *adaptive.Timeout) { timeout.Observe(4 * ms); timeout.Observe(240 * ms) }, 960 * ms},
		{"slower than the maximum", func(timeout *adaptive.Timeout) { timeout.Observe(900 * ms) }, 1500 * ms},
		{"one time-out", func(timeout *adaptive.Timeout) { timeout.Observe(4 * ms); timeout.TimedOut() }, 1000 * ms},
		{"many time-outs", func(timeout *adaptive.Timeout) {
			timeout.Observe(4 * ms)
			for range 100 {
				timeout.TimedOut()
			}
		}, 1500 * ms},
		{"a time-out, then an answer", func(timeout *adaptive.Timeout) { timeout.Observe(4 * ms); timeout.TimedOut(); timeout.Observe(4 * ms) }, 500 * ms},
		{"fast again after a slow answer", func(timeout *adaptive.Timeout) {
			timeout.Observe(900 * ms)
			for range 200 {
				timeout.Observe(4 * ms)
			}
		}, 500 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timeout := &adaptive.Timeout{Min: 500 * ms, Max: 1500 * ms}
			tt.happen(timeout)
			if got := timeout.Wait(); got != tt.want {
				t.Errorf("Wait = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestTimedOut checks that an answer resets the count of time-outs.
func TestTimedOut(t *testing.T) {
	timeout := &adaptive.Timeout{Min: time.Second, Max: time.Minute}
	if first, second := timeout.TimedOut(), timeout.TimedOut(); first != 1 || second != 2 {
		t.Errorf("counted %d and %d", first, second)
	}
	timeout.Observe(time.Millisecond)
	if got := timeout.TimedOut(); got != 1 {
		t.Errorf("counted %d after an answer", got)
	}
}
