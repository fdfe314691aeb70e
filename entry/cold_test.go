package entry

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// coldRate is the rate that a cold engine takes in these tests, as in the platform's pool of
// 60.
const coldRate = 18

// withCold gives a box engines of which some are cold for 3 s, and a configuration in which
// that matters.
func withCold(d *Daemon, warm, coldOnes int) *Daemon {
	table := configuration(1)
	for _, p := range table.Pools {
		p.ColdRate, p.ColdFor = coldRate, 3*time.Second
	}
	d.current.Store(table)
	bounds := *d.bounds.Load()
	bounds.ColdFactor, bounds.ColdExtra = 1.5, 5
	d.bounds.Store(&bounds)
	d.tables.membersKnown = true
	if len(d.tables.members) == 0 {
		d.tables.members[d.Settings.Name] = &member{domain: "a", share: 1}
	}
	for i := range warm + coldOnes {
		e := engine(fmt.Sprintf("i-%02d", i), 1)
		e.Address, e.Domain = netip.MustParseAddrPort("10.0.0.1:1"), "a"
		if i >= warm {
			e.Cold = 3 * time.Second
		}
		d.listTarget(start, &d.tables, e)
	}
	return d
}

// placed places requests at the same moment and counts them by target.
func placed(d *Daemon, now time.Time, n int) (byTarget map[string]int, refused map[string]int) {
	byTarget, refused = make(map[string]int), make(map[string]int)
	for range n {
		j := job("short", 100)
		j.Pool = d.current.Load().Pools[j.Pool.Name]
		place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: j})
		if err != nil {
			refused[refusal.Of(err, "", 0).Code]++
			continue
		}
		byTarget[place.Target]++
	}
	return byTarget, refused
}

// TestColdDomainReturns has a domain's engines return together, cold and empty. Each of four
// hubs places 120 requests in one second, which would all go to the cold engines if the
// cheapest one took each.
func TestColdDomainReturns(t *testing.T) {
	sum := make(map[string]int)
	warm := 0
	for _, name := range []string{"box-00", "box-01", "box-10", "box-11"} {
		d := withCold(largeFleet(name), 4, 2)
		for _, id := range []string{"i-00", "i-01", "i-02", "i-03"} {
			d.tables.fleet.Target(id).Tokens = 5000 // Requests in flight.
		}
		for ms := 0; ms < 1000; ms += 10 {
			got, refused := placed(d, start.Add(time.Duration(ms)*time.Millisecond), 1)
			if len(refused) > 0 {
				t.Fatalf("%s refuses: %v", name, refused)
			}
			for id, n := range got {
				if id < "i-04" {
					warm += n
					continue
				}
				sum[id] += n
			}
		}
	}
	for id, n := range sum {
		if n > 24 {
			t.Errorf("%s, which is cold, gets %d requests of four hubs in a second", id, n)
		}
	}
	if len(sum) != 2 || sum["i-04"]+sum["i-05"] < 36 {
		t.Errorf("the cold engines get %v: their rate is not used", sum)
	}
	if warm < 300 {
		t.Errorf("the warm engines get %d", warm)
	}
}

// TestCold lists what makes an engine cold, and which boxes may send to a cold one.
func TestCold(t *testing.T) {
	reset := errors.New("reset")
	tests := []struct {
		name string
		box  string
		do   func(d *Daemon)
		at   time.Duration
		want int
	}{
		{"a hub's share", "box-00", nil, 0, 6},
		{"warm after the time given", "box-00", nil, 3 * time.Second, 40},
		{"an entry with a longer time", "box-00", func(d *Daemon) {
			e := engine("i-00", 1)
			e.Cold = 5 * time.Second
			d.listTarget(start, &d.tables, e)
		}, 4 * time.Second, 6},
		{"an entry without a time", "box-00", func(d *Daemon) { d.listTarget(start, &d.tables, engine("i-00", 1)) }, 0, 40},
		{"a box that is no hub", "box-05", nil, 0, 0},
		{"a box that is asked as a hub", "box-05", func(d *Daemon) {
			d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "box-06"})
			d.updateRole(start, &d.tables)
		}, 0, 0},
		{"a box that does not know the others", "box-00", func(d *Daemon) { d.tables.membersKnown = false }, 0, 0},
		{"cache events that broke off", "box-00", func(d *Daemon) {
			d.tables.watched["i-00"] = func() {}
			d.cacheEventsRead(start.Add(time.Second), &d.tables, cacheEventsRead{source: "i-00", err: reset})
		}, 9 * time.Second, 6},
		{"cache events that go on", "box-00", func(d *Daemon) {
			d.tables.watched["i-00"] = func() {}
			d.cacheEventsRead(start.Add(time.Second), &d.tables, cacheEventsRead{source: "i-00", events: CacheEvents{Epoch: 1}})
			d.cacheEventsRead(start.Add(time.Second), &d.tables, cacheEventsRead{source: "i-00", err: reset})
			d.cacheEventsRead(start.Add(2*time.Second), &d.tables, cacheEventsRead{source: "i-00", events: CacheEvents{Epoch: 1}})
		}, 9 * time.Second, 40},
		{"an evacuation that is over", "box-00", func(d *Daemon) {
			d.evacuate(start.Add(4*time.Second), &d.tables, "a", true, "test")
			d.evacuate(start.Add(5*time.Second), &d.tables, "a", false, "test")
		}, 7 * time.Second, 6},
		{"and some time later", "box-00", func(d *Daemon) {
			d.evacuate(start.Add(4*time.Second), &d.tables, "a", true, "test")
			d.evacuate(start.Add(5*time.Second), &d.tables, "a", false, "test")
		}, 8 * time.Second, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withCold(largeFleet(tt.box), 0, 1)
			if tt.do != nil {
				tt.do(d)
			}
			got, refused := placed(d, start.Add(tt.at), 40)
			if got["i-00"] != tt.want {
				t.Errorf("%d of 40 requests go to the engine, want %d; refused %v", got["i-00"], tt.want, refused)
			}
			if n := 40 - tt.want; refused["warming"] != n {
				t.Errorf("refused %v, want %d as it warms up", refused, n)
			}
		})
	}
}

// TestColdService has a service's only target restart, as shown by its entry or by failed
// requests. Boxes that share it keep to their shares.
func TestColdService(t *testing.T) {
	tests := []struct {
		name string
		do   func(x *fleet.Target)
		want int
	}{
		{"warm", func(*fleet.Target) {}, 40},
		{"cold by its entry", func(x *fleet.Target) { x.ColdUntil = start.Add(time.Second) }, 2},
		{"not reached", func(x *fleet.Target) { x.Fail(start.Add(-time.Second)) }, 2},
		{"reached again", func(x *fleet.Target) { x.Fail(start.Add(-4 * time.Second)); x.Heard(start.Add(-time.Second)) }, 2},
		{"reached again for long", func(x *fleet.Target) { x.Fail(start.Add(-9 * time.Second)); x.Heard(start.Add(-4 * time.Second)) }, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := withCold(largeFleet("box-05"), 0, 0)
			d.tables.fleet.Upsert(start.Add(-time.Minute), fleet.Entry{ID: "s", Pool: "orders", Domain: "a", Slots: 9})
			x := d.tables.fleet.Target("s")
			tt.do(x)
			n := 0
			for range 40 {
				request := deliver.PlacementRequest{Job: &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{}, Pool: d.current.Load().Pools["orders"]}}
				if _, err := d.place(start, &d.tables, request); err == nil {
					n++
				}
			}
			if tt.want == 2 && (n < 1 || n > 2) || tt.want != 2 && n != tt.want {
				t.Errorf("%d of 40 are sent, want %d", n, tt.want)
			}
		})
	}
}

// TestColdInHubView checks that spokes learn which targets are cold.
func TestColdInHubView(t *testing.T) {
	hub, spoke := withCold(largeFleet("box-00"), 1, 1), largeFleet("box-05")
	hub.tables.beginList()
	spoke.applyHubEntries(start, &spoke.tables, hub.view(start.Add(time.Second), &hub.tables, changelog.Cursor{}).Entries)
	for id, want := range map[string]bool{"i-00": false, "i-01": true} {
		if x := spoke.tables.fleet.Target(id); x == nil || x.Cold(start.Add(time.Second)) != want {
			t.Errorf("%s: cold %v", id, !want)
		}
	}
}
