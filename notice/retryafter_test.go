package notice

import (
	"testing"
	"time"
)

// FuzzSeconds checks that a header from a target never gives a negative time, nor a
// backoff beyond the maximum.
func FuzzSeconds(f *testing.F) {
	for _, value := range []string{"3", "0.25", " 7 ", "0", "-1", "soon", "NaN", "Inf", "-Inf", "1e300", "1e999", "0x1p4", "Thu, 03 Dec 2026 03:30:00 GMT", ""} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		var reg Registry
		got := ParseRetryAfter(value)
		if got < 0 {
			t.Errorf("%q is %v", value, got)
		}
		now := time.Unix(1000, 0)
		reg.Observe(now, plain, Signals{Backoff: got})
		if until := reg.BackoffUntil(plain); until.After(now.Add(MaxBackoff)) {
			t.Errorf("%q gives a backoff until %v", value, until)
		}
	})
}

func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		value string
		want  time.Duration
	}{
		{"3", 3 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{"\t7 ", 7 * time.Second},
		{"-3", 0},
		{"3 s", 0},
		{"3, 4", 0},
		{"", 0},
	}
	for _, tt := range tests {
		if got := ParseRetryAfter(tt.value); got != tt.want {
			t.Errorf("%q is %v, want %v", tt.value, got, tt.want)
		}
	}
}
