package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

const (
	// lateRevokedWithin is the bound for a key that was taken away.
	lateRevokedWithin = 5 * time.Second
	// lateFor is how long the reads of late boxes are held back after a change.
	lateFor = 7 * time.Second
	// lateStep is the interval between two rounds of requests to all boxes.
	lateStep = 4 * emulatorStep
)

// lateTable is the configuration before (version 1) or after (version 2) the operator's change.
func lateTable(version int64) *routing.Table {
	pool := "old"
	accounts := []*routing.Account{{Name: "a", Keys: []string{"good", "taken"}}}
	names := []string{"stays", "moved", "dropped"}
	if version > 1 {
		pool = "new"
		accounts[0].Keys = accounts[0].Keys[:1]
		names = []string{"stays", "moved", "added"}
	}
	var routes []*routing.Route
	for _, name := range names {
		for _, open := range []bool{false, true} {
			served := "old"
			if name == "moved" {
				served = pool
			}
			routes = append(routes, &routing.Route{
				Name: fmt.Sprint(name, open), Host: "h", Prefix: fmt.Sprintf("/%s/%v/", name, open), Attempts: 1, Open: open,
				Shares: []routing.Share{{Pool: served, Weight: 1}},
			})
		}
	}
	return routing.New(version, routes, []*routing.Pool{{Name: "old"}, {Name: "new"}}, accounts)
}

// lateRequests are requests that a box treats differently by the configuration before the change,
// where they ran in the pool old or were refused with a status.
var lateRequests = []struct {
	name, key, path string
	status          int
	within          time.Duration
	// open requests need no key.
	open bool
}{
	{"a key taken away", "taken", "/stays/false/", http.StatusOK, appliedWithin, false},
	{"a key taken away, revocation", "taken", "/stays/false/", http.StatusOK, lateRevokedWithin, false},
	{"an open route dropped", "", "/dropped/true/", http.StatusOK, appliedWithin, true},
	{"a keyed route dropped", "good", "/dropped/false/", http.StatusOK, appliedWithin, false},
	{"an open route moved", "", "/moved/true/", http.StatusOK, appliedWithin, true},
	{"a keyed route moved", "good", "/moved/false/", http.StatusOK, appliedWithin, false},
	{"an open route added", "", "/added/true/", http.StatusNotFound, appliedWithin, true},
	{"a keyed route added", "good", "/added/false/", http.StatusNotFound, appliedWithin, false},
}

// lateFleet is an emulated fleet some of whose boxes get no answers to their reads.
type lateFleet struct {
	*emulator
	// placed is the pool that the last request was placed in.
	placed string
}

func newLateFleet(boxes, domains int) *lateFleet {
	f := &lateFleet{emulator: emulate(boxes, domains, lateTable(1))}
	for _, d := range f.boxes {
		bounds := *d.bounds.Load()
		bounds.AppliedWithin, bounds.RevokedWithin = appliedWithin, lateRevokedWithin
		d.bounds.Store(&bounds)
		d.server.Now, d.server.RecordOutcome, d.server.MinAnswerTime = d.now, func(deliver.Outcome) {}, nil
		d.server.Place = func(_ context.Context, r deliver.PlacementRequest) (deliver.Placement, error) {
			f.placed = r.Job.Pool.Name
			return deliver.Placement{}, refusal.New(refusal.DidNotRun, http.StatusOK, "placed", "")
		}
	}
	f.advance(2*time.Second, nil)
	return f
}

// ask sends a box a request. It returns the status, 200 if it was placed, and the pool.
func (f *lateFleet) ask(d *Daemon, key, path string) (int, string) {
	f.placed = ""
	call := &deliver.Call{ID: "r", Method: http.MethodGet, Host: "h", Path: path, Key: key, Body: strings.NewReader(""), Received: f.now}
	status := refusal.Of(d.server.Serve(context.Background(), httptest.NewRecorder(), call), refusal.DidNotRun, 0).Status
	return status, f.placed
}

// hubNames lists the hubs of the fleet; the last one by name reads for the others.
func (f *lateFleet) hubNames() []string {
	var names []string
	for _, d := range f.boxes {
		if !d.spoke.Load() && !f.dead[d.Settings.Name] {
			names = append(names, d.Settings.Name)
		}
	}
	return names
}

// ofDomain lists the boxes of the first domain, its hubs last.
func (f *lateFleet) ofDomain() []string {
	var names, hubs []string
	for _, d := range f.boxes {
		switch {
		case d.Settings.Domain != f.boxes[0].Settings.Domain:
		case d.spoke.Load():
			names = append(names, d.Settings.Name)
		default:
			hubs = append(hubs, d.Settings.Name)
		}
	}
	return append(names, hubs...)
}

// allBoxes lists all boxes.
func (f *lateFleet) allBoxes() []string {
	var names []string
	for _, d := range f.boxes {
		names = append(names, d.Settings.Name)
	}
	return names
}

// newHub ends the hubs of the first domain and returns the box that becomes a hub in their place.
func (f *lateFleet) newHub(t *testing.T) []string {
	t.Helper()
	domain := f.boxes[0].Settings.Domain
	first := f.boxes[0].tables.rankedHubs(domain)[:hubsPerDomain]
	f.strengthen()
	for _, name := range first {
		f.dead[name] = true
	}
	for end := f.now.Add(hubGoneAfter + 5*time.Second); f.now.Before(end); {
		f.advance(emulatorStep, nil)
		for _, d := range f.boxes {
			if d.Settings.Domain == domain && !f.dead[d.Settings.Name] && !d.spoke.Load() {
				return []string{d.Settings.Name}
			}
		}
	}
	t.Fatal("no box became a hub")
	return nil
}

// TestLateReads guards against a box that hears from other boxes, but whose own reads come late,
// and that goes on by an old configuration for longer than allowed.
func TestLateReads(t *testing.T) {
	t.Parallel()
	none := func(*testing.T, *lateFleet) []string { return nil }
	oneOf := func(n int) func(*testing.T, *lateFleet) []string {
		return func(_ *testing.T, f *lateFleet) []string { return f.allBoxes()[n : n+1] }
	}
	reader := func(_ *testing.T, f *lateFleet) []string { hubs := f.hubNames(); return hubs[len(hubs)-1:] }
	otherHub := func(_ *testing.T, f *lateFleet) []string { return f.hubNames()[:1] }
	otherHubs := func(_ *testing.T, f *lateFleet) []string { hubs := f.hubNames(); return hubs[:len(hubs)-1] }
	spoke := func(_ *testing.T, f *lateFleet) []string { return f.ofDomain()[:1] }
	domainButOne := func(_ *testing.T, f *lateFleet) []string { return f.ofDomain()[1:] }
	newHub := func(t *testing.T, f *lateFleet) []string { t.Helper(); return f.newHub(t) }
	small, large := []int{6}, []int{32, 84}
	tests := []struct {
		name  string
		boxes []int
		late  func(t *testing.T, f *lateFleet) []string
		// restored means that the table service is restored right before the change.
		restored bool
	}{
		{"none", []int{6, 32, 84}, none, false},
		{"the first box, without spokes", small, oneOf(0), false},
		{"the last box, without spokes", small, oneOf(5), false},
		{"all boxes of a domain but one", []int{6, 32, 84}, domainButOne, false},
		{"a spoke", large, spoke, false},
		{"the hub that reads for the others", large, reader, false},
		{"another hub", large, otherHub, false},
		{"all hubs but the one that reads for the others", large, otherHubs, false},
		{"a box that becomes a hub", large, newHub, false},
		{"none, after a restore", []int{6, 32, 84}, none, true},
		{"the first box, without spokes, after a restore", small, oneOf(0), true},
		{"a spoke, after a restore", large, spoke, true},
		{"the hub that reads for the others, after a restore", large, reader, true},
		{"another hub, after a restore", large, otherHub, true},
		{"a box that becomes a hub, after a restore", large, newHub, true},
	}
	for _, tt := range tests {
		for _, boxes := range tt.boxes {
			t.Run(fmt.Sprintf("%s, %d boxes", tt.name, boxes), func(t *testing.T) {
				t.Parallel()
				f := newLateFleet(boxes, 2+boxes/16)
				last := f.changeLate(tt.late(t, f), tt.restored)
				for i, r := range lateRequests {
					t.Run(r.name, func(t *testing.T) {
						for _, d := range f.boxes {
							if took, broke := last[i][d.Settings.Name]; broke {
								t.Errorf("%s (late %v, spoke %v) goes by the old configuration up to %v after the change, allowed %v", d.Settings.Name, f.tableServiceDown[d.Settings.Name], d.spoke.Load(), took, r.within)
							}
						}
					})
				}
			})
		}
	}
}

// changeLate has boxes' reads held back, changes the configuration and asks all boxes until
// lateFor has passed. It returns by request and box how long after the change one was last treated
// by the old configuration for longer than allowed.
func (f *lateFleet) changeLate(late []string, restored bool) []map[string]time.Duration {
	for _, name := range late {
		f.tableServiceDown[name] = true
	}
	if restored {
		f.restore(5, f.rows.Snapshot())
	}
	f.writeOperator(func(o *Operator) { o.Table = lateTable(2) })
	changed := f.now
	last := make([]map[string]time.Duration, len(lateRequests))
	for i := range last {
		last[i] = make(map[string]time.Duration)
	}
	for f.now.Sub(changed) < lateFor {
		f.advance(lateStep, nil)
		after := f.now.Sub(changed)
		for i, r := range lateRequests {
			for _, d := range f.boxes {
				if after <= r.within || f.dead[d.Settings.Name] {
					continue
				}
				if status, pool := f.ask(d, r.key, r.path); status == r.status && pool != "new" {
					last[i][d.Settings.Name] = after
				}
			}
		}
	}
	return last
}

// TestServedWhileAllLate guards against refusing callers for a change that no box can know of:
// all boxes' reads are late, or nobody changed anything and the table service is away.
func TestServedWhileAllLate(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		changed bool
	}{
		{"a change", true},
		{"no change", false},
	}
	for _, tt := range tests {
		for _, boxes := range []int{6, 32, 84} {
			t.Run(fmt.Sprintf("%s, %d boxes", tt.name, boxes), func(t *testing.T) {
				t.Parallel()
				f := newLateFleet(boxes, 2+boxes/16)
				for _, name := range f.allBoxes() {
					f.tableServiceDown[name] = true
				}
				if tt.changed {
					f.writeOperator(func(o *Operator) { o.Table = lateTable(2) })
				}
				changed := f.now
				for f.now.Sub(changed) < lateFor {
					f.advance(lateStep, nil)
					f.checkServed(t, f.now.Sub(changed))
				}
			})
		}
	}
}

// checkServed checks what boxes that have read nothing for some time must serve and refuse.
func (f *lateFleet) checkServed(t *testing.T, after time.Duration) {
	t.Helper()
	for _, d := range f.boxes {
		for _, r := range lateRequests {
			if r.status != http.StatusOK {
				continue
			}
			status, _ := f.ask(d, r.key, r.path)
			// A proof is up to viewTTL old when the reads stop.
			must := r.open || after <= lateRevokedWithin-proofMargin-viewTTL
			if must && status != http.StatusOK {
				t.Errorf("%s answers %d to %s after %v", d.Settings.Name, status, r.name, after)
			}
			if !r.open && after >= lateRevokedWithin && status == http.StatusOK {
				t.Errorf("%s serves %s after %v", d.Settings.Name, r.name, after)
			}
		}
	}
}
