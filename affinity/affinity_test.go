package affinity_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
)

var start = time.Unix(1000, 0)

// fixture is two engines, a fast small store and a slow large one.
type fixture struct {
	d       *directory.Directory
	a, b    *fleet.Target
	stores  []*affinity.Source
	chooser affinity.Chooser
	request affinity.Request
	// slowdown is by how much transfers take longer, by source.
	slowdown map[string]float64
}

// all allows every source.
func all(*affinity.Source) bool { return true }

func key(version int64, i int) directory.Key { return directory.Key(100*version + int64(i)) }

func newFixture() *fixture {
	x := &fixture{d: directory.New()}
	x.a = &fleet.Target{ID: "a", Domain: "z", Versions: map[string]int64{"m": 1}}
	x.b = &fleet.Target{ID: "b", Domain: "z", Versions: map[string]int64{"m": 1}}
	x.stores = []*affinity.Source{
		{Name: "quick", Address: netip.MustParseAddrPort("10.0.0.1:1"), Domain: "z", Capacity: 20000, PerToken: time.Microsecond, Delay: time.Millisecond},
		{Name: "large", Address: netip.MustParseAddrPort("10.0.0.2:1"), Domain: "z", Capacity: 1000000, PerToken: 2 * time.Microsecond, Delay: 6 * time.Millisecond},
	}
	x.chooser = affinity.Chooser{
		Directory: x.d, Stores: func() []*affinity.Source { return x.stores },
		PrefillPerToken: func() time.Duration { return time.Millisecond / 112 }, Slowdown: func(_ time.Time, name string) float64 { return max(x.slowdown[name], 1) },
		TransferPerToken: func() time.Duration { return time.Microsecond },
		Slack:            affinity.Slack, AllowSave: all, AllowStoreFetch: all, AllowEngineFetch: all,
		Load: func(_ time.Time, t *fleet.Target) (int, int) { return t.Tokens, t.PrefillBacklog },
	}
	x.request = affinity.Request{
		Domain: "z", Home: 7, Parts: []affinity.Part{{Tokens: 500}, {Tokens: 8000}, {Tokens: 2000}}, Model: "m", Tokens: 10600, Capacity: 180000,
		Keys: func(version int64) []directory.Key {
			return []directory.Key{key(version, 0), key(version, 1), key(version, 2)}
		},
	}
	return x
}

func (x *fixture) caches(source string, version int64, parts ...int) {
	x.d.Connected(source, 1)
	for _, i := range parts {
		x.d.Add(source, key(version, i), x.request.Parts[i].Tokens)
	}
}

// cachesAlone has an engine cache the shared parts, beside a store that is too slow to fetch
// them from, and have little memory left.
func (x *fixture) cachesAlone(e *fleet.Target) {
	x.caches(e.ID, 1, 0, 1)
	x.caches("large", 1, 0, 1)
	x.slowdown = map[string]float64{"large": 50}
	x.chooser.AllowEngineFetch = func(*affinity.Source) bool { return false }
	e.Tokens = 175000
}

func (x *fixture) choose(t *testing.T) affinity.Choice {
	t.Helper()
	choice, ok := x.chooser.Choose(start, x.request, []*fleet.Target{x.a, x.b})
	if !ok {
		t.Fatal("no engine")
	}
	return choice
}

// TestChoose checks which engine gets a prompt.
func TestChoose(t *testing.T) {
	home := newFixture().choose(t).Target.ID
	other := map[string]string{"a": "b", "b": "a"}[home]
	tests := []struct {
		name   string
		change func(x *fixture, home, other *fleet.Target)
		want   string
	}{
		{"nothing known: home", func(*fixture, *fleet.Target, *fleet.Target) {}, home},
		{"cached at the other engine, can't be fetched", func(x *fixture, _, other *fleet.Target) { x.caches(other.ID, 1, 0, 1); x.stores = nil }, home},
		{"home has a long prefill backlog", func(_ *fixture, home, _ *fleet.Target) { home.PrefillBacklog = 20000 }, other},
		{"home's memory is used up", func(_ *fixture, home, _ *fleet.Target) { home.Tokens = 175000 }, other},
		{"home is leaving", func(_ *fixture, home, _ *fleet.Target) { home.Leaving = true }, other},
		{"home failed recently", func(_ *fixture, home, _ *fleet.Target) { home.Fail(start) }, other},
		{"home is loading weights", func(_ *fixture, home, _ *fleet.Target) { home.LoadingUntil = start.Add(time.Second) }, other},
		{"home is in another domain", func(x *fixture, home, _ *fleet.Target) { home.Domain, x.request.Domain = "y", "z" }, other},
		{"home is in another domain, the engine in the own domain is busy", func(x *fixture, home, other *fleet.Target) {
			home.Domain, x.request.Domain = "y", "z"
			other.PrefillBacklog = 20000
		}, home},
		{"home is a little busy, the other is in another domain", func(_ *fixture, home, other *fleet.Target) {
			home.PrefillBacklog, other.Domain = 7000, "y"
		}, home},
		{"home is a little busy and would miss the goal", func(x *fixture, home, other *fleet.Target) {
			home.PrefillBacklog, other.Domain = 7000, "y"
			x.request.Goal = 150 * time.Millisecond
		}, other},
		{"only the other has an idle connection", func(x *fixture, _, other *fleet.Target) {
			x.request.HasIdleConnection = func(t *fleet.Target) bool { return t == other }
		}, other},
		{"only the other has an idle connection, but a longer backlog", func(x *fixture, _, other *fleet.Target) {
			x.request.HasIdleConnection = func(t *fleet.Target) bool { return t == other }
			other.PrefillBacklog = 2000
		}, home},
		{"neither has an idle connection", func(x *fixture, _, _ *fleet.Target) {
			x.request.HasIdleConnection = func(*fleet.Target) bool { return false }
		}, home},
		{"home has old weights", func(x *fixture, _, other *fleet.Target) { x.request.NewestVersion = 2; other.Versions["m"] = 2 }, other},
		{"home has old weights, the other is busy", func(x *fixture, _, other *fleet.Target) {
			x.request.NewestVersion = 2
			other.Versions["m"] = 2
			other.PrefillBacklog = 50000
		}, home},
		{"home has weights that must not be used any more", func(x *fixture, _, other *fleet.Target) {
			x.request.NewestVersion, x.request.MinVersion = 2, 2
			other.Versions["m"] = 2
			other.PrefillBacklog = 50000
		}, other},
		{"cheaper where it is cached, though little memory is left", func(x *fixture, home, _ *fleet.Target) { x.cachesAlone(home) }, home},
		{"cheaper where it is cached, but no memory is left", func(x *fixture, home, _ *fleet.Target) {
			x.cachesAlone(home)
			x.request.Full = func(taken int) bool { return taken > 170000 }
		}, other},
		{"no memory is left anywhere", func(x *fixture, home, _ *fleet.Target) {
			x.cachesAlone(home)
			x.request.Full = func(int) bool { return true }
		}, home},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture()
			engines := map[string]*fleet.Target{"a": x.a, "b": x.b}
			tt.change(x, engines[home], engines[other])
			if got := x.choose(t).Target.ID; got != tt.want {
				t.Errorf("chose %q, want %q", got, tt.want)
			}
		})
	}
}

// TestNextBest checks the runner-up and its cost. It guards against naming an engine that could not
// have been chosen, and against a cost with the wrong sign.
func TestNextBest(t *testing.T) {
	home := newFixture().choose(t).Target.ID
	other := map[string]string{"a": "b", "b": "a"}[home]
	const perToken = time.Millisecond / 112
	tests := []struct {
		name   string
		change func(x *fixture, home, other *fleet.Target)
		target string
		next   string
		cost   time.Duration
	}{
		{"equal", func(*fixture, *fleet.Target, *fleet.Target) {}, home, other, 0},
		{"the other has a backlog", func(_ *fixture, _, other *fleet.Target) { other.PrefillBacklog = 10000 }, home, other, 10000 * perToken},
		{"the home engine has a long one", func(_ *fixture, home, _ *fleet.Target) { home.PrefillBacklog = 10000 }, other, home, 10000 * perToken},
		{"the home engine has a short one and is preferred all the same", func(_ *fixture, home, _ *fleet.Target) { home.PrefillBacklog = 1000 }, home, other, -1000 * perToken},
		{"the other takes no work", func(_ *fixture, _, other *fleet.Target) { other.Leaving = true }, home, "", 0},
		{"the other is full", func(x *fixture, _, other *fleet.Target) {
			other.Tokens = 175000
			x.request.Full = func(taken int) bool { return taken > 170000 }
		}, home, "", 0},
		{"all are full", func(x *fixture, _, other *fleet.Target) {
			other.PrefillBacklog = 10000
			x.request.Full = func(int) bool { return true }
		}, home, other, 10000 * perToken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture()
			engines := map[string]*fleet.Target{"a": x.a, "b": x.b}
			tt.change(x, engines[home], engines[other])
			got := x.choose(t)
			if got.Target.ID != tt.target || got.NextBest != tt.next || got.NextBestCost != tt.cost {
				t.Errorf("chose %q before %q by %v, want %q before %q by %v", got.Target.ID, got.NextBest, got.NextBestCost, tt.target, tt.next, tt.cost)
			}
		})
	}
}

// TestParts checks what is fetched, prefilled and saved.
func TestParts(t *testing.T) {
	home := newFixture().choose(t).Target.ID
	other := map[string]string{"a": "b", "b": "a"}[home]
	tests := []struct {
		name        string
		change      func(x *fixture)
		fetch, save [3]string
		prefill     int
	}{
		{"first time: all is prefilled, shared parts are saved", func(*fixture) {}, [3]string{}, [3]string{"quick", "large", ""}, 10500},
		{"cached in stores", func(x *fixture) { x.caches("quick", 1, 0); x.caches("large", 1, 1) }, [3]string{"quick", "large", ""}, [3]string{}, 2000},
		{"cached at home, and in stores as a fallback", func(x *fixture) { x.caches(home, 1, 0, 1); x.caches("large", 1, 0, 1) }, [3]string{"large", "large", ""}, [3]string{}, 2000},
		{"cached at the other engine only", func(x *fixture) { x.caches(other, 1, 0, 1) }, [3]string{other, other, ""}, [3]string{"quick", "large", ""}, 2000},
		{"the first part is not cached: what follows is prefilled", func(x *fixture) { x.caches("large", 1, 1) }, [3]string{}, [3]string{"quick", "", ""}, 10500},
		{"cached under other weights only", func(x *fixture) { x.caches("large", 9, 0, 1) }, [3]string{}, [3]string{"quick", "large", ""}, 10500},
		{"old weights: their parts are not saved", func(x *fixture) { x.request.NewestVersion = 2 }, [3]string{}, [3]string{}, 10500},
		{"the store is disconnected", func(x *fixture) { x.caches("large", 1, 0, 1); x.d.Disconnected("large") }, [3]string{}, [3]string{"quick", "large", ""}, 10500},
		{"no room", func(x *fixture) { x.stores[0].Capacity, x.stores[1].Capacity = 100, 100 }, [3]string{}, [3]string{}, 10500},
		{"the large store is slow", func(x *fixture) { x.caches("large", 1, 0, 1); x.slowdown = map[string]float64{"large": 50} }, [3]string{}, [3]string{}, 10500},
		{"the large store is slow, the other engine has the parts too", func(x *fixture) {
			x.caches("large", 1, 0, 1)
			x.caches(other, 1, 0, 1)
			x.slowdown = map[string]float64{"large": 50}
		}, [3]string{other, other, ""}, [3]string{}, 2000},
		{"the large store's link is slower than prefill", func(x *fixture) { x.caches("large", 1, 0, 1); x.stores[1].PerToken = time.Millisecond }, [3]string{}, [3]string{}, 10500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture()
			tt.change(x)
			got := x.choose(t)
			if got.Target.ID != home {
				t.Fatalf("chose %q", got.Target.ID)
			}
			for i := range 3 {
				if name := nameOf(got.Fetch, i); name != tt.fetch[i] {
					t.Errorf("part %d is fetched from %q, want %q", i, name, tt.fetch[i])
				}
				if name := nameOf(got.Save, i); name != tt.save[i] {
					t.Errorf("part %d is saved to %q, want %q", i, name, tt.save[i])
				}
			}
			if got.PrefillTokens != tt.prefill {
				t.Errorf("%d tokens to prefill, want %d", got.PrefillTokens, tt.prefill)
			}
		})
	}
}

func nameOf(list []*affinity.Source, i int) string {
	if list == nil || list[i] == nil {
		return ""
	}
	return list[i].Name
}

// TestSlowEngine guards against a cost that ignores how slow an engine is, or that compares an
// engine's usual first event with the goal although it may be later.
func TestSlowEngine(t *testing.T) {
	tests := []struct {
		name               string
		expected, possible float64
		goal               time.Duration
		want               string
	}{
		{"normal", 1, 1, 0, "home"},
		{"slow", 4, 4, 0, "other"},
		{"may be slow, no goal", 1, 4, 0, "home"},
		{"may miss the goal", 1, 4, 400 * time.Millisecond, "other"},
		{"meets the goal even if slow", 1, 4, 4 * time.Second, "home"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture()
			targets := []*fleet.Target{x.a, x.b}
			home, _ := x.chooser.Choose(start, x.request, targets)
			x.request.Goal = tt.goal
			x.chooser.EngineSlowdown = func(_ time.Time, e *fleet.Target) (float64, float64) {
				if e == home.Target {
					return tt.expected, tt.possible
				}
				return 1, 1
			}
			choice, _ := x.chooser.Choose(start, x.request, targets)
			got := "other"
			if choice.Target == home.Target {
				got = "home"
			}
			if got != tt.want {
				t.Errorf("chose the %s engine, want %s", got, tt.want)
			}
		})
	}
}
