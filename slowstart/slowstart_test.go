package slowstart_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/slowstart"
)

// The platform's bounds for a pool of 60 engines: a cold one can serve 18 requests a
// second, and gets 32 at most.
const (
	rate    = 18
	allowed = 32
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func boxes(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("box-%02d", i))
	}
	return list
}

func TestShare(t *testing.T) {
	limit := slowstart.Limit(rate, 1.5, 5)
	tests := []struct {
		name         string
		limit, boxes int
		// least and highest are the smallest and largest share of a box.
		least, highest int
	}{
		{"six hubs", limit, 6, 4, 4},
		{"ten hubs", limit, 10, 2, 3},
		{"more boxes than requests", limit, 71, 0, 1},
		{"one box", limit, 1, limit, limit},
		{"nothing to share", 0, 6, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for target := range uint64(50) {
				all := boxes(tt.boxes)
				sum, least, highest := 0, tt.limit, 0
				for _, box := range all {
					share := slowstart.Share(tt.limit, target, box, all)
					sum, least, highest = sum+share, min(least, share), max(highest, share)
				}
				if sum != tt.limit || least != tt.least || highest != tt.highest {
					t.Fatalf("target %d: %d to %d each, %d in all of %d", target, least, highest, sum, tt.limit)
				}
			}
		})
	}
	if share := slowstart.Share(limit, 1, "stranger", boxes(6)); share != 0 {
		t.Errorf("a box outside the list may send %d", share)
	}
}

type arrival struct{ sent, at time.Duration }

// history simulates some seconds in which many requests arrive while one target is cold
// and looks the cheapest to every box. It returns what arrives there.
func history(seed uint64, n int, limited bool) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	all := boxes(n)
	limiters := make([]slowstart.Limiter, n)
	limit := slowstart.Limit(rate, 1.5, 5)
	target := placement.Hash(fmt.Sprint("target", seed))
	// One box has joined that the others do not know of yet.
	joined := append(slices.Clone(all), "box-new")
	newLimiter := slowstart.Limiter{}
	var list []arrival
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		for range random.IntN(3) {
			i := random.IntN(n + 1)
			limiter, share := &newLimiter, slowstart.Share(limit, target, "box-new", joined)
			if i < n {
				limiter, share = &limiters[i], slowstart.Share(limit, target, all[i], all)
			}
			at := start.Add(now)
			if limited && !limiter.Allow(at, target, share) {
				continue
			}
			limiter.Take(at, target)
			delay := time.Duration(random.IntN(200)) * time.Millisecond
			list = append(list, arrival{now, now + delay})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// maxPerSecond returns the most requests that were sent and arrived within one second.
func maxPerSecond(list []arrival) int {
	most := 0
	for _, first := range list {
		n := 0
		for _, x := range list {
			if x.sent >= first.sent && x.at < first.sent+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestHerd guards against a cold target that gets more than its bound: up to 2,000
// requests a second would all choose it, with a box that the others do not know of. Fleet
// size and load are random.
func TestHerd(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("a cold target gets no more than its bound", prop.ForAll(func(seed uint64, n int) bool {
		list := history(seed, n, true)
		return maxPerSecond(list) <= allowed && len(list) > 2*rate
	}, gen.UInt64(), gen.IntRange(2, 30)))
	properties.TestingRun(t)
	// Control: without the limiter each of these exceeds the bound.
	for seed := range uint64(20) {
		if n := maxPerSecond(history(seed, 6, false)); n <= allowed {
			t.Errorf("seed %d: without the limiter %d arrive in a second", seed, n)
		}
	}
}

func TestLimiter(t *testing.T) {
	var l slowstart.Limiter
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		ms, share int
		allowed   bool
	}{
		{0, 0, false},
		{0, 2, true},
		{10, 2, true},
		{20, 2, false},
		{1000, 2, false},
		{1249, 2, false},
		{1250, 2, true},
		{1255, 2, false},
		{1260, 2, true},
		{1260, 3, true},
	}
	for _, tt := range tests {
		if allowed := l.Allow(at(tt.ms), 1, tt.share); allowed != tt.allowed {
			t.Errorf("after %d ms, share %d: allowed %v", tt.ms, tt.share, allowed)
			continue
		}
		if tt.allowed {
			l.Take(at(tt.ms), 1)
		}
	}
	if !l.Allow(at(1260), 2, 1) {
		t.Error("another target is not allowed")
	}
	l.Expire(at(5000))
	if !l.Allow(at(5000), 1, 1) {
		t.Error("an expired target is not allowed")
	}
}
