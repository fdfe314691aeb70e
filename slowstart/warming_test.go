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

// What the platform's pool of 60 engines allows: a cold one bears 18 requests a
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
	most := slowstart.Limit(rate, 1.5, 5)
	tests := []struct {
		name        string
		most, boxes int
		// least and highest are what the boxes may have each.
		least, highest int
	}{
		{"six hubs", most, 6, 4, 4},
		{"ten hubs", most, 10, 2, 3},
		{"more boxes than requests", most, 71, 0, 1},
		{"one box", most, 1, most, most},
		{"nothing to share", 0, 6, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for target := range uint64(50) {
				all := boxes(tt.boxes)
				sum, least, highest := 0, tt.most, 0
				for _, box := range all {
					share := slowstart.Share(tt.most, target, box, all)
					sum, least, highest = sum+share, min(least, share), max(highest, share)
				}
				if sum != tt.most || least != tt.least || highest != tt.highest {
					t.Fatalf("target %d: %d to %d each, %d in all of %d", target, least, highest, sum, tt.most)
				}
			}
		})
	}
	if share := slowstart.Share(most, 1, "stranger", boxes(6)); share != 0 {
		t.Errorf("a box that places nothing may send %d", share)
	}
}

// arrival is a request on its way to one target.
type arrival struct{ sent, at time.Duration }

// history plays some seconds in which many callers come while one target is cold and
// looks the cheapest to every box. It returns what arrived there.
func history(seed uint64, n int, limited bool) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	all := boxes(n)
	gates := make([]slowstart.Limiter, n)
	most := slowstart.Limit(rate, 1.5, 5)
	target := placement.Hash(fmt.Sprint("target", seed))
	// A box has joined that the others don't know of yet.
	joined := append(slices.Clone(all), "box-new")
	late := slowstart.Limiter{}
	var list []arrival
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		for range random.IntN(3) {
			i := random.IntN(n + 1)
			gate, share := &late, slowstart.Share(most, target, "box-new", joined)
			if i < n {
				gate, share = &gates[i], slowstart.Share(most, target, all[i], all)
			}
			at := start.Add(now)
			if limited && !gate.Allow(at, target, share) {
				continue
			}
			gate.Take(at, target)
			way := time.Duration(random.IntN(200)) * time.Millisecond
			list = append(list, arrival{now, now + way})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// worst returns the most requests that were sent and arrived within one second.
func worst(list []arrival) int {
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

// TestHerd draws fleets and loads, of up to 2,000 requests a second that all would take
// the one cold target, and a box more than the others know.
func TestHerd(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("a cold target gets no more than it may", prop.ForAll(func(seed uint64, n int) bool {
		list := history(seed, n, true)
		return worst(list) <= allowed && len(list) > 2*rate
	}, gen.UInt64(), gen.IntRange(2, 30)))
	properties.TestingRun(t)
	// The sister: without the gate each of these breaks the bound.
	for seed := range uint64(20) {
		if n := worst(history(seed, 6, false)); n <= allowed {
			t.Errorf("seed %d: without the gate %d arrive in a second", seed, n)
		}
	}
}

func TestGate(t *testing.T) {
	var g slowstart.Limiter
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		ms, share int
		room      bool
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
		if room := g.Allow(at(tt.ms), 1, tt.share); room != tt.room {
			t.Errorf("after %d ms, share %d: room %v", tt.ms, tt.share, room)
			continue
		}
		if tt.room {
			g.Take(at(tt.ms), 1)
		}
	}
	if !g.Allow(at(1260), 2, 1) {
		t.Error("another target has no room")
	}
	g.Expire(at(5000))
	if !g.Allow(at(5000), 1, 1) {
		t.Error("an expired target has no room")
	}
}
