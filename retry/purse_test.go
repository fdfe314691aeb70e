package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proof"
	"github.com/thymewind/thymewind/retry"
)

const (
	purses, purseBoxes, purseSteps, purseWindow = 4, 200, 120, 10
	purseShare, purseAll, purseRatio            = 0.14, 40.0, 0.2
)

// pursesWithin has boxes pay into the purses of hubs what requests earn, take out all that
// they can, change their hub, and lose what they pay; hubs start again. In no window are there
// more retries than the requests in it allow, and what all may save up.
func pursesWithin(bound float64) gopter.Prop {
	return prop.ForAll(func(seed uint64) bool {
		dice := rand.New(rand.NewPCG(seed, 9))
		hubs := make([]*retry.SharedBudget, purses)
		fresh := func() *retry.SharedBudget { p := &retry.SharedBudget{}; p.SetBurst(bound); return p }
		for i := range hubs {
			hubs[i] = fresh()
		}
		kept := make([]*retry.SharedBudget, purseBoxes)
		for i := range kept {
			kept[i] = &retry.SharedBudget{}
			kept[i].SetBurst(1)
		}
		var requests, retried []int
		greedy := false
		for range purseSteps {
			if dice.IntN(15) == 0 {
				greedy = !greedy
			}
			if dice.IntN(40) == 0 {
				hubs[dice.IntN(purses)] = fresh()
			}
			asked, again := 0, 0
			for _, box := range kept {
				for range dice.IntN(3) {
					asked++
					box.Deposit("p", purseShare)
				}
				hub := hubs[dice.IntN(purses)]
				if paid := box.Drain(); dice.IntN(10) > 0 {
					hub.Deposit("p", paid["p"])
				}
				for greedy && hub.Spend("p") {
					again++
				}
			}
			requests, retried = append(requests, asked), append(retried, again)
			from := max(0, len(requests)-purseWindow)
			if float64(sum(retried[from:])) > purseRatio*float64(sum(requests[from:]))+purseAll {
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

// TestPursesOverAllHubs holds the bound over all boxes and hubs; its sister has hubs hold ten
// times as much.
func TestPursesOverAllHubs(t *testing.T) { proof.Holds(t, pursesWithin(purseAll*0.7/purses)) }

func TestPursesNeedTheirBound(t *testing.T) { proof.Breaks(t, pursesWithin(10*purseAll)) }
