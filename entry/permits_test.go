package entry

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/permit"
	"github.com/thymewind/thymewind/routing"
)

// brittleOrders starts an emulated fleet with one target, which one of its boxes hears is brittle.
func brittleOrders(boxes, domains int) *emulator {
	w := emulate(boxes, domains, configuration(1))
	w.addTargets(fleet.Entry{ID: "t1", Pool: "orders", Slots: 6})
	w.advance(3*time.Second, nil)
	i := slices.IndexFunc(w.boxes, func(d *Daemon) bool { return d.tables.fleet.Target("t1") != nil })
	w.boxes[i].observeSignals(w.now, fleet.Incarnation{ID: "t1"}, notice.Signals{Brittle: 4}, "an answer")
	return w
}

// TestBrittlePoolIsTold guards against boxes that never heard that a pool is brittle, as they seldom read an
// answer of it, and against another start of a target that counts as sound.
func TestBrittlePoolIsTold(t *testing.T) {
	for _, boxes := range []int{6, 83} {
		w := brittleOrders(boxes, 2)
		w.advance(time.Second, nil)
		for _, d := range w.boxes {
			b, known := d.brittleView.Load().pools[poolHashOf("orders")]
			if !known || b.bears != 4 {
				t.Errorf("of %d boxes %s knows %+v, %v", boxes, d.Settings.Name, b, known)
			}
		}
		w.removeTargets("t1")
		w.addTargets(fleet.Entry{ID: "t2", Pool: "orders", Slots: 6})
		w.advance(time.Second, nil)
		if d := w.boxes[0]; !d.brittleView.Load().asks(poolHashOf("orders")) {
			t.Errorf("of %d boxes one sends to another start without a permit", boxes)
		}
		w.advance(notice.BrittleFor, nil)
		for _, d := range w.boxes {
			if len(d.brittleView.Load().pools) > 0 {
				t.Errorf("of %d boxes %s takes the pool for brittle long after", boxes, d.Settings.Name)
			}
		}
	}
}

// TestOneKeeper guards against boxes that ask different ones for the room of one target, also once the one that
// kept it has ended.
func TestOneKeeper(t *testing.T) {
	for _, boxes := range []int{6, 14, 83} {
		w := brittleOrders(boxes, 2)
		w.advance(time.Second, nil)
		keeper := w.keeperOf(t)
		w.dead[keeper] = true
		w.advance(4*time.Second, nil)
		for _, d := range w.boxes {
			if d.spoke.Load() && !w.dead[d.Settings.Name] { // Its ask is not answered.
				d.update(w.now, keeperSilent{box: keeper, silent: true})
			}
		}
		if next := w.keeperOf(t); next == keeper {
			t.Errorf("of %d boxes the others ask %s, which has ended", boxes, keeper)
		}
	}
}

// keeperOf returns the box that all boxes that are up ask for permits.
func (w *emulator) keeperOf(t *testing.T) string {
	t.Helper()
	keeper := ""
	for _, d := range w.boxes {
		if w.dead[d.Settings.Name] {
			continue
		}
		own := d.brittleView.Load().keeperOf(poolHashOf("orders"), 0)
		if keeper == "" {
			keeper = own
		}
		if own != keeper || own == "" {
			t.Errorf("of %d boxes %s asks %q, others %q", len(w.boxes), d.Settings.Name, own, keeper)
		}
	}
	return keeper
}

// TestLateKeeper has a box keep to the one that keeps its targets while that answers late now and then.
func TestLateKeeper(t *testing.T) {
	w := brittleOrders(6, 1)
	w.advance(time.Second, nil)
	keeper := w.keeperOf(t)
	d := w.boxes[0]
	if keeper == d.Settings.Name {
		d = w.boxes[1]
	}
	late := keeperSilent{box: keeper, silent: true, late: true}
	for range maxKeeperMisses - 1 {
		d.update(w.now, late)
	}
	if got := d.brittleView.Load().keeperOf(poolHashOf("orders"), 0); got != keeper {
		t.Errorf("after %d late answers it asks %s", maxKeeperMisses-1, got)
	}
	d.update(w.now, late)
	if got := d.brittleView.Load().keeperOf(poolHashOf("orders"), 0); got == keeper {
		t.Errorf("after %d late answers it still asks it", maxKeeperMisses)
	}
}

// TestPermitExpires has a request that was held up in its box be kept from a brittle target.
func TestPermitExpires(t *testing.T) {
	d := newDaemon("a")
	d.now = func() time.Time { return start }
	for _, tt := range []struct {
		age  time.Duration
		want error
	}{{permitTTL, nil}, {permitTTL + 1, notice.ErrBrittle}} {
		place := deliver.Placement{Permit: deliver.Permit{Number: 1, Keeper: "b", GivenAt: start.Add(-tt.age)}}
		if got := d.allow(fleet.Incarnation{ID: "t1"}, deliver.Attempt{Job: &deliver.Job{Call: &deliver.Call{}}, Place: place}); got != tt.want {
			t.Errorf("a permit given %v ago: %v, want %v", tt.age, got, tt.want)
		}
	}
}

// TestRenewals checks what a box tells the boxes that keep targets: all that it holds, also of requests sent
// before the pool was brittle, up to those that it is asking for.
func TestRenewals(t *testing.T) {
	p := newPermits(1)
	pool := poolHashOf("orders")
	view := &brittleView{pools: map[uint32]brittlePool{pool: {bears: 4}}, groups: map[uint32]int{pool: 1}, keepers: []string{"k"}}
	first, second, other := p.number(), p.number(), p.number()
	p.begin(start, first, heldPermit{pool: pool, target: permit.Target{Key: "t1", Places: 6}})
	p.begin(start, other, heldPermit{pool: poolHashOf("models"), target: permit.Target{Key: "e1"}})
	upTo, held := p.renew(start, view)
	if upTo != second-1 || len(held["k"]) != 1 || held["k"][0].Number != first {
		t.Errorf("up to %d it holds %+v", upTo, held)
	}
	p.begin(start, second, heldPermit{pool, permit.Target{Key: "t1", Places: 6}, "earlier", false})
	if upTo, held = p.renew(start, view); upTo != other || len(held["k"]) != 2 || len(held["earlier"]) != 2 {
		t.Errorf("up to %d it holds %+v", upTo, held)
	}
	if box := p.report(first, permit.Answered); box != "k" {
		t.Errorf("the end of a request that was sent without a permit is told to %q", box)
	}
}

// TestStartsWithoutOtherBoxes guards against a box that refuses requests as it starts, while it can't ask the
// others which pools are brittle.
func TestStartsWithoutOtherBoxes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(closed.Addr().String())
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	d := newDaemon("a")
	j := &deliver.Job{Call: &deliver.Call{}, Pool: &routing.Pool{Name: "orders"}, Route: &routing.Route{}}
	place := deliver.Placement{Target: "t1", Slots: 6}
	for _, tt := range []struct {
		name    string
		pools   map[uint32]brittlePool
		granted bool
		keepers []string
	}{
		{"nobody has said that the pool is brittle", nil, true, []string{"b"}},
		{"no other box is known to answer", nil, true, nil},
		{"the pool is brittle", map[uint32]brittlePool{poolHashOf("orders"): {bears: 4}}, false, []string{"b"}},
	} {
		d.brittleView.Store(&brittleView{pools: tt.pools, keepers: tt.keepers, addresses: map[string]netip.AddrPort{"b": address}, unheard: true})
		given := d.permitFor(context.Background(), j, place, time.Millisecond)
		if got := given.target.Key == placementIncarnation(place); got != tt.granted {
			t.Errorf("%s: it may go there: %v, want %v", tt.name, got, tt.granted)
		}
	}
}
