package entry

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/permit"
	"github.com/thymewind/thymewind/routing"
)

// TestKeeperOutOfReach guards against a box that does not reach the one that keeps its targets, as others do: it
// refused its callers, or gave the room out a second time.
func TestKeeperOutOfReach(t *testing.T) {
	const pool = "orders"
	// The first of three names by the hash keeps the targets, the second comes next.
	all := brittleView{keepers: []string{"k1", "k2", "k3"}}
	first := all.keeperOf(poolHashOf(pool), 0)
	second := all.otherKeeperOf(poolHashOf(pool), 0, first)
	third := (&brittleView{keepers: remove(remove(all.keepers, first), second)}).keeperOf(poolHashOf(pool), 0)
	tests := []struct {
		name, box string
		// gone says that the keeper is out of reach of all boxes, alone that the other box does not answer this one.
		gone, alone bool
		// keeper is the one that gives the permit.
		keeper string
	}{
		{"another box passes it on", third, false, false, first},
		{"the box that would be next asks another one", second, false, false, first},
		{"it has ended", third, true, false, second},
		{"it has ended, and the box is next", second, true, false, second},
		{"it has ended, and nobody else answers", second, true, true, second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			boxes, address := make(map[string]*Daemon), make(map[string]netip.AddrPort)
			for _, name := range all.keepers {
				d := newDaemon(name)
				d.now = time.Now
				credential := "secret"
				d.credential.Store(&credential)
				server := httptest.NewServer(d.peers.Handler())
				defer server.Close()
				boxes[name], address[name] = d, netip.MustParseAddrPort(server.Listener.Addr().String())
			}
			for name, d := range boxes {
				view := &brittleView{pools: map[uint32]brittlePool{poolHashOf(pool): {4, time.Now().Add(-time.Minute), time.Now()}}, addresses: make(map[string]netip.AddrPort), unreached: make(map[string]bool)}
				for other, at := range address {
					unreached := other == first && (tt.gone || name == tt.box)
					view.unreached[other] = unreached
					if unreached || tt.alone && name == tt.box {
						at = netip.MustParseAddrPort("127.0.0.1:1")
					}
					if other != name {
						view.addresses[other] = at
					}
					if !unreached {
						view.keepers = append(view.keepers, other)
					}
				}
				d.brittleView.Store(view)
			}
			d := boxes[tt.box]
			j := &deliver.Job{Call: &deliver.Call{}, Pool: &routing.Pool{Name: pool}, Route: &routing.Route{}}
			given := d.permitFor(t.Context(), j, deliver.Placement{Target: "t1", Slots: 6}, 10*time.Millisecond)
			if given.permit.Keeper != tt.keeper {
				t.Fatalf("%q gives the permit, want %q", given.permit.Keeper, tt.keeper)
			}
			for name, box := range boxes {
				if held, _ := box.keeper.Held(); held > 0 != (name == tt.keeper) {
					t.Errorf("%s has given %d permits", name, held)
				}
			}
			d.tell(d.permits.report(given.permit.Number, permit.Answered))
			for end := time.Now().Add(2 * time.Second); ; <-time.After(time.Millisecond) {
				held, _ := boxes[tt.keeper].keeper.Held()
				if held == 0 {
					break
				}
				if time.Now().After(end) {
					t.Fatal("the end of the request is not told")
				}
			}
		})
	}
}

func remove(list []string, name string) []string {
	var rest []string
	for _, x := range list {
		if x != name {
			rest = append(rest, x)
		}
	}
	return rest
}

// TestEndedKeeperIsLeftAlone guards against boxes that all have others pass on what they hold to a box that has ended.
func TestEndedKeeperIsLeftAlone(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want bool
	}{{syscall.ECONNREFUSED, false}, {context.DeadlineExceeded, true}} {
		w := brittleOrders(6, 1)
		w.advance(time.Second, nil)
		keeper := w.keeperOf(t)
		d := w.boxes[0]
		if keeper == d.Settings.Name {
			d = w.boxes[1]
		}
		d.update(w.now, keeperSilent{box: keeper, err: tt.err})
		view := d.brittleView.Load()
		if got := view.wayTo(keeper) != keeper; got != tt.want {
			t.Errorf("%v: another box passes on to it: %v, want %v", tt.err, got, tt.want)
		}
		if slices.Contains(view.keepers, keeper) {
			t.Errorf("%v: it is asked for permits", tt.err)
		}
		d.permits.begin(w.now, d.permits.number(), heldPermit{pool: poolHashOf("orders"), target: permit.Target{Key: "t1"}, keeper: keeper})
		delete(d.permits.held, d.permits.next)
		d.tables.due.renew = w.now
		for _, e := range d.renewPermits(w.now, &d.tables) {
			if x, ok := e.(renewAt); ok && x.keeper == keeper && tt.want {
				t.Errorf("%v: it is told that nothing is held, through another box", tt.err)
			}
		}
	}
}
