package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// TestRetryBudgetAtHubs has a fleet with more boxes than may save up one retry each serve
// requests, one in seven of which needs a retry. With hubs nearly all get one, and what the
// hubs hold stays within the fleet's bound. Without hubs nearly none gets one.
func TestRetryBudgetAtHubs(t *testing.T) {
	t.Parallel()
	const boxes, domains, extra = 120, 7, 160
	for _, hubs := range []bool{true, false} {
		w := emulate(boxes, domains, configuration(1))
		for _, d := range w.boxes {
			d.bounds.Load().RetryExtra = extra
			d.budget.Share = 0.14
			for _, other := range w.boxes[strongPerDomain*domains:] { // Only the hubs have rows.
				if other != d {
					delete(d.tables.members, other.Settings.Name)
				}
			}
			d.unlisted.Store(d.Settings.Box.Share < hubShare)
		}
		w.advance(3*time.Second, nil)
		granted, requested, n := 0, 0, 0
		w.advance(10*time.Second, func() {
			for _, d := range w.boxes[n%20:] {
				if n++; n%20 != 0 {
					continue
				}
				d.earn("orders")
				if n%140 == 0 {
					requested++
					if hubs && w.spend(d) || !hubs && d.budget.Spend("orders") {
						granted++
					}
				}
			}
		})
		t.Logf("with hubs %v: %d of %d retries", hubs, granted, requested)
		if hubs && granted < requested*9/10 || !hubs && granted > requested/10 {
			t.Errorf("with hubs %v: %d of %d requests are tried again", hubs, granted, requested)
		}
	}
}

// spend asks for a retry as Daemon.spend does, without a network.
func (w *emulator) spend(d *Daemon) bool {
	l := d.retryBudget.Load()
	switch {
	case l == nil:
		return d.budget.Spend("orders")
	case l.local:
		return d.sharedRetryBudget.Spend("orders")
	}
	for name, m := range d.tables.members {
		if m.address == l.hub && w.byName[name] != nil {
			to := w.byName[name]
			return to.peerRequest(w.now, &to.tables, peer.Message{Kind: peer.KindRetry, From: d.Settings.Name, RetryPool: "orders"}).RetryGranted
		}
	}
	return false
}

// TestRetryBudgetSource checks where a box's retry budget is kept.
func TestRetryBudgetSource(t *testing.T) {
	tests := []struct {
		name  string
		box   string
		extra float64
		// boxes is the number of boxes and unlisted that of boxes without a row, both as
		// reported by a hub.
		boxes, unlisted int
		hub             string
		want            *retryBudgetSource
	}{
		{"boxes that know each other", "box-05", 10, 0, 0, "box-00", nil},
		{"a box has joined, of which only the hub knows", "box-05", 10, 21, 0, "box-00", nil},
		{"few enough for one each", "box-05", 100, 30, 10, "box-00", nil},
		{"more than that", "box-05", 10, 30, 10, "box-00", &retryBudgetSource{hub: netip.MustParseAddrPort("10.0.0.1:1")}},
		{"a hub", "box-00", 10, 30, 10, "", &retryBudgetSource{local: true}},
		{"no hub has answered", "box-05", 10, 30, 10, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := largeFleet(tt.box)
			d.bounds.Load().RetryExtra = tt.extra
			d.tables.hubBoxes, d.tables.hubUnlisted, d.tables.hub = tt.boxes, tt.unlisted, tt.hub
			d.chooseRetryBudget(start, &d.tables)
			got := d.retryBudget.Load()
			if (got == nil) != (tt.want == nil) || got != nil && *got != *tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
