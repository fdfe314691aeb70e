package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/target"
)

func targets(n int) []*target.Target {
	all := make([]*target.Target, n)
	for i := range all {
		name := fmt.Sprintf("engine-%d", i)
		all[i] = &target.Target{Name: name, Hash: placement.Hash(name), Listed: true, Slots: 8}
	}
	return all
}

func chooser() placement.Chooser {
	return placement.Chooser{Bound: 1.25, Usable: (*target.Target).Usable, Random: rand.New(rand.NewPCG(1, 2)).Uint64}
}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	c := chooser()
	home, err := c.Choose(now, 42, targets(9), nil)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		change func(all []*target.Target)
		rule   string
		err    bool
	}{
		{"home", func([]*target.Target) {}, placement.RuleHome, false},
		{"home has a free slot", func(all []*target.Target) { all[home.Best[0]].Running = 7 }, placement.RuleHome, false},
		{"home is full", func(all []*target.Target) { all[home.Best[0]].Running = 30 }, placement.RuleNext, false},
		{"home is leaving", func(all []*target.Target) { all[home.Best[0]].Leaving = true }, placement.RuleHome, false},
		{"the best ranked are full", func(all []*target.Target) {
			for _, i := range home.Best {
				all[i].Running = 60
			}
		}, placement.RuleLeast, false},
		{"none is usable", func(all []*target.Target) {
			for _, x := range all {
				x.AvoidUntil = now.Add(time.Second)
			}
		}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := targets(9)
			tt.change(all)
			got, err := c.Choose(now, 42, all, nil)
			if (err != nil) != tt.err || got.Rule != tt.rule {
				t.Errorf("Choose = %+v, %v, want rule %q, error %v", got, err, tt.rule, tt.err)
			}
			if err == nil && !all[got.Index].Usable(now) {
				t.Error("an unusable target was chosen")
			}
		})
	}
}

// TestFewMove shows that a target that leaves moves only its own prompts.
func TestFewMove(t *testing.T) {
	now := time.Unix(1000, 0)
	c := chooser()
	all := targets(9)
	before := make([]int, 1000)
	for i := range before {
		choice, err := c.Choose(now, rand.New(rand.NewPCG(7, uint64(i))).Uint64(), all, nil)
		if err != nil {
			t.Fatal(err)
		}
		before[i] = choice.Index
	}
	all[4].Leaving = true
	for i, was := range before {
		choice, err := c.Choose(now, rand.New(rand.NewPCG(7, uint64(i))).Uint64(), all, nil)
		if err != nil {
			t.Fatal(err)
		}
		if was != 4 && choice.Index != was {
			t.Fatalf("prompt %d moved from %d to %d", i, was, choice.Index)
		}
	}
}

// BenchmarkChoose places one request over the number of targets at the design
// size.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	c := chooser()
	all := targets(600)
	r := rand.New(rand.NewPCG(1, 2))
	for _, x := range all {
		x.Running = r.IntN(8)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Choose(now, r.Uint64(), all, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHerd has many boxes choose on equally lagged loads and reports the
// most loaded target against the mean, for this chooser and for least load.
func BenchmarkHerd(b *testing.B) {
	const perBox = 12
	for _, boxes := range []int{7, 330} {
		for _, least := range []bool{false, true} {
			b.Run(fmt.Sprintf("boxes=%d/least=%v", boxes, least), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(herd(b, boxes, perBox, least), "most/mean")
				}
			})
		}
	}
}

// herd returns the ratio after every box has placed some requests on its own
// copy of the same lagged report.
func herd(b *testing.B, boxes, perBox int, least bool) float64 {
	now := time.Unix(1000, 0)
	const n = 600
	load := make([]int, n)
	lagged := rand.New(rand.NewPCG(3, 4))
	report := make([]int, n)
	for i := range report {
		report[i] = lagged.IntN(8)
	}
	sum := 0
	for box := range boxes {
		c := placement.Chooser{Bound: 1.25, Usable: (*target.Target).Usable, Random: rand.New(rand.NewPCG(5, uint64(box))).Uint64}
		all := targets(n)
		for i, x := range all {
			x.Running = report[i]
		}
		for request := range perBox {
			i := 0
			if least {
				i = first(all)
			} else {
				choice, err := c.Choose(now, rand.New(rand.NewPCG(uint64(box), uint64(request))).Uint64(), all, nil)
				if err != nil {
					b.Fatal(err)
				}
				i = choice.Index
			}
			all[i].SentSince++
			load[i]++
			sum++
		}
	}
	most := 0
	for i := range load {
		most = max(most, load[i])
	}
	return float64(most) * n / float64(sum)
}

// first is plain least load: the first of the least loaded.
func first(all []*target.Target) int {
	best := 0
	for i, x := range all {
		if x.Load() < all[best].Load() {
			best = i
		}
	}
	return best
}
