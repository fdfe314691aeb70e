package throughput_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/throughput"
)

var start = time.Unix(1000, 0)

const (
	ms    = time.Millisecond
	store = uint64(7)
)

// observePrefill feeds the estimator noisy samples without transfers.
func observePrefill(e *throughput.Estimator, n int, base, token time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		tokens := random.IntN(10000)
		noise := time.Duration(random.IntN(40)-20) * ms
		e.Observe(start, throughput.Sample{Took: base + time.Duration(tokens)*token + noise, Tokens: tokens})
	}
}

// TestPrefill checks the estimate for engines with different prefill speeds.
func TestPrefill(t *testing.T) {
	tests := []struct {
		name        string
		samples     int
		base, token time.Duration
		within      float64
	}{
		{"no samples: the first guess", 0, 50 * ms, ms / 112, 0.001},
		{"as guessed", 200, 50 * ms, ms / 112, 0.15},
		{"half as fast", 200, 60 * ms, ms / 50, 0.15},
		{"ten times slower", 200, 80 * ms, ms / 11, 0.15},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e throughput.Estimator
			observePrefill(&e, tt.samples, tt.base, tt.token)
			base, token := e.Prefill()
			if ratio := float64(token) / float64(tt.token); ratio < 1-tt.within || ratio > 1+tt.within {
				t.Errorf("a token takes %v, want %v", token, tt.token)
			}
			if off := (base - tt.base).Abs(); off > 30*ms {
				t.Errorf("a first event takes %v, want %v", base, tt.base)
			}
		})
	}
}

// TestPrefillBounded checks that requests that waited for other reasons do not make the
// line useless.
func TestPrefillBounded(t *testing.T) {
	var e throughput.Estimator
	for range 300 {
		e.Observe(start, throughput.Sample{Took: time.Hour, Tokens: 10})
		e.Observe(start, throughput.Sample{Took: 0, Tokens: 10000})
	}
	if base, token := e.Prefill(); base > 500*ms || token <= 0 {
		t.Errorf("base %v, token %v", base, token)
	}
}

// TestSlowdown checks the estimated slowdown of a source's link.
func TestSlowdown(t *testing.T) {
	tests := []struct {
		name string
		// transfers is how many there were, expected how long each takes over an idle link,
		// took how long it took.
		transfers int
		expected  time.Duration
		took      time.Duration
		later     time.Duration
		least     float64
		most      float64
	}{
		{"never used", 0, 80 * ms, 0, 0, 1, 1},
		{"as expected", 20, 80 * ms, 80 * ms, 0, 1, 1.05},
		{"faster than expected", 20, 80 * ms, 10 * ms, 0, 1, 1},
		{"a single late answer", 1, 80 * ms, 400 * ms, 0, 1, 3},
		{"four times slower", 20, 80 * ms, 320 * ms, 0, 3, 4},
		{"slow a while ago", 20, 80 * ms, 320 * ms, 30 * time.Second, 1, 1.05},
		{"short transfers, scattered", 200, 2 * ms, 40 * ms, 0, 1, 1},
		{"short transfers, stuck", 20, 2 * ms, 600 * ms, 0, 10, 20},
		{"hardly moving", 20, 80 * ms, time.Minute, 0, 10, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e throughput.Estimator
			base, _ := e.Prefill()
			for range tt.transfers {
				e.Observe(start, throughput.Sample{Took: base + tt.took, Transfers: []throughput.Transfer{{Source: store, Expected: tt.expected}}})
			}
			got := throughput.Slowdown(e.Transferred(start.Add(tt.later), store))
			if got < tt.least || got > tt.most {
				t.Errorf("slowdown %.2f, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// TestEach checks that sources without recent transfers are dropped.
func TestEach(t *testing.T) {
	var e throughput.Estimator
	e.Observe(start, throughput.Sample{Took: 100 * ms, Transfers: []throughput.Transfer{{Source: store, Expected: 80 * ms}}})
	count := func(at time.Time) int {
		n := 0
		e.Each(at, func(uint64, time.Duration, time.Duration) { n++ })
		return n
	}
	if n := count(start); n != 1 {
		t.Errorf("%d sources", n)
	}
	if n := count(start.Add(time.Minute)); n != 0 {
		t.Errorf("%d sources a minute later", n)
	}
}
