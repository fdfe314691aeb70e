package entry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/rollout"
)

// TestSuspendedBox suspends a box between two checks: all ages include that time, and no
// earlier proof is trusted past its bound, whichever message arrives first.
func TestSuspendedBox(t *testing.T) {
	d := newDaemon("b1")
	suspendedFor := time.Duration(0)
	base := start
	d.now = func() time.Time { return base.Add(suspendedFor) }
	d.suspended = func() time.Duration { return suspendedFor }
	d.buildLease()
	d.update(d.now(), operatorRead{d.now(), Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}}})
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	held := func() bool { _, _, ok := d.lease.Held(); return ok }
	tests := []struct {
		name         string
		suspendedFor time.Duration
		fresh        bool
		held         bool
		weightsKnown bool
	}{
		{"awake", 0, true, true, true},
		{"for less than any bound", time.Second, true, true, true},
		{"past the lease", 3 * time.Second, true, false, true},
		{"past the bound on keys", 5 * time.Second, false, false, true},
		{"past the bound on weights", 25 * time.Second, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			suspendedFor = tt.suspendedFor
			if got := d.trustsKeys(d.now()); got != tt.fresh {
				t.Errorf("keys are trusted: %v", got)
			}
			if got := held(); got != tt.held {
				t.Errorf("the lease is held: %v", got)
			}
			if got := !d.weightsStale(d.now()); got != tt.weightsKnown {
				t.Errorf("weights are known: %v", got)
			}
			d.noteSuspension(d.now(), &d.tables)
			if d.tables.suspended != tt.suspendedFor {
				t.Errorf("logged a suspension of %v", d.tables.suspended)
			}
		})
	}
}

// TestReadAcrossSuspension has an answer wait in the machine while that is suspended: its proof
// is as old as the request.
func TestReadAcrossSuspension(t *testing.T) {
	d := newDaemon("b1")
	requestedAt := start
	d.now = func() time.Time { return requestedAt.Add(10 * time.Second) }
	d.update(d.now(), operatorRead{requestedAt, Operator{Table: configuration(1)}})
	if d.trustsKeys(d.now()) {
		t.Error("keys are trusted by an answer to a request sent 10 s before")
	}
}

// TestOrderEndsWithLease checks that an order carries the end of its lease, after which it must
// not be sent: a machine suspended while the connection is made would otherwise send it later.
func TestOrderEndsWithLease(t *testing.T) {
	d := newDaemon("b1")
	d.now = func() time.Time { return start }
	d.buildLease()
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	var sent rollout.Order
	d.Platform.Order = func(_ context.Context, _ netip.AddrPort, o rollout.Order) (notice.Signals, error) {
		sent = o
		return notice.Signals{}, nil
	}
	epoch, until, _ := d.lease.Held()
	if err := d.order(context.Background(), sendOrder{order: rollout.Order{Epoch: epoch}}); err != nil {
		t.Fatal(err)
	}
	if !sent.Until.Equal(until) {
		t.Errorf("until %v, want %v", sent.Until, until)
	}
}
