package affinity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
)

// spread simulates 20 s of a hub that places requests for many boxes, each of which sends a
// few requests a second to a few engines: connections stay open for 4 s of idling, as the
// platform's targets allow, each pair of box and engine is used every 2 s on average, and
// engines are busy with prefill for four tenths of the time. It returns how many connections
// were opened and the requests of the busiest engine relative to the mean.
func spread(preferred bool) (opened int, busiest float64) {
	const boxes, engines, perSecond, idleTimeout = 24, 20, 240, 4 * time.Second
	random := rand.New(rand.NewPCG(3, 4))
	chooser := affinity.Chooser{
		Directory: directory.New(), Stores: func() []*affinity.Source { return nil },
		PrefillPerToken: func() time.Duration { return time.Millisecond / 112 }, Slowdown: func(time.Time, string) float64 { return 1 },
		Slack: affinity.Slack, AllowSave: all, AllowStoreFetch: all, AllowEngineFetch: all,
		TransferPerToken: func() time.Duration { return time.Microsecond }, Load: func(_ time.Time, t *fleet.Target) (int, int) { return t.Tokens, t.PrefillBacklog },
	}
	var targets []*fleet.Target
	for i := range engines {
		targets = append(targets, &fleet.Target{ID: fmt.Sprintf("i-%02d", i), Versions: map[string]int64{"m": 1}})
	}
	type pair struct {
		box    int
		engine string
	}
	used := make(map[pair]time.Time)
	got := make(map[string]int)
	for n := range 20 * perSecond {
		now := start.Add(time.Duration(n) * time.Second / perSecond)
		for _, x := range targets { // The backlog is prefilled meanwhile.
			x.PrefillBacklog = max(x.PrefillBacklog-112*1000/perSecond, 0)
		}
		box := random.IntN(boxes)
		request := affinity.Request{
			Home: random.Uint64(), Parts: []affinity.Part{{Tokens: 3000}, {Tokens: 1000}}, Tokens: 4100, Capacity: 150000, Model: "m",
			Keys: func(int64) []directory.Key { return []directory.Key{key(1, 2*n), key(1, 2*n+1)} },
		}
		if preferred {
			request.HasIdleConnection = func(x *fleet.Target) bool { return now.Sub(used[pair{box, x.ID}]) < idleTimeout }
		}
		choice, _ := chooser.Choose(now, request, targets)
		if at, linked := used[pair{box, choice.Target.ID}]; !linked || now.Sub(at) >= idleTimeout {
			opened++
		}
		used[pair{box, choice.Target.ID}] = now
		choice.Target.PrefillBacklog += choice.PrefillTokens
		got[choice.Target.ID]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	return opened, float64(most) * engines / (20 * perSecond)
}

// TestFewerConnections shows that the preference for engines with an idle connection saves
// connections and keeps the load even.
func TestFewerConnections(t *testing.T) {
	without, _ := spread(false)
	with, busiest := spread(true)
	if float64(with) > 0.6*float64(without) || busiest > 1.5 {
		t.Errorf("%d connections were opened, without the preference %d; the busiest engine got %.2f of the mean", with, without, busiest)
	}
}
