package exposure_test

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/exposure"
)

// playBoxes simulates requests of some routes at 70 boxes that restart now and then and
// forget their counts. It returns how many were sent and how many were exposed.
func playBoxes(seed uint64, share float64, allow func(g *exposure.Gate, route string) bool) (all, exposed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	gates := make([]*exposure.Gate, 70)
	for range 6000 {
		at := random.IntN(len(gates))
		if gates[at] == nil || random.IntN(200) == 0 {
			gates[at] = exposure.New(share)
		}
		route := string(rune('a' + random.IntN(3)))
		take := allow(gates[at], route)
		gates[at].Record(route, take)
		all++
		if take {
			exposed++
		}
	}
	return all, exposed
}

// TestShareOverBoxes checks that the share holds over all boxes, whatever their order of
// requests and restarts. TestShareOverBoxesNeedsCount shows that the check finds boxes that
// expose one request in advance.
func TestShareOverBoxes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	properties := gopter.NewProperties(parameters)
	properties.Property("within the share", prop.ForAll(func(seed uint64, percent int) bool {
		share := float64(percent) / 100
		all, exposed := playBoxes(seed, share, (*exposure.Gate).Allow)
		return float64(exposed) <= share*float64(all)
	}, gen.UInt64(), gen.IntRange(1, 50)))
	properties.TestingRun(t)
}

func TestShareOverBoxesNeedsCount(t *testing.T) {
	const share = 0.01
	first := make(map[*exposure.Gate]bool)
	all, exposed := playBoxes(1, share, func(g *exposure.Gate, route string) bool {
		ahead := !first[g]
		first[g] = true
		return ahead || g.Allow(route)
	})
	if float64(exposed) <= share*float64(all) {
		t.Errorf("%d of %d are exposed, within the share, though each start exposes one in advance", exposed, all)
	}
}

// TestQuietRouteIsExposed has a quiet route get its share beside a busy one.
func TestQuietRouteIsExposed(t *testing.T) {
	g := exposure.New(0.1)
	exposed := make(map[string]int)
	for i := range 4000 {
		route := "busy"
		if i%20 == 0 {
			route = "quiet"
		}
		take := g.Allow(route)
		g.Record(route, take)
		if take {
			exposed[route]++
		}
	}
	if exposed["quiet"] < 10 || exposed["busy"] < 200 {
		t.Errorf("exposed %v", exposed)
	}
}
