package canary_test

import (
	"math/rand/v2"
	"testing"

	"github.com/thymewind/thymewind/canary"
)

// simulate has some boxes send requests on three routes, a twentieth to the new version,
// until the judge finds it bad or it gave `most` answers. It returns how many answers the
// new version gave, how many of them were bad, and whether it was found bad. share
// returns the new version's share of bad answers on a route after a number of answers.
func simulate(seed uint64, most int, share func(route, answers int) float64) (answers, bad int, found bool) {
	const oldBad, boxes, oneIn = 0.02, 20, 20
	random := rand.New(rand.NewPCG(seed, 7))
	j := canary.NewJudge()
	counts := make(map[[2]int]canary.Counts)
	for answers < most {
		at := [2]int{random.IntN(boxes), random.IntN(3)}
		c := counts[at]
		if random.IntN(oneIn) == 0 {
			answers++
			if random.Float64() < share(at[1], answers) {
				bad++
				c.Bad++
			} else {
				c.Good++
			}
		} else if random.Float64() < oldBad {
			c.BaselineBad++
		} else {
			c.BaselineGood++
		}
		counts[at] = c
		j.Observe(string(rune('a'+at[0])), string(rune('x'+at[1])), c)
		if j.Bad() {
			return answers, bad, true
		}
	}
	return answers, bad, false
}

// TestErrorRates measures the judge where 2 of 100 of the baseline's answers are bad: how
// many bad answers it takes to detect a bad version, and how often a good version is
// rolled back within 1,000 of its answers.
func TestErrorRates(t *testing.T) {
	all := func(p float64) func(int, int) float64 { return func(int, int) float64 { return p } }
	tests := []struct {
		name  string
		share func(route, answers int) float64
		// least is how many of 100 simulations must find it bad, within `most` answers; mostBad
		// bounds the mean number of bad answers until then.
		least, most int
		mostBad     float64
	}{
		{"half are bad", all(0.5), 100, 1000, 12},
		{"20 in 100 are bad", all(0.2), 100, 2000, 25},
		{"half are bad on one route", func(route, _ int) float64 { return []float64{0.02, 0.5, 0.02}[route] }, 100, 2000, 16},
		{"half are bad, after 300 good ones", func(_, answers int) float64 { return []float64{0.02, 0.5}[min(answers/300, 1)] }, 100, 1000, 24},
		{"5 in 100 are bad", all(0.05), 90, 8000, 90},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			detected, sum := 0, 0
			for seed := range uint64(100) {
				if _, bad, found := simulate(seed, tt.most, tt.share); found {
					detected++
					sum += bad
				}
			}
			mean := float64(sum) / float64(max(detected, 1))
			t.Logf("found in %d of 100 runs, after %.1f bad answers", detected, mean)
			if detected < tt.least || mean > tt.mostBad {
				t.Errorf("found in %d of 100 runs, want %d; after %.1f bad answers, want %v", detected, tt.least, mean, tt.mostBad)
			}
		})
	}
	t.Run("a good version", func(t *testing.T) {
		wrong := 0
		for seed := range uint64(200) {
			if _, _, found := simulate(seed, 1000, all(0.02)); found {
				wrong++
			}
		}
		t.Logf("rolled back in %d of 200 runs", wrong)
		if wrong > 2 {
			t.Errorf("rolled back in %d of 200 runs", wrong)
		}
	})
}

// TestGood checks when a version counts as good.
func TestGood(t *testing.T) {
	old := canary.Counts{BaselineGood: 980, BaselineBad: 20}
	with := func(good, bad int) canary.Counts {
		c := old
		c.Good, c.Bad = good, bad
		return c
	}
	tests := []struct {
		name     string
		reported map[string]canary.Counts
		want     bool
	}{
		{"no answers", nil, false},
		{"too few", map[string]canary.Counts{"x": with(30, 0)}, false},
		{"enough", map[string]canary.Counts{"x": with(90, 1)}, true},
		{"a route without answers", map[string]canary.Counts{"x": with(90, 1), "y": old}, false},
		{"a rarely used route without answers", map[string]canary.Counts{"x": with(90, 1), "y": {BaselineGood: 20}}, true},
		{"many bad answers", map[string]canary.Counts{"x": with(90, 12)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := canary.NewJudge()
			for _, name := range []string{"x", "y"} {
				if c, reported := tt.reported[name]; reported {
					j.Observe("box", name, c)
				}
			}
			if got := j.Good(); got != tt.want {
				t.Errorf("good: %v", got)
			}
		})
	}
}

// TestRepeatedCounts checks that a repeated report counts once, and that all counts of a
// box that restarted are new.
func TestRepeatedCounts(t *testing.T) {
	j := canary.NewJudge()
	for _, good := range []int{5, 5, 8, 2} {
		j.Observe("a", "x", canary.Counts{Good: good})
	}
	j.Observe("b", "x", canary.Counts{Good: 1, BaselineBad: 3})
	if got, want := j.Total(), (canary.Counts{Good: 11, BaselineBad: 3}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}
