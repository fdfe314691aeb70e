package brittle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/brittle"
)

var start = time.Unix(1000, 0)

func TestAllows(t *testing.T) {
	tests := []struct {
		name        string
		target      brittle.Target
		turnedAway  []int
		outstanding int
		want        bool
	}{
		{"nothing there", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, nil, 0, true},
		{"one below the share", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, nil, 3, true},
		{"the share", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, nil, 4, false},
		{"one was turned away", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, []int{500}, 3, false},
		{"one was turned away a while ago", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, []int{-100}, 3, true},
		{"as many as when it was full", brittle.Target{Bears: 60, Places: 6, Boxes: 3}, []int{900}, 3, false},
		{"fewer than when it was full", brittle.Target{Bears: 60, Places: 6, Boxes: 3}, []int{900}, 2, true},
		{"full a while ago", brittle.Target{Bears: 60, Places: 6, Boxes: 3}, []int{-600}, 5, true},
		{"more boxes than places", brittle.Target{Bears: 2, Places: 2, Boxes: 300}, nil, 0, true},
		{"more boxes than places, one there", brittle.Target{Bears: 2, Places: 2, Boxes: 300}, nil, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := brittle.Limiter{}
			for _, ms := range tt.turnedAway {
				l.TurnedAway(start.Add(time.Duration(ms)*time.Millisecond), "i", 3)
			}
			now := start.Add(time.Second)
			if got := l.Allows(now, "i", tt.target, tt.outstanding, tt.outstanding); got != tt.want {
				t.Errorf("Allows = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestAllBoxesTogether has six boxes press on one target: it never turns away more than it bears in a
// second.
func TestAllBoxesTogether(t *testing.T) {
	const boxes, places, bears = 6, 6, 6
	random := rand.New(rand.NewPCG(1, 1))
	var limiters [boxes]brittle.Limiter
	var outstanding [boxes]int
	var running int
	var turned []time.Time
	most := 0
	for step := range 20000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		box := random.IntN(boxes)
		if outstanding[box] > 0 && random.IntN(12) == 0 {
			outstanding[box]--
			running--
		}
		if !limiters[box].Allows(now, "i", brittle.Target{Bears: bears, Places: places, Boxes: boxes}, outstanding[box], outstanding[box]) {
			continue
		}
		if running < places {
			running++
			outstanding[box]++
			continue
		}
		limiters[box].TurnedAway(now, "i", outstanding[box])
		turned = append(turned, now)
		for now.Sub(turned[0]) > time.Second {
			turned = turned[1:]
		}
		most = max(most, len(turned))
	}
	if most > bears {
		t.Errorf("%d were turned away in a second", most)
	}
}
