package entry

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
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
				d.update(w.now, keeperSilent{box: keeper, err: syscall.ECONNREFUSED})
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

// TestBusyKeeper guards against boxes that take another keeper, which then has to learn what is under way, while
// theirs is merely late: for several asks at once, or for all for a while. One that says nothing for long, or
// that refuses connections, is given up.
func TestBusyKeeper(t *testing.T) {
	tests := []struct {
		name string
		// stalls is for how long the keeper answers nothing at first, negative if it has ended. Each answer
		// takes late.
		stalls, late time.Duration
		given        bool
	}{
		{"one stall under many asks", 600 * time.Millisecond, 0, false},
		{"each answer is late", 0, 450 * time.Millisecond, false},
		{"silent", 3 * time.Second, 0, true},
		{"ended", -1, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			node := peer.Node{Credential: "secret", Handle: func(context.Context, peer.Message) peer.Message {
				<-time.After(max(time.Until(began.Add(tt.stalls)), tt.late))
				return peer.Message{PermitAnswer: &peer.PermitAnswer{}}
			}, OnSent: func(int) {}, OnReceived: func(int) {}}
			server := httptest.NewServer(node.Handler())
			defer server.Close()
			at := netip.MustParseAddrPort(server.Listener.Addr().String())
			if tt.stalls < 0 {
				server.Close()
			}
			d, _, _ := brittleKeeper()
			d.now = time.Now
			credential := "secret"
			d.credential.Store(&credential)
			pool := poolHashOf("orders")
			view := &brittleView{pools: map[uint32]brittlePool{pool: {4, start, start}}, keepers: []string{"b"}, addresses: map[string]netip.AddrPort{"b": at}}
			d.brittleView.Store(view)
			var asks sync.WaitGroup
			for time.Since(began) < 2500*time.Millisecond {
				for range 4 {
					asks.Go(func() { _, _, _ = d.askKeeper(t.Context(), view, permitAsk{pool: pool, wait: 10 * time.Millisecond}) })
				}
				<-time.After(150 * time.Millisecond)
			}
			asks.Wait()
			given := false
			for len(d.messages) > 0 {
				_, silent := (<-d.messages).(keeperSilent)
				given = given || silent
			}
			if given != tt.given {
				t.Errorf("given up: %v, want %v", given, tt.given)
			}
		})
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

// TestAsksUntilTold has a box that starts among others ask whether a pool is brittle until one of them has told it,
// for a while.
func TestAsksUntilTold(t *testing.T) {
	pool := poolHashOf("orders")
	tests := []struct {
		name string
		then func(d *Daemon)
		at   time.Duration
		want bool
	}{
		{"it was told nothing yet", func(*Daemon) {}, time.Second, true},
		{"another box has told it", func(d *Daemon) {
			d.receiveBrittle(start, start, &d.tables, peer.Message{From: "b"})
		}, time.Second, false},
		{"nobody tells it", func(*Daemon) {}, unheardFor, false},
	}
	for _, tt := range tests {
		d := newDaemon("a")
		d.startedAt = start
		d.tables.members["b"] = &member{address: netip.MustParseAddrPort("127.0.0.1:1"), heardAt: start}
		tt.then(d)
		d.publishBrittle(start.Add(tt.at), &d.tables)
		if got := d.brittleView.Load().asks(pool); got != tt.want {
			t.Errorf("%s: it asks: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// brittleKeeper returns a box that keeps brittle targets itself, with a request for one of them.
func brittleKeeper() (*Daemon, *deliver.Job, deliver.Placement) {
	d := newDaemon("a")
	d.now = func() time.Time { return start }
	d.brittleView.Store(&brittleView{pools: map[uint32]brittlePool{poolHashOf("orders"): {4, start.Add(-time.Minute), start}}, keepers: []string{"a"}})
	return d, &deliver.Job{Call: &deliver.Call{}, Pool: &routing.Pool{Name: "orders"}, Route: &routing.Route{}}, deliver.Placement{Target: "t1", Slots: 6}
}

// TestFullTargetIsPaused has a box leave a target alone for a moment once a request has waited there in vain, and
// one with a permit that is not used give it back.
func TestFullTargetIsPaused(t *testing.T) {
	d, j, place := brittleKeeper()
	key := placementIncarnation(place)
	given := d.permitFor(context.Background(), j, place, 0)
	if given.target.Key != key {
		t.Fatalf("the first request may go to %q", given.target.Key)
	}
	if d.permitFor(context.Background(), j, place, 0).target.Key != "" || d.permits.isPaused(start, key, urgencyOf(j)) {
		t.Error("a target is left alone for a request that did not wait")
	}
	if d.permitFor(context.Background(), j, place, time.Millisecond).target.Key != "" || !d.permits.isPaused(start, key, urgencyOf(j)) {
		t.Error("a full target is asked for at once again")
	}
	if d.permits.isPaused(start, key, urgencyOf(j)-1) {
		t.Error("a more urgent request may not ask")
	}
	d.returnPermit(given)
	if held, _ := d.keeper.Held(); held != 0 {
		t.Errorf("%d permits are held after it was given back", held)
	}
}

// TestProbesTakeRoom has a health probe be sent only where a request could be.
func TestProbesTakeRoom(t *testing.T) {
	d, j, place := brittleKeeper()
	p := probe{target: "t1", pool: "orders", slots: 6, incarnation: fleet.Incarnation{ID: "t1"}}
	if number, err := d.permitProbe(context.Background(), p); err != nil || number == 0 {
		t.Errorf("a probe of an empty target: %v", err)
	}
	if d.permitFor(context.Background(), j, place, 0).target.Key != "" {
		t.Error("a request goes to a target that may have room for the probe alone")
	}
	if _, err := d.permitProbe(context.Background(), p); !errors.Is(err, notice.ErrBrittle) {
		t.Errorf("another probe: %v", err)
	}
}

// TestUrgency has a stream that goes on ask before one that begins, after those of a more urgent route.
func TestUrgency(t *testing.T) {
	route := &routing.Route{Stream: true, Priority: 1}
	begins, goesOn := &deliver.Job{Call: &deliver.Call{}, Route: route}, &deliver.Job{Call: &deliver.Call{LastEventID: "3"}, Route: route}
	urgent := &deliver.Job{Call: &deliver.Call{}, Route: &routing.Route{Stream: true}}
	if urgencyOf(urgent) >= urgencyOf(goesOn) || urgencyOf(goesOn) >= urgencyOf(begins) {
		t.Errorf("urgent %d, goes on %d, begins %d", urgencyOf(urgent), urgencyOf(goesOn), urgencyOf(begins))
	}
}

// TestStartingBoxKeepsNothing guards against a box that starts and takes all pools for brittle whose targets it
// would keep, and against one that sends freely to a pool that another box has just called brittle.
func TestStartingBoxKeepsNothing(t *testing.T) {
	pool := poolHashOf("orders")
	told := peer.Message{From: "b", PermitAnswer: &peer.PermitAnswer{Keeper: "a"}, BrittlePools: []peer.BrittlePool{{Pool: pool, Bears: 4}}}
	node := peer.Node{Credential: "secret", Handle: func(context.Context, peer.Message) peer.Message { return told }, OnSent: func(int) {}, OnReceived: func(int) {}}
	server := httptest.NewServer(node.Handler())
	defer server.Close()
	tests := []struct {
		name    string
		keepers []string
		want    bool
	}{
		{"it would keep the targets and knows no other box", []string{"a"}, true},
		{"another box says that it is to keep them", []string{"b"}, false},
		{"another box says so when asked in its place", []string{"a", "b"}, false},
	}
	for _, tt := range tests {
		d, j, place := brittleKeeper()
		credential := "secret"
		d.credential.Store(&credential)
		d.brittleView.Store(&brittleView{keepers: tt.keepers, unheard: true, addresses: map[string]netip.AddrPort{"b": netip.MustParseAddrPort(server.Listener.Addr().String())}})
		for range 3 {
			if got := d.permitFor(context.Background(), j, place, time.Millisecond).target.Key != ""; got != tt.want {
				t.Errorf("%s: it may go: %v, want %v", tt.name, got, tt.want)
			}
		}
		news := false
		for len(d.messages) > 0 {
			m, ok := (<-d.messages).(brittleTold)
			news = news || ok && m.message.From == "b"
		}
		if news == tt.want {
			t.Errorf("%s: the loop is told: %v", tt.name, news)
		}
	}
}

// TestGivenUpAskIsToldAtOnce guards against a keeper that holds room for requests which their box has given up, as its answer was
// late.
func TestGivenUpAskIsToldAtOnce(t *testing.T) {
	told := make(chan peer.PermitReport, 8)
	node := peer.Node{Credential: "secret", Handle: func(_ context.Context, m peer.Message) peer.Message {
		for _, r := range m.Permits.Reports {
			told <- r
		}
		if m.Permits.Ask != nil {
			<-time.After(2 * permitTimeout)
		}
		return peer.Message{PermitAnswer: &peer.PermitAnswer{}}
	}, OnSent: func(int) {}, OnReceived: func(int) {}}
	server := httptest.NewServer(node.Handler())
	defer server.Close()
	d, j, place := brittleKeeper()
	d.now = time.Now
	credential := "secret"
	d.credential.Store(&credential)
	d.brittleView.Store(&brittleView{pools: map[uint32]brittlePool{poolHashOf("orders"): {4, start, start}}, keepers: []string{"b"}, addresses: map[string]netip.AddrPort{"b": netip.MustParseAddrPort(server.Listener.Addr().String())}})
	if given := d.permitFor(t.Context(), j, place, time.Millisecond); given.target.Key != "" {
		t.Fatalf("it has a permit for %q", given.target.Key)
	}
	select {
	case r := <-told:
		if r.Number != 1 || r.End != permit.NotSent {
			t.Errorf("the keeper is told %+v", r)
		}
	case <-time.After(5 * time.Second):
		t.Error("the keeper is told nothing")
	}
}
