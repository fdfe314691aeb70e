package thymewind

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/settings"
	"github.com/thymewind/thymewind/target"
)

// newDaemon returns a daemon whose loop does not run.
func newDaemon(t *testing.T) *Daemon {
	t.Helper()
	d := &Daemon{
		Settings: settings.Settings{
			Name: "entry-1", Domain: "zone-a", Limits: settings.Limits{Records: 100},
			Timing: settings.Timing{Tick: time.Second, Poll: time.Second, Load: time.Second, Gossip: time.Second, Lease: time.Second},
		},
		Log: log.New(io.Discard), Registry: prometheus.NewRegistry(),
	}
	if err := d.build(); err != nil {
		t.Fatal(err)
	}
	return d
}

// testConfiguration returns a configuration with one model pool.
func testConfiguration(revision uint64) *configuration.Configuration {
	return &configuration.Configuration{
		Revision: revision,
		Pools:    map[string]pool.Pool{"menu": {Name: "menu", Kind: pool.KindModel, Weights: "v1", PieceBytes: 64, Concurrency: 100}},
		Models:   map[string]model.Model{"m": {Name: "m", Pool: "menu"}},
	}
}

// Events that a daemon learns of a target by.
const (
	listedLive = iota
	listedLeaving
	notListed
	reportsLive
	reportsLeaving
	peerReportsLeaving
	answersLeaving
	placementRequested
	eventKinds
)

// leavingGetsNoRequests is the property that no request is placed on a target at an
// address once any source has reported it as leaving.
func leavingGetsNoRequests(t *testing.T, usable func(*target.Target, time.Time) bool) gopter.Prop {
	return prop.ForAll(func(events []int) bool {
		d := newDaemon(t)
		d.chooser.Usable = usable
		d.update(time.Unix(1000, 0), configurationRead{configuration: testConfiguration(1)})
		w := targetEvents{leaving: make(map[string]bool)}
		for i, event := range events {
			now := time.Unix(1000+int64(i), 0)
			name := fmt.Sprintf("engine-%d", event/eventKinds%3)
			if !w.apply(d, now, name, event%eventKinds) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(60, gen.IntRange(0, 3*eventKinds-1)))
}

// targetEvents records which targets were reported as leaving.
type targetEvents struct{ leaving map[string]bool }

func address(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+int(name[len(name)-1])))
}

// apply applies one event to the daemon and reports whether the property still holds.
func (w *targetEvents) apply(d *Daemon, now time.Time, name string, event int) bool {
	switch event {
	case listedLive, listedLeaving, notListed:
		var list []boxes.Box
		for i := range 3 {
			b := boxes.Box{Name: fmt.Sprintf("engine-%d", i), Role: boxes.RoleEngine, Pool: "menu"}
			b.Address = address(b.Name)
			if b.Name == name && event == notListed {
				continue
			}
			b.Leaving = b.Name == name && event == listedLeaving
			list = append(list, b)
		}
		d.update(now, boxesRead{list: list})
	case reportsLive, reportsLeaving:
		d.update(now, loadRead{target: name, load: engine.Load{Version: "v1", Slots: 8, Leaving: event == reportsLeaving}})
	case peerReportsLeaving:
		gossip := peer.Message{Kind: peer.KindGossip, From: "entry-2", Leaving: []peer.Leaving{{Target: target.ID(name, address(name))}}}
		d.update(now, peerRequest{gossip, make(chan peer.Message, 1)})
	case answersLeaving:
		d.update(now, signalsReceived{route.Placement{Pool: "menu", Target: name, Address: address(name)}, notice.Signals{Leaving: true}})
	case placementRequested:
		reply := make(chan placementAnswer, 1)
		d.update(now, placementRequest{route.PlacementRequest{Request: "r", Model: "m", Attempt: 1}, reply})
		answer := <-reply
		return answer.err != nil || !w.leaving[answer.placed.Target]
	}
	// A target that the daemon does not know yet can't be marked as leaving.
	if x, known := d.tables.Targets.Lookup(name); known && x.Leaving {
		w.leaving[name] = true
	}
	return true
}

func TestLeavingTargetsGetNoRequests(t *testing.T) {
	proptest.Holds(t, leavingGetsNoRequests(t, (*target.Target).Usable))
}

func TestLeavingTargetsNeedTheMark(t *testing.T) {
	proptest.Violated(t, leavingGetsNoRequests(t, func(x *target.Target, _ time.Time) bool { return x.Listed }))
}

// neverReverts is the property that the revision in force is always the highest that
// arrived, whatever the order.
func neverReverts(t *testing.T, supersedes func(next, current *configuration.Configuration) bool) gopter.Prop {
	return prop.ForAll(func(revisions []int) bool {
		d := newDaemon(t)
		d.supersedes = supersedes
		highest := uint64(0)
		for _, revision := range revisions {
			d.update(time.Unix(1000, 0), configurationRead{configuration: testConfiguration(uint64(revision)), from: "entry-2"})
			highest = max(highest, uint64(revision))
			if d.tables.Configuration.Revision != highest || d.currentOrEmpty().Revision != highest {
				return false
			}
		}
		return true
	}, gen.SliceOfN(20, gen.IntRange(0, 9)))
}

func TestConfigurationNeverReverts(t *testing.T) {
	proptest.Holds(t, neverReverts(t, (*configuration.Configuration).Supersedes))
}

func TestConfigurationNeverRevertsNeedsTheComparison(t *testing.T) {
	proptest.Violated(t, neverReverts(t, func(_, _ *configuration.Configuration) bool { return true }))
}

// TestServiceLoad checks that the load of a plain service, which reports none, is the
// number of its requests in flight.
func TestServiceLoad(t *testing.T) {
	d := newDaemon(t)
	now := time.Unix(1000, 0)
	c := testConfiguration(1)
	c.Pools["orders"] = pool.Pool{Name: "orders", Kind: pool.KindService, Concurrency: 10}
	d.update(now, configurationRead{configuration: c})
	d.update(now, boxesRead{list: []boxes.Box{{Name: "service-1", Role: boxes.RoleService, Pool: "orders", Address: address("service-1")}}})
	for range 5 {
		reply := make(chan placementAnswer, 1)
		d.update(now, placementRequest{route.PlacementRequest{Request: "r", Pool: "orders", Attempt: 1}, reply})
		d.update(now, attemptEnded{route.AttemptResult{Placement: (<-reply).placed}})
	}
	x, _ := d.tables.Targets.Lookup("service-1")
	if x.Load() != 0 || x.InFlight != 0 {
		t.Errorf("load %d, in flight %d after the last answer, want 0 and 0", x.Load(), x.InFlight)
	}
}

// TestRefreshBeforePlacingAfterPause has a daemon that was paused get a request before
// it has read anything again. A target that it knows began to leave during the pause.
func TestRefreshBeforePlacingAfterPause(t *testing.T) {
	tests := []struct {
		name string
		read boxesRead
		// placed is set if the request is placed.
		placed bool
	}{
		{"the list names the target as leaving", boxesRead{list: []boxes.Box{{Name: "engine-0", Role: boxes.RoleEngine, Pool: "menu", Address: address("engine-0"), Leaving: true}}}, false},
		{"the platform is down", boxesRead{err: errors.New("down")}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			now := time.Unix(1000, 0)
			w := targetEvents{leaving: make(map[string]bool)}
			d.update(now, configurationRead{configuration: testConfiguration(1)})
			w.apply(d, now, "engine-0", listedLive)
			w.apply(d, now, "engine-0", reportsLive)
			d.tick(now)
			now = now.Add(time.Minute)
			reply := make(chan placementAnswer, 1)
			d.update(now, placementRequest{route.PlacementRequest{Request: "r", Model: "m", Attempt: 1}, reply})
			if len(reply) > 0 {
				t.Fatal("placed by state from before the pause")
			}
			d.update(now, boxesRead{requestedAt: now.Add(-time.Second), err: errors.New("late")})
			if len(reply) > 0 {
				t.Fatal("placed after a read requested before the pause ended")
			}
			tt.read.requestedAt = now
			d.update(now, tt.read)
			d.update(now, configurationRead{requestedAt: now, err: errors.New("down")})
			if len(reply) != 1 {
				t.Fatal("not answered after both reads")
			}
			if answer := <-reply; (answer.err == nil) != tt.placed {
				t.Errorf("answer %+v, want placed %v", answer, tt.placed)
			}
		})
	}
}

// TestOrdersWaitForEarlierHolders has a daemon take over the orders of a pool. Targets
// that don't check the fencing epoch get none until orders of an earlier holder can't
// arrive any more.
func TestOrdersWaitForEarlierHolders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks the fence: ", checks), func(t *testing.T) {
			d := newDaemon(t)
			rows := &fake.Table{}
			now := time.Now()
			c := testConfiguration(1)
			p := c.Pools["menu"]
			p.Weights, p.Previous, p.ChecksFence = "v2", "v1", checks
			c.Pools["menu"] = p
			d.update(now, configurationRead{configuration: c})
			w := targetEvents{leaving: make(map[string]bool)}
			w.apply(d, now, "engine-0", listedLive)
			w.apply(d, now, "engine-0", reportsLive)
			x := d.duty(&d.tables, dutyOrders+"menu")
			x.lease.Commit, x.lease.Read = rows.Commit, rows.Read
			if err := x.lease.AcquireOrRenew(t.Context()); err != nil {
				t.Fatal(err)
			}
			d.update(now, leaseRenewed{duty: dutyOrders + "menu"})
			if got := d.advanceRollouts(now, &d.tables); len(got) != 0 {
				t.Fatal("orders were sent before the earlier ones were read")
			}
			d.update(now, ordersRead{duty: dutyOrders + "menu"})
			if got := d.advanceRollouts(now, &d.tables); (len(got) > 0) != checks {
				t.Errorf("%d orders at once, checks the fence: %v", len(got), checks)
			}
			later := now.Add(d.Settings.Timing.Lease)
			if got := d.advanceRollouts(later, &d.tables); !checks && len(got) == 0 {
				t.Error("no orders after the wait")
			}
		})
	}
}

// TestLeavingExpires has a target return at the same address. It is used again after no
// source has reported it as leaving for a while, although peers still gossip that.
func TestLeavingExpires(t *testing.T) {
	d, other := newDaemon(t), newDaemon(t)
	start := time.Unix(1000, 0)
	w := targetEvents{leaving: make(map[string]bool)}
	for _, x := range []*Daemon{d, other} {
		x.update(start, configurationRead{configuration: testConfiguration(1)})
		w.apply(x, start, "engine-0", listedLive)
	}
	w.apply(d, start, "engine-0", answersLeaving)
	usable := func(x *Daemon, now time.Time) bool {
		y, _ := x.tables.Targets.Lookup("engine-0")
		return y.Usable(now)
	}
	for second := range 400 {
		now := start.Add(time.Duration(second) * time.Second)
		for _, x := range []*Daemon{d, other} {
			w.apply(x, now, "engine-0", listedLive)
			w.apply(x, now, "engine-0", reportsLive)
		}
		other.update(now, peerRequest{d.gossipMessage(now, &d.tables), make(chan peer.Message, 1)})
		d.update(now, peerRequest{other.gossipMessage(now, &other.tables), make(chan peer.Message, 1)})
		if second < 100 && (usable(d, now) || usable(other, now)) {
			t.Fatalf("used again after %d s", second)
		}
	}
	if end := start.Add(400 * time.Second); !usable(d, end) || !usable(other, end) {
		t.Error("not used again")
	}
}

// TestTokenQuotaFollowsDemand has an account with a token rate limit send all its
// requests to one of two boxes, which gets most of the quota.
func TestTokenQuotaFollowsDemand(t *testing.T) {
	d := newDaemon(t)
	now := time.Now()
	c := testConfiguration(1)
	c.Accounts = map[string]account.Account{"a": {Name: "a", Weight: 1, TokensPerMinute: 1000}}
	d.update(now, configurationRead{configuration: c})
	w := targetEvents{leaving: make(map[string]bool)}
	w.apply(d, now, "engine-0", listedLive)
	d.update(now, boxesRead{list: append(slices.Clone(d.tables.list), boxes.Box{Name: "entry-2", Role: boxes.RoleEntry})})
	w.apply(d, now, "engine-0", reportsLive)
	d.update(now, peerRequest{peer.Message{Kind: peer.KindGossip, From: "entry-2"}, make(chan peer.Message, 1)})
	admitted := 0
	for range 10 {
		reply := make(chan placementAnswer, 1)
		d.update(now, placementRequest{route.PlacementRequest{Request: "r", Account: "a", Model: "m", Attempt: 1, Tokens: 100}, reply})
		if answer := <-reply; answer.err == nil {
			admitted++
			d.update(now, attemptEnded{route.AttemptResult{Placement: answer.placed}})
		}
	}
	if admitted < 7 || admitted > 9 {
		t.Errorf("%d of 10 requests were admitted, want about three quarters", admitted)
	}
}

// TestUnreportedTargetsAreRead has a box that watches no targets read each of them
// once, and again when one refuses, as its report may be stale.
func TestUnreportedTargetsAreRead(t *testing.T) {
	d := newDaemon(t)
	now := time.Unix(1000, 0)
	d.update(now, configurationRead{configuration: testConfiguration(1)})
	w := targetEvents{leaving: make(map[string]bool)}
	w.apply(d, now, "engine-0", listedLive)
	d.tables.watched = nil
	if got := len(d.pollLoads(now, &d.tables)); got != 3 {
		t.Fatalf("%d targets are read, want 3", got)
	}
	for i := range 3 {
		w.apply(d, now, fmt.Sprintf("engine-%d", i), reportsLive)
	}
	now = now.Add(time.Minute)
	if got := d.pollLoads(now, &d.tables); len(got) != 0 {
		t.Errorf("%v are read again, want none", got)
	}
	reply := make(chan placementAnswer, 1)
	d.update(now, placementRequest{route.PlacementRequest{Request: "r", Model: "m", Attempt: 1}, reply})
	placed := (<-reply).placed
	got := d.update(now, attemptEnded{route.AttemptResult{Placement: placed, Refused: true}})
	if len(got) != 1 || got[0] != (readLoad{target: placed.Target, address: placed.Address}) {
		t.Errorf("after a refusal: %v, want a read of %s", got, placed.Target)
	}
}

// TestGossipedLoadAges has a box gossip a target's load report four seconds after it
// read it. The peer must subtract that time from the queue.
func TestGossipedLoadAges(t *testing.T) {
	d, other := newDaemon(t), newDaemon(t)
	start := time.Now()
	w := targetEvents{leaving: make(map[string]bool)}
	for _, x := range []*Daemon{d, other} {
		x.update(start, configurationRead{configuration: testConfiguration(1)})
		w.apply(x, start, "engine-0", listedLive)
	}
	x, _ := d.tables.Targets.Lookup("engine-0")
	x.Slots, x.Version = 8, "v1"
	x.ApplyReport(start, 0, 0, 10*time.Second)
	later := start.Add(4 * time.Second)
	other.update(later, peerRequest{d.gossipMessage(later, &d.tables), make(chan peer.Message, 1)})
	y, _ := other.tables.Targets.Lookup("engine-0")
	if got := y.Wait(later, 0); got < 5900*time.Millisecond || got > 6100*time.Millisecond {
		t.Errorf("the peer expects a wait of %v, want 6s", got)
	}
}

// TestTargetBackoff has all engines ask for a backoff. They get no requests until it is
// over, although their load reports show free slots.
func TestTargetBackoff(t *testing.T) {
	d := newDaemon(t)
	now := time.Unix(1000, 0)
	d.update(now, configurationRead{configuration: testConfiguration(1)})
	(&targetEvents{leaving: make(map[string]bool)}).apply(d, now, "engine-0", listedLive)
	for i := range 3 {
		d.update(now, loadRead{target: fmt.Sprintf("engine-%d", i), load: engine.Load{Version: "v1", Slots: 8}})
	}
	place := func(now time.Time) error {
		reply := make(chan placementAnswer, 1)
		d.update(now, placementRequest{route.PlacementRequest{Request: "r", Model: "m", Attempt: 1}, reply})
		return (<-reply).err
	}
	if err := place(now); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		name := fmt.Sprintf("engine-%d", i)
		d.update(now, signalsReceived{route.Placement{Target: name, Address: address(name)}, notice.Signals{Backoff: 3 * time.Second}})
		d.update(now, loadRead{target: name, load: engine.Load{Version: "v1", Slots: 8}})
	}
	for _, tt := range []struct {
		after  time.Duration
		placed bool
	}{{0, false}, {2999 * time.Millisecond, false}, {3 * time.Second, true}} {
		if err := place(now.Add(tt.after)); (err == nil) != tt.placed {
			t.Errorf("after %v: %v", tt.after, err)
		}
	}
}
