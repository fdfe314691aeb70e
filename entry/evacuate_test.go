package entry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/routing"
)

// boxWithThreeDomains returns a box with one target of a service in each of three domains.
func boxWithThreeDomains() *Daemon {
	d := newDaemon("box")
	for _, domain := range []string{"a", "b", "c"} {
		d.tables.fleet.Upsert(start, fleet.Entry{ID: "i-" + domain, Pool: "orders", Domain: domain, Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 4})
	}
	return d
}

// placedDomains places some requests and returns the domains that they were placed in.
func placedDomains(d *Daemon, now time.Time) []string {
	used := make(map[string]bool)
	for range 12 {
		request := deliver.PlacementRequest{Job: &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{}, Pool: &routing.Pool{Name: "orders"}}}
		place, err := d.place(now, &d.tables, request)
		if err != nil {
			return nil
		}
		used[place.Target] = true
	}
	var list []string
	for id := range used {
		list = append(list, id[2:])
	}
	slices.Sort(list)
	return list
}

// TestEvacuate evacuates domains and revokes that, by the operator's own rows and by a hub's
// view, and checks which domains get work.
func TestEvacuate(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	own := func(seconds int, whole bool, rows map[string]bool) func(*Daemon) {
		return func(d *Daemon) {
			d.operatorRead(at(seconds), &d.tables, operatorRead{at(seconds), Operator{Evacuations: rows, Snapshot: whole}})
		}
	}
	hub := func(seconds int, domains ...string) func(*Daemon) {
		return func(d *Daemon) { d.applyHubEvacuations(at(seconds), &d.tables, "hub", at(seconds), domains) }
	}
	enters := func(domain string) func(*Daemon) {
		return func(d *Daemon) {
			d.tables.fleet.Upsert(start, fleet.Entry{ID: "j-" + domain, Pool: "orders", Domain: domain, Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 4})
		}
	}
	tests := []struct {
		name  string
		steps []func(*Daemon)
		want  []string
	}{
		{"nothing asked", []func(*Daemon){own(0, true, map[string]bool{})}, []string{"a", "b", "c"}},
		{"one", []func(*Daemon){own(0, false, map[string]bool{"b": true})}, []string{"a", "c"}},
		{"revoked by the operator", []func(*Daemon){own(0, false, map[string]bool{"b": true}), own(1, false, map[string]bool{"b": false})}, []string{"a", "b", "c"}},
		{"revoked unnoticed", []func(*Daemon){own(0, false, map[string]bool{"b": true}), own(1, true, map[string]bool{})}, []string{"a", "b", "c"}},
		{"a change elsewhere", []func(*Daemon){own(0, false, map[string]bool{"b": true}), own(1, false, map[string]bool{"a": true})}, []string{"c"}},
		{"a target that comes later", []func(*Daemon){own(0, false, map[string]bool{"b": true}), enters("b")}, []string{"a", "c"}},
		{"an unknown domain", []func(*Daemon){own(0, false, map[string]bool{"x": true})}, []string{"a", "b", "c"}},
		{"all", []func(*Daemon){own(0, false, map[string]bool{"a": true, "b": true, "c": true})}, nil},
		{"by a hub", []func(*Daemon){hub(0, "a")}, []string{"b", "c"}},
		{"revoked by a hub", []func(*Daemon){hub(0, "a"), hub(1)}, []string{"a", "b", "c"}},
		{"a hub with an older proof", []func(*Daemon){own(2, false, map[string]bool{"a": true}), hub(1)}, []string{"b", "c"}},
		{"a configuration from a hub", []func(*Daemon){hub(0, "a"), own(1, false, nil)}, []string{"b", "c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxWithThreeDomains()
			for _, step := range tt.steps {
				step(d)
			}
			if got := placedDomains(d, at(3)); !slices.Equal(got, tt.want) {
				t.Errorf("work goes to %v, want %v", got, tt.want)
			}
		})
	}
}

// TestEvacuationInView shows that a hub's view contains evacuations, and that a box rejects a
// hub's placement in a domain that it knows to be evacuated.
func TestEvacuationInView(t *testing.T) {
	d := boxWithThreeDomains()
	d.tables.fleet.Evacuate("b", true)
	if v := d.view(start, &d.tables, changelog.Cursor{}); !slices.Equal(v.Evacuated, []string{"b"}) {
		t.Errorf("the view names %v", v.Evacuated)
	}
	request := deliver.PlacementRequest{Job: &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{}, Pool: &routing.Pool{Name: "orders"}}}
	if _, ok := d.acceptHubPlace(start, &d.tables, request, &peer.PlacementResponse{Target: "i-b"}); ok {
		t.Error("a placement in an evacuated domain is accepted")
	}
}

// TestEvacuationsUnknown checks how long a box goes on without a proof of the operator's rows:
// for the bound and the time by which it may be stretched.
func TestEvacuationsUnknown(t *testing.T) {
	tests := []struct {
		within, stretch, ago time.Duration
		served               bool
	}{
		{5 * time.Second, 6 * time.Second, 10 * time.Second, true},
		{5 * time.Second, 6 * time.Second, 11 * time.Second, false},
		{5 * time.Second, 0, 5 * time.Second, false},
		{0, 6 * time.Second, time.Hour, true},
	}
	for _, tt := range tests {
		d := boxWithThreeDomains()
		bounds := *d.bounds.Load()
		bounds.EvacuatedWithin, bounds.Stretch = tt.within, tt.stretch
		d.bounds.Store(&bounds)
		proved := start
		d.current.setProvedAt(proved)
		if served := placedDomains(d, start.Add(tt.ago)) != nil; served != tt.served {
			t.Errorf("bound %v and %v, proof %v old: served %v", tt.within, tt.stretch, tt.ago, served)
		}
	}
}
