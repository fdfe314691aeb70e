package affinity_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
)

// BenchmarkChoose places prompts among 112 engines and 22 stores, as a hub of a large fleet
// does some 200 times a second.
func BenchmarkChoose(b *testing.B) {
	const engines, stores, prompts = 112, 22, 1000
	d := directory.New()
	var targets []*fleet.Target
	for i := range engines {
		x := &fleet.Target{ID: fmt.Sprintf("i-%08x", i*7919), Domain: string(rune('a' + i%3)), Versions: map[string]int64{"m": 1}}
		d.Connected(x.ID, 1)
		targets = append(targets, x)
	}
	var sources []*affinity.Source
	for i := range stores {
		s := &affinity.Source{
			Name: fmt.Sprintf("store-%d", i), Address: netip.MustParseAddrPort("10.0.0.1:1"), Domain: string(rune('a' + i%3)),
			Capacity: 1000000, PerToken: time.Microsecond, Delay: time.Millisecond,
		}
		d.Connected(s.Name, 1)
		sources = append(sources, s)
	}
	for i := range prompts / 2 { // Half of the prompts are cached, each in one store and by one engine.
		for part := range 2 {
			d.Add(sources[i%stores].Name, key(int64(i), part), 4000)
			d.Add(targets[i%engines].ID, key(int64(i), part), 4000)
		}
	}
	chooser := affinity.Chooser{
		Directory: d, Stores: func() []*affinity.Source { return sources },
		PrefillPerToken: func() time.Duration { return time.Millisecond / 112 }, Slowdown: func(time.Time, string) float64 { return 1 },
		Slack: affinity.Slack, AllowSave: all, AllowStoreFetch: all, AllowEngineFetch: all,
		TransferPerToken: func() time.Duration { return time.Microsecond }, Load: func(_ time.Time, t *fleet.Target) (int, int) { return t.Tokens, t.PrefillBacklog },
	}
	request := affinity.Request{Parts: []affinity.Part{{Tokens: 4000}, {Tokens: 4000}, {Tokens: 2000}}, Model: "m", NewestVersion: 1, Tokens: 10600, Capacity: 100000}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		i := int64(n % prompts)
		n++
		request.Home = uint64(i) * 0x9e3779b97f4a7c15
		request.Keys = func(int64) []directory.Key { return []directory.Key{key(i, 0), key(i, 1), key(i, 2)} }
		if _, ok := chooser.Choose(start.Add(time.Duration(n)*time.Millisecond), request, targets); !ok {
			b.Fatal("no engine")
		}
	}
}
