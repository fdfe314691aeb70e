package minlatency_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/minlatency"
)

var start = time.Unix(1000, 0)

// TestMin checks the minimum known of a kind.
func TestMin(t *testing.T) {
	see := func(r *minlatency.Tracker, after time.Duration, n int, took time.Duration) {
		for range n {
			r.Observe(start.Add(after), "k", took)
		}
	}
	tests := []struct {
		name   string
		happen func(r *minlatency.Tracker)
		after  time.Duration
		want   time.Duration
		known  bool
	}{
		{"nothing", func(*minlatency.Tracker) {}, 0, 0, false},
		{"too few", func(r *minlatency.Tracker) { see(r, 0, minlatency.MinSamples-1, 100*time.Millisecond) }, 0, 70 * time.Millisecond, false},
		{"enough", func(r *minlatency.Tracker) { see(r, 0, minlatency.MinSamples, 100*time.Millisecond) }, 0, 70 * time.Millisecond, true},
		{"one was faster", func(r *minlatency.Tracker) {
			see(r, 0, minlatency.MinSamples, 100*time.Millisecond)
			see(r, 0, 1, 50*time.Millisecond)
		}, 0, 35 * time.Millisecond, true},
		{"a window ago", func(r *minlatency.Tracker) { see(r, 0, minlatency.MinSamples, 100*time.Millisecond) }, 20 * time.Second, 70 * time.Millisecond, true},
		{"a faster one a window ago", func(r *minlatency.Tracker) {
			see(r, 0, 1, 50*time.Millisecond)
			see(r, 20*time.Second, minlatency.MinSamples, 100*time.Millisecond)
		}, 21 * time.Second, 35 * time.Millisecond, true},
		{"a faster one long ago", func(r *minlatency.Tracker) {
			see(r, 0, 1, 50*time.Millisecond)
			see(r, 16*time.Second, minlatency.MinSamples, 100*time.Millisecond)
			see(r, 32*time.Second, 1, 100*time.Millisecond)
		}, 32 * time.Second, 70 * time.Millisecond, true},
		{"forgotten when nothing is answered", func(r *minlatency.Tracker) { see(r, 0, minlatency.MinSamples, 100*time.Millisecond) }, 31 * time.Second, 0, false},
		{"another kind's", func(r *minlatency.Tracker) {
			for range minlatency.MinSamples {
				r.Observe(start, "other", time.Millisecond)
			}
		}, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r minlatency.Tracker
			tt.happen(&r)
			got, known := r.Min(start.Add(tt.after), "k")
			if known != tt.known || known && got != tt.want {
				t.Errorf("minimum %v, %v, want %v, %v", got, known, tt.want, tt.known)
			}
		})
	}
}

// TestFewFalseRefusals counts the requests that would have been answered within the time
// that Min returns, with a log-normal distribution of times of 30 ms with a sigma of 0.5,
// similar to a service's, and the minimum of 50 of them.
func TestFewFalseRefusals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func() time.Duration {
		return time.Duration(30 * math.Exp(0.5*rng.NormFloat64()) * float64(time.Millisecond))
	}
	refused, all := 0, 0
	for range 300 {
		var r minlatency.Tracker
		for range minlatency.MinSamples {
			r.Observe(start, "k", draw())
		}
		least, _ := r.Min(start, "k")
		for range 1000 {
			all++
			if draw() < least {
				refused++
			}
		}
	}
	t.Logf("%d of %d", refused, all)
	if share := float64(refused) / float64(all); share > 0.004 {
		t.Errorf("%.4f of the requests would have been answered in less than the minimum", share)
	}
}
