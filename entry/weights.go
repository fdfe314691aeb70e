package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/table"
)

// How weights are brought to the engines.
const (
	// loadLongest is how long a target is taken to load, at most. A load takes
	// 1.3 s after the target's runs have ended.
	loadLongest = 6 * time.Second
	// loadLook is how often a loading target is asked whether it is done.
	loadLook = 200 * time.Millisecond
	// loadShy is how long a target that turned a request away during a rollout
	// gets no other.
	loadShy = 300 * time.Millisecond
	// leaseEvery is how often a box without the lease looks at it while there
	// is work to do.
	leaseEvery = 300 * time.Millisecond
	// leaseSpread spreads the boxes' first looks.
	leaseSpread = 200 * time.Millisecond
	// atOnce targets, or the share of all, load at the same time; with more,
	// each load takes longer and the others are crowded. The platform's pools of
	// 9, 90 and 112 engines load 2, 18 and 22 at their full speed.
	atOnce      = 2
	atOnceShare = 0.2
	// recentFor is how long an order counts as recent, and holdSlack is added
	// to the platform's bound between two holders' orders to one target.
	recentFor = 5 * time.Second
	holdSlack = 300 * time.Millisecond
)

// rolloutPrefix begins the keys of the rows that tell a rollout's state.
const rolloutPrefix = "rollout/"

// rolloutRow is what the holder of the lease tells the other boxes. It is
// written before any order that it names is given.
type rolloutRow struct {
	// Epoch is the lease's; a row with a lower one than was read is old.
	Epoch   uint64 `json:"epoch"`
	Version int64  `json:"version"`
	// Loading are the targets that load now, Done those that have the version.
	Loading []string `json:"loading"`
	Done    []string `json:"done"`
	// Recent are the targets that were ordered anything lately. A successor
	// leaves them alone for a while.
	Recent []string `json:"recent"`
	// Freed is the version for which the stores were cleared of older parts.
	Freed int64 `json:"freed"`
}

// rollWeights keeps all engines on the newest weights, if this box holds the
// lease, and tries to get the lease while there is work to do.
func (d *Daemon) rollWeights(now time.Time, t *tables) []effect {
	var effects []effect
	work := false
	for _, model := range slices.Sorted(maps.Keys(t.weights)) {
		w := t.weights[model]
		replicas := d.replicas(now, t, model, w)
		behind := rollout.Behind(w.wanted, replicas) > 0
		if !behind && !w.toFree(t) {
			continue
		}
		work = true
		epoch, _, held := d.lease.Held()
		if !held || w.announcing || !t.mayOrder(epoch) {
			w.whole = time.Time{}
			continue
		}
		if !behind {
			effects = append(effects, d.freeOld(now, t, model, w)...)
			continue
		}
		w.whole = time.Time{}
		if w.planned = d.plan.Next(w.wanted, replicas); len(w.planned) > 0 {
			effects = append(effects, d.tellRollout(now, t, model, w, epoch))
		}
	}
	if work {
		effects = append(effects, d.stepLease(now, t)...)
	}
	return effects
}

// mayOrder says that the rows of the lease's earlier holder were read.
func (t *tables) mayOrder(epoch uint64) bool { return t.readEpoch == epoch }

// replicas lists the engines that serve a model.
func (d *Daemon) replicas(now time.Time, t *tables, model string, w *weights) []rollout.Replica {
	table := d.current.Load()
	if table == nil {
		return nil
	}
	var list []rollout.Replica
	for name, pool := range table.Pools {
		if pool.Engine == nil {
			continue
		}
		for _, x := range t.fleet.Pool(name) {
			version, serves := x.Versions[model]
			if !serves || !x.Open(now) {
				continue
			}
			list = append(list, rollout.Replica{
				ID: x.ID, Version: version, Loading: w.ordered[x.ID], Busy: x.InFlight, Barred: now.Before(w.barred[x.ID]),
			})
		}
	}
	slices.SortFunc(list, func(a, b rollout.Replica) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (d *Daemon) stepLease(now time.Time, t *tables) []effect {
	if d.spoke.Load() || t.stepping || !d.lease.Due() || now.Before(t.due.lease) {
		return nil
	}
	t.stepping = true
	return []effect{stepLease{t.readEpoch}}
}

func (d *Daemon) leaseStepped(now time.Time, t *tables, m leaseStepped) {
	t.stepping = false
	epoch, _, held := d.lease.Held()
	if held && epoch != t.readEpoch && m.read {
		t.readEpoch = epoch
		d.bar(now, t, m.rows)
	}
	t.due.lease = now.Add(leaseEvery + d.jitter(leaseSpread))
	if held {
		t.due.lease = now
	}
	if held != t.holding || m.err != nil {
		d.Log.Info("lease of the weights", "held", held, "epoch", epoch, "err", m.err)
	}
	t.holding = held
}

// bar keeps targets that an earlier holder ordered lately from orders.
func (d *Daemon) bar(now time.Time, t *tables, rows []table.Row) {
	until := now.Add(d.bounds.Load().Takeover + holdSlack)
	for _, row := range rows {
		model, ok := strings.CutPrefix(row.Key, rolloutPrefix)
		if !ok {
			continue
		}
		d.rolloutRead(now, t, model, row.Value)
		var last rolloutRow
		if json.Unmarshal(row.Value, &last) != nil {
			continue // rolloutRead logged it.
		}
		for _, id := range last.Recent {
			t.model(model).barred[id] = until
		}
	}
}

// tellRollout makes the effect that writes the rollout's row.
func (d *Daemon) tellRollout(now time.Time, t *tables, model string, w *weights, epoch uint64) effect {
	w.announcing = true
	for _, id := range w.planned {
		w.recent[id] = now
	}
	maps.DeleteFunc(w.recent, func(_ string, at time.Time) bool { return now.Sub(at) > recentFor })
	row := rolloutRow{
		Epoch: epoch, Version: w.wanted, Loading: slices.Concat(slices.Sorted(maps.Keys(w.ordered)), w.planned),
		Recent: slices.Sorted(maps.Keys(w.recent)), Freed: w.freed,
	}
	for _, id := range t.fleet.All() {
		if t.fleet.Target(id).Versions[model] == w.wanted {
			row.Done = append(row.Done, id)
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	return announce{model, table.Row{Key: rolloutPrefix + model, Value: value}}
}

// announced sends the orders that were announced. Without the row no order
// goes out, as a successor could not know of it.
func (d *Daemon) announced(now time.Time, t *tables, m announced) []effect {
	w := t.model(m.model)
	w.announcing = false
	if m.err != nil {
		d.Log.Warn("rollout not announced", "model", m.model, "err", m.err)
	}
	epoch, _, held := d.lease.Held()
	planned := w.planned
	w.planned = nil
	if !held || m.err != nil {
		return nil
	}
	var effects []effect
	for _, id := range planned {
		x := t.fleet.Target(id)
		if x == nil {
			continue
		}
		w.ordered[id] = true
		x.LoadingUntil = now.Add(loadLongest)
		t.changed()
		d.Log.Info("target is ordered to load weights", "target", id, "model", m.model, "version", w.wanted, "epoch", epoch, "after_orders", x.Orders)
		effects = append(effects, sendOrder{rollout.Order{
			Target: id, Model: m.model, Version: w.wanted, Holder: d.Settings.Name, Epoch: epoch, After: x.Orders,
		}, x.Address})
	}
	return effects
}

// errNotHeld says that this box must not give orders any more.
var errNotHeld = trace.AccessDenied("the lease is not held")

// bring has one target load weights and waits until it has them.
func (d *Daemon) bring(ctx context.Context, e sendOrder) error {
	ctx, cancel := context.WithTimeout(ctx, loadLongest)
	defer cancel()
	ordered := false
	for {
		report, err := d.Platform.Report(ctx, e.at)
		if err == nil && report.Versions[e.order.Model] >= e.order.Version {
			return nil
		}
		if err == nil && !report.Busy && (!ordered || report.Orders == e.order.After) {
			e.order.After = report.Orders
			if err = d.order(ctx, e); err == nil {
				ordered = true
			}
			if trace.IsAccessDenied(err) {
				return err
			}
		}
		if err != nil {
			d.Log.Warn("order not confirmed", "target", e.order.Target, "version", e.order.Version, "err", err)
		}
		d.pause(ctx, loadLook)
		if ctx.Err() != nil {
			return trace.LimitExceeded("the target does not have the version after %v", loadLongest)
		}
	}
}

// order sends one order, if the lease is held right before.
func (d *Daemon) order(ctx context.Context, e sendOrder) error {
	epoch, until, held := d.lease.Held()
	if !held || epoch != e.order.Epoch {
		return errNotHeld
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return d.Platform.Order(ctx, e.at, e.order)
}

func (d *Daemon) orderEnded(now time.Time, t *tables, m orderEnded) {
	w := t.model(m.model)
	delete(w.ordered, m.target)
	w.recent[m.target] = now
	x := t.fleet.Target(m.target)
	if x == nil {
		return
	}
	x.LoadingUntil = time.Time{}
	t.changed()
	if m.err != nil {
		d.Log.Warn("target did not load weights", "target", m.target, "version", m.version, "err", m.err)
		return
	}
	x.Versions[m.model] = max(x.Versions[m.model], m.version)
	d.Log.Info("target has the weights", "target", m.target, "model", m.model, "version", m.version, "since_named", now.Sub(w.named))
}

// ownRead takes over what the boxes tell each other through the table service.
func (d *Daemon) ownRead(now time.Time, t *tables, m ownRead) []effect {
	t.ownKnown = true
	for _, row := range m.change.Rows {
		if name, ok := strings.CutPrefix(row.Key, memberPrefix); ok {
			d.memberRead(t, name, row.Value)
		}
		if row.Key == keyCredential {
			d.credentialRead(row.Value)
		}
		if model, ok := strings.CutPrefix(row.Key, rolloutPrefix); ok {
			d.rolloutRead(now, t, model, row.Value)
		}
	}
	if !m.settled || t.settled {
		return nil
	}
	t.settled = true
	return append(d.assumeRole(now, t), d.follow(t)...)
}

func (d *Daemon) rolloutRead(now time.Time, t *tables, model string, value []byte) {
	var row rolloutRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("the rollout's row can't be read", "model", model, "err", err)
		return
	}
	w := t.model(model)
	if row.Epoch < w.epoch {
		return // Written late, over a newer one.
	}
	w.epoch, w.freed = row.Epoch, max(w.freed, row.Freed)
	t.changed()
	for _, id := range row.Done {
		if x := t.fleet.Target(id); x != nil {
			x.Versions[model] = max(x.Versions[model], row.Version)
			x.LoadingUntil = time.Time{}
		}
	}
	for _, id := range row.Loading {
		if x := t.fleet.Target(id); x != nil && x.Versions[model] < row.Version {
			x.LoadingUntil = now.Add(loadLongest)
		}
	}
}

// learn takes from a target's refusal what it says of its weights.
func (d *Daemon) learn(now time.Time, t *tables, x *fleet.Target, m sendingEnded) {
	model := m.Job.Model
	switch m.Verdict {
	case deliver.OtherVersion:
		before := x.Versions[model]
		x.Versions[model] = max(before, m.Version)
		if m.Version == 0 {
			x.LoadingUntil = now.Add(loadShy)
		}
		d.Log.Info("target has other weights", "target", x.ID, "request", m.Job.ID, "thought", before, "told", m.Version)
	case deliver.Elsewhere:
		d.Log.Warn("another replica has the target's address", "target", x.ID, "at", x.Address, "request", m.Job.ID)
		d.drop(t, x.ID)
	case deliver.DidNotRun:
		if w := t.model(model); w.wanted > x.Versions[model] {
			x.LoadingUntil = now.Add(loadShy)
		}
	}
}
