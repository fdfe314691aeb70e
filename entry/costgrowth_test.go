package entry

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// fleetCost is the cost of boxes in a fleet of some size, per second.
type fleetCost struct {
	boxes int
	// spoke and hub are the bytes that a spoke and a hub send, calls the calls of a box to the
	// table service, watched how many sources a hub watches.
	spoke, hub, calls, watched float64
}

// costOfFleet runs a fleet with ten engines per box in which each box places a request a second
// and two engines in 1,000 are replaced a second.
func costOfFleet(boxes int) fleetCost {
	const length = 5
	w := manyEngines(boxes, 10*boxes)
	for _, d := range w.boxes {
		d.Platform.HasIdleConnection = func(at netip.AddrPort) bool { return at.Addr().As4()[3] == byte(len(d.Settings.Name)) } // Few connections are idle.
	}
	w.advance(3*time.Second, nil)
	for _, c := range w.cost {
		*c = emulatorCost{watched: c.watched}
	}
	steps := 0
	for i := range length {
		for j := range max(boxes/50, 1) {
			k := i*boxes + j
			w.addTargets(engineAt(10*boxes + k))
			w.removeTargets(engineAt(k).ID)
		}
		w.advance(time.Second, func() {
			steps++
			for n, d := range w.boxes {
				if (n+steps)%int(time.Second/emulatorStep) == 0 {
					request := deliver.PlacementRequest{Job: job("short", 100)}
					w.perform(d, d.update(w.now, placementRequest{ctx: context.Background(), ask: request, reply: make(chan placementAnswer, 1)}))
				}
			}
		})
	}
	return w.costs(length)
}

// costs returns the means over boxes, per second.
func (w *emulator) costs(seconds float64) fleetCost {
	cost := fleetCost{boxes: len(w.boxes)}
	hubs, spokes := 0.0, 0.0
	for _, d := range w.boxes {
		c := w.cost[d.Settings.Name]
		cost.calls += float64(c.tableServiceCalls) / seconds / float64(len(w.boxes))
		if d.spoke.Load() {
			spokes++
			cost.spoke += float64(c.bytes) / seconds
			continue
		}
		hubs++
		cost.hub += float64(c.bytes) / seconds
		cost.watched = max(cost.watched, float64(c.watched))
	}
	cost.spoke /= spokes
	cost.hub /= hubs
	return cost
}

// growthExponent is the exponent with which a cost grows from one fleet size to another.
func growthExponent(small, large fleetCost, of func(fleetCost) float64) float64 {
	return math.Log(of(large)/of(small)) / math.Log(float64(large.boxes)/float64(small.boxes))
}

// TestCostGrowth checks how costs grow in fleets of 30, 100 and 300 boxes with the same work
// per box: the bytes that a spoke sends don't grow with the fleet, those that a hub sends grow
// no faster than its spokes, and the calls of a box to the table service fall.
func TestCostGrowth(t *testing.T) {
	t.Parallel()
	var all []fleetCost
	for _, boxes := range []int{30, 100, 300} {
		cost := costOfFleet(boxes)
		t.Logf("%d boxes: %.0f bytes a second sent by a spoke, %.0f by a hub, %.3f calls per box, %.0f sources watched", cost.boxes, cost.spoke, cost.hub, cost.calls, cost.watched)
		all = append(all, cost)
	}
	tests := []struct {
		what string
		of   func(fleetCost) float64
		most float64
	}{
		{"bytes sent by a spoke", func(a fleetCost) float64 { return a.spoke }, 0.15},
		{"bytes sent by a hub", func(a fleetCost) float64 { return a.hub }, 1.1},
		{"calls per box", func(a fleetCost) float64 { return a.calls }, 0},
	}
	for _, tt := range tests {
		for i := range all[1:] {
			name := fmt.Sprintf("%s, from %d to %d boxes", tt.what, all[i].boxes, all[i+1].boxes)
			if got := growthExponent(all[i], all[i+1], tt.of); got > tt.most {
				t.Errorf("%s: grows with exponent %.2f, want at most %.2f", name, got, tt.most)
			}
		}
	}
}

// BenchmarkFleet measures the cost of boxes in emulated fleets of up to 2,000 boxes. It is run by
// hand.
func BenchmarkFleet(b *testing.B) {
	for _, boxes := range []int{300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			var cost fleetCost
			for b.Loop() {
				cost = costOfFleet(boxes)
			}
			b.ReportMetric(cost.spoke, "plain-bytes/s")
			b.ReportMetric(cost.hub, "hub-bytes/s")
			b.ReportMetric(cost.calls, "calls/box/s")
			b.ReportMetric(cost.watched, "followed")
		})
	}
}
