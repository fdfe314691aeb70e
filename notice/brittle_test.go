package notice

import (
	"testing"
	"time"
)

// TestBrittle checks for how long a target counts as brittle, also while other records expire.
func TestBrittle(t *testing.T) {
	var reg Registry
	reg.Observe(start, plain, Signals{Brittle: 6})
	reg.Observe(start.Add(time.Second), plain, Signals{})
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 6}, {brittleFor - 1, 6}, {brittleFor, 0}} {
		now := start.Add(tt.after)
		reg.Expire(now)
		if got := reg.Brittle(now, plain); got != tt.want {
			t.Errorf("%v later %d, want %d", tt.after, got, tt.want)
		}
	}
}
