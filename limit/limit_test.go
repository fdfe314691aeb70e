package limit_test

import (
	"testing"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/limit"
)

func TestShare(t *testing.T) {
	tests := []struct {
		name              string
		limit, boxes, own int
		others            []int
		want              int
	}{
		{"alone", 32, 1, 5, nil, 32},
		{"demand of the others unknown", 30, 3, 5, nil, 10},
		{"no demand", 30, 3, 0, []int{0, 0}, 10},
		{"all the demand here", 30, 3, 9, []int{0, 0}, 20},
		{"no demand here", 30, 3, 0, []int{5, 5}, 5},
		{"even demand", 30, 3, 5, []int{5, 5}, 10},
		{"demand of one box unknown", 30, 3, 5, []int{0}, 15},
		{"more boxes than limit", 2, 7, 0, []int{1, 1, 1, 1, 1, 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := limit.Share(tt.limit, tt.boxes, tt.own, tt.others); got != tt.want {
				t.Errorf("Share = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestSharesKeepTheLimit checks that with the same view of demand the boxes' shares
// together do not exceed the limit, apart from the minimum of one per box.
func TestSharesKeepTheLimit(t *testing.T) {
	proptest.Holds(t, prop.ForAll(func(bound int, demand []int) bool {
		sum := 0
		for i, own := range demand {
			var others []int
			others = append(others, demand[:i]...)
			others = append(others, demand[i+1:]...)
			sum += limit.Share(bound, len(demand), own, others)
		}
		return sum <= max(bound, 2*len(demand))
	}, gen.IntRange(1, 500), gen.SliceOfN(7, gen.IntRange(0, 50))))
}
