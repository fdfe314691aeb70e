package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestHubsOfOtherDomainsFirst guards against a box that becomes a hub, and takes on more work
// than it bears, because both hubs of its domain are cut off or end, while hubs of other domains
// answer. Its domain must have a change in force in time, and a hub of its own again if its
// hubs stay away.
func TestHubsOfOtherDomainsFirst(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		fail func(w *emulator, hub string)
		// drafted means that other boxes of the domain become hubs in the end.
		drafted bool
	}{
		{"cut off from the table service", func(w *emulator, hub string) { w.tableServiceDown[hub] = true }, false},
		{"ended", func(w *emulator, hub string) { w.dead[hub] = true }, true},
	}
	for _, tt := range tests {
		for _, boxes := range []int{32, 84} {
			t.Run(fmt.Sprintf("%s, %d boxes", tt.name, boxes), func(t *testing.T) {
				w := emulate(boxes, 4, configuration(1))
				for _, d := range w.boxes { // All are strong enough to be hubs.
					for _, other := range w.boxes {
						d.tables.members[other.Settings.Name].share = max(other.Settings.Box.Share, 0.5)
					}
					d.tables.hubRanks = nil
					w.perform(d, d.updateRole(w.now, &d.tables))
				}
				w.advance(2*time.Second, nil)
				domain := w.boxes[0].Settings.Domain
				first := w.boxes[0].tables.rankedHubs(domain)[:hubsPerDomain]
				for _, hub := range first {
					tt.fail(w, hub)
				}
				drafted := func() string {
					for _, d := range w.boxes {
						if name := d.Settings.Name; d.Settings.Domain == domain && name != first[0] && name != first[1] && !d.spoke.Load() {
							return name
						}
					}
					return ""
				}
				w.writeOperator(func(o *Operator) { o.Table = configuration(2) })
				w.advance(appliedWithin, func() {
					if name := drafted(); name != "" {
						t.Fatalf("%s became a hub", name)
					}
				})
				for _, d := range w.boxes {
					if name := d.Settings.Name; d.spoke.Load() && (d.version() != 2 || d.provedAgo(w.now) > viewTTL) {
						t.Errorf("%s has version %d, proved %v ago", name, d.version(), d.provedAgo(w.now))
					}
				}
				w.advance(hubGoneAfter+time.Second, nil)
				if got := drafted() != ""; got != tt.drafted {
					t.Errorf("a box became a hub after %v: %v", hubGoneAfter, got)
				}
			})
		}
	}
}

// strengthen makes all boxes strong enough to be hubs.
func (w *emulator) strengthen() {
	for _, d := range w.boxes {
		for _, other := range w.boxes {
			d.tables.members[other.Settings.Name].share = max(other.Settings.Box.Share, hubMinShare)
		}
		d.tables.hubRanks = nil
		w.perform(d, d.updateRole(w.now, &d.tables))
	}
}

// TestBusyHubsDraftNobody guards against a box that, as all hubs leave its requests for placements
// unanswered for a moment, asks a box of its own domain, which then reads all sources and falls
// behind. If the hubs stay silent, other boxes have to become hubs.
func TestBusyHubsDraftNobody(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// every is the time between two calls without an answer, for how long they are made.
		every, lasts time.Duration
		drafts       bool
	}{
		{"missed two calls each within a second", 40 * time.Millisecond, time.Second, false},
		{"missed for two seconds", 40 * time.Millisecond, 2 * time.Second, false},
		{"silent for five seconds", 40 * time.Millisecond, 5 * time.Second, true},
	}
	for _, tt := range tests {
		for _, boxes := range []int{32, 84} {
			t.Run(fmt.Sprintf("%s, %d boxes", tt.name, boxes), func(t *testing.T) {
				t.Parallel()
				w := emulate(boxes, 4, configuration(1))
				w.strengthen()
				w.advance(2*time.Second, nil)
				domain := w.boxes[0].Settings.Domain
				ranked := w.boxes[0].tables.rankedHubs(domain)
				d, hubs := w.byName[ranked[hubsPerDomain+maxOwnHubs]], w.boxes[0].tables.hubs()
				drafted := ""
				for now := w.now; now.Sub(w.now) < tt.lasts; now = now.Add(tt.every) {
					hub := d.placementHub(now, &d.tables, "models", nil)
					if hub == "" {
						continue
					}
					if !slices.Contains(hubs, hub) {
						drafted = hub
						break
					}
					d.hubFailed(now, &d.tables, hub, context.DeadlineExceeded)
				}
				if (drafted != "") != tt.drafts {
					t.Errorf("asked to become a hub: %q", drafted)
				}
			})
		}
	}
}
