package clockbound_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/clockbound"
)

var start = time.Unix(1000, 0)

// answer is one reading of a clock that is an hour ahead.
type answer struct {
	sent, read, received time.Duration
}

// TestBounds checks that the other clock's readings are never dated too late, and as
// closely as the fastest answer allows.
func TestBounds(t *testing.T) {
	const ahead = time.Hour
	tests := []struct {
		name    string
		answers []answer
		within  time.Duration // How far the bounds may be apart.
	}{
		{"a fast answer", []answer{{0, 2 * time.Millisecond, 4 * time.Millisecond}}, 4 * time.Millisecond},
		{"a long poll", []answer{{0, 1500 * time.Millisecond, 1501 * time.Millisecond}}, 1501 * time.Millisecond},
		{"a long poll after a fast answer", []answer{{0, time.Millisecond, 3 * time.Millisecond}, {time.Second, 2400 * time.Millisecond, 2500 * time.Millisecond}}, 10 * time.Millisecond},
		{"an answer read late", []answer{{0, time.Millisecond, 9 * time.Second}, {9 * time.Second, 9001 * time.Millisecond, 9002 * time.Millisecond}}, 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c clockbound.Clock
			for _, a := range tt.answers {
				if !c.Observe(start.Add(a.sent), start.Add(a.received), a.read+ahead) {
					t.Error("a consistent reading counts as a jump")
				}
			}
			at, ok := c.Earliest(time.Minute + ahead)
			if early := start.Add(time.Minute).Sub(at); !ok || early < 0 || early > tt.within {
				t.Errorf("dated %v too early", early)
			}
			reading, ok := c.Min(start.Add(time.Minute))
			if low := time.Minute + ahead - reading; !ok || low < 0 || low > tt.within {
				t.Errorf("reading %v too low", low)
			}
		})
	}
}

// TestJump checks that a restarted clock is detected and followed.
func TestJump(t *testing.T) {
	var c clockbound.Clock
	c.Observe(start, start.Add(time.Millisecond), time.Hour)
	later := start.Add(time.Minute)
	if c.Observe(later, later.Add(time.Millisecond), time.Second) {
		t.Error("the jump was not noticed")
	}
	if at, _ := c.Earliest(time.Second); at.Before(later.Add(-time.Millisecond)) || at.After(later.Add(time.Millisecond)) {
		t.Errorf("dated %v", at)
	}
}
