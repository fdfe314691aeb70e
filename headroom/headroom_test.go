package headroom_test

import (
	"testing"

	"github.com/thymewind/thymewind/headroom"
)

// TestReserve lists the reserved memory after some answers of which one in oneIn was
// late.
func TestReserve(t *testing.T) {
	tests := []struct {
		name        string
		answers     int
		oneIn       int
		least, most float64
	}{
		{"no samples", 0, 1, 0, 0},
		{"all in time", 200, 1000, -0.12, -0.12},
		{"all in time, too few samples", 49, 1000, 0, 0},
		{"one late answer of few", 3, 3, 0, 0.001},
		{"one in fifty late, the last one just now", 500, 50, -0.012, 0},
		{"one in fifty late, none lately", 549, 50, -0.12, -0.1},
		{"one in fifteen late", 510, 15, 0, 0.05},
		{"one in five late", 500, 5, 0.1, 0.35},
		{"all late", 500, 1, 0.35, 0.35},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g headroom.Gauge
			for i := range tt.answers {
				g.Observe((i+1)%tt.oneIn == 0)
			}
			if got := g.Reserve(); got < tt.least || got > tt.most {
				t.Errorf("reserve %.3f at %.2f late, want %.3f to %.3f", got, g.LateShare(), tt.least, tt.most)
			}
		})
	}
}

// TestRecover checks that the reserve drops to zero once answers are in time.
func TestRecover(t *testing.T) {
	var g headroom.Gauge
	for range 500 {
		g.Observe(true)
	}
	for range 70 {
		g.Observe(false)
	}
	if got := g.Reserve(); got != 0 {
		t.Errorf("still reserved: %.3f", got)
	}
}
