package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/throughput"
)

// TestSlowSource checks that a box learns from its own requests and from other boxes that
// transfers from a source are slow, and reports what it observed itself.
func TestSlowSource(t *testing.T) {
	const move, took = 80 * time.Millisecond, 800 * time.Millisecond
	source := placement.Hash("large")
	own := func(d *Daemon) {
		d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
		for range 5 {
			d.update(start.Add(took), answerBegan{deliver.Placement{Target: "a", Scope: "m@1", PlacedAt: start, Transfers: []throughput.Transfer{{Source: source, Expected: move}}}})
		}
	}
	tests := []struct {
		name        string
		observe     func(d *Daemon)
		least, most float64
		reports     bool
	}{
		{"nothing was seen", func(*Daemon) {}, 1, 1, false},
		{"own requests waited", own, 5, 20, true},
		{"another box's requests waited", func(d *Daemon) {
			d.tables.members["b2"] = &member{}
			d.tables.receiveLoads(start, "b2", []peer.TargetLoad{{Target: source, ExpectedMS: 400, ActualMS: 4000}})
		}, 5, 20, false},
		{"own requests waited, many of another box's did not", func(d *Daemon) {
			own(d)
			d.tables.members["b2"] = &member{}
			d.tables.receiveLoads(start, "b2", []peer.TargetLoad{{Target: source, ExpectedMS: 8000, ActualMS: 8000}})
		}, 1, 2, true},
		{"a request of a plain service", func(d *Daemon) {
			d.update(start.Add(took), answerBegan{deliver.Placement{Target: "a", PlacedAt: start, Transfers: []throughput.Transfer{{Source: source, Expected: move}}}})
		}, 1, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			tt.observe(d)
			now := start.Add(took)
			if got := d.tables.slowdown(now, "large"); got < tt.least || got > tt.most {
				t.Errorf("slowdown %.1f, want %.1f to %.1f", got, tt.least, tt.most)
			}
			if reports := len(d.tables.ownLoads(now)) > 0; reports != tt.reports {
				t.Errorf("reports it: %v", reports)
			}
		})
	}
}
