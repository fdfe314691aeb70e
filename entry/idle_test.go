package entry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// idleFleet makes a daemon one of a fleet that has nothing to do, with targets that have the
// newest weights.
func idleFleet(name string, boxes, targets int) *Daemon {
	d := newDaemon(name)
	for i := range boxes {
		m := &member{address: netip.MustParseAddrPort("10.0.0.1:1"), domain: "a", share: weakShare}
		if i < 2 {
			m.share = emulatedShare
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

// allocated returns the bytes that a box allocates in one tick with nothing to do.
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

// TestIdleTick has boxes of a small and of a large fleet do nothing: what a tick costs them
// does not grow with the targets that stand there, nor with the boxes.
func TestIdleTick(t *testing.T) {
	tests := []struct {
		name, box string
		// targets is how many the small fleet has: a hub follows 512 of more than these.
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

// BenchmarkTick is a tick with nothing to do.
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
