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
		happen func(b *adaptive.Timeout)
		want   time.Duration
	}{
		{"no answer yet", func(*adaptive.Timeout) {}, 1500 * ms},
		{"fast answers", func(b *adaptive.Timeout) { b.Observe(4 * ms) }, 500 * ms},
		{"ten times as slow", func(b *adaptive.Timeout) { b.Observe(4 * ms); b.Observe(40 * ms) }, 500 * ms},
		{"sixty times as slow", func(b *adaptive.Timeout) { b.Observe(4 * ms); b.Observe(240 * ms) }, 960 * ms},
		{"slower than the maximum", func(b *adaptive.Timeout) { b.Observe(900 * ms) }, 1500 * ms},
		{"one time-out", func(b *adaptive.Timeout) { b.Observe(4 * ms); b.TimedOut() }, 1000 * ms},
		{"many time-outs", func(b *adaptive.Timeout) {
			b.Observe(4 * ms)
			for range 100 {
				b.TimedOut()
			}
		}, 1500 * ms},
		{"a time-out, then an answer", func(b *adaptive.Timeout) { b.Observe(4 * ms); b.TimedOut(); b.Observe(4 * ms) }, 500 * ms},
		{"fast again after a slow answer", func(b *adaptive.Timeout) {
			b.Observe(900 * ms)
			for range 200 {
				b.Observe(4 * ms)
			}
		}, 500 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &adaptive.Timeout{Min: 500 * ms, Max: 1500 * ms}
			tt.happen(b)
			if got := b.Wait(); got != tt.want {
				t.Errorf("Wait = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestTimedOut checks that an answer resets the count of time-outs.
func TestTimedOut(t *testing.T) {
	b := &adaptive.Timeout{Min: time.Second, Max: time.Minute}
	if first, second := b.TimedOut(), b.TimedOut(); first != 1 || second != 2 {
		t.Errorf("counted %d and %d", first, second)
	}
	b.Observe(time.Millisecond)
	if got := b.TimedOut(); got != 1 {
		t.Errorf("counted %d after an answer", got)
	}
}
