package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/table"
)

// TestWeightsOrders goes through a rollout by one box: orders only with the lease, two at a
// time, and none to a target that another holder ordered recently.
func TestWeightsOrders(t *testing.T) {
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 2)}}, false})
	if effects := d.rollWeights(now, &d.tables); len(effects) != 1 {
		t.Fatalf("without the lease: %v", effects)
	}
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	if effects := d.rollWeights(now, &d.tables); len(effects) != 0 {
		t.Fatalf("orders before the earlier holder's rows were read: %v", effects)
	}
	last := table.Row{Key: rolloutPrefix + "m", Value: []byte(`{"epoch":0,"version":2,"loading":["a"],"recent":["a"]}`)}
	d.update(now, leaseStepped{read: true, rows: []table.Row{last}})
	if got := orderedTargets(t, d, now); got != "b c " {
		t.Errorf("ordered %q, want all but a, which another box ordered", got)
	}
	if !d.tables.fleet.Target("b").Loading(now) {
		t.Error("a target that was ordered takes requests")
	}
	d.update(now, orderEnded{"b", "m", 2, nil})
	d.update(now, orderEnded{"c", "m", 2, nil})
	if got := orderedTargets(t, d, now); got != "" {
		t.Errorf("ordered %q too early", got)
	}
	now = now.Add(d.bounds.Load().Takeover + handoverMargin + time.Millisecond)
	d.tables.readEpoch = 1
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	epoch, _, _ := d.lease.Held()
	d.tables.readEpoch = epoch
	if got := orderedTargets(t, d, now); got != "a " {
		t.Errorf("ordered %q, want a", got)
	}
}

// orderedTargets runs the rollout and returns the targets that get orders.
func orderedTargets(t *testing.T, d *Daemon, now time.Time) string {
	t.Helper()
	got := ""
	for _, e := range d.rollWeights(now, &d.tables) {
		a, ok := e.(announce)
		if !ok {
			continue
		}
		for _, sent := range d.update(now, announced{a, nil}) {
			got += sent.(sendOrder).order.Target + " "
		}
	}
	return got
}

// TestNoOrderWithoutRow checks that no order is sent of which a successor would not know.
func TestNoOrderWithoutRow(t *testing.T) {
	d := newDaemon("b1")
	d.tables.rolloutOf("m").planned = []string{"a"}
	if effects := d.update(start, announced{announce{model: "m"}, errors.New("lost")}); len(effects) != 0 {
		t.Errorf("effects %v", effects)
	}
}

// TestLateRow checks that a late row of an earlier holder is ignored.
func TestLateRow(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	row := func(epoch, loading string) {
		d.update(start, ownRead{change: OwnRows{Rows: []table.Row{{Key: rolloutPrefix + "m", Value: []byte(`{"epoch":` + epoch + `,"version":2,"loading":[` + loading + `],"done":[]}`)}}}})
	}
	row("4", "")
	row("3", `"a"`)
	if d.tables.fleet.Target("a").Loading(start) {
		t.Error("a late row counts")
	}
	row("4", `"a"`)
	if !d.tables.fleet.Target("a").Loading(start) {
		t.Error("the holder's row does not count")
	}
}

// TestLearnVersion checks what is learned from targets' refusals about their weights.
func TestLearnVersion(t *testing.T) {
	tests := []struct {
		name    string
		ended   deliver.AttemptResult
		version int64
		loading bool
		known   bool
	}{
		{"other weights, told", deliver.AttemptResult{Verdict: deliver.OtherVersion, Version: 3}, 3, false, true},
		{"other weights, not told", deliver.AttemptResult{Verdict: deliver.OtherVersion}, 1, true, true},
		{"turned away during a rollout", deliver.AttemptResult{Verdict: deliver.DidNotRun}, 1, true, true},
		{"another replica has the address", deliver.AttemptResult{Verdict: deliver.OtherReplica}, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.tables.rolloutOf("m").newestVersion = 2
			x := d.tables.fleet.Target("a")
			x.Sent(start, 0, 0)
			tt.ended.Place, tt.ended.Job = deliver.Placement{Target: "a"}, job("long", 10)
			d.update(start, attemptEnded{tt.ended})
			if known := d.tables.fleet.Target("a") != nil; known != tt.known {
				t.Errorf("known %v", known)
			}
			if tt.known && (x.Versions["m"] != tt.version || x.Loading(start) != tt.loading) {
				t.Errorf("version %d, loading %v", x.Versions["m"], x.Loading(start))
			}
		})
	}
}

// TestOrderToReplacedTarget has an order meet another replica at the target's address. The
// target is gone for good, so its slot among the concurrent loads is free for the next one at
// once and not after maxLoadTime.
func TestOrderToReplacedTarget(t *testing.T) {
	d := newDaemon("b1")
	d.now = func() time.Time { return start }
	d.lease.Now = d.now
	d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1), engine("c", 1)}}, false})
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	epoch, _, _ := d.lease.Held()
	d.tables.readEpoch = epoch
	if got := orderedTargets(t, d, start); got != "a b " {
		t.Fatalf("ordered %q", got)
	}
	orders := 0
	d.Platform.Report = func(context.Context, netip.AddrPort) (Report, error) { return Report{}, nil }
	d.Platform.Order = func(context.Context, netip.AddrPort, rollout.Order) (notice.Signals, error) {
		orders++
		return notice.Signals{}, ErrReplaced
	}
	err := d.loadWeights(context.Background(), sendOrder{rollout.Order{Target: "a", Model: "m", Version: 2, Epoch: epoch}, netip.AddrPort{}, fleet.Incarnation{}})
	if !errors.Is(err, ErrReplaced) || orders != 1 {
		t.Fatalf("%d orders, %v", orders, err)
	}
	d.update(start, orderEnded{"a", "m", 2, err})
	if d.tables.fleet.Target("a") != nil {
		t.Error("the target is still there")
	}
	if got := orderedTargets(t, d, start); got != "c " {
		t.Errorf("ordered %q, want c", got)
	}
}

// TestOrderToUnreachableTarget checks that an unreachable engine holds its slot among the
// concurrent loads for a few polls only. Otherwise an outage of one engine would stop the
// rollout for 6 s at each attempt.
func TestOrderToUnreachableTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("b1")
		polls := 0
		d.Platform.Report = func(context.Context, netip.AddrPort) (Report, error) {
			polls++
			return Report{}, fmt.Errorf("%w: refused", exchange.ErrNotSent)
		}
		err := d.loadWeights(context.Background(), sendOrder{order: rollout.Order{Target: "a", Model: "m", Version: 2}})
		if !errors.Is(err, errUnreachable) || polls != maxUnreachablePolls {
			t.Errorf("%d polls, %v", polls, err)
		}
		d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
		d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
		d.update(start, orderEnded{"a", "m", 2, err})
		w := d.tables.rolloutOf("m")
		for _, after := range []time.Duration{0, orderRetryDelay} {
			replicas := d.replicas(start.Add(after), &d.tables, "m", w)
			if barred := replicas[0].Barred; barred != (after < orderRetryDelay) {
				t.Errorf("after %v: barred %v", after, barred)
			}
		}
	})
}

// TestTurnedAwayWhileLoading has a target that is loading turn a request away. It stays out
// until it has loaded, as the refusal says no more than the order did.
func TestTurnedAwayWhileLoading(t *testing.T) {
	for _, verdict := range []int{deliver.DidNotRun, deliver.OtherVersion} {
		d := newDaemon("b1")
		d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
		d.tables.rolloutOf("m").newestVersion = 2
		x := d.tables.fleet.Target("a")
		x.LoadingUntil = start.Add(2 * time.Second)
		x.Sent(start, 0, 0)
		d.update(start, attemptEnded{deliver.AttemptResult{Verdict: verdict, Place: deliver.Placement{Target: "a"}, Job: job("long", 10)}})
		if !x.Loading(start.Add(time.Second)) {
			t.Errorf("verdict %d: work goes there again a second after the order", verdict)
		}
	}
}
