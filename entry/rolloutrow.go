package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/takeover"
	"github.com/thymewind/thymewind/versionlog"
)

// rolloutPrefix begins the keys of the rows that hold a rollout's state.
const rolloutPrefix = "rollout/"

// rolloutRow is what the holder of the lease announces to the other boxes. It is written before
// any order that it names is sent.
type rolloutRow struct {
	// Epoch is the lease's; a row with a lower epoch than one already read is stale.
	Epoch   uint64 `json:"epoch"`
	Version int64  `json:"version"`
	// Loading are the targets that are loading, Done those that have the version.
	Loading []string `json:"loading"`
	Done    []string `json:"done"`
	// Recent are the targets that this holder may order, or ordered lately, for any model. A
	// successor sends them no order for a while.
	Recent []string `json:"recent"`
	// LeftMS is, in ms after the row was written, how long a successor leaves each of them alone that
	// this holder does not order any more. The wait for the others begins when it takes the lease.
	LeftMS map[string]int64 `json:"left_ms,omitempty"`
	// AllLeftMS is the same for all targets, if this holder doesn't know which ones an earlier one
	// ordered lately.
	AllLeftMS int64 `json:"all_left_ms,omitempty"`
	// Namings are the recently named weight versions and when each was named.
	Namings []versionlog.Row `json:"namings,omitempty"`
	// Freed is the version up to which the stores were cleared of older parts.
	Freed int64 `json:"freed"`
}

// barRecentlyOrdered blocks orders to the targets that an earlier holder ordered lately, or to
// all targets if a row is not readable or a restore of the table service may have lost it.
func (d *Daemon) barRecentlyOrdered(now time.Time, t *tables, rows []table.Row) {
	d.Log.Info("rows of earlier lease holders were read", "rows", len(rows))
	lost := true
	for _, row := range rows {
		model, ok := strings.CutPrefix(row.Key, rolloutPrefix)
		if !ok {
			continue
		}
		w := t.rolloutOf(model)
		w.noteRow(now, row)
		d.applyRolloutRow(now, t, model, row.Value)
		var last rolloutRow
		if json.Unmarshal(row.Value, &last) != nil { // Logged by applyRolloutRow.
			t.orders.BarAll(now.Add(d.ordersApart()))
			continue
		}
		lost = lost && last.Epoch < d.lease.FirstEpoch()
		last.bar(&t.orders, now.Add(d.ordersApart()), w.rowSeenAt)
		d.Log.Info("targets that an earlier lease holder ordered wait", "model", model, "row_epoch", last.Epoch, "waiting", last.Recent, "left_ms", last.LeftMS, "all_left_ms", last.AllLeftMS, "seen_ago", now.Sub(w.rowSeenAt), "loading", last.Loading)
	}
	if lost {
		t.orders.BarAll(d.lease.LostUntil().Add(d.ordersApart()))
	}
}

// bar keeps the orders of a new holder apart from those of the row's writer: until a time from the
// targets that this one may have ordered to the end of its lease, and for the time left since the row
// was first seen from the others.
func (r rolloutRow) bar(orders *takeover.Log, until, seenAt time.Time) {
	for _, id := range r.Recent {
		if left, ended := r.LeftMS[id]; ended {
			orders.Bar(id, seenAt.Add(time.Duration(left)*time.Millisecond))
			continue
		}
		orders.Bar(id, until)
	}
	orders.BarAll(seenAt.Add(time.Duration(r.AllLeftMS) * time.Millisecond))
}

// announceRollout makes the effect that writes the rollout's row.
func (d *Daemon) announceRollout(now time.Time, t *tables, model string, w *modelRollout, epoch uint64) effect {
	w.announcing = true
	for _, id := range w.planned {
		t.orders.Begin(id)
	}
	row := rolloutRow{
		Epoch: epoch, Version: w.newestVersion, Loading: slices.Concat(slices.Sorted(maps.Keys(w.ordered)), w.planned),
		LeftMS: make(map[string]int64), AllLeftMS: roundUp(t.orders.AllLeft(now)), Freed: w.freed,
		Namings: w.versionLog.Rows(now.Add(-reportBounds*d.bounds.Load().WeightsWithin), &t.tableClock),
	}
	for _, recent := range t.orders.Recent(now) {
		row.Recent = append(row.Recent, recent.Target)
		if !recent.Open {
			row.LeftMS[recent.Target] = roundUp(recent.Left)
		}
	}
	for _, id := range t.fleet.IDs() {
		if t.fleet.Target(id).Versions[model] == w.newestVersion {
			row.Done = append(row.Done, id)
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	return announce{model, epoch, table.Row{Key: rolloutPrefix + model, Value: value}, w.rowAt}
}

// roundUp returns a time in ms, so that none is lost.
func roundUp(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// writeRolloutRow replaces a rollout's row if nobody changed it meanwhile. The table service may carry
// out a write seconds after its answer was lost; the condition keeps it from replacing a newer row.
func (d *Daemon) writeRolloutRow(ctx context.Context, e announce) error {
	err := d.replaceRow(ctx, e.row, e.at)
	if !trace.IsCompareFailed(err) {
		return err
	}
	// This box may not have read its own last write yet.
	current, readErr := d.Platform.Read(ctx, e.row.Key)
	if readErr != nil && !trace.IsNotFound(readErr) {
		return trace.Wrap(readErr)
	}
	var stored rolloutRow
	if json.Unmarshal(current.Value, &stored) == nil && stored.Epoch > e.epoch {
		return trace.Wrap(err, "the row is that of a successor in epoch %d", stored.Epoch)
	}
	return d.replaceRow(ctx, e.row, current.At())
}

// replaceRow puts a row if it has a revision.
func (d *Daemon) replaceRow(ctx context.Context, row table.Row, at revision.Revision) error {
	return d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: row.Key, Revision: at.Number, Restores: at.Restores}}, Put: []table.Row{row},
	})
}

// announced sends the orders that were announced. If the row was not written, or not under the
// present epoch, no order is sent, as a successor could not know of it.
func (d *Daemon) announced(now time.Time, t *tables, m announced) []effect {
	w := t.rolloutOf(m.model)
	w.announcing = false
	if m.err != nil {
		w.announceRetryAt = now.Add(announceRetryDelay)
		d.Log.Warn("rollout's row was not written, so no order is sent", "model", m.model, "err", m.err)
	} else {
		w.versionLog.Written()
		d.Log.Info("rollout's row was written", "model", m.model, "row", string(m.row.Value))
	}
	epoch, _, held := d.lease.Held()
	// Under another epoch, another holder may have ordered targets since the row was made.
	may := held && m.err == nil && epoch == m.epoch
	planned := w.planned
	w.planned = nil
	var effects []effect
	for _, id := range planned {
		x := t.fleet.Target(id)
		if x == nil || !may {
			t.orders.Cancel(id)
			continue
		}
		w.ordered[id] = true
		x.LoadingUntil = now.Add(maxLoadTime)
		t.markChanged(id)
		d.Log.Info("target is ordered to load weights", "target", id, "model", m.model, "version", w.newestVersion, "epoch", epoch, "after_orders", x.Orders)
		effects = append(effects, sendOrder{rollout.Order{
			Target: id, Model: m.model, Version: w.newestVersion, Holder: d.Settings.Name, Epoch: epoch, OrdersTaken: x.Orders,
		}, x.Address, x.Incarnation()})
	}
	return effects
}

// ownRead applies the rows that boxes of this system wrote to the table service.
func (d *Daemon) ownRead(now time.Time, t *tables, m ownRead) []effect {
	d.noteRestore(now, t, m.change.Known)
	known := len(t.members)
	effects := d.rewriteLostRows(now, t, m)
	for _, row := range m.change.Rows {
		if name, ok := strings.CutPrefix(row.Key, memberPrefix); ok {
			d.applyMemberRow(t, name, row.Value)
		}
		if key, ok := strings.CutPrefix(row.Key, crashPrefix); ok {
			d.applyCrashRow(now, t, key, row.Value)
		}
		if pool, ok := strings.CutPrefix(row.Key, canaryPrefix); ok {
			d.applyCanaryRow(now, t, pool, row.Value, row.At())
		}
		if pool, ok := strings.CutPrefix(row.Key, softwarePrefix); ok {
			d.applyVersions(now, t, pool, row.Value, row.At())
		}
		if row.Key == credentialKey {
			d.applyCredential(row.Value)
		}
		if model, ok := strings.CutPrefix(row.Key, rolloutPrefix); ok {
			t.rolloutOf(model).noteRow(now, row)
			d.applyRolloutRow(now, t, model, row.Value)
		}
	}
	if len(t.members) > known {
		d.Log.Info("more boxes are known", "boxes", len(t.members), "before", known)
		d.budget.SetBurst(d.retryBurst(now, t))
	}
	if t.membersKnown || !m.settled && !d.surelySpoke(now, t) {
		d.roleUnknown.Store(!t.membersKnown)
		return effects
	}
	t.membersKnown = true
	d.roleUnknown.Store(false)
	effects = append(effects, d.updateRole(now, t)...)
	return append(effects, d.reconcileSources(now, t)...)
}

func (d *Daemon) applyRolloutRow(now time.Time, t *tables, model string, value []byte) {
	var row rolloutRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("rollout's row is invalid", "model", model, "err", err)
		return
	}
	w := t.rolloutOf(model)
	w.versionLog.Read(now, &t.tableClock, row.Namings)
	if row.Epoch < w.epoch {
		return // A late write over a newer row.
	}
	w.epoch, w.freed = row.Epoch, max(w.freed, row.Freed)
	for _, id := range row.Done {
		x := t.fleet.Target(id)
		if x == nil || x.Versions[model] >= row.Version && x.LoadingUntil.IsZero() {
			continue
		}
		x.Versions[model] = max(x.Versions[model], row.Version)
		x.LoadingUntil = time.Time{}
		t.markChanged(id)
	}
	for _, id := range row.Loading {
		if x := t.fleet.Target(id); x != nil && x.Versions[model] < row.Version && !w.ordered[id] {
			x.LoadingUntil = now.Add(maxLoadTime)
			t.loading[id] = now.Add(firstLoadPoll)
			t.markChanged(id)
		}
	}
}
