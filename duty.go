package thymewind

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/lease"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/weights"
)

// The duties that one daemon at a time holds.
const (
	dutyCharges = "charges"
	// dutyOrders comes before a pool's name.
	dutyOrders = "orders/"
)

// dutyCandidates is how many boxes try for each duty; the list of boxes names
// others when they are gone.
const dutyCandidates = 3

// weightsLoadTimeout is how long a target may take to load weights.
const weightsLoadTimeout = 30 * time.Second

// duty is one lease with what its holder needs to remember.
type duty struct {
	lease *lease.Lease
	// epoch is the last one that was held; a higher one means a new start.
	epoch uint64
	// heldSince is when this epoch was first seen to be held.
	heldSince time.Time
	// ordersKnown says that the orders of earlier holders were read.
	ordersKnown   bool
	rollout weights.Rollout
	nextRenewal    time.Time
}

// renewLease renews or takes a lease.
type renewLease struct {
	duty  string
	lease *lease.Lease
}

// leaseRenewed is how that went.
type leaseRenewed struct {
	duty string
	err  error
}

// readOrders reads the orders that were given for a pool.
type readOrders struct{ duty, pool string }

// ordersRead is what was found.
type ordersRead struct {
	duty   string
	orders []orderRow
	err    error
}

// orderRow is the value of an order's row, written before the order is sent.
type orderRow struct {
	ID      string    `json:"id"`
	Epoch   uint64    `json:"epoch"`
	Target  string    `json:"target"`
	Version string    `json:"version"`
	At      time.Time `json:"at"`
}

// sendOrder has a target load weights, under a lease.
type sendOrder struct {
	lease   *lease.Lease
	pool    string
	target  string
	address netip.AddrPort
	version string
}

// renewLeases keeps the leases of the duties that this box is a candidate for.
func (d *Daemon) renewLeases(now time.Time, t *tables) []effect {
	if d.stopping.Load() {
		return nil
	}
	var effects []effect
	for _, name := range t.dutyNames() {
		x := d.duty(t, name)
		if now.Before(x.nextRenewal) || t.pending[pendingDuty+name] || !d.candidate(t, name) || !x.lease.Due() {
			continue
		}
		x.nextRenewal = now.Add(d.jitter(d.Settings.Timing.Lease / 4))
		t.pending[pendingDuty+name] = true
		effects = append(effects, renewLease{name, x.lease})
	}
	return effects
}

// dutyNames names the duties of this configuration.
func (t *tables) dutyNames() []string {
	if t.Configuration.Revision == 0 {
		return nil
	}
	names := []string{dutyCharges}
	for name, p := range t.Configuration.Pools {
		if p.Kind == pool.KindModel {
			names = append(names, dutyOrders+name)
		}
	}
	return names
}

// duty returns a duty's state, new if need be.
func (d *Daemon) duty(t *tables, name string) *duty {
	x, known := t.dutiesByName[name]
	if !known {
		length := d.Settings.Timing.Lease
		x = &duty{
			lease: &lease.Lease{
				Name: name, Holder: d.Settings.Name, TTL: length, Margin: length / 6,
				Commit: d.table.Commit, Read: d.table.Read, Nonce: newID, Now: d.now,
			},
			rollout: weights.Rollout{Timeout: weightsLoadTimeout},
		}
		t.dutiesByName[name] = x
	}
	return x
}

// candidate says whether this box is one of those that try for a duty.
func (d *Daemon) candidate(t *tables, name string) bool {
	return d.rank(t, placement.Hash(name)) < dutyCandidates
}

// leaseRenewed notes whether the lease is held and under which epoch.
func (d *Daemon) leaseRenewed(now time.Time, t *tables, m leaseRenewed) []effect {
	delete(t.pending, pendingDuty+m.duty)
	x := d.duty(t, m.duty)
	if m.err != nil {
		d.metrics.platformErrors.WithLabelValues("lease").Inc()
		return nil
	}
	epoch, _, ok := x.lease.Held()
	if !ok || epoch == x.epoch {
		return nil
	}
	x.epoch, x.heldSince, x.ordersKnown = epoch, now, false
	d.metrics.leases.WithLabelValues("taken").Inc()
	d.Log.Info("lease taken", "duty", m.duty, "epoch", epoch)
	if name, ok := strings.CutPrefix(m.duty, dutyOrders); ok {
		return []effect{readOrders{m.duty, name}}
	}
	return nil
}

func (d *Daemon) ordersRead(now time.Time, t *tables, m ordersRead) []effect {
	x := d.duty(t, m.duty)
	if m.err != nil {
		x.epoch = 0 // Read again when the lease is next stepped.
		return nil
	}
	for _, o := range m.orders {
		// The order may have been sent just now, as far as this box can know.
		x.rollout.Note(o.Target, o.Version, now)
	}
	x.ordersKnown = true
	return nil
}

// advanceRollouts orders targets to load the weights that are configured.
func (d *Daemon) advanceRollouts(now time.Time, t *tables) []effect {
	var effects []effect
	for name, p := range t.Configuration.Pools {
		x, known := t.dutiesByName[dutyOrders+name]
		if !known || !x.ordersKnown {
			continue
		}
		if _, _, ok := x.lease.Held(); !ok || !d.fenced(now, p, x) {
			continue
		}
		for _, targetName := range x.rollout.Next(now, p.Weights, t.Pools[name]) {
			y, _ := t.Targets.Lookup(targetName)
			x.rollout.Note(targetName, p.Weights, now)
			effects = append(effects, sendOrder{x.lease, name, targetName, y.Address, p.Weights})
		}
	}
	return effects
}

// fenced says whether no earlier holder's order can still arrive. Targets that
// check the epoch refuse it themselves; for others a new holder waits as long
// as an earlier order could have been under way.
func (d *Daemon) fenced(now time.Time, p pool.Pool, x *duty) bool {
	return p.ChecksFence || now.Sub(x.heldSince) >= d.Settings.Timing.Lease
}

// order writes the order's row and then sends the order, all within the lease.
func (d *Daemon) order(ctx context.Context, e sendOrder) error {
	epoch, until, ok := e.lease.Held()
	if !ok {
		return trace.CompareFailed("the lease has run out")
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(d.now()))
	defer cancel()
	o := orderRow{ID: newID(), Epoch: epoch, Target: e.target, Version: e.version, At: d.now().UTC()}
	value, err := json.Marshal(o)
	if err != nil {
		return trace.Wrap(err)
	}
	key := orderPrefix + e.pool + "/" + e.target
	if err := d.table.Commit(ctx, table.Transaction{Put: []table.Row{{Key: key, Value: value}}}); err != nil {
		return trace.Wrap(err)
	}
	if held, _, ok := e.lease.Held(); !ok || held != epoch {
		return trace.CompareFailed("the lease has run out")
	}
	err = d.engines.Send(ctx, e.address, engine.Order{ID: o.ID, Epoch: epoch, Version: e.version, Deadline: time.Now().Add(until.Sub(d.now()))})
	r := decision.Record{
		At: d.now(), Kind: decision.Ordered, Pool: e.pool, Rule: "configured weights", Result: e.target,
		Inputs: fmt.Sprintf("load %s under epoch %d, order %s", e.version, epoch, o.ID),
	}
	if err != nil {
		r.Result += ": " + trace.Unwrap(err).Error()
	}
	d.records.Add(r)
	return trace.Wrap(err)
}

// orderPrefix comes before the pool and target of an order's row.
const orderPrefix = "order/"

func (d *Daemon) readOrders(ctx context.Context, e readOrders) message {
	rows, err := d.table.ListAll(ctx, orderPrefix+e.pool+"/")
	m := ordersRead{duty: e.duty, err: err}
	for _, row := range rows {
		var o orderRow
		if json.Unmarshal(row.Value, &o) == nil {
			m.orders = append(m.orders, o)
		}
	}
	return m
}

// releaseLeases gives all leases back, for a planned stop.
func (d *Daemon) releaseLeases(ctx context.Context) {
	var leases []*lease.Lease
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for _, x := range t.dutiesByName {
			leases = append(leases, x.lease)
		}
	})
	for _, l := range leases {
		if err := l.Release(ctx); err != nil {
			d.Log.Warn("a lease was not given back; it runs out by itself", "duty", l.Name, "err", err)
		}
	}
}
