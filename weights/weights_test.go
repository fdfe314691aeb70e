package weights_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/target"
	"github.com/thymewind/thymewind/weights"
)

const loadTime = 1500 * time.Millisecond

// simulate runs a rollout over targets whose reports lag and some of whose orders are
// lost. The lease's holder is replaced after each term; if remembers is set, the new one
// learns of the earlier orders.
func simulate(n, term int, lost []bool, remembers bool) (most int, finished bool) {
	now := time.Unix(1000, 0)
	all := make([]*target.Target, n)
	loads := make(map[string]time.Time)
	for i := range all {
		all[i] = &target.Target{Name: fmt.Sprint(i), Listed: true, Version: "v1", ReportedAt: now}
	}
	var given []string
	r := weights.Rollout{Timeout: 10 * time.Second}
	for step := range 10000 {
		now = now.Add(100 * time.Millisecond)
		if step%term == term-1 {
			r = weights.Rollout{Timeout: 10 * time.Second}
			for _, name := range given {
				if remembers {
					r.Note(name, "v2", now)
				}
			}
		}
		for i, x := range all {
			x.Running = (step*7 + i*3) % 5
		}
		for _, name := range r.Next(now, "v2", all) {
			r.Note(name, "v2", now)
			given = append(given, name)
			if !lost[len(given)%len(lost)] {
				loads[name] = now
			}
		}
		loading := 0
		for _, x := range all {
			began, ordered := loads[x.Name]
			switch {
			case ordered && now.Sub(began) < loadTime:
				loading++
			case ordered && now.Sub(began) > loadTime+500*time.Millisecond && step%3 == 0:
				x.Version, x.ReportedAt = "v2", now
			}
		}
		most = max(most, loading)
		if !slices.ContainsFunc(all, func(x *target.Target) bool { return x.Version != "v2" }) {
			return most, true
		}
	}
	return most, false
}

func fewAtOnce(remembers bool) gopter.Prop {
	return prop.ForAll(func(n, term int, lost []bool) bool {
		most, finished := simulate(n, term, append(lost, false, false, false), remembers)
		return finished && most <= min(weights.MaxLoading, max(1, n/3))
	}, gen.IntRange(1, 40), gen.IntRange(120, 160), gen.SliceOfN(4, gen.Bool()))
}

func TestFewLoadAtOnce(t *testing.T) { proptest.Holds(t, fewAtOnce(true)) }

func TestFewLoadAtOnceNeedsTheOrdersRead(t *testing.T) { proptest.Violated(t, fewAtOnce(false)) }
