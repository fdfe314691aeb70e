package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// largeFleet returns the daemon of one of 20 boxes in domains a and b. box-00 and box-01 are
// the strongest of a, box-10 and box-11 those of b.
func largeFleet(name string) *Daemon {
	d := newDaemon(name)
	for i := range 20 {
		m := &member{address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)), domain: "a", share: 0.2}
		if i >= 10 {
			m.domain = "b"
		}
		if i%10 < 2 {
			m.share = 0.8 - float64(i%10)/10
		}
		d.tables.members[fmt.Sprintf("box-%02d", i)] = m
	}
	d.tables.membersKnown = true
	d.updateRole(start, &d.tables)
	return d
}

func TestRoles(t *testing.T) {
	tests := []struct {
		box     string
		hub     bool
		partner []string
	}{
		{"box-00", true, []string{"box-01", "box-10", "box-11"}},
		{"box-01", true, []string{"box-10", "box-11"}},
		{"box-05", false, []string{"box-00"}},
	}
	for _, tt := range tests {
		t.Run(tt.box, func(t *testing.T) {
			d := largeFleet(tt.box)
			if got := !d.spoke.Load(); got != tt.hub {
				t.Errorf("hub %v, want %v", got, tt.hub)
			}
			got := d.gossipPartners(start, &d.tables)
			slices.Sort(got)
			if !slices.Equal(got, tt.partner) {
				t.Errorf("calls %v, want %v", got, tt.partner)
			}
		})
	}
}

// TestHubEnds goes through the hubs of the box's own domain, then those of others as each stops
// answering, and has a box act as a hub for hubLinger after it was asked.
func TestHubEnds(t *testing.T) {
	d := largeFleet("box-05")
	var hubs []string
	for {
		hub := d.viewHub(start, &d.tables)
		if hub == "" {
			break
		}
		hubs = append(hubs, hub)
		for range maxHubMisses {
			d.hubFailed(start, &d.tables, hub, errors.New("no answer"))
		}
	}
	if len(hubs) != 4 || hubs[0] != "box-00" || hubs[1] != "box-01" || !slices.Contains(hubs, "box-10") {
		t.Errorf("asked hubs %v", hubs)
	}
	if got := d.viewHub(start.Add(gossipRetryDelay), &d.tables); got != "box-00" {
		t.Errorf("after the retry delay %q is asked, want the first hub", got)
	}
	d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "box-06"})
	d.updateRole(start, &d.tables)
	if d.spoke.Load() {
		t.Error("a box that was asked does not act as a hub")
	}
	d.updateRole(start.Add(hubLinger), &d.tables)
	if !d.spoke.Load() {
		t.Error("a box that is no longer asked is still a hub")
	}
}

// TestWeakBoxes shows that no weak box becomes a hub, however the strong ones fail: it would
// watch all sources with a fifth of a core and answer nobody.
func TestWeakBoxes(t *testing.T) {
	d := largeFleet("box-05")
	for _, domain := range []string{"a", "b"} {
		for _, name := range d.tables.rankedHubs(domain) {
			if d.tables.members[name].share < 0.4 {
				t.Errorf("%s is ranked with a share of %v", name, d.tables.members[name].share)
			}
		}
	}
}

// TestOneMissTolerated shows that a hub that misses one call is asked again.
func TestOneMissTolerated(t *testing.T) {
	d := largeFleet("box-05")
	d.hubFailed(start, &d.tables, "box-00", errors.New("no answer"))
	if got := d.viewHub(start, &d.tables); got != "box-00" {
		t.Errorf("after one miss %q is asked", got)
	}
}

// TestViewAgeBounds checks that the timing constants fit together: a hub that is cut off is
// left well within the platform's bound for changes, and a healthy hub never is.
func TestViewAgeBounds(t *testing.T) {
	const bound = 2 * time.Second
	if own := viewTTL + viewPoll; own >= bound {
		t.Errorf("a box reads the table service itself only after %v", own)
	}
	if healthy := 2*hubHold + spokeGossipInterval; healthy >= viewTTL {
		t.Errorf("a healthy hub's proof is %v old", healthy)
	}
}

// TestView shows that a hub's view counts with its age, and that its list and a newer
// configuration are applied.
func TestView(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	hub.update(start, operatorRead{start, Operator{Table: configuration(4), Raw: []byte("raw"), Weights: map[string]int64{"m": 2}}})
	hub.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{
		{ID: "a", Pool: "models", Address: netip.MustParseAddrPort("10.1.0.1:1"), Versions: map[string]int64{"m": 1}},
	}}, false})
	later := start.Add(time.Second)
	answer := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05"})
	effects := spoke.update(later, peerAnswered{"box-00", later, answer, nil})
	if len(effects) != 1 {
		t.Fatalf("the newer configuration is not fetched: %v", effects)
	}
	if spoke.trustsKeys(later) {
		t.Error("fresh before the configuration was fetched")
	}
	read := effects[0].(fetchConfiguration)
	spoke.update(later, configurationFromHub{read.proof, Operator{Table: configuration(4)}, nil})
	if spoke.version() != 4 || spoke.tables.fleet.Target("a") == nil || spoke.tables.rolloutOf("m").newestVersion != 2 {
		t.Error("the view was not applied")
	}
	if got := spoke.provedAgo(later); got != time.Second {
		t.Errorf("proved %v ago, want the age at the hub", got)
	}
	again := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", ListVersion: spoke.tables.hubList.Number})
	if again.View.Entries != nil {
		t.Error("an unchanged list is sent again")
	}
	hub.update(later, targetsRead{later, Targets{Removed: []string{"a"}}, false})
	last := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", ListVersion: spoke.tables.hubList.Number})
	spoke.update(later, peerAnswered{"box-00", later, last, nil})
	if spoke.tables.fleet.Target("a") != nil {
		t.Error("a target that is gone at the hub is kept")
	}
}

// TestHubWithoutList shows that a hub that has just started, and has no list yet, makes no box
// drop targets.
func TestHubWithoutList(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	spoke.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05"})
	spoke.update(start, peerAnswered{"box-00", start, answer, nil})
	if spoke.tables.fleet.Target("a") == nil {
		t.Error("targets were dropped for a hub without a list")
	}
}

// TestViewListsReplacedTarget applies a hub's list that still has a target which this box knows
// to be replaced.
func TestViewListsReplacedTarget(t *testing.T) {
	spoke := boxWithEngines("box-05")
	spoke.update(start, probed{probe{target: "a"}, ErrReplaced})
	entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}, {ID: "b", Pool: "models", Address: "10.1.0.2:1"}}
	spoke.update(start, peerAnswered{"box-00", start, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 1, ListVersion: 7, Entries: entries}}, nil})
	if spoke.tables.fleet.Target("a") != nil || spoke.tables.fleet.Target("b") == nil {
		t.Error("the list was not applied without the replaced target")
	}
}

// TestStaleList guards against a target that is gone coming back. A box asks a hub that is cut
// off from the table service, after a healthy one reported the target gone; the cut-off hub's
// list still has it. A box without any list applies whatever it receives.
//
// Boxes that took the list of a cut-off hub after giving up another one sent a request to a
// target 3.2 s after its drain was announced.
func TestStaleList(t *testing.T) {
	entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}, {ID: "b", Pool: "models", Address: "10.1.0.2:1"}}
	tests := []struct {
		name  string
		first bool // Whether a healthy hub answered before.
		proof time.Duration
		back  bool
	}{
		{"the hub is cut off", true, maxHubProofAge + time.Millisecond, false},
		{"the hub is healthy", true, maxHubProofAge, true},
		{"nothing is known yet", false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spoke := largeFleet("box-05")
			receive := func(hub string, proof time.Duration, list uint64, entries []peer.Entry) {
				view := &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ProofAgeMS: proof.Milliseconds(), ListVersion: list, Entries: entries}
				spoke.update(start, peerAnswered{hub, start, peer.Message{View: view}, nil})
			}
			if tt.first {
				receive("box-01", 0, 7, entries[1:])
			}
			receive("box-00", tt.proof, 3, entries)
			if back := spoke.tables.fleet.Target("a") != nil; back != tt.back {
				t.Errorf("the target is listed: %v", back)
			}
		})
	}
}

// TestStaleView shows that the view of a hub that is cut off from the table service proves no
// keys, and that a box then reads the table service itself.
func TestStaleView(t *testing.T) {
	spoke := largeFleet("box-05")
	spoke.update(start, operatorRead{start, Operator{Table: configuration(4)}})
	late := start.Add(10 * time.Second)
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 4, ProofAgeMS: 9000}}, nil})
	if spoke.trustsKeys(late) || spoke.hasFreshView(late) {
		t.Error("an old proof counts as fresh")
	}
	if got := spoke.viewHub(late, &spoke.tables); got != "box-01" {
		t.Errorf("after a hub that is cut off, %q is asked", got)
	}
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 3, ProofAgeMS: 0}}, nil})
	if spoke.trustsKeys(late) {
		t.Error("the proof of an older configuration counts for this one")
	}
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 4, ProofAgeMS: 500}}, nil})
	if !spoke.trustsKeys(late) || !spoke.hasFreshView(late) {
		t.Error("a fresh proof does not count")
	}
}

// boxWithEngines returns a daemon of a large fleet that knows two engines and, if it is a hub,
// has the events of the parts that they cache.
func boxWithEngines(name string) *Daemon {
	d := largeFleet(name)
	d.now = func() time.Time { return start }
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1)}}, false})
	for source := range d.tables.watched {
		d.update(start, cacheEventsRead{source: source})
	}
	return d
}

// TestPlaceByHub passes a request through a hub's placement and back. box-00 is asked first,
// then box-01.
func TestPlaceByHub(t *testing.T) {
	silent := errors.New("no answer")
	tests := []struct {
		name   string
		change func(hub, next, spoke *Daemon)
		// fails is the error of each hub's call.
		fails [2]error
		code  string
		// calls is how many hubs are asked, rule the prefix of the placement's rule.
		calls int
		rule  string
	}{
		{"placed", func(_, _, _ *Daemon) {}, [2]error{}, "", 1, "hub, "},
		{"refused by the hub", func(hub, _, _ *Daemon) {
			for _, id := range []string{"a", "b"} {
				hub.tables.fleet.Target(id).Tokens = 200000
			}
		}, [2]error{}, "crowded", 1, ""},
		{"only this box knows that the hub's engine is leaving", func(hub, _, spoke *Daemon) {
			hub.update(start, targetsRead{start, Targets{Removed: []string{"b"}}, false})
			spoke.tables.fleet.Target("a").Leaving = true
		}, [2]error{}, "", 2, "hub, "},
		{"only this box knows that all engines are leaving", func(_, _, spoke *Daemon) {
			spoke.tables.fleet.Target("a").Leaving, spoke.tables.fleet.Target("b").Leaving = true, true
		}, [2]error{}, "no_target", 1, ""},
		{"the hub has no configuration", func(hub, _, _ *Daemon) { hub.current.Store(nil) }, [2]error{}, "", 2, "hub, "},
		{"the hub has no cache events", func(hub, _, _ *Daemon) {
			hub.tables.directory.Disconnected("a")
			hub.tables.directory.Disconnected("b")
		}, [2]error{}, "", 2, "hub, "},
		{"the hub had cache events, and an engine ended", func(hub, _, _ *Daemon) {
			hub.knowsCache(&hub.tables)
			hub.tables.directory.Disconnected("a")
		}, [2]error{}, "", 1, "hub, "},
		{"the hub does not answer", func(_, _, _ *Daemon) {}, [2]error{silent}, "", 2, "hub, "},
		{"no hub answers: placed alone", func(_, _, _ *Daemon) {}, [2]error{silent, silent}, "", 2, "home"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hubs := map[string]*Daemon{"box-00": boxWithEngines("box-00"), "box-01": boxWithEngines("box-01")}
			spoke := boxWithEngines("box-05")
			tt.change(hubs["box-00"], hubs["box-01"], spoke)
			reply := make(chan placementAnswer, 1)
			effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("long", 1000)}, reply: reply})
			calls := 0
			for ; len(effects) == 1; calls++ {
				call := effects[0].(askHub)
				hub := hubs[call.hub]
				answer := hubPlaced{hub: call.hub, request: call.request, err: tt.fails[calls]}
				if answer.err == nil {
					answer.placed = hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &call.ask}).PlacementResponse
				}
				effects = spoke.update(start, answer)
			}
			got := <-reply
			if calls != tt.calls || (got.err != nil) != (tt.code != "") || !strings.HasPrefix(got.place.Rule, tt.rule) {
				t.Fatalf("got %+v after %d calls, want refusal %q, rule %q after %d", got, calls, tt.code, tt.rule, tt.calls)
			}
			if refused := new(refusal.Refusal); errors.As(got.err, &refused) && refused.Code != tt.code {
				t.Errorf("refused for %q, want %q", refused.Code, tt.code)
			}
			if tt.code == "" {
				x := spoke.tables.fleet.Target(got.place.Target)
				if x.InFlight != 1 || x.Tokens != 1000 || got.place.Scope != "m@1" {
					t.Errorf("place %+v, counted %+v", got.place, x)
				}
			}
		})
	}
}

// spokeWithStore returns a spoke in a deployment with a store that caches the shared part of a
// prompt.
func spokeWithStore() (*Daemon, *deliver.Job) {
	d := boxWithEngines("box-05")
	d.tables.clockKnown = true
	d.tables.stores = []*affinity.Source{{Name: "s", Address: netip.MustParseAddrPort("10.2.0.1:1"), Capacity: 100000}}
	prompt := job("long", 1000)
	prompt.Account = nil
	return d, prompt
}

// TestHublessWatchesStores has a spoke watch the stores while no hub answers, and only then.
func TestHublessWatchesStores(t *testing.T) {
	d, prompt := spokeWithStore()
	late := start.Add(hublessAfter + time.Millisecond)
	if effects := d.reconcileSources(start.Add(hublessAfter), &d.tables); len(effects) != 0 {
		t.Fatalf("too early: %v", effects)
	}
	effects := d.reconcileSources(late, &d.tables)
	if len(effects) != 1 || effects[0].(watchSource).name != "s" || effects[0].(watchSource).hold != 0 {
		t.Fatalf("effects %v, want the store, not held", effects)
	}
	d.update(late, cacheEventsRead{source: "s", events: CacheEvents{Epoch: 1, Changes: []CacheEvent{{Cached: true, Scope: "m@1", Part: "p", Tokens: 500}}}})
	place, refused := d.placeModel(late, &d.tables, deliver.PlacementRequest{Job: prompt})
	if refused != nil || place.FetchedTokens != 500 {
		t.Errorf("place %+v, refused %v", place, refused)
	}
	d.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{ConfigurationVersion: 1}}, nil})
	if effects := d.reconcileSources(late, &d.tables); len(effects) != 0 || len(d.tables.watched) != 0 {
		t.Errorf("effects %v, watched %v", effects, d.tables.watched)
	}
	d.update(late, cacheEventsRead{source: "s", events: CacheEvents{Epoch: 1}})
	if place, _ := d.placeModel(late, &d.tables, deliver.PlacementRequest{Job: prompt}); place.FetchedTokens != 0 {
		t.Error("a store is used that is no longer watched")
	}
}

// TestNewHubHoldsCalls has a hubless spoke that becomes a hub watch with held calls.
func TestNewHubHoldsCalls(t *testing.T) {
	d, _ := spokeWithStore()
	late := start.Add(hublessAfter + time.Millisecond)
	d.reconcileSources(late, &d.tables)
	d.spoke.Store(false)
	names := make(map[string]time.Duration)
	for _, e := range d.reconcileSources(late, &d.tables) {
		names[e.(watchSource).name] = e.(watchSource).hold
	}
	if len(names) != 3 || names["s"] != eventsHold || d.knowsCache(&d.tables) {
		t.Errorf("watched %v", names)
	}
}

// TestPlacementHub shows that only hubs that answered their last call are asked for placements.
func TestPlacementHub(t *testing.T) {
	d := boxWithEngines("box-05")
	again := start.Add(gossipRetryDelay)
	silent := errors.New("no answer")
	for range maxHubMisses {
		d.hubFailed(start, &d.tables, "box-00", silent)
	}
	if got := d.placementHub(again, &d.tables, "models", nil); got != "box-01" {
		t.Errorf("placements are requested from %q", got)
	}
	if got := d.viewHub(again, &d.tables); got != "box-00" {
		t.Errorf("gossip goes to %q", got)
	}
	d.update(again, peerAnswered{name: "box-00", requestedAt: again})
	if got := d.placementHub(again, &d.tables, "models", nil); got != "box-00" {
		t.Errorf("placements are requested from %q after it answered", got)
	}
}

// TestPresumedLoad shows that boxes whose load is unknown are presumed to have as much as this
// one, spread over the engines.
func TestPresumedLoad(t *testing.T) {
	d := boxWithEngines("box-05")
	d.tables.fleet.Target("a").Tokens = 100
	d.tables.presumedLoad = d.tables.presumedOthers(start, d.tables.fleet.Pool("models"))
	a, _ := d.load(start, &d.tables, d.tables.fleet.Target("a"))
	b, _ := d.load(start, &d.tables, d.tables.fleet.Target("b"))
	if a != 100+19*100/2 || b != 19*100/2 {
		t.Errorf("loads %d and %d of 20 boxes on 2 engines", a, b)
	}
}

// TestMalformedPlacement rejects a hub's placement with malformed addresses.
func TestMalformedPlacement(t *testing.T) {
	tests := []struct {
		name string
		p    peer.PlacementResponse
		ok   bool
	}{
		{"no transfers", peer.PlacementResponse{}, true},
		{"some transfers", peer.PlacementResponse{Fetch: []string{"", "10.0.0.1:1"}, Save: []string{"10.0.0.1:1", ""}}, true},
		{"malformed source", peer.PlacementResponse{Fetch: []string{"10.0.0.1"}}, false},
		{"malformed store", peer.PlacementResponse{Save: []string{"x"}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithEngines("box-05")
			tt.p.Target, tt.p.Version = "a", 1
			if _, ok := d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("long", 10)}, &tt.p); ok != tt.ok {
				t.Errorf("accepted %v", ok)
			}
		})
	}
}

// TestHubCountsOwnPlacements shows that a hub counts what it placed for other boxes until they
// report it, and what they report once.
func TestHubCountsOwnPlacements(t *testing.T) {
	hub := boxWithEngines("box-00")
	hub.update(start, targetsRead{start, Targets{Removed: []string{"b"}}, false})
	tokens := func() int {
		n, _ := hub.load(start, &hub.tables, hub.tables.fleet.Target("a"))
		return n
	}
	gossip := func(tokens int) {
		hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", TargetLoads: []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tokens}}})
	}
	gossip(100)
	request := peer.PlacementRequest{Pool: "models", Model: "m", Tokens: 500, MaxMemoryShare: 1}
	if got := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &request}); got.PlacementResponse.Target != "a" {
		t.Fatalf("placed %+v", got.PlacementResponse)
	}
	if got := tokens(); got != 600 {
		t.Errorf("%d tokens, want the reported and the placed ones", got)
	}
	gossip(550)
	if got := tokens(); got != 550 {
		t.Errorf("%d tokens, want the reported ones", got)
	}
}

// TestIsolatedAccountByHub shows that a hub keeps the cached parts of an isolated account
// apart.
func TestIsolatedAccountByHub(t *testing.T) {
	spoke := largeFleet("box-05")
	spoke.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	isolated := job("long", 1000)
	isolated.Account = &routing.Account{Name: "w", Isolated: true}
	effects, remote := spoke.placeRemotely(start, &spoke.tables, placementRequest{ask: deliver.PlacementRequest{Job: isolated}})
	if !remote || effects[0].(askHub).ask.IsolatedAccount != "w" {
		t.Errorf("effects %+v", effects)
	}
}

// TestHubUsesSpokesIdleConnections shows that a hub places by the idle connections of the box
// that asks.
func TestHubUsesSpokesIdleConnections(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	idle := ""
	spoke.Platform.HasIdleConnection = func(at netip.AddrPort) bool { return at.String() == idle }
	for _, d := range []*Daemon{hub, spoke} {
		d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
		for i, id := range []string{"a", "b", "c"} {
			e := engine(id, 1)
			e.Address = netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:1", i+1))
			d.listTarget(start, &d.tables, e)
		}
	}
	hub.tables.hubWarm = true
	for i, id := range []string{"a", "b", "c", "a"} {
		idle = spoke.tables.fleet.Target(id).Address.String()
		effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("short", 100)}, reply: make(chan placementAnswer, 1)})
		request := effects[0].(askHub).ask
		got := hub.peerRequest(start.Add(time.Duration(i)*time.Second), &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &request})
		if got.PlacementResponse == nil || got.PlacementResponse.Target != id {
			t.Errorf("idle connection to %s, placed on %+v", id, got.PlacementResponse)
		}
	}
}

// TestOwnListIsNewer shows that the list of a hub that is cut off does not bring back a target
// that this box itself read to be gone, whether or not it took a hub's list before.
func TestOwnListIsNewer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("a hub answered before: %v", answered), func(t *testing.T) {
			spoke := largeFleet("box-05")
			entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}}
			receive := func(at time.Time, proof time.Duration, list uint64) {
				view := &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ProofAgeMS: proof.Milliseconds(), ListVersion: list, Entries: entries}
				spoke.update(at, peerAnswered{"box-00", at, peer.Message{View: view}, nil})
			}
			if answered {
				receive(start, 0, 3)
			}
			later := start.Add(3 * time.Second)
			spoke.update(later, targetsRead{later, Targets{Removed: []string{"a"}}, false})
			receive(later.Add(time.Second), 4*time.Second, 4)
			if spoke.tables.fleet.Target("a") != nil {
				t.Error("an older list brought back a target that is gone")
			}
			receive(later.Add(2*time.Second), 0, 5)
			if spoke.tables.fleet.Target("a") == nil {
				t.Error("a target that came back is missing")
			}
		})
	}
}
