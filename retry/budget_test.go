package retry_test

import (
	"testing"

	"github.com/thymewind/thymewind/retry"
)

// spend returns how many retries are left.
func spend(b *retry.Budget) int {
	n := 0
	for b.Spend("p") {
		n++
	}
	return n
}

// TestEmpty shows that a process that starts again does not get its retries
// anew, where that is asked for.
func TestEmpty(t *testing.T) {
	tests := []struct {
		name     string
		empty    bool
		requests int
		want     int
	}{
		{"a pool begins with its burst", false, 0, 5},
		{"a pool begins with nothing", true, 0, 0},
		{"it earns from requests", true, 20, 2},
		{"up to its burst", true, 1000, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// An eighth sums up exactly.
			b := retry.Budget{Share: 0.125, Burst: 5, StartEmpty: tt.empty}
			for range tt.requests {
				b.Deposit("p")
			}
			if got := spend(&b); got != tt.want {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}

// TestBound shows that all boxes together stay within what they share, when
// more boxes are found to share it.
func TestBound(t *testing.T) {
	b := retry.Budget{Share: 1, Burst: 10, StartEmpty: true}
	for range 10 {
		b.Deposit("p")
	}
	b.SetBurst(2)
	if got := spend(&b); got != 2 {
		t.Errorf("%d retries, want 2", got)
	}
	for range 10 {
		b.Deposit("p")
	}
	if got := spend(&b); got != 2 {
		t.Errorf("%d retries after more requests, want 2", got)
	}
}

// TestRefund gives back retries that were never made, within what can be saved.
func TestRefund(t *testing.T) {
	tests := []struct {
		name          string
		spent, refund int
		want          int
	}{
		{"all of what was taken", 2, 2, 3},
		{"a part of it", 3, 1, 1},
		{"no more than can be saved", 1, 5, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := retry.Budget{Burst: 3}
			for range tt.spent {
				b.Spend("p")
			}
			for range tt.refund {
				b.Refund("p")
			}
			if got := spend(&b); got != tt.want {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}
