package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/lease"
	"github.com/thymewind/thymewind/table"
)

// rolloutRowOf encodes the row of a model's rollout.
func rolloutRowOf(t *testing.T, model string, row rolloutRow) table.Row {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	return table.Row{Key: rolloutPrefix + model, Value: value}
}

// newLeaseHolder returns a box that has just taken the lease and read rows of earlier holders. There
// are some engines with older weights than the operator named.
func newLeaseHolder(t *testing.T, now time.Time, engines []string, rows ...table.Row) *Daemon {
	t.Helper()
	d := newDaemon("b1")
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	var listed []fleet.Entry
	for _, id := range engines {
		listed = append(listed, engine(id, 1))
	}
	d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: listed}, false})
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	d.update(now, leaseStepped{read: true, rows: rows})
	return d
}

// isBarred reports whether an engine gets no order to load a model's weights at a time.
func isBarred(d *Daemon, at time.Time, model, id string) bool {
	for _, r := range d.replicas(at, &d.tables, model, d.tables.rolloutOf(model)) {
		if r.ID == id {
			return r.Barred
		}
	}
	return false
}

// TestBarOutlastsEndedOrder has an order end that this box sent under an earlier epoch of the lease,
// after another holder ordered the same target. It guards against the pause after a failed order
// replacing the longer wait for the other holder.
func TestBarOutlastsEndedOrder(t *testing.T) {
	d := newLeaseHolder(t, start, []string{"a"}, rolloutRowOf(t, "m", rolloutRow{Epoch: 1, Version: 2, Recent: []string{"a"}}))
	d.update(start, orderEnded{"a", "m", 2, errLeaseNotHeld})
	if !isBarred(d, start.Add(d.ordersApart()-time.Millisecond), "m", "a") {
		t.Error("the target is ordered within the bound of the other holder's order")
	}
}

// TestBarHoldsForAllModels has an earlier holder order a target that serves two models. It guards
// against the bound being kept for orders of the same model only.
func TestBarHoldsForAllModels(t *testing.T) {
	d := newLeaseHolder(t, start, nil, rolloutRowOf(t, "m", rolloutRow{Epoch: 1, Version: 2, Recent: []string{"a"}}))
	both := engine("a", 1)
	both.Versions["n"] = 1
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{both}}, false})
	for _, model := range []string{"m", "n"} {
		if !isBarred(d, start, model, "a") {
			t.Errorf("the target is ordered to load model %q", model)
		}
		if isBarred(d, start.Add(d.ordersApart()), model, "a") {
			t.Errorf("the target is not ordered to load model %q once the bound has passed", model)
		}
	}
}

// announcedRow returns the row that a holder announces next.
func announcedRow(t *testing.T, d *Daemon, now time.Time) rolloutRow {
	t.Helper()
	for _, e := range d.rollWeights(now, &d.tables) {
		if a, ok := e.(announce); ok {
			var row rolloutRow
			if err := json.Unmarshal(a.row.Value, &row); err != nil {
				t.Fatal(err)
			}
			return row
		}
	}
	t.Fatal("no row is announced")
	return rolloutRow{}
}

// TestRowNamesEarlierHoldersTargets has three holders follow each other. It guards against the row of
// the second one, which stands when the third takes the lease, not naming the targets of the first.
func TestRowNamesEarlierHoldersTargets(t *testing.T) {
	earlier := rolloutRowOf(t, "m", rolloutRow{Epoch: 1, Version: 2, Recent: []string{"a"}})
	tests := []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"at once", 0, true},
		{"just within the bound", newDaemon("b1").ordersApart() - time.Millisecond, true},
		{"once the bound has passed", newDaemon("b1").ordersApart(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newLeaseHolder(t, start, []string{"a", "b", "c"}, earlier)
			w := d.tables.rolloutOf("m")
			w.ordered["a"] = true // It is not due itself.
			row := announcedRow(t, d, start.Add(tt.after))
			if got := slices.Contains(row.Recent, "a"); got != tt.want {
				t.Errorf("named %v, want %v", row.Recent, tt.want)
			}
		})
	}
}

// TestUnreadableRowBarsAll guards against a row that can't be decoded being taken for one that names
// no target.
func TestUnreadableRowBarsAll(t *testing.T) {
	for _, value := range []string{"", "{", `{"epoch":"1"}`} {
		d := newLeaseHolder(t, start, []string{"a"}, table.Row{Key: rolloutPrefix + "m", Value: []byte(value)})
		if !isBarred(d, start, "m", "a") {
			t.Errorf("row %q: the target is ordered at once", value)
		}
		if isBarred(d, start.Add(d.ordersApart()), "m", "a") {
			t.Errorf("row %q: the target is not ordered once the bound has passed", value)
		}
	}
}

// TestRowPassesOnBarOfAll guards against a third holder ordering any target at once, because the row
// of the second one does not tell that the targets of the first are unknown.
func TestRowPassesOnBarOfAll(t *testing.T) {
	unreadable := table.Row{Key: rolloutPrefix + "m", Value: []byte("{")}
	second := newLeaseHolder(t, start, []string{"a"}, unreadable)
	effects := second.update(start, staleFreed{model: "m", version: 1}) // The row is written whoever is barred.
	if len(effects) != 1 {
		t.Fatalf("effects %v", effects)
	}
	third := newLeaseHolder(t, start, []string{"a"}, effects[0].(announce).row)
	if !isBarred(third, start, "m", "a") {
		t.Error("the third holder orders the target at once")
	}
	if isBarred(third, start.Add(third.ordersApart()), "m", "a") {
		t.Error("the third holder does not order the target once the bound has passed")
	}
}

// retakeLease has another box hold the lease for a moment and returns when this one has it again.
func retakeLease(t *testing.T, d *Daemon, now *time.Time) {
	t.Helper()
	d.now = func() time.Time { return *now }
	d.lease.Now = d.now
	other := lease.Lease{
		Name: d.lease.Name, Holder: "b2", TTL: d.lease.TTL, Margin: d.lease.Margin,
		Commit: d.lease.Commit, Read: d.lease.Read, Nonce: func() string { return now.String() }, Now: d.now,
	}
	for _, l := range []*lease.Lease{&other, &d.lease} {
		for range 2 {
			if err := l.AcquireOrRenew(context.Background()); err != nil {
				t.Fatal(err)
			}
			if _, _, held := l.Held(); !held {
				*now = now.Add(d.lease.TTL + d.lease.Margin)
			}
		}
	}
	if epoch, _, held := d.lease.Held(); !held || epoch != 3 {
		t.Fatalf("held %v, epoch %d", held, epoch)
	}
}

// TestAnnouncementOfEarlierEpoch has the write of a row end after its box lost the lease and took it
// again. It guards against orders under the new epoch on the strength of a row that was written
// before the box read what the holder in between ordered.
func TestAnnouncementOfEarlierEpoch(t *testing.T) {
	now := start
	d := newLeaseHolder(t, start, []string{"a"})
	effects := d.rollWeights(now, &d.tables)
	retakeLease(t, d, &now)
	d.update(now, leaseStepped{read: true})
	if got := d.update(now, announced{effects[0].(announce), nil}); len(got) != 0 {
		t.Errorf("the target is ordered: %v", got)
	}
}

// TestNoRowBeforeRowsAreRead guards against a holder that replaces an earlier holder's row before it
// has read which targets that one ordered.
func TestNoRowBeforeRowsAreRead(t *testing.T) {
	now := start
	d := newLeaseHolder(t, start, []string{"a"})
	retakeLease(t, d, &now)
	if got := d.update(now, staleFreed{model: "m", version: 1}); len(got) != 0 {
		t.Errorf("the row is written: %v", got)
	}
}

// TestRowNeverGoesBack loses the answers to writes of the rollout's row, which the table service
// carries out after newer ones, of the same holder or of its successor. It guards against a row
// without the targets that were ordered since.
func TestRowNeverGoesBack(t *testing.T) {
	tests := []struct {
		name string
		// successor says that another holder writes the newer row.
		successor bool
		// early says that the late write comes before the newer one.
		early bool
	}{
		{"an earlier row of the same holder", false, false},
		{"an earlier holder's row", true, false},
		{"an earlier row of the same holder, before the newer one", false, true},
		{"an earlier holder's row, before the newer one", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, now := context.Background(), start
			first := newLeaseHolder(t, now, []string{"a"})
			late := table.Transaction{}
			commit := first.Platform.Commit
			first.Platform.Commit = func(_ context.Context, tx table.Transaction) error {
				late = tx
				return table.ErrOutcomeUnknown
			}
			lost := first.rollWeights(now, &first.tables)[0].(announce)
			err := first.writeRolloutRow(ctx, lost)
			if effects := first.update(now, announced{lost, err}); !errors.Is(err, table.ErrOutcomeUnknown) || len(effects) > 0 {
				t.Fatalf("%v; effects %v", err, effects)
			}
			first.Platform.Commit = commit
			newer, holder := announce{"m", 1, rolloutRowOf(t, "m", rolloutRow{Epoch: 1, Recent: []string{"b"}}), lost.at}, first
			if tt.successor {
				newer.epoch, newer.row = 2, rolloutRowOf(t, "m", rolloutRow{Epoch: 2, Recent: []string{"b"}})
				holder = newDaemon("b2")
				holder.Platform.Commit, holder.Platform.Read = commit, first.Platform.Read
			}
			carryOut := func() { _ = commit(ctx, late) } // It may fail now.
			if tt.early {
				carryOut()
			}
			if err := holder.writeRolloutRow(ctx, newer); err != nil {
				t.Fatal(err)
			}
			if !tt.early {
				carryOut()
			}
			stored, err := first.Platform.Read(ctx, newer.row.Key)
			if err != nil || !bytes.Equal(stored.Value, newer.row.Value) {
				t.Errorf("the row is %s, %v; want %s", stored.Value, err, newer.row.Value)
			}
		})
	}
}

// TestRowOfSuccessorStands guards against a holder that has lost the lease replacing its successor's
// row.
func TestRowOfSuccessorStands(t *testing.T) {
	ctx := context.Background()
	d := newLeaseHolder(t, start, []string{"a"})
	late := d.rollWeights(start, &d.tables)[0].(announce)
	row := rolloutRowOf(t, "m", rolloutRow{Epoch: 2, Recent: []string{"b"}})
	if err := d.Platform.Commit(ctx, table.Transaction{Put: []table.Row{row}}); err != nil {
		t.Fatal(err)
	}
	if err := d.writeRolloutRow(ctx, late); !trace.IsCompareFailed(err) {
		t.Errorf("the write failed with %v", err)
	}
	if stored, err := d.Platform.Read(ctx, row.Key); err != nil || !bytes.Equal(stored.Value, row.Value) {
		t.Errorf("the row is %s, %v; want %s", stored.Value, err, row.Value)
	}
}

// TestBarEndsAfterLastOrder has a box see a row, and take the lease some seconds later. It waits for
// targets that the row's writer may have ordered until then, and for others no longer than the bound
// after their last order. Otherwise holders that follow each other within the bound would keep a target
// from being ordered for ever, as each passes on for whom it waits.
func TestBarEndsAfterLastOrder(t *testing.T) {
	now := start
	d := newLeaseHolder(t, now, []string{"ended", "open"})
	row := rolloutRowOf(t, "m", rolloutRow{Epoch: 2, Version: 2, Recent: []string{"ended", "open"}, LeftMS: map[string]int64{"ended": 3000}, AllLeftMS: 1000})
	row.Revision = 7
	d.update(now, ownRead{change: OwnRows{Rows: []table.Row{row}}})
	retakeLease(t, d, &now)
	d.update(now, leaseStepped{read: true, rows: []table.Row{row}})
	if isBarred(d, now, "m", "ended") {
		t.Errorf("a target is barred %v after it had 3 s left", now.Sub(start))
	}
	if !isBarred(d, now.Add(d.ordersApart()-1), "m", "open") || isBarred(d, now.Add(d.ordersApart()), "m", "open") {
		t.Error("a target that may have been ordered until now is not barred for the bound")
	}
	next := announcedRow(t, d, now)
	if left, ended := next.LeftMS["open"]; !ended || left != d.ordersApart().Milliseconds() {
		t.Errorf("the next row has %d ms left", left)
	}
}

// TestBarOfUnseenRow guards against a wait that is counted from before the row was seen.
func TestBarOfUnseenRow(t *testing.T) {
	d := newLeaseHolder(t, start, []string{"a"}, rolloutRowOf(t, "m", rolloutRow{Epoch: 1, Recent: []string{"a"}, LeftMS: map[string]int64{"a": 2000}, AllLeftMS: 1000}))
	if at := start.Add(2 * time.Second); !isBarred(d, at.Add(-1), "m", "a") || isBarred(d, at, "m", "a") {
		t.Error("the target is not barred for the time left")
	}
}
