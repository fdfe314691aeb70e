package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/retry"
)

const (
	budgetHubs, budgetBoxes, budgetSteps, budgetWindow = 4, 200, 120, 10
	earnedShare, totalBurst, maxRatio                  = 0.14, 40.0, 0.2
)

// budgetsStayWithin has boxes deposit at random hubs the credit that their requests earn,
// spend all they can, and lose a tenth of the deposits; hubs restart empty. In no window
// may there be more retries than the share of its requests plus the total burst.
func budgetsStayWithin(bound float64) gopter.Prop {
	return prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 9))
		hubs := make([]*retry.SharedBudget, budgetHubs)
		newHub := func() *retry.SharedBudget { p := &retry.SharedBudget{}; p.SetBurst(bound); return p }
		for i := range hubs {
			hubs[i] = newHub()
		}
		boxes := make([]*retry.SharedBudget, budgetBoxes)
		for i := range boxes {
			boxes[i] = &retry.SharedBudget{}
			boxes[i].SetBurst(1)
		}
		var requests, retried []int
		greedy := false
		for range budgetSteps {
			if random.IntN(15) == 0 {
				greedy = !greedy
			}
			if random.IntN(40) == 0 {
				hubs[random.IntN(budgetHubs)] = newHub()
			}
			earned, spent := 0, 0
			for _, box := range boxes {
				for range random.IntN(3) {
					earned++
					box.Deposit("p", earnedShare)
				}
				hub := hubs[random.IntN(budgetHubs)]
				if credit := box.Drain(); random.IntN(10) > 0 {
					hub.Deposit("p", credit["p"])
				}
				for greedy && hub.Spend("p") {
					spent++
				}
			}
			requests, retried = append(requests, earned), append(retried, spent)
			from := max(0, len(requests)-budgetWindow)
			if float64(sum(retried[from:])) > maxRatio*float64(sum(requests[from:]))+totalBurst {
				return false
			}
		}
		return true
	}, gen.UInt64())
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// TestSharedBudgetsOverAllHubs guards against more retries over all boxes and hubs than
// the configured share and burst. TestSharedBudgetsNeedTheirBound shows that the check
// fails where each hub has ten times the whole burst.
func TestSharedBudgetsOverAllHubs(t *testing.T) {
	proptest.Holds(t, budgetsStayWithin(totalBurst*0.7/budgetHubs))
}

func TestSharedBudgetsNeedTheirBound(t *testing.T) {
	proptest.Violated(t, budgetsStayWithin(10*totalBurst))
}
