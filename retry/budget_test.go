package retry_test

import (
	"testing"

	"github.com/thymewind/thymewind/retry"
)

// spendAll returns how many retries are left.
func spendAll(b *retry.Budget) int {
	n := 0
	for b.Spend("p") {
		n++
	}
	return n
}

// TestStartEmpty guards against a restart that grants a full burst of retries again.
func TestStartEmpty(t *testing.T) {
	tests := []struct {
		name     string
		empty    bool
		requests int
		want     int
	}{
		{"starts with the burst", false, 0, 5},
		{"starts empty", true, 0, 0},
		{"requests earn retries", true, 20, 2},
		{"at most the burst", true, 1000, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// A share of 1/8 adds up without rounding errors.
			b := retry.Budget{Share: 0.125, Burst: 5, StartEmpty: tt.empty}
			for range tt.requests {
				b.Deposit("p")
			}
			if got := spendAll(&b); got != tt.want {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}

// TestSetBurst checks that a balance above a lowered burst is lost: when more boxes share
// one budget, all of them together must stay within it.
func TestSetBurst(t *testing.T) {
	b := retry.Budget{Share: 1, Burst: 10, StartEmpty: true}
	for range 10 {
		b.Deposit("p")
	}
	b.SetBurst(2)
	if got := spendAll(&b); got != 2 {
		t.Errorf("%d retries, want 2", got)
	}
	for range 10 {
		b.Deposit("p")
	}
	if got := spendAll(&b); got != 2 {
		t.Errorf("%d retries after more requests, want 2", got)
	}
}

// TestRefund checks that refunds stay within the burst.
func TestRefund(t *testing.T) {
	tests := []struct {
		name          string
		spent, refund int
		want          int
	}{
		{"all that was spent", 2, 2, 3},
		{"part of what was spent", 3, 1, 1},
		{"no more than the burst", 1, 5, 3},
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
			if got := spendAll(&b); got != tt.want {
				t.Errorf("%d retries, want %d", got, tt.want)
			}
		})
	}
}
