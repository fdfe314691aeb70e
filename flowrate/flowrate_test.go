package flowrate_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/flowrate"
)

// TestRate guards against a rate that is too low right after the start, or that outlives the flow.
func TestRate(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// flows is for how long 100 a second pass in steps of 10 ms, after the time of the check.
		flows, after time.Duration
		least, most  float64
	}{
		{"at once", 0, 0, 0, 0},
		{"after a tenth of the window", 100 * time.Millisecond, 100 * time.Millisecond, 90, 115},
		{"after many windows", 5 * time.Second, 5 * time.Second, 95, 105},
		{"a window after the end", 5 * time.Second, 6 * time.Second, 30, 45},
		{"long after the end", time.Second, 10 * time.Second, 0, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := flowrate.Meter{Window: time.Second}
			m.Start(start)
			for at := 10 * time.Millisecond; at <= tt.flows; at += 10 * time.Millisecond {
				m.Add(start.Add(at), 1)
			}
			if got := m.Rate(start.Add(tt.after)); got < tt.least || got > tt.most {
				t.Errorf("rate %v, want %v to %v", got, tt.least, tt.most)
			}
		})
	}
}
