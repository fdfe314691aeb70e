package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
)

// targetCounts are the numbers of targets that hubs gossip: those of known deployments, and
// the largest required.
var targetCounts = []int{60, 300, 600, 3000}

// hubWithTargets is a hub that knows the given number of engines.
func hubWithTargets(targets int) *Daemon {
	d := largeFleet("box-00")
	d.now = func() time.Time { return start }
	var list []fleet.Entry
	for i := range targets {
		e := engine(fmt.Sprintf("i-%010x", i), 3)
		e.Domain, e.Slots = "quezon", 64
		e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8744)
		list = append(list, e)
	}
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: list}, false})
	return d
}

// BenchmarkView measures a hub's view by number of targets, with their list sent as its first
// batch, as one change, and not at all, and a box's processing of it. Bytes are those on the
// wire.
func BenchmarkView(b *testing.B) {
	for _, n := range targetCounts {
		hub := hubWithTargets(n)
		for _, tt := range []struct {
			name string
			have changelog.Cursor
		}{{"whole", changelog.Cursor{}}, {"one changed", changelog.Cursor{Number: hub.tables.changes.Number() - 1}}, {"unchanged", changelog.Cursor{Number: hub.tables.changes.Number()}}} {
			b.Run(fmt.Sprintf("%s/%d", tt.name, n), func(b *testing.B) {
				var wire []byte
				for b.Loop() {
					var err error
					wire, err = cbor.Marshal(peer.Message{View: hub.view(start, &hub.tables, tt.have)})
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(wire)), "wire-bytes")
			})
		}
		b.Run(fmt.Sprintf("taken/%d", n), func(b *testing.B) {
			spoke := largeFleet("box-05")
			view := hub.view(start, &hub.tables, changelog.Cursor{})
			for b.Loop() {
				spoke.applyHubEntries(start, &spoke.tables, view.Entries)
			}
		})
	}
}

// BenchmarkTargetHints measures how long it takes to name targets in a placement request to a
// hub: those to which the box has idle connections (here all), and those that are excluded.
func BenchmarkTargetHints(b *testing.B) {
	for _, n := range targetCounts {
		for _, excluded := range []int{0, n / 10} {
			d := hubWithTargets(n)
			for i := range excluded {
				sendSignals(d, start, fleet.Incarnation{ID: fmt.Sprintf("i-%010x", i)}, signalsLeaving)
			}
			b.Run(fmt.Sprintf("%d of %d", excluded, n), func(b *testing.B) {
				for b.Loop() {
					d.targetHints(start, deliver.PlacementRequest{}, d.tables.fleet.Pool("models"))
				}
			})
		}
	}
}
