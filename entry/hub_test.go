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

// largeFleet makes a daemon one of 20 boxes in domains a and b; box-00 and
// box-01 are the strongest of a, box-10 and box-11 those of b.
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

// TestHubEnds goes through the hubs of the own domain, then those of others,
// and makes a box that is asked a hub for a while.
func TestHubEnds(t *testing.T) {
	d := largeFleet("box-05")
	var asked []string
	for {
		hub := d.viewHub(start, &d.tables)
		if hub == "" {
			break
		}
		asked = append(asked, hub)
		for range maxHubMisses {
			d.hubFailed(start, &d.tables, hub, errors.New("no answer"))
		}
	}
	if len(asked) != 4 || asked[0] != "box-00" || asked[1] != "box-01" || !slices.Contains(asked, "box-10") {
		t.Errorf("asked %v", asked)
	}
	if got := d.viewHub(start.Add(gossipRetryDelay), &d.tables); got != "box-00" {
		t.Errorf("later %q is asked, want the first again", got)
	}
	d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "box-06"})
	d.updateRole(start, &d.tables)
	if d.spoke.Load() {
		t.Error("a box that is asked does not act as a hub")
	}
	d.updateRole(start.Add(hubLinger), &d.tables)
	if !d.spoke.Load() {
		t.Error("a box that is asked no longer is still a hub")
	}
}

// TestWeakBoxes shows that no weak box becomes a hub, however the strong ones
// fail: it would follow all sources with a fifth of a core and answer nobody.
// (Hunt on lbh-dispatch-grown, scale-1 --seed 1003505936487.)
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

// TestViewAgeBounds ties the times together: a hub that is cut off must be left
// well within the platform's bound for changes, and a sound one never.
// (Hunt on sonora-norte-grown, mix --seed 754427457844.)
func TestViewAgeBounds(t *testing.T) {
	const bound = 2 * time.Second
	if own := viewTTL + viewPoll; own >= bound {
		t.Errorf("a box reads for itself after %v", own)
	}
	if sound := 2*hubHold + spokeGossipInterval; sound >= viewTTL {
		t.Errorf("a sound hub's proof is %v old", sound)
	}
}

// TestView shows that a hub's view counts with its age, and that the list and a
// newer configuration are taken over.
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
		t.Fatalf("the newer configuration is not read: %v", effects)
	}
	if spoke.keysFresh(later) {
		t.Error("fresh before the configuration was read")
	}
	read := effects[0].(fetchConfiguration)
	spoke.update(later, configurationFromHub{read.proof, Operator{Table: configuration(4)}, nil})
	if spoke.version() != 4 || spoke.tables.fleet.Target("a") == nil || spoke.tables.rolloutOf("m").newestVersion != 2 {
		t.Error("the view was not taken over")
	}
	if got := spoke.provedAgo(later); got != time.Second {
		t.Errorf("proved %v ago, want the age at the hub", got)
	}
	again := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", ListVersion: spoke.tables.hubList.Number})
	if again.View.Entries != nil {
		t.Error("the list is sent again")
	}
	hub.update(later, targetsRead{later, Targets{Gone: []string{"a"}}, false})
	last := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", ListVersion: spoke.tables.hubList.Number})
	spoke.update(later, peerAnswered{"box-00", later, last, nil})
	if spoke.tables.fleet.Target("a") != nil {
		t.Error("a target that is gone at the hub is kept")
	}
}

// TestHubWithoutList shows that a hub that has just started makes nobody drop
// targets.
func TestHubWithoutList(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	spoke.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05"})
	spoke.update(start, peerAnswered{"box-00", start, answer, nil})
	if spoke.tables.fleet.Target("a") == nil {
		t.Error("targets were dropped for a hub that knows no list")
	}
}

// TestViewListsReplacedTarget takes a hub's list that still holds a target that this box
// knows to be replaced.
func TestViewListsReplacedTarget(t *testing.T) {
	spoke := boxWithEngines("box-05")
	spoke.update(start, probed{probe{target: "a"}, ErrReplaced})
	entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}, {ID: "b", Pool: "models", Address: "10.1.0.2:1"}}
	spoke.update(start, peerAnswered{"box-00", start, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 1, ListVersion: 7, Entries: entries}}, nil})
	if spoke.tables.fleet.Target("a") != nil || spoke.tables.fleet.Target("b") == nil {
		t.Error("the list was not taken over as it is known to be")
	}
}

// TestStaleList has a box ask a hub that is cut off from the table service, after a
// sound one told that a target is gone: the cut-off hub's list, which still has it,
// must not bring it back. A box that has no list takes what it gets.
//
// In a large fleet one request was seen to reach a target 3.2 s after that had said
// that it leaves, while a hub was cut off; boxes took its list as they had given up
// another hub.
func TestStaleList(t *testing.T) {
	entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}, {ID: "b", Pool: "models", Address: "10.1.0.2:1"}}
	tests := []struct {
		name  string
		first bool // Whether a sound hub was heard before.
		proof time.Duration
		back  bool
	}{
		{"the hub is cut off", true, maxHubProofAge + time.Millisecond, false},
		{"the hub is sound", true, maxHubProofAge, true},
		{"nothing is known yet", false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spoke := largeFleet("box-05")
			hear := func(hub string, proof time.Duration, list uint64, entries []peer.Entry) {
				view := &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ProofAgeMS: proof.Milliseconds(), ListVersion: list, Entries: entries}
				spoke.update(start, peerAnswered{hub, start, peer.Message{View: view}, nil})
			}
			if tt.first {
				hear("box-01", 0, 7, entries[1:])
			}
			hear("box-00", tt.proof, 3, entries)
			if back := spoke.tables.fleet.Target("a") != nil; back != tt.back {
				t.Errorf("the target is there: %v", back)
			}
		})
	}
}

// TestStaleView shows that a hub that is cut off from the table service makes
// nobody's keys good, and that a box then reads for itself.
func TestStaleView(t *testing.T) {
	spoke := largeFleet("box-05")
	spoke.update(start, operatorRead{start, Operator{Table: configuration(4)}})
	late := start.Add(10 * time.Second)
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 4, ProofAgeMS: 9000}}, nil})
	if spoke.keysFresh(late) || spoke.hasFreshView(late) {
		t.Error("an old proof counts as new")
	}
	if got := spoke.viewHub(late, &spoke.tables); got != "box-01" {
		t.Errorf("a hub that is cut off: %q is asked next", got)
	}
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 3, ProofAgeMS: 0}}, nil})
	if spoke.keysFresh(late) {
		t.Error("the proof of an older configuration counts for this one")
	}
	spoke.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ConfigurationVersion: 4, ProofAgeMS: 500}}, nil})
	if !spoke.keysFresh(late) || !spoke.hasFreshView(late) {
		t.Error("a fresh proof does not count")
	}
}

// boxWithEngines is a daemon of a large fleet that knows of two engines and, if it is a
// hub, heard of what they keep.
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

// TestPlaceByHub passes a request through a hub's decision and back. The first
// hub asked is box-00, the next one box-01.
func TestPlaceByHub(t *testing.T) {
	silent := errors.New("no answer")
	tests := []struct {
		name   string
		change func(hub, next, spoke *Daemon)
		// fails is what each hub's call comes to.
		fails [2]error
		code  string
		// asks is how many hubs are asked, rule the beginning of the place's.
		asks int
		rule string
	}{
		{"placed", func(_, _, _ *Daemon) {}, [2]error{}, "", 1, "hub, "},
		{"refused by the hub", func(hub, _, _ *Daemon) {
			for _, id := range []string{"a", "b"} {
				hub.tables.fleet.Target(id).Tokens = 200000
			}
		}, [2]error{}, "crowded", 1, ""},
		{"the hub's engine is leaving, as this box knows", func(hub, _, spoke *Daemon) {
			hub.update(start, targetsRead{start, Targets{Gone: []string{"b"}}, false})
			spoke.tables.fleet.Target("a").Leaving = true
		}, [2]error{}, "", 2, "hub, "},
		{"all engines are leaving, as this box knows", func(_, _, spoke *Daemon) {
			spoke.tables.fleet.Target("a").Leaving, spoke.tables.fleet.Target("b").Leaving = true, true
		}, [2]error{}, "no_target", 1, ""},
		{"the hub has no configuration", func(hub, _, _ *Daemon) { hub.current.Store(nil) }, [2]error{}, "", 2, "hub, "},
		{"the hub has not heard of kept parts", func(hub, _, _ *Daemon) {
			hub.tables.directory.Disconnected("a")
			hub.tables.directory.Disconnected("b")
		}, [2]error{}, "", 2, "hub, "},
		{"the hub had heard of them, and an engine ended", func(hub, _, _ *Daemon) {
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
			reply := make(chan placeAnswer, 1)
			effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("long", 1000)}, reply: reply})
			asks := 0
			for ; len(effects) == 1; asks++ {
				asked := effects[0].(askHub)
				hub := hubs[asked.hub]
				answer := hubPlaced{hub: asked.hub, m: asked.m, err: tt.fails[asks]}
				if answer.err == nil {
					answer.placed = hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &asked.ask}).PlacementResponse
				}
				effects = spoke.update(start, answer)
			}
			got := <-reply
			if asks != tt.asks || (got.err != nil) != (tt.code != "") || !strings.HasPrefix(got.place.Rule, tt.rule) {
				t.Fatalf("got %+v after %d asks, want refusal %q, rule %q after %d", got, asks, tt.code, tt.rule, tt.asks)
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

// spokeWithStore is a box that lives on hubs, in a deployment with a store that keeps
// the shared part of a prompt.
func spokeWithStore() (*Daemon, *deliver.Job) {
	d := boxWithEngines("box-05")
	d.tables.clockKnown = true
	d.tables.stores = []*affinity.Source{{Name: "s", Address: netip.MustParseAddrPort("10.2.0.1:1"), Capacity: 100000}}
	prompt := job("long", 1000)
	prompt.Account = nil
	return d, prompt
}

// TestHublessWatchesStores has a box follow the stores while no hub answers, and only then.
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
	if refused != nil || place.Fetched != 500 {
		t.Errorf("place %+v, refused %v", place, refused)
	}
	d.update(late, peerAnswered{"box-00", late, peer.Message{View: &peer.View{ConfigurationVersion: 1}}, nil})
	if effects := d.reconcileSources(late, &d.tables); len(effects) != 0 || len(d.tables.watched) != 0 {
		t.Errorf("effects %v, followed %v", effects, d.tables.watched)
	}
	d.update(late, cacheEventsRead{source: "s", events: CacheEvents{Epoch: 1}})
	if place, _ := d.placeModel(late, &d.tables, deliver.PlacementRequest{Job: prompt}); place.Fetched != 0 {
		t.Error("a store is used that is not followed any more")
	}
}

// TestNewHubHoldsCalls has a lone box that becomes a hub follow with held calls.
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
		t.Errorf("followed %v", names)
	}
}

// TestPlacementHub asks only hubs that answered their last call for places.
func TestPlacementHub(t *testing.T) {
	d := boxWithEngines("box-05")
	again := start.Add(gossipRetryDelay)
	silent := errors.New("no answer")
	for range maxHubMisses {
		d.hubFailed(start, &d.tables, "box-00", silent)
	}
	if got := d.placementHub(again, &d.tables, nil); got != "box-01" {
		t.Errorf("places are asked of %q", got)
	}
	if got := d.viewHub(again, &d.tables); got != "box-00" {
		t.Errorf("gossip goes to %q", got)
	}
	d.update(again, peerAnswered{name: "box-00", asked: again})
	if got := d.placementHub(again, &d.tables, nil); got != "box-00" {
		t.Errorf("places are asked of %q after it answered", got)
	}
}

// TestPresumedLoad takes each box that is not heard to use as much as this one,
// spread over the engines.
func TestPresumedLoad(t *testing.T) {
	d := boxWithEngines("box-05")
	d.tables.fleet.Target("a").Tokens = 100
	d.tables.usual = d.tables.presumedOthers(start, d.tables.fleet.Pool("models"))
	a, _ := d.load(start, &d.tables, d.tables.fleet.Target("a"))
	b, _ := d.load(start, &d.tables, d.tables.fleet.Target("b"))
	if a != 100+19*100/2 || b != 19*100/2 {
		t.Errorf("loads %d and %d of 20 boxes before 2 engines", a, b)
	}
}

// TestMalformedPlacement has a hub's place passed over whose addresses can't be read.
func TestMalformedPlacement(t *testing.T) {
	tests := []struct {
		name string
		p    peer.PlacementResponse
		ok   bool
	}{
		{"no moves", peer.PlacementResponse{}, true},
		{"some moves", peer.PlacementResponse{Fetch: []string{"", "10.0.0.1:1"}, Save: []string{"10.0.0.1:1", ""}}, true},
		{"spoilt source", peer.PlacementResponse{Fetch: []string{"10.0.0.1"}}, false},
		{"spoilt store", peer.PlacementResponse{Save: []string{"x"}}, false},
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

// TestHubCountsOwnPlacements shows that a hub counts what it placed for others before they
// tell, and what they tell once.
func TestHubCountsOwnPlacements(t *testing.T) {
	hub := boxWithEngines("box-00")
	hub.update(start, targetsRead{start, Targets{Gone: []string{"b"}}, false})
	tokens := func() int {
		n, _ := hub.load(start, &hub.tables, hub.tables.fleet.Target("a"))
		return n
	}
	gossip := func(tokens int) {
		hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", TargetLoads: []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tokens}}})
	}
	gossip(100)
	ask := peer.PlacementRequest{Pool: "models", Model: "m", Tokens: 500, MaxMemoryShare: 1}
	if got := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &ask}); got.PlacementResponse.Target != "a" {
		t.Fatalf("placed %+v", got.PlacementResponse)
	}
	if got := tokens(); got != 600 {
		t.Errorf("%d tokens, want what was told and placed", got)
	}
	gossip(550)
	if got := tokens(); got != 550 {
		t.Errorf("%d tokens, want what is told now", got)
	}
}

// TestIsolatedAccountByHub shows that a hub keeps a walled account's parts apart.
func TestIsolatedAccountByHub(t *testing.T) {
	spoke := largeFleet("box-05")
	spoke.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	walled := job("long", 1000)
	walled.Account = &routing.Account{Name: "w", Isolated: true}
	effects, remote := spoke.placeRemotely(start, &spoke.tables, placementRequest{ask: deliver.PlacementRequest{Job: walled}})
	if !remote || effects[0].(askHub).ask.IsolatedAccount != "w" {
		t.Errorf("effects %+v", effects)
	}
}

// TestHubUsesSpokesIdleConnections shows that a hub places by the connections of the box that asks.
func TestHubUsesSpokesIdleConnections(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	linked := ""
	spoke.Platform.HasIdleConnection = func(at netip.AddrPort) bool { return at.String() == linked }
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
		linked = spoke.tables.fleet.Target(id).Address.String()
		effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: job("short", 100)}, reply: make(chan placeAnswer, 1)})
		ask := effects[0].(askHub).ask
		got := hub.peerRequest(start.Add(time.Duration(i)*time.Second), &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &ask})
		if got.PlacementResponse == nil || got.PlacementResponse.Target != id {
			t.Errorf("a connection rests to %s, placed on %+v", id, got.PlacementResponse)
		}
	}
}

// TestOwnListIsNewer shows that the list of a hub that is cut off does not bring back
// what this box itself read to be gone, whether it took a hub's list before or not.
func TestOwnListIsNewer(t *testing.T) {
	for _, heard := range []bool{true, false} {
		t.Run(fmt.Sprintf("a hub was heard before: %v", heard), func(t *testing.T) {
			spoke := largeFleet("box-05")
			entries := []peer.Entry{{ID: "a", Pool: "models", Address: "10.1.0.1:1"}}
			hear := func(at time.Time, proof time.Duration, list uint64) {
				view := &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, ProofAgeMS: proof.Milliseconds(), ListVersion: list, Entries: entries}
				spoke.update(at, peerAnswered{"box-00", at, peer.Message{View: view}, nil})
			}
			if heard {
				hear(start, 0, 3)
			}
			later := start.Add(3 * time.Second)
			spoke.update(later, targetsRead{later, Targets{Gone: []string{"a"}}, false})
			hear(later.Add(time.Second), 4*time.Second, 4)
			if spoke.tables.fleet.Target("a") != nil {
				t.Error("a target that is gone is back by an older list")
			}
			hear(later.Add(2*time.Second), 0, 5)
			if spoke.tables.fleet.Target("a") == nil {
				t.Error("a target that is back is not there")
			}
		})
	}
}
