package entry

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fairshare"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/routing"
)

// accountTokens is what each box's requests of account "a" use in these tests.
const accountTokens = 1000

// shortFleet emulates boxes of which each runs a request of account "a". Its first box, a hub in a
// large fleet, keeps refusing requests for want of room while advanceShort advances.
func shortFleet(boxes int) *emulator {
	w := manyEngines(boxes, 10)
	w.advance(time.Second, nil)
	for _, d := range w.boxes {
		d.tables.accounts.Begin("models", "a", accountTokens)
	}
	return w
}

func (w *emulator) advanceShort(length time.Duration) {
	w.advance(length, func() { w.boxes[0].tables.noteShort(w.now, "models", "b") })
}

// seen is how many boxes' requests of account "a" a box knows of.
func (w *emulator) seen(box int) int {
	return w.boxes[box].tables.accountUsage("models", "a") / accountTokens
}

// TestAccountLoads guards against usage that doesn't reach the boxes that place, is counted twice,
// or stays when boxes can't be heard. In a fleet of 30 boxes the first six are hubs.
func TestAccountLoads(t *testing.T) {
	const boxes, hubs = 30, 6
	everyone := func(string, string) bool { return true }
	only := func(name string) func(string, string) bool {
		return func(from, to string) bool { return from == name || to == name }
	}
	tests := []struct {
		name   string
		change func(w *emulator)
		// after is how long that lasts, want what the first hub knows of then, and wantBack once
		// all messages have passed again for two seconds.
		after          time.Duration
		want, wantBack int
	}{
		{"all are heard", func(*emulator) {}, time.Second, boxes, boxes},
		{"messages are lost for a moment", func(w *emulator) { w.cut = everyone }, 700 * time.Millisecond, boxes, boxes},
		{"messages are lost for 5 s", func(w *emulator) { w.cut = everyone }, 5 * time.Second, 1, boxes},
		{"a plain box dies", func(w *emulator) { w.dead["box-0020"] = true }, 2 * time.Second, boxes - 1, boxes - 1},
		{"a plain box is cut off", func(w *emulator) { w.cut = only("box-0020") }, 2 * time.Second, boxes - 1, boxes},
		{"another hub is cut off", func(w *emulator) { w.cut = only("box-0001") }, 5 * time.Second, boxes - 1, boxes},
		{"another hub dies", func(w *emulator) { w.dead["box-0001"] = true }, 5 * time.Second, boxes - 1, boxes - 1},
		{"this hub is cut off", func(w *emulator) { w.cut = only("box-0000") }, 5 * time.Second, 1, boxes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := shortFleet(boxes)
			w.advanceShort(time.Second)
			for i := range hubs {
				if got := w.seen(i); got != boxes {
					t.Fatalf("hub %d knows of %d boxes' requests a second after the pool became short", i, got)
				}
			}
			tt.change(w)
			w.advanceShort(tt.after)
			if got := w.seen(0); got != tt.want {
				t.Errorf("the hub knows of %d boxes' requests, want %d", got, tt.want)
			}
			w.cut = nil
			w.advanceShort(3 * time.Second)
			if got := w.seen(0); got != tt.wantBack {
				t.Errorf("the hub knows of %d boxes' requests once messages pass again, want %d", got, tt.wantBack)
			}
		})
	}
}

// TestAccountLoadsWithoutHubs guards against shares that work only in large fleets.
func TestAccountLoadsWithoutHubs(t *testing.T) {
	w := shortFleet(5)
	w.advanceShort(time.Second)
	for i := range w.boxes {
		if got := w.seen(i); got != 5 {
			t.Errorf("box %d knows of %d boxes' requests", i, got)
		}
	}
}

// TestAccountLoadsEnd guards against reports and state that outlast the shortage.
func TestAccountLoadsEnd(t *testing.T) {
	w := shortFleet(30)
	w.advanceShort(time.Second)
	w.advance(fairshare.ShortFor+time.Second, nil)
	for i, d := range w.boxes {
		if list := d.accountLoads(w.now, &d.tables); list != nil || len(d.tables.accounts.Short(w.now)) != 0 || w.seen(i) != 1 {
			t.Errorf("box %d still reports %v, short %v, and knows of %d", i, list, d.tables.accounts.Short(w.now), w.seen(i))
		}
	}
}

// jobOf is a request of an account.
func jobOf(account string) *deliver.Job {
	j := job("long", 1000)
	j.Account = &routing.Account{Name: account}
	return j
}

// TestCrowdedIsShort guards against a hub that refuses a request for want of room and doesn't tell
// its boxes and other hubs, and against other refusals that count as want of room.
func TestCrowdedIsShort(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Daemon)
		short  bool
	}{
		{"no memory", func(d *Daemon) {
			for _, id := range []string{"a", "b"} {
				d.tables.fleet.Target(id).Tokens = 200000
			}
		}, true},
		{"no target", func(d *Daemon) { d.update(start, targetsRead{start, Targets{Removed: []string{"a", "b"}}, false}) }, false},
		{"room", func(*Daemon) {}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub, own := boxWithEngines("box-00"), boxWithEngines("box-01")
			tt.change(hub)
			tt.change(own)
			spoke := boxWithEngines("box-05")
			effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: jobOf("x")}, reply: make(chan placementAnswer, 1)})
			ask := effects[0].(askHub).ask
			if ask.Account != "x" {
				t.Errorf("the hub is asked for account %q", ask.Account)
			}
			hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &ask})
			own.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: jobOf("x")}, reply: make(chan placementAnswer, 1)})
			if got := len(own.tables.accounts.ShortHere(start)) == 1; got != tt.short {
				t.Errorf("a box that places its own request is short: %v", got)
			}
			toHub := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-10"})
			toSpoke := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05"})
			if got := len(toHub.ShortPools) == 1; got != tt.short {
				t.Errorf("another hub is told %v", toHub.ShortPools)
			}
			if got := len(toSpoke.View.Short) == 1; got != tt.short {
				t.Errorf("a spoke is told %v", toSpoke.View.Short)
			}
			spoke.tables.accounts.Begin("models", "x", 10)
			spoke.update(start, peerAnswered{"box-00", start, toSpoke, nil})
			if got := len(spoke.accountLoads(start, &spoke.tables)) == 1; got != tt.short {
				t.Errorf("the spoke reports %v", spoke.accountLoads(start, &spoke.tables))
			}
		})
	}
}

// TestHubCountsAccountsAhead guards against a hub that doesn't know what it just placed: until the
// spoke's next report it would place any number of requests of one account first.
func TestHubCountsAccountsAhead(t *testing.T) {
	hub := boxWithEngines("box-00")
	hub.tables.noteShort(start, "models", "x")
	place := func() {
		ask := peer.PlacementRequest{Request: "r", Pool: "models", Model: "m", Tokens: 500, MaxMemoryShare: 1, TypicalTokens: 500, Account: "x"}
		if answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &ask}); answer.PlacementResponse.Refused != "" {
			t.Fatalf("refused: %s", answer.PlacementResponse.Reason)
		}
	}
	report := func(tokens int) {
		hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", AccountLoads: []peer.AccountLoad{{Key: fairshare.Key("models", "x"), Tokens: tokens}}})
	}
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"placed before the spoke's first report", place, 0},
		{"the report", func() { report(500) }, 500},
		{"placed", place, 1000},
		{"placed again", place, 1500},
		{"reported", func() { report(1500) }, 1500},
	}
	for _, step := range steps {
		step.do()
		if got := hub.tables.accountUsage("models", "x"); got != step.want {
			t.Fatalf("%s: uses %d, want %d", step.name, got, step.want)
		}
	}
}

// TestAccountUsageEnds guards against requests that count for ever: after their end, also at a
// target that is gone by then, and with a hub's placement.
func TestAccountUsageEnds(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprint("target gone: ", gone), func(t *testing.T) {
			d := boxWithEngines("box-00")
			reply := make(chan placementAnswer, 1)
			d.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: jobOf("x")}, reply: reply})
			place := (<-reply).place
			if got := d.tables.accountUsage("models", "x"); got != 1000 {
				t.Fatalf("uses %d while it runs", got)
			}
			if gone {
				d.update(start, targetsRead{start, Targets{Removed: []string{place.Target}}, false})
			}
			d.update(start, attemptEnded{deliver.AttemptResult{Place: place, Job: jobOf("x"), Began: true, Completed: true}})
			if got := d.tables.accountUsage("models", "x"); got != 0 {
				t.Errorf("uses %d after its end", got)
			}
		})
	}
}

// shortPools reads the gauge.
func shortPools(t *testing.T, d *Daemon) float64 {
	t.Helper()
	families, err := d.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "thymewind_entry_short_pools" {
			return f.Metric[0].GetGauge().GetValue()
		}
	}
	t.Fatal("no gauge")
	return 0
}

// TestShortIsLogged guards against a shortage that an operator can't see, or whose log line lacks
// the accounts that use most.
func TestShortIsLogged(t *testing.T) {
	d := boxWithEngines("box-00")
	table := routing.New(2, nil, nil, []*routing.Account{{Name: "x", Keys: []string{"k1"}}, {Name: "y", Keys: []string{"k2"}}})
	d.current.Store(table)
	var out bytes.Buffer
	d.Log = log.New(&out)
	d.tables.accounts.Begin("models", "x", 300)
	d.tables.accounts.Begin("models", "y", 100)
	d.tables.noteShort(start, "models", "y")
	d.expireAccounts(start, &d.tables)
	if got := shortPools(t, d); got != 1 {
		t.Errorf("gauge %v", got)
	}
	d.expireAccounts(start.Add(time.Second), &d.tables)
	d.expireAccounts(start.Add(fairshare.ShortFor), &d.tables)
	if got := shortPools(t, d); got != 0 {
		t.Errorf("gauge %v at the end", got)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, short := range []string{"short=true", "short=false"} {
		if len(lines) != 2 || !strings.Contains(lines[i], short) || !strings.Contains(lines[i], "x: 300 tokens, share 200") || !strings.Contains(lines[i], "y: 100 tokens, share 200") {
			t.Fatalf("logged %q", lines)
		}
	}
}

// accountBytes returns the bytes a second that a spoke and a hub send in a fleet, with 24 accounts
// in use at every box; short says whether the pool is short of room at all hubs.
func accountBytes(boxes int, short bool) fleetCost {
	const seconds = 3
	w := manyEngines(boxes, 10)
	for _, d := range w.boxes {
		for i := range 24 {
			d.tables.accounts.Begin("models", fmt.Sprint("account-", i), 12000)
		}
	}
	step := func() {
		for _, d := range w.boxes {
			if short && !d.spoke.Load() {
				d.tables.noteShort(w.now, "models", "account-1")
			}
		}
	}
	w.advance(2*time.Second, step)
	for _, c := range w.cost {
		*c = emulatorCost{}
	}
	w.advance(seconds*time.Second, step)
	return w.costs(seconds)
}

// TestAccountBytes guards against messages that a weak box's link or a hub's can't bear while a
// pool is short, and against any bytes while none is. 24 accounts in use at every box are the most
// that the known deployments can have. A spoke's bytes must not grow with the fleet. The emulator's steps let hubs
// exchange messages each 100 ms; with those each 50 ms (hubGossipInterval) a hub sends twice as much
// to other hubs.
func TestAccountBytes(t *testing.T) {
	t.Parallel()
	first := 0.0
	for _, boxes := range []int{30, 100, 300} {
		calm, short := accountBytes(boxes, false), accountBytes(boxes, true)
		spoke, hub := short.spoke-calm.spoke, short.hub-calm.hub
		t.Logf("%d boxes: a spoke sends %.0f bytes a second more and a hub %.0f", boxes, spoke, hub)
		if first == 0 {
			first = spoke
		}
		if spoke <= 0 || spoke > 1.05*first || spoke > 2500 || hub <= 0 || hub > 25000 {
			t.Errorf("%d boxes: a spoke sends %.0f bytes a second more and a hub %.0f", boxes, spoke, hub)
		}
	}
	w := manyEngines(30, 10)
	w.boxes[0].tables.accounts.Begin("models", "a", 1)
	w.advance(time.Second, nil)
	for _, d := range w.boxes {
		m := d.peerRequest(w.now, &d.tables, peer.Message{Kind: peer.KindGossip, From: "box-0001"})
		if m.AccountLoads != nil || m.ShortPools != nil || m.View != nil && m.View.Short != nil {
			t.Errorf("sends %v, %v while no pool is short", m.AccountLoads, m.ShortPools)
		}
	}
}

// TestUnknownBoxCountsNothing guards against loads of senders that are no members, which would never
// be dropped with their row.
func TestUnknownBoxCountsNothing(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	d.tables.noteShort(start, "models", "x")
	d.applyUsage(start, &d.tables, peer.Message{From: "b9", ShortPools: []string{"other"}, AccountLoads: []peer.AccountLoad{{Key: fairshare.Key("models", "x"), Tokens: 5}}})
	if got := d.tables.accountUsage("models", "x"); got != 0 || len(d.tables.accounts.Short(start)) != 1 {
		t.Errorf("counts %d tokens of an unknown box", got)
	}
}

// TestAccountLoadsOfFormerHub guards against a box that acts as a hub outside the first two of its
// domain and tells several hubs what its own and its spokes' requests use: each of them passes that
// on, so that all hubs would count it several times. A box acts so for hubLinger and longer after
// stronger boxes joined.
func TestAccountLoadsOfFormerHub(t *testing.T) {
	const boxes, former = 30, 0
	w := shortFleet(boxes)
	for _, d := range w.boxes {
		for i := boxes - 6; i < boxes; i++ {
			name := w.boxes[i].Settings.Name
			w.boxes[i].Settings.Box.Share = 0.9
			if m := d.tables.members[name]; m != nil {
				m.share = 0.9
			}
		}
		d.tables.hubRanks = nil
	}
	short := func() {
		w.boxes[boxes-1].tables.noteShort(w.now, "models", "b")
		w.boxes[former].tables.lastHubRequest = w.now
		w.boxes[former].tables.noteShort(w.now, "models", "b")
	}
	w.advance(3*time.Second, short)
	if d := w.boxes[former]; d.spoke.Load() || slices.Contains(d.tables.hubs(), d.Settings.Name) {
		t.Fatalf("box %d is a spoke: %v, hubs %v", former, d.spoke.Load(), d.tables.hubs())
	}
	for i := boxes - 6; i < boxes; i++ {
		if got := w.seen(i); got != boxes {
			t.Errorf("hub %d counts %d boxes' requests, want %d", i, got, boxes)
		}
	}
}
