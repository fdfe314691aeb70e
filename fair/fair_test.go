package fair_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/fair"
	"github.com/thymewind/thymewind/internal/proptest"
)

var now = time.Unix(1000, 0)

func TestOverShare(t *testing.T) {
	tests := []struct {
		name     string
		rates    []float64
		weights  []int
		capacity float64
		want     []bool
	}{
		{"all fits", []float64{5, 1}, []int{1, 1}, 6, []bool{false, false}},
		{"one over", []float64{50, 1}, []int{1, 1}, 6, []bool{true, false}},
		{"both over", []float64{50, 40}, []int{1, 1}, 6, []bool{true, true}},
		{"heavier account", []float64{5, 5}, []int{4, 1}, 8, []bool{false, true}},
		{"an unused share goes to the other", []float64{5, 0.5}, []int{1, 1}, 5.6, []bool{false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := fair.Meter{Window: time.Second}
			for i, rate := range tt.rates {
				m.Add(now, fmt.Sprint(i), tt.weights[i], rate)
			}
			for i, want := range tt.want {
				if got := m.OverShare(now, fmt.Sprint(i), tt.capacity); got != want {
					t.Errorf("account %d over = %v, want %v", i, got, want)
				}
			}
		})
	}
}

// equalShareIsSafe is the property that an account that causes no more than its equal
// share of the capacity is never over, whatever the others do.
func equalShareIsSafe(over func(*fair.Meter, string, float64) bool) gopter.Prop {
	const capacity = 9.0
	return prop.ForAll(func(others []float64) bool {
		m := &fair.Meter{Window: time.Second}
		m.Add(now, "small", 1, capacity/float64(len(others)+1)-0.001)
		for i, rate := range others {
			m.Add(now, fmt.Sprint(i), 1, rate)
		}
		return !over(m, "small", capacity)
	}, gen.SliceOfN(6, gen.Float64Range(0, 100)))
}

func TestEqualShareIsSafe(t *testing.T) {
	proptest.Holds(t, equalShareIsSafe(func(m *fair.Meter, account string, capacity float64) bool {
		return m.OverShare(now, account, capacity)
	}))
}

func TestEqualShareIsSafeNeedsTheShares(t *testing.T) {
	// Control: without shares every account is over once the sum is.
	proptest.Violated(t, equalShareIsSafe(func(m *fair.Meter, _ string, capacity float64) bool {
		sum := m.Rate(now, "small")
		for i := range 6 {
			sum += m.Rate(now, fmt.Sprint(i))
		}
		return sum > capacity
	}))
}

func TestWorkDecays(t *testing.T) {
	m := fair.Meter{Window: time.Second}
	m.Add(now, "a", 1, 100)
	if later := now.Add(20 * time.Second); m.Rate(later, "a") > 1e-6 || m.OverShare(later, "a", 1) {
		t.Error("old work still counts")
	}
}
