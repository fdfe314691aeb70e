package canary_test

import (
	"math/rand/v2"
	"testing"

	"github.com/thymewind/thymewind/canary"
)

// play has some boxes send requests of three routes, a twentieth to the new version, until
// the judge calls it bad. It returns how many answers the new version gave and how many of
// them were bad. Share says how many of the new version's answers are bad, after how many.
func play(seed uint64, most int, share func(route, tried int) float64) (tried, bad int, found bool) {
	const oldBad, boxes, oneIn = 0.02, 20, 20
	dice := rand.New(rand.NewPCG(seed, 7))
	j := canary.NewJudge()
	counts := make(map[[2]int]canary.Counts)
	for tried < most {
		at := [2]int{dice.IntN(boxes), dice.IntN(3)}
		c := counts[at]
		if dice.IntN(oneIn) == 0 {
			tried++
			if dice.Float64() < share(at[1], tried) {
				bad++
				c.Bad++
			} else {
				c.Good++
			}
		} else if dice.Float64() < oldBad {
			c.BaselineBad++
		} else {
			c.BaselineGood++
		}
		counts[at] = c
		j.Observe(string(rune('a'+at[0])), string(rune('x'+at[1])), c)
		if j.Bad() {
			return tried, bad, true
		}
	}
	return tried, bad, false
}

// TestErrorRates states what the judge gives, where the older version's answers are bad in 2
// of 100: how many bad answers come before it says so, and how often a good version is taken
// back over 1,000 of its answers.
func TestErrorRates(t *testing.T) {
	all := func(p float64) func(int, int) float64 { return func(int, int) float64 { return p } }
	tests := []struct {
		name  string
		share func(route, tried int) float64
		// least is how many of 100 plays find it bad, within most answers, most how many; mostBad
		// bounds the mean of the bad answers until then.
		least, most int
		mostBad     float64
	}{
		{"half are bad", all(0.5), 100, 1000, 12},
		{"20 in 100 are bad", all(0.2), 100, 2000, 25},
		{"half are bad on one route", func(route, _ int) float64 { return []float64{0.02, 0.5, 0.02}[route] }, 100, 2000, 16},
		{"half are bad, after 300 good ones", func(_, tried int) float64 { return []float64{0.02, 0.5}[min(tried/300, 1)] }, 100, 1000, 24},
		{"5 in 100 are bad", all(0.05), 90, 8000, 90},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plays, sum := 0, 0
			for seed := range uint64(100) {
				if _, bad, found := play(seed, tt.most, tt.share); found {
					plays++
					sum += bad
				}
			}
			mean := float64(sum) / float64(max(plays, 1))
			t.Logf("found in %d of 100 plays, after %.1f bad answers", plays, mean)
			if plays < tt.least || mean > tt.mostBad {
				t.Errorf("found in %d of 100 plays, want %d; after %.1f bad answers, want %v", plays, tt.least, mean, tt.mostBad)
			}
		})
	}
	t.Run("a good version", func(t *testing.T) {
		wrong := 0
		for seed := range uint64(200) {
			if _, _, found := play(seed, 1000, all(0.02)); found {
				wrong++
			}
		}
		t.Logf("taken back in %d of 200 plays", wrong)
		if wrong > 2 {
			t.Errorf("taken back in %d of 200 plays", wrong)
		}
	})
}

// TestGood says when a version counts as good.
func TestGood(t *testing.T) {
	old := canary.Counts{BaselineGood: 980, BaselineBad: 20}
	with := func(good, bad int) canary.Counts {
		c := old
		c.Good, c.Bad = good, bad
		return c
	}
	tests := []struct {
		name string
		told map[string]canary.Counts
		want bool
	}{
		{"nothing seen", nil, false},
		{"too few", map[string]canary.Counts{"x": with(30, 0)}, false},
		{"enough", map[string]canary.Counts{"x": with(90, 1)}, true},
		{"a route without any", map[string]canary.Counts{"x": with(90, 1), "y": old}, false},
		{"a route that hardly matters without any", map[string]canary.Counts{"x": with(90, 1), "y": {BaselineGood: 20}}, true},
		{"something speaks against it", map[string]canary.Counts{"x": with(90, 12)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := canary.NewJudge()
			for _, name := range []string{"x", "y"} {
				if c, told := tt.told[name]; told {
					j.Observe("box", name, c)
				}
			}
			if got := j.Good(); got != tt.want {
				t.Errorf("good: %v", got)
			}
		})
	}
}

// TestToldAgain has a box tell the same twice, which counts once, and start again, after
// which all that it tells counts.
func TestToldAgain(t *testing.T) {
	j := canary.NewJudge()
	for _, good := range []int{5, 5, 8, 2} {
		j.Observe("a", "x", canary.Counts{Good: good})
	}
	j.Observe("b", "x", canary.Counts{Good: 1, BaselineBad: 3})
	if got, want := j.Total(), (canary.Counts{Good: 11, BaselineBad: 3}); got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
}
