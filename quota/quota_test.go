package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/quota"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The platform's limit in a window: factor times what the rate comes to, plus extra.
const (
	window = 4 * time.Second
	factor = 1.5
	extra  = 5
)

func allowed(rate float64) int { return int(factor*rate*window.Seconds()) + extra }

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("box-%03d", i))
	}
	return list
}

func TestShare(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		boxes int
		// sum is the total of all boxes' shares, holders how many boxes have one.
		sum     float64
		holders int
	}{
		{"one box", 3, 1, 3, 1},
		{"few boxes", 3.6, 4, 3.6, 4},
		{"more boxes than requests", 3.6, 70, 3.6, 5},
		{"a high rate", 200, 70, 200, 70},
		{"less than one a second", 0.5, 6, 0.5, 2},
		{"rate of zero", 0, 6, 0.1, 2},
		{"huge rate", 1e300, 6, 1e300, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for target := range uint64(20) {
				sum, holders := 0.0, 0
				for _, box := range names(tt.boxes) {
					share := quota.Share(tt.rate, target, box, names(tt.boxes))
					sum += share
					if share > 0 {
						holders++
					}
				}
				if math.Abs(sum-tt.sum) > 1e-9*tt.sum || holders != tt.holders {
					t.Fatalf("target %d: %d boxes share %v, want %d boxes and %v", target, holders, sum, tt.holders, tt.sum)
				}
			}
		})
	}
	if share := quota.Share(3, 1, "stranger", names(6)); share != 0 {
		t.Errorf("a box outside the list has a share of %v", share)
	}
}

func TestBucket(t *testing.T) {
	var b quota.Bucket
	tests := []struct {
		ms    int
		share float64
		ready bool
	}{
		{0, 2, false},
		{499, 2, false},
		{500, 2, true},
		{501, 2, false},
		{3000, 2, true},
		{3001, 2, false}, // The burst is one token, not five.
		{3400, 20, false},
		{3420, 20, true},
		{3700, 20, true},
		{3701, 20, true},
		{3702, 0, true},
		{3703, 0, false},
		{9000, 0, false},
	}
	for _, tt := range tests {
		b.Refill(start.Add(time.Duration(tt.ms)*time.Millisecond), tt.share)
		if ready := b.Ready(); ready != tt.ready {
			t.Errorf("after %d ms, share %v: ready %v", tt.ms, tt.share, ready)
		}
		if b.Ready() {
			b.Take()
		}
	}
}

// TestNegativeBalance checks that a request sent on an empty bucket delays later ones.
func TestNegativeBalance(t *testing.T) {
	var b quota.Bucket
	b.Refill(start, 1)
	b.Take()
	b.Refill(start.Add(1500*time.Millisecond), 1)
	if b.Ready() {
		t.Error("ready with a negative balance")
	}
	b.Refill(start.Add(2*time.Second), 1)
	if !b.Ready() {
		t.Error("not ready once refilled")
	}
}

// simulate runs boxes that all want to send to one target, with one more box that the
// others learn of halfway. It returns the most requests that arrive within a window, and
// in all.
func simulate(seed uint64, rate float64, n int, shared bool) (most, all int) {
	random := rand.New(rand.NewPCG(seed, 1))
	boxes := names(n)
	joined := append(slices.Clone(boxes), "box-new")
	buckets := make([]quota.Bucket, n+1)
	var arrivals []time.Duration
	const span = 20 * time.Second
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for range random.IntN(1 + n/2) {
			i := random.IntN(n + 1)
			known := boxes
			if i == n || now > span/2 {
				known = joined
			}
			share := rate
			if shared {
				share = quota.Share(rate, seed, joined[i], known)
			}
			b := &buckets[i]
			b.Refill(start.Add(now), share)
			if !b.Ready() {
				continue
			}
			b.Take()
			arrivals = append(arrivals, now+time.Duration(random.IntN(100))*time.Millisecond)
		}
	}
	slices.Sort(arrivals)
	for i, first := range arrivals {
		last, _ := slices.BinarySearch(arrivals, first+window)
		most = max(most, last-i)
	}
	return most, len(arrivals)
}

// TestBoxesKeepTheRate guards against boxes that together send a target more than its
// rate. Fleet size, rate and load are random, and the boxes learn late of one box.
func TestBoxesKeepTheRate(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("the boxes keep to the rate, and use it", prop.ForAll(func(seed uint64, rate float64, n int) bool {
		most, all := simulate(seed, rate, n, true)
		return most <= allowed(rate) && float64(all) >= 10*rate
	}, gen.UInt64(), gen.Float64Range(0.2, 40), gen.IntRange(2, 80)))
	properties.TestingRun(t)
	// Control: if each box takes the whole rate, the limit is exceeded.
	for seed := range uint64(20) {
		if most, _ := simulate(seed, 3, 12, false); most <= allowed(3) {
			t.Errorf("seed %d: without shares only %d requests arrive in a window", seed, most)
		}
	}
}
