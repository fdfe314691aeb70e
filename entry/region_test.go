package entry

import (
	"context"
	"errors"
	"net/netip"
	"testing"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/retryafter"
	"github.com/thymewind/thymewind/routing"
)

// twoRegions returns a box in domain a of region north. It knows domain z in region south and
// domain y, whose region no box reports. Each domain has an engine, a target of the service and
// a store.
func twoRegions(name string) *Daemon {
	d := boxWithEngines(name)
	d.tables.regions["a"], d.tables.regions["z"] = "north", "south"
	d.tables.clockKnown = true
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{
		regionEntry("e-a", "models", "a"), regionEntry("e-z", "models", "z"), regionEntry("e-y", "models", "y"),
		regionEntry("s-a", "orders", "a"), regionEntry("s-z", "orders", "z"), regionEntry("s-y", "orders", "y"),
	}}, false})
	for i, domain := range []string{"a", "z", "y"} {
		d.tables.stores = append(d.tables.stores, &affinity.Source{
			Name: "k-" + domain, Domain: domain, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 1), Capacity: 1 << 20,
		})
	}
	for _, source := range []string{"k-a", "k-z", "k-y", "e-a", "e-z", "e-y"} {
		d.tables.watched[source] = func() {}
		d.update(start, cacheEventsRead{source: source, events: CacheEvents{Epoch: 1}})
	}
	d.tables.hubWarm = true
	return d
}

func regionEntry(id, pool, domain string) fleet.Entry {
	e := engine(id, 1)
	e.Pool, e.Domain = pool, domain
	e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, id[0], id[2]}), 1)
	return e
}

// cacheParts has sources cache the part that prompts share, under a scope.
func cacheParts(d *Daemon, scope string, sources ...string) {
	for _, source := range sources {
		d.update(start, cacheEventsRead{source: source, events: CacheEvents{Epoch: 1, Changes: []CacheEvent{{Cached: true, Scope: scope, Part: "p", Tokens: 4000}}}})
	}
}

// limitedJob is a request whose route and client account are limited to regions.
func limitedJob(pool string, route, account routing.Regions) *deliver.Job {
	j := job("long", 8000)
	limited := *j.Route
	limited.Regions = route
	j.Route, j.Account = &limited, &routing.Account{Name: "x", Regions: account}
	if pool == "orders" {
		j.Pool = &routing.Pool{Name: "orders"}
	}
	return j
}

// TestRegions checks the ways by which a request limited to region north, or its cached parts,
// could leave it.
func TestRegions(t *testing.T) {
	north := routing.Regions{"north"}
	for _, name := range []string{"box-00", "box-05"} {
		for _, pool := range []string{"models", "orders"} {
			for _, by := range []string{"route", "account"} {
				t.Run(name+"/"+pool+"/"+by, func(t *testing.T) {
					d := twoRegions(name)
					cacheParts(d, "m@1", "k-z", "e-z") // From before the limit, or of other requests.
					cacheParts(d, "m@1/in/north", "k-z", "k-y", "e-z", "e-y")
					j := limitedJob(pool, north, nil)
					if by == "account" {
						j = limitedJob(pool, nil, north)
					}
					place, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j})
					if err != nil || d.tables.fleet.Target(place.Target).Domain != "a" {
						t.Fatalf("placed on %q: %v", place.Target, err)
					}
					for _, at := range append(place.Fetch, place.Save...) {
						if at.IsValid() && at != d.tables.stores[0].Address {
							t.Errorf("a part is fetched from or saved to %v", at)
						}
					}
					if pool == "models" && place.Scope != "m@1/in/north" {
						t.Errorf("cached under scope %q, want that of the region", place.Scope)
					}
					if _, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j, Attempted: []string{place.Target}}); err == nil {
						t.Error("a retry is placed outside the region")
					}
				})
			}
		}
	}
}

// TestRegionsByHub has a hub place a limited request, and a box reject a placement by a hub
// that does not know of regions.
func TestRegionsByHub(t *testing.T) {
	hub, spoke := twoRegions("box-00"), twoRegions("box-05")
	j := limitedJob("models", routing.Regions{"south"}, nil)
	effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: make(chan placementAnswer, 1)})
	request := effects[0].(askHub).ask
	got := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &request}).PlacementResponse
	if got == nil || got.Target != "e-z" {
		t.Errorf("the hub places on %+v", got)
	}
	if _, ok := spoke.acceptHubPlace(start, &spoke.tables, deliver.PlacementRequest{Job: j}, &peer.PlacementResponse{Target: "e-a", Version: 1}); ok {
		t.Error("a placement in another region is accepted")
	}
}

// TestNoRegion refuses a request at once if no target can lie in an allowed region.
func TestNoRegion(t *testing.T) {
	tests := []struct {
		name           string
		route, account routing.Regions
		refused        bool
	}{
		{"no limit", nil, nil, false},
		{"a known region", routing.Regions{"south"}, nil, false},
		{"an empty list", routing.Regions{}, nil, true},
		{"an unknown region", routing.Regions{"nowhere"}, nil, true},
		{"an empty name", routing.Regions{""}, nil, true},
		{"nothing in common", routing.Regions{"north"}, routing.Regions{"south"}, true},
	}
	for _, tt := range tests {
		for _, pool := range []string{"models", "orders"} {
			t.Run(tt.name+"/"+pool, func(t *testing.T) {
				d := twoRegions("box-00")
				reply := make(chan placementAnswer, 1)
				d.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: limitedJob(pool, tt.route, tt.account)}, reply: reply})
				answer := <-reply
				var refused *refusal.Refusal
				if errors.As(answer.err, &refused) != tt.refused {
					t.Fatalf("got %+v", answer)
				}
				if tt.refused && (refused.Code != codeRegion || refused.Outcome != refusal.DidNotRun || refused.RetryAfter != retryafter.MaxOutage) {
					t.Errorf("refused %+v", refused)
				}
			})
		}
	}
}
