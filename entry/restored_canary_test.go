package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/revision"
)

// TestCanaryAfterRestore guards against a canary rollout that restarts, or rejects its version
// by its own older row, after a restore lost the row and the spec was written again.
func TestCanaryAfterRestore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		percent int
		// copied and restored are when the copy is taken and when the table service comes back
		// from it, after the rollout was requested.
		copied, restored time.Duration
		want             canary.State
	}{
		{"good, before its row", 0, 0, 3 * time.Second, canary.Completed},
		{"good, with its row", 0, 2 * time.Second, 4 * time.Second, canary.Completed},
		{"good, while it is completed", 0, 6 * time.Second, 9 * time.Second, canary.Completed},
		{"good, after its end", 0, 5 * time.Second, 13 * time.Second, canary.Completed},
		{"bad, before its row", 50, 0, 1500 * time.Millisecond, canary.RolledBack},
		{"bad, after it was found out", 50, 2 * time.Second, 8 * time.Second, canary.RolledBack},
		{"bad, and its row is lost after that", 50, 0, 8 * time.Second, canary.RolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newCanaryFleet(3, 70)
			w.answer = w.badAnswers(tt.percent, false, 0, "")
			w.requestRollout("v2")
			w.advance(tt.copied, w.serve)
			copied, lost := w.rows.Snapshot(), w.version
			w.advance(tt.restored-tt.copied, w.serve)
			w.restore(min(w.version-lost+5, w.version-1), copied)
			w.advance(rolloutTime-tt.restored+6*time.Second, w.serve)
			if w.last() != tt.want {
				t.Errorf("reported %v, want %v at the end", w.canaryReports["orders"], tt.want)
			}
			if tt.percent > 0 && float64(w.canarySent) > 0.1*float64(w.sent)+50 {
				t.Errorf("a bad version got %d of %d requests", w.canarySent, w.sent)
			}
			if w.late > 0 || w.olderAfterCompletion > 0 {
				t.Errorf("%d requests came too late to the new version, %d to the older one after it was completed", w.late, w.olderAfterCompletion)
			}
			for _, d := range w.boxes {
				if c := d.tables.canaryOf("orders"); c == nil || c.state != tt.want || slices.Contains(c.barred, "v2") {
					t.Fatalf("%s has %+v", d.Settings.Name, c)
				}
			}
			if _, err := w.rows.Read(context.Background(), canaryPrefix+"orders"); err != nil {
				t.Errorf("its row is lost: %v", err)
			}
		})
	}
}

// TestCanarySpecRewritten guards against a rollout that stops because a restored table service
// lacks its spec until the operator has written it again.
func TestCanarySpecRewritten(t *testing.T) {
	spec := canary.Rollout{Pool: "orders", Version: "v2", Order: 50, Timeout: rolloutTime}
	again := spec
	again.Order = canary.OrderAt(revision.Revision{Restores: 1, Number: 41})
	tests := []struct {
		name    string
		then    map[string]*canary.Rollout
		after   time.Duration
		stopped bool
		// restored is when another restore is read; zero is never.
		restored time.Duration
	}{
		{"not yet", nil, operatorRewriteGrace - time.Millisecond, false, 0},
		{"requested again", map[string]*canary.Rollout{"orders": &again}, time.Minute, false, 0},
		{"not requested again", nil, operatorRewriteGrace, true, 0},
		{"not requested again after two restores", nil, operatorRewriteGrace, true, 2 * time.Second},
		{"taken back", map[string]*canary.Rollout{"orders": nil}, 0, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Snapshot: true, Canaries: map[string]*canary.Rollout{"orders": &spec}, Known: rev(50)}})
			d.update(start, operatorRead{start, Operator{Snapshot: true, Canaries: map[string]*canary.Rollout{}, Known: revision.Revision{Restores: 1, Number: 40}}})
			d.update(start, operatorRead{start, Operator{Canaries: tt.then, Known: revision.Revision{Restores: 1, Number: 41}}})
			if at := start.Add(tt.restored); tt.restored > 0 {
				d.update(at, operatorRead{at, Operator{Snapshot: true, Canaries: map[string]*canary.Rollout{}, Known: revision.Revision{Restores: 2, Number: 40}}})
			}
			d.sweep(start.Add(tt.after), &d.tables)
			if c := d.tables.canaryOf("orders"); c.stopped != tt.stopped || c.spec.Version != "v2" {
				t.Errorf("stopped %v, spec %+v", c.stopped, c.spec)
			}
		})
	}
}
