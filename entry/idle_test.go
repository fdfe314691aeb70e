package entry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// idleFleet returns the daemon of one box of a fleet without work, whose targets have the
// newest weights.
func idleFleet(name string, boxes, targets int) *Daemon {
	d := newDaemon(name)
	for i := range boxes {
		m := &member{address: netip.MustParseAddrPort("10.0.0.1:1"), domain: "a", share: weakShare}
		if i < 2 {
			m.share = hubShare
		}
		d.tables.members[fmt.Sprintf("box-%04d", i)] = m
	}
	d.tables.membersKnown = true
	d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}}})
	var list []fleet.Entry
	for i := range targets {
		list = append(list, engine(fmt.Sprintf("i-%05d", i), 1))
	}
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: list}, false})
	d.updateRole(start, &d.tables)
	return d
}

// allocated returns the bytes that a box allocates per tick without work.
func allocated(d *Daemon) uint64 {
	const ticks = 50
	now := start
	pass := func() {
		now = now.Add(tick)
		for _, system := range d.systems {
			system(now, &d.tables)
		}
		d.gossipPartners(now, &d.tables)
	}
	for range 2 * time.Second / tick {
		pass()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range ticks {
		pass()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / ticks
}

// TestIdleTick checks that the allocations of a tick without work do not grow with the number
// of targets or boxes.
func TestIdleTick(t *testing.T) {
	tests := []struct {
		name, box string
		// targets is the count in the small fleet: of more than these a hub watches 512.
		targets int
	}{
		{"a hub", "box-0000", 1000},
		{"another box", "box-0007", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			small, large := allocated(idleFleet(tt.box, 50, tt.targets)), allocated(idleFleet(tt.box, 800, 8000))
			t.Logf("%d bytes a tick at %d targets, %d at 8,000", small, tt.targets, large)
			if large > 2*small+4096 {
				t.Errorf("%d bytes a tick at %d targets and 50 boxes, %d at 8,000 and 800", small, tt.targets, large)
			}
		})
	}
}

// BenchmarkTick measures a tick without work.
func BenchmarkTick(b *testing.B) {
	for _, targets := range []int{100, 1000, 10000} {
		for _, name := range []string{"box-0000", "box-0007"} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				d := idleFleet(name, targets/10, targets)
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(tick)
					for _, system := range d.systems {
						system(now, &d.tables)
					}
				}
			})
		}
	}
}
