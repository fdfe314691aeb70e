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

// The duties: work that one daemon at a time does, under a lease.
const (
	dutyCharges = "charges"
	// dutyOrders is followed by a pool's name.
	dutyOrders = "orders/"
)

// dutyCandidates is how many boxes compete for each duty's lease. When some of
// them leave the list of boxes, others take their places.
const dutyCandidates = 3

// weightsLoadTimeout is how long a target may take to load weights.
const weightsLoadTimeout = 30 * time.Second

// duty is one lease with the state that its holder needs.
type duty struct {
	lease *lease.Lease
	// epoch is the last epoch under which the lease was seen to be held, or 0 if reading
	// the orders failed since. Under another epoch the orders have to be read again.
	epoch uint64
	// heldSince is when this epoch was first seen to be held.
	heldSince time.Time
	// ordersKnown is set once the orders of earlier holders were read.
	ordersKnown bool
	rollout     weights.Rollout
	nextRenewal time.Time
}

// renewLease renews or acquires a lease.
type renewLease struct {
	duty  string
	lease *lease.Lease
}

// leaseRenewed is the result of renewLease.
type leaseRenewed struct {
	duty string
	err  error
}

// readOrders reads the orders recorded for a pool.
type readOrders struct{ duty, pool string }

// ordersRead is the result of readOrders.
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

// sendOrder orders a target to load weights, under a lease.
type sendOrder struct {
	lease   *lease.Lease
	pool    string
	target  string
	address netip.AddrPort
	version string
}

// renewLeases renews or acquires the leases of the duties that this box is a
// candidate for.
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

// dutyNames lists the duties of the configuration in force.
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

// duty returns a duty's state and creates it if it is missing.
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

// candidate reports whether this box is one of those that compete for a duty.
func (d *Daemon) candidate(t *tables, name string) bool {
	return d.rank(t, placement.Hash(name)) < dutyCandidates
}

// leaseRenewed records whether the lease is held and under which epoch.
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
		x.epoch = 0 // The orders are read again when the lease is next renewed.
		return nil
	}
	for _, o := range m.orders {
		// This box can't tell when the order was sent; it may have been just now.
		x.rollout.Note(o.Target, o.Version, now)
	}
	x.ordersKnown = true
	return nil
}

// advanceRollouts orders targets to load the configured weights.
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

// fenced reports whether orders of earlier holders can do no harm any more.
// Targets that check the epoch refuse them. For other targets a new holder waits
// for one lease length, the longest that an earlier order can be in flight.
func (d *Daemon) fenced(now time.Time, p pool.Pool, x *duty) bool {
	return p.ChecksFence || now.Sub(x.heldSince) >= d.Settings.Timing.Lease
}

// order writes the order's row and then sends the order, both while the lease is
// held.
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

// orderPrefix is the prefix of order rows; the pool and the target follow.
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

// releaseLeases releases all leases, for a planned stop.
func (d *Daemon) releaseLeases(ctx context.Context) {
	var leases []*lease.Lease
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for _, x := range t.dutiesByName {
			leases = append(leases, x.lease)
		}
	})
	for _, l := range leases {
		if err := l.Release(ctx); err != nil {
			d.Log.Warn("lease could not be released; it expires on its own", "duty", l.Name, "err", err)
		}
	}
}
