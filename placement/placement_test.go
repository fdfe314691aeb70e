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
	return placement.Chooser{Usable: (*target.Target).Usable, Wait: wait}
}

// now is the time of all tests.
var (
	now = time.Now()
	at  = target.SinceStart(now)
)

func wait(t *target.Target) time.Duration { return t.WaitAt(at, 2*time.Second) }

func requestFor(home uint64) placement.Request {
	return placement.Request{Home: home, Slack: 100 * time.Millisecond}
}

func TestChoose(t *testing.T) {
	c := chooser()
	home, err := c.Choose(now, requestFor(42), targets(9))
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
		{"home has a free slot", func(all []*target.Target) { all[home.Home].Running = 7 }, placement.RuleHome, false},
		{"home has a little to prefill", func(all []*target.Target) { all[home.Home].ApplyReport(now, 0, 0, 95*time.Millisecond) }, placement.RuleHome, false},
		{"home has a lot to prefill", func(all []*target.Target) { all[home.Home].ApplyReport(now, 0, 0, 105*time.Millisecond) }, placement.RuleNext, false},
		{"home was sent a lot since its report", func(all []*target.Target) { all[home.Home].RecordSent(now, 105*time.Millisecond) }, placement.RuleNext, false},
		{"home is full", func(all []*target.Target) { all[home.Home].Running = 30 }, placement.RuleNext, false},
		{"home is leaving", func(all []*target.Target) { all[home.Home].Leaving = true }, placement.RuleHome, false},
		{"all are full", func(all []*target.Target) {
			for _, x := range all {
				x.Running = 60
			}
		}, placement.RuleHome, false},
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
			got, err := c.Choose(now, requestFor(42), all)
			if (err != nil) != tt.err || got.Rule != tt.rule {
				t.Errorf("Choose = %+v, %v, want rule %q, error %v", got, err, tt.rule, tt.err)
			}
			if err == nil && !all[got.Index].Usable(now) {
				t.Error("an unusable target was chosen")
			}
		})
	}
}

// TestFewMove shows that only the prompts of a target that leaves move.
func TestFewMove(t *testing.T) {
	c := chooser()
	all := targets(9)
	before := make([]int, 1000)
	for i := range before {
		choice, err := c.Choose(now, requestFor(rand.New(rand.NewPCG(7, uint64(i))).Uint64()), all)
		if err != nil {
			t.Fatal(err)
		}
		before[i] = choice.Index
	}
	all[4].Leaving = true
	for i, was := range before {
		choice, err := c.Choose(now, requestFor(rand.New(rand.NewPCG(7, uint64(i))).Uint64()), all)
		if err != nil {
			t.Fatal(err)
		}
		if was != 4 && choice.Index != was {
			t.Fatalf("prompt %d moved from %d to %d", i, was, choice.Index)
		}
	}
}

// BenchmarkChoose places one request among 600 targets, the design size.
func BenchmarkChoose(b *testing.B) {
	c := chooser()
	all := targets(600)
	r := rand.New(rand.NewPCG(1, 2))
	for _, x := range all {
		x.ApplyReport(now, r.IntN(8), 0, time.Duration(r.IntN(200))*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Choose(now, requestFor(r.Uint64()), all); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHerd has many boxes choose by equally lagged loads and reports the load of the
// most loaded target relative to the mean, for this chooser and for least load.
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

// herd returns the load of the most loaded target relative to the mean, after every box has
// placed some requests by its own copy of the same lagged report.
func herd(b *testing.B, boxes, perBox int, least bool) float64 {
	const n = 600
	load := make([]int, n)
	lagged := rand.New(rand.NewPCG(3, 4))
	report := make([]int, n)
	for i := range report {
		report[i] = lagged.IntN(200)
	}
	sum := 0
	for box := range boxes {
		c := chooser()
		all := targets(n)
		for i, x := range all {
			x.ApplyReport(now, 0, 0, time.Duration(report[i])*time.Millisecond)
		}
		for request := range perBox {
			i := 0
			if least {
				i = first(all)
			} else {
				choice, err := c.Choose(now, requestFor(rand.New(rand.NewPCG(uint64(box), uint64(request))).Uint64()), all)
				if err != nil {
					b.Fatal(err)
				}
				i = choice.Index
			}
			all[i].RecordSent(now, 100*time.Millisecond)
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

// first chooses by least load alone: the first of the least loaded targets.
func first(all []*target.Target) int {
	best := 0
	for i, x := range all {
		if wait(x) < wait(all[best]) {
			best = i
		}
	}
	return best
}
