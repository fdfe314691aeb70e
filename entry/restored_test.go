package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// appliedWithin is the platform's least bound for a change of the configuration.
const appliedWithin = 2 * time.Second

// inForce counts the boxes that have a version of the configuration in force.
func (w *emulator) inForce(version int64) int {
	n := 0
	for _, d := range w.boxes {
		if d.version() == version {
			n++
		}
	}
	return n
}

// TestConfigurationReachesAllHubsAfterRestore guards against hubs that prove to each other that
// nothing changed, as a restored table service gave out the same revisions again.
func TestConfigurationReachesAllHubsAfterRestore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		boxes int
		// lost is how many revisions are given out again, written how many of them before the
		// new configuration.
		lost, written uint64
	}{
		{3, 30, 0},
		{16, 30, 0},
		{16, 30, 28},
		{60, 30, 0},
		{60, 30, 29},
		{60, 1, 0},
		{300, 30, 10},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d_boxes_%d_of_%d_written", tt.boxes, tt.written, tt.lost), func(t *testing.T) {
			w := emulate(tt.boxes, 3, configuration(1))
			w.advance(2*time.Second, nil)
			w.version += 100
			w.writeOperator(func(*Operator) {})
			w.advance(time.Second, nil)
			w.restore(tt.lost, w.rows.Snapshot())
			w.advance(time.Second, nil)
			w.version += tt.written
			for version := int64(2); version <= 5; version++ {
				w.writeOperator(func(o *Operator) { o.Table = configuration(version) })
				w.advance(appliedWithin, nil)
				if n := w.inForce(version); n != tt.boxes {
					t.Errorf("version %d is in force at %d boxes %v after it was written", version, n, appliedWithin)
				}
			}
		})
	}
}

// TestPeerProofAfterRestore guards against a proof by the revision numbers of another history.
// A hub only accepts one from a hub that read the table service after as many restores as
// itself.
func TestPeerProofAfterRestore(t *testing.T) {
	known := revision.Revision{Restores: 2, Number: 50}
	tests := []struct {
		name     string
		reported revision.Revision
		// proved means that the message proves the configuration, behind that this box reads
		// again.
		proved, behind bool
	}{
		{"as far", known, true, false},
		{"less far", revision.Revision{Restores: 2, Number: 40}, true, false},
		{"further", revision.Revision{Restores: 2, Number: 51}, false, true},
		{"a lower number after another restore", revision.Revision{Restores: 3, Number: 10}, false, true},
		{"the same number after another restore", revision.Revision{Restores: 3, Number: 50}, false, true},
		{"a lower number before the last restore", revision.Revision{Restores: 1, Number: 40}, false, false},
		{"a higher number before the last restore", revision.Revision{Restores: 1, Number: 90}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-10")
			for _, ago := range []time.Duration{time.Minute, 30 * time.Second} { // The first read proves nothing yet.
				d.update(start.Add(-ago), operatorRead{start.Add(-ago), Operator{Changed: known, Known: known}})
			}
			d.update(start, peerAnswered{name: "box-11", requestedAt: start, answer: peer.Message{OperatorRevision: tt.reported, ProofAgeMS: 10}})
			if got := d.provedAgo(start) < time.Second; got != tt.proved {
				t.Errorf("proved %v", got)
			}
			if got := d.operatorBehind.Load(); got != tt.behind {
				t.Errorf("reads again %v", got)
			}
		})
	}
}

// TestListBehindAfterRestore guards against a hub that keeps a list from before a restore, as
// the number of a later change is lower than that of its last read.
func TestListBehindAfterRestore(t *testing.T) {
	known := revision.Revision{Restores: 2, Number: 50}
	tests := []struct {
		name     string
		reported revision.Revision
		behind   bool
	}{
		{"as far", known, false},
		{"further", revision.Revision{Restores: 2, Number: 51}, true},
		{"a lower number after another restore", revision.Revision{Restores: 3, Number: 10}, true},
		{"a higher number before the last restore", revision.Revision{Restores: 1, Number: 90}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-00")
			d.update(start, targetsRead{start, Targets{Snapshot: true, Changed: known, Known: known, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.update(start, peerAnswered{name: "box-11", requestedAt: start, answer: peer.Message{ListRevision: tt.reported}})
			now := start.Add(behindAfter)
			d.rereadIfBehind(now, &d.tables)
			if got := d.listReads.interrupted(); got != tt.behind {
				t.Errorf("the list is reread at once: %v", got)
			}
			d.update(now, targetsRead{now, Targets{Snapshot: true, Changed: revision.Max(tt.reported, known), Known: revision.Max(tt.reported, known)}, false})
			if d.tables.listBehind(now.Add(time.Minute)) {
				t.Error("still behind after it has read as far")
			}
		})
	}
}

// TestNoRollbackAfterRestore guards against undoing what the operator requested while a
// restored table service has older rows than the boxes know.
func TestNoRollbackAfterRestore(t *testing.T) {
	copied := revision.Revision{Restores: 1, Number: 40}
	later := revision.Revision{Restores: 1, Number: 41}
	none := map[string]bool{}
	requested := map[string]bool{"a": true}
	tests := []struct {
		name string
		// copied is the snapshot read after the restore, then the next one unless it is nil.
		copied Operator
		then   *Operator
		after  time.Duration
		// proved means that the configuration counts as the newest, evacuated that the domain
		// gets nothing.
		proved, evacuated bool
	}{
		{"nothing was lost", Operator{Table: configuration(7), Evacuations: requested}, nil, 0, false, true},
		{"nothing was lost, and read again in the grace period", Operator{Table: configuration(7), Evacuations: requested}, &Operator{}, rewriteGrace - time.Millisecond, false, true},
		{"nothing was lost, and read again after it", Operator{Table: configuration(7), Evacuations: requested}, &Operator{}, rewriteGrace, true, true},
		{"an older configuration", Operator{Table: configuration(6), Evacuations: requested}, nil, 0, false, true},
		{"no configuration", Operator{Evacuations: requested}, nil, 0, false, true},
		{"older and unchanged", Operator{Table: configuration(6), Evacuations: requested}, &Operator{}, time.Second, false, true},
		{"older and unchanged after the grace period", Operator{Table: configuration(6), Evacuations: requested}, &Operator{}, rewriteGrace, false, true},
		{"older and written again", Operator{Table: configuration(6), Evacuations: requested}, &Operator{Table: configuration(7)}, time.Second, true, true},
		{"older and an earlier one written", Operator{Table: configuration(5), Evacuations: requested}, &Operator{Table: configuration(6)}, time.Second, false, true},
		{"nothing was lost, and an earlier one written", Operator{Table: configuration(7), Evacuations: requested}, &Operator{Table: configuration(6)}, time.Second, false, true},
		{"older for longer than the grace", Operator{Table: configuration(6), Evacuations: requested}, &Operator{}, operatorRewriteGrace, true, true},
		{"an evacuation is lost", Operator{Table: configuration(7), Evacuations: none}, nil, 0, false, true},
		{"an evacuation is lost, and read again after the grace period", Operator{Table: configuration(7), Evacuations: none}, &Operator{}, rewriteGrace, true, true},
		{"an evacuation is lost and requested again", Operator{Table: configuration(7), Evacuations: none}, &Operator{Evacuations: requested}, time.Minute, true, true},
		{"an evacuation is lost, and a snapshot is read again", Operator{Table: configuration(7), Evacuations: none}, &Operator{Snapshot: true, Evacuations: none}, time.Second, false, true},
		{"an evacuation is lost for good", Operator{Table: configuration(7), Evacuations: none}, &Operator{}, operatorRewriteGrace, true, false},
		{"an evacuation is lost and revoked", Operator{Table: configuration(7), Evacuations: none}, &Operator{Evacuations: map[string]bool{"a": false}}, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Snapshot: true, Table: configuration(7), Evacuations: requested, Known: rev(50), Changed: rev(50)}})
			restored := start.Add(time.Second)
			tt.copied.Snapshot, tt.copied.Known, tt.copied.Changed = true, copied, copied
			d.update(restored, operatorRead{restored, tt.copied})
			now := restored.Add(tt.after)
			if tt.then != nil {
				tt.then.Known = later
				d.update(now, operatorRead{now, *tt.then})
			}
			d.sweep(now, &d.tables)
			if got := d.provedAgo(now) <= tt.after; got != tt.proved {
				t.Errorf("proved %v, %v ago", got, d.provedAgo(now))
			}
			if got := len(d.tables.fleet.Evacuated()) > 0; got != tt.evacuated {
				t.Errorf("evacuated %v", got)
			}
			if d.version() != 7 {
				t.Errorf("version %d is in force", d.version())
			}
			if older := !tt.proved; older && d.operatorHold() == 0 {
				t.Error("reads in a loop without a pause")
			}
		})
	}
}

// TestTablesReadAfterRestore guards against a table that is not read after a restore until its
// held read ends. The reads of the target list and of the own rows, on connections that went
// silent, are cancelled once the read of the operator's rows reports the restore.
func TestTablesReadAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("b1")
		d.now = time.Now
		var restores atomic.Uint64
		var listed, own atomic.Uint64
		held := func(ctx context.Context, after revision.Revision) (revision.Revision, error) {
			if after.IsZero() {
				return revision.Revision{Restores: restores.Load(), Number: 9}, nil
			}
			<-ctx.Done()
			return revision.Revision{}, ctx.Err()
		}
		d.Platform.Operator = func(ctx context.Context, _ revision.Revision, hold time.Duration) (Operator, error) {
			d.sleep(ctx, hold)
			return Operator{Known: revision.Revision{Restores: restores.Load(), Number: 9}}, nil
		}
		d.Platform.Targets = func(ctx context.Context, after revision.Revision, _ time.Duration) (Targets, error) {
			if after.Restores < restores.Load() && ctx.Err() == nil {
				listed.Store(restores.Load())
				after = revision.Revision{}
			}
			known, err := held(ctx, after)
			return Targets{Snapshot: true, Known: known}, err
		}
		d.Platform.OwnRows = func(ctx context.Context, after revision.Revision, _ time.Duration) (OwnRows, error) {
			if after.Restores < restores.Load() && ctx.Err() == nil {
				own.Store(restores.Load())
				after = revision.Revision{}
			}
			known, err := held(ctx, after)
			return OwnRows{Snapshot: true, Rows: []table.Row{d.ownRow(), {Key: credentialKey, Value: []byte(`"c"`)}}, Known: known}, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d.outage.start(ctx)
		go d.watch(ctx)
		go func() {
			for {
				select {
				case m := <-d.messages:
					d.update(time.Now(), m)
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(4 * time.Second)
		restores.Store(1)
		time.Sleep(proofHold + readRetryDelay + targetsReadInterval)
		if listed.Load() != 1 || own.Load() != 1 {
			t.Errorf("%d restores, but the list was last read after %d, the own rows after %d", restores.Load(), listed.Load(), own.Load())
		}
		cancel()
		synctest.Wait()
	})
}
