package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// TestOwnRowsAfterRestore guards against boxes that no other box can find, as a restore lost
// their rows: each writes its row again, once, and the writes are spread over some seconds.
func TestOwnRowsAfterRestore(t *testing.T) {
	t.Parallel()
	// writesEach is the writes per box and second that one part of a table service for 330
	// boxes takes.
	const writesEach = 200.0 / 330
	for _, boxes := range []int{3, 16, 60, 300} {
		t.Run(fmt.Sprint(boxes, "_boxes"), func(t *testing.T) {
			w := emulate(boxes, 3, configuration(1))
			empty := w.rows.Snapshot()
			for _, d := range w.boxes {
				if err := d.writeRow(context.Background(), d.ownRow()); err != nil {
					t.Fatal(err)
				}
			}
			credential := table.Row{Key: credentialKey, Value: []byte(`"c"`)}
			if err := w.boxes[0].writeRow(context.Background(), credential); err != nil {
				t.Fatal(err)
			}
			reporter := w.boxes[boxes-1]
			sum := job("long", 10).Fingerprint()
			w.advance(time.Second, nil)
			reporter.tables.reports.add(w.now, "i-1", []fingerprint.Sum{sum})
			w.advance(time.Second, nil)
			w.restore(20, empty)
			before := w.version
			written := 0.0
			w.advance(rewriteSpread+2*time.Second, func() {
				if w.now.Sub(start)%time.Second == 0 {
					written = max(written, float64(w.version-before))
					before = w.version
				}
			})
			for _, d := range w.boxes {
				if got, err := w.rows.Read(context.Background(), d.ownRow().Key); err != nil || !bytes.Equal(got.Value, d.ownRow().Value) {
					t.Errorf("%s has no row: %s, %v", d.Settings.Name, got.Value, err)
				}
			}
			if got, err := w.rows.Read(context.Background(), credentialKey); err != nil || !bytes.Equal(got.Value, credential.Value) {
				t.Errorf("the boxes' credential is %s, %v", got.Value, err)
			}
			if _, err := w.rows.Read(context.Background(), reporter.crashKey("i-1")); err != nil {
				t.Errorf("the report of the requests that ran on a target that ended is lost: %v", err)
			}
			if most := writesEach*float64(boxes) + 10; written > most {
				t.Errorf("%v writes in a second, the table service takes %v", written, most)
			}
		})
	}
}

// TestOrdersAfterRestore guards against two boxes ordering one target within the platform's
// bound, after a restore lost the row that names the targets an earlier lease holder ordered.
func TestOrdersAfterRestore(t *testing.T) {
	const restores = 2
	row := func(epoch uint64) *table.Row {
		value, err := json.Marshal(rolloutRow{Epoch: epoch, Version: 2})
		if err != nil {
			t.Fatal(err)
		}
		return &table.Row{Key: rolloutPrefix + "m", Value: value}
	}
	tests := []struct {
		name     string
		restores uint64
		row      *table.Row
		// waits means that no order is given when the lease is acquired.
		waits bool
	}{
		{"never restored", 0, nil, false},
		{"the row is lost", restores, nil, true},
		{"the row is an older one", restores, row(7), true},
		{"the row was written since", restores, row(restores<<20 + 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			d := newDaemon("b1")
			d.now = func() time.Time { return now }
			stored := &fake.Table{}
			for range tt.restores {
				stored.Restore(stored.Snapshot())
			}
			d.lease.Now, d.lease.Commit, d.lease.Read = d.now, stored.Commit, stored.Read
			known := revision.Revision{Restores: tt.restores, Number: 9}
			d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}, Known: known}})
			d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}, Known: known}, false})
			now = start.Add(leaseTTL + leaseMargin)
			if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
				t.Fatal(err)
			}
			if _, _, held := d.lease.Held(); !held {
				t.Fatal("the lease is not held")
			}
			var rows []table.Row
			if tt.row != nil {
				rows = append(rows, *tt.row)
			}
			d.update(now, leaseStepped{read: true, rows: rows})
			may := start.Add(leaseTTL + d.bounds.Load().Takeover + handoverMargin)
			early := d.replicas(now, &d.tables, "m", d.tables.rolloutOf("m"))[0].Barred
			late := d.replicas(may, &d.tables, "m", d.tables.rolloutOf("m"))[0].Barred
			if early != tt.waits || late {
				t.Errorf("barred when the lease is acquired %v, want %v; and %v later: %v", early, tt.waits, may.Sub(now), late)
			}
		})
	}
}
