package grace_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/grace"
)

// TestPeriod guards against a grace period that is too short, that a further restore does not
// extend, or that restores in a row extend without end.
func TestPeriod(t *testing.T) {
	const length, longest = 2 * time.Second, 4 * time.Second
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	begin := func(seconds float64, restores uint64) func(*grace.Period) {
		return func(p *grace.Period) { p.Begin(at(seconds), restores) }
	}
	end := func(seconds float64, restores uint64) func(*grace.Period) {
		return func(p *grace.Period) { p.End(at(seconds), restores) }
	}
	type step = func(*grace.Period)
	tests := []struct {
		name  string
		steps []step
		// covered and free are the last instant that is covered and the first one that is
		// not; both zero if nothing is.
		covered, free float64
	}{
		{"never restored", []step{begin(0, 0)}, 0, 0},
		{"one restore", []step{begin(0, 1)}, 1.999, 2},
		{"read again", []step{begin(0, 1), begin(1, 1)}, 1.999, 2},
		{"another restore meanwhile", []step{begin(0, 1), begin(1, 2)}, 2.999, 3},
		{"restores in a row", []step{begin(0, 1), begin(1.5, 2), begin(3, 3), begin(3.9, 4)}, 3.999, 4},
		{"another restore later", []step{begin(0, 1), begin(2, 2)}, 3.999, 4},
		{"ended", []step{begin(0, 1), end(1, 1)}, 0.999, 1},
		{"ended for an earlier restore", []step{begin(0, 2), end(1, 1)}, 1.999, 2},
		{"ended, and another restore", []step{begin(0, 1), end(1, 1), begin(1.5, 2)}, 3.499, 3.5},
		{"known to be over before it began", []step{end(0, 1), begin(1, 1)}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := grace.Period{Length: length, Max: longest}
			for _, do := range tt.steps {
				do(&p)
			}
			if tt.free > 0 && !p.Covers(at(tt.covered)) {
				t.Errorf("%v s is not covered", tt.covered)
			}
			if p.Covers(at(tt.free)) {
				t.Errorf("%v s is covered", tt.free)
			}
		})
	}
}
