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

// What the platform allows in a window: so many times what the rate comes to, and some more.
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

func TestPart(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		boxes int
		// sum is what all boxes have together, holders how many have a part.
		sum     float64
		holders int
	}{
		{"one box", 3, 1, 3, 1},
		{"a few", 3.6, 4, 3.6, 4},
		{"more boxes than requests", 3.6, 70, 3.6, 5},
		{"a high rate", 200, 70, 200, 70},
		{"less than one a second", 0.5, 6, 0.5, 2},
		{"nothing", 0, 6, 0.1, 2},
		{"without bound", 1e300, 6, 1e300, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for target := range uint64(20) {
				sum, holders := 0.0, 0
				for _, box := range names(tt.boxes) {
					part := quota.Share(tt.rate, target, box, names(tt.boxes))
					sum += part
					if part > 0 {
						holders++
					}
				}
				if math.Abs(sum-tt.sum) > 1e-9*tt.sum || holders != tt.holders {
					t.Fatalf("target %d: %d boxes have %v, want %d and %v", target, holders, sum, tt.holders, tt.sum)
				}
			}
		})
	}
	if part := quota.Share(3, 1, "stranger", names(6)); part != 0 {
		t.Errorf("a box that is not among them has %v", part)
	}
}

// TestBucket takes requests as they come.
func TestBucket(t *testing.T) {
	var b quota.Bucket
	tests := []struct {
		ms    int
		part  float64
		ready bool
	}{
		{0, 2, false},
		{499, 2, false},
		{500, 2, true},
		{501, 2, false},
		{3000, 2, true},
		{3001, 2, false}, // One is saved up, not five.
		{3400, 20, false},
		{3420, 20, true},
		{3700, 20, true},
		{3701, 20, true},
		{3702, 0, true},
		{3703, 0, false},
		{9000, 0, false},
	}
	for _, tt := range tests {
		b.Refill(start.Add(time.Duration(tt.ms)*time.Millisecond), tt.part)
		if ready := b.Ready(); ready != tt.ready {
			t.Errorf("after %d ms, part %v: ready %v", tt.ms, tt.part, ready)
		}
		if b.Ready() {
			b.Take()
		}
	}
}

// TestDebt has requests go that can't wait: later ones wait for longer.
func TestDebt(t *testing.T) {
	var b quota.Bucket
	b.Refill(start, 1)
	b.Take()
	b.Refill(start.Add(1500*time.Millisecond), 1)
	if b.Ready() {
		t.Error("ready before its debt is paid")
	}
	b.Refill(start.Add(2*time.Second), 1)
	if !b.Ready() {
		t.Error("not ready once its debt is paid")
	}
}

// worst plays boxes that all press one target, with one more of which the others hear halfway.
// It returns the most requests that come within a window, and all.
func worst(seed uint64, rate float64, n int, shared bool) (most, all int) {
	random := rand.New(rand.NewPCG(seed, 1))
	boxes := names(n)
	joined := append(slices.Clone(boxes), "box-new")
	buckets := make([]quota.Bucket, n+1)
	var came []time.Duration
	const span = 20 * time.Second
	for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
		for range random.IntN(1 + n/2) {
			i := random.IntN(n + 1)
			known := boxes
			if i == n || now > span/2 {
				known = joined
			}
			part := rate
			if shared {
				part = quota.Share(rate, seed, joined[i], known)
			}
			b := &buckets[i]
			b.Refill(start.Add(now), part)
			if !b.Ready() {
				continue
			}
			b.Take()
			came = append(came, now+time.Duration(random.IntN(100))*time.Millisecond)
		}
	}
	slices.Sort(came)
	for i, first := range came {
		last, _ := slices.BinarySearch(came, first+window)
		most = max(most, last-i)
	}
	return most, len(came)
}

// TestBoxesKeepTheRate guards against boxes that together send a target more than its rate:
// it draws fleets, rates and loads, with a box of which the others hear late.
func TestBoxesKeepTheRate(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("the boxes keep the rate, and use it", prop.ForAll(func(seed uint64, rate float64, n int) bool {
		most, all := worst(seed, rate, n, true)
		return most <= allowed(rate) && float64(all) >= 10*rate
	}, gen.UInt64(), gen.Float64Range(0.2, 40), gen.IntRange(2, 80)))
	properties.TestingRun(t)
	// The sister: without parts of it the rate is broken.
	for seed := range uint64(20) {
		if most, _ := worst(seed, 3, 12, false); most <= allowed(3) {
			t.Errorf("seed %d: without parts %d come", seed, most)
		}
	}
}
