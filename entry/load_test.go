package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
)

// TestLoadEndsWithTarget has a target leave the list, be replaced, or restart under its ID
// while a request of this box runs there. Its load is no longer reported, and that of the next
// incarnation starts at zero.
func TestLoadEndsWithTarget(t *testing.T) {
	startedAt := start.Add(-time.Hour)
	tests := []struct {
		name string
		goes func(d *Daemon)
	}{
		{"gone", func(d *Daemon) { d.update(start, targetsRead{start, Targets{Removed: []string{"a"}}, false}) }},
		{"replaced", func(d *Daemon) {
			d.dropReplaced(start, &d.tables, fleet.Incarnation{ID: "a", StartedAt: startedAt}, "a test")
		}},
		{"started again", func(d *Daemon) {
			e := engine("a", 1)
			e.StartedAt = start
			d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{e}}, false})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			e := engine("a", 1)
			e.StartedAt = startedAt
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{e}}, false})
			d.tables.countSent(start, deliver.Placement{Target: "a", StartedAt: startedAt, PlacedAt: start, Tokens: 500})
			if got := d.tables.ownLoads(start); len(got) != 1 || got[0].Tokens != 500 {
				t.Fatalf("reported %+v while the request runs", got)
			}
			tt.goes(d)
			if got := d.tables.ownLoads(start); len(got) != 0 {
				t.Errorf("reported %+v after that", got)
			}
		})
	}
}
