package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fairshare"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/waitqueue"
)

// withAccounts puts accounts "large" and "small" in force.
func (w *waitingBox) withAccounts() {
	accounts := []*routing.Account{{Name: "large", Keys: []string{"k1"}}, {Name: "small", Keys: []string{"k2"}}}
	w.current.Store(routing.New(1, nil, []*routing.Pool{waitingConfiguration(1).Pools["models"]}, accounts))
}

// draftWaits is what a box reports at which drafts wait.
var draftWaits = 1 + (&waitqueue.Request{LeavesReserve: true, Priority: 2, RoutePriority: 2}).Urgency()

// reportWaiting has box b2 report that a request of an account waits there, as peer.AccountLoad.Waits
// says, or none; the engine has room.
func (w *waitingBox) reportWaiting(account string, waits int) {
	w.at = w.at.Add(serveInterval)
	m := peer.Message{Kind: peer.KindGossip, From: "b2", TargetLoads: []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: 10000}}, ShortPools: []string{"models"}}
	if waits > 0 {
		m.AccountLoads = []peer.AccountLoad{{Key: fairshare.Key("models", account), Waits: waits}}
	}
	w.update(w.at, peerRequest{m, make(chan peer.Message, 1)})
}

// TestLeavesRoomToOtherBoxes guards against an account over its share that takes the room for which
// other accounts' requests wait at another box, and against one that waits for no use: when nobody
// else waits, when it is not over its share, or when what waits elsewhere is less urgent.
func TestLeavesRoomToOtherBoxes(t *testing.T) {
	tests := []struct {
		name            string
		asks, elsewhere string
		waits           int
		want            string
	}{
		{"over its share", "large", "small", draftWaits, "waits"},
		{"more urgent elsewhere", "large", "small", 1, "waits"},
		{"less urgent elsewhere", "large", "small", draftWaits + 1, "placed"},
		{"nobody waits elsewhere", "large", "", 0, "placed"},
		{"under its share", "small", "small", draftWaits, "placed"},
		{"over its share elsewhere, too", "large", "large", draftWaits, "placed"},
		{"an account that is not in force", "large", "gone", draftWaits, "placed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWaitingBox("b1")
			w.withAccounts()
			w.fill(0)
			for range 3 {
				if got, a := w.ask("draft", "large").got(); got != "placed" {
					t.Fatalf("%s: %v", got, a.err)
				}
			}
			w.reportWaiting(tt.elsewhere, tt.waits)
			x := w.ask("draft", tt.asks)
			if got, _ := x.got(); got != tt.want {
				t.Fatalf("at once: %s, want %s", got, tt.want)
			}
			w.pass(2 * serveInterval)
			if got, _ := x.got(); tt.want == "waits" && got != "waits" {
				t.Fatalf("in the queue: %s", got)
			}
			if own := w.ask("draft", "small"); tt.want == "waits" {
				if got, _ := own.got(); got != "placed" {
					t.Errorf("a request of an account under its share: %s behind one that leaves room", got)
				}
				w.reportWaiting("", 0)
				w.pass(2 * serveInterval)
				if got, _ := x.got(); got != "placed" {
					t.Errorf("nothing waits elsewhere any more: %s", got)
				}
			}
		})
	}
}

// TestLeavesRoomForMomentsOnly guards against a request that waits for the sake of a box that is not
// heard any more.
func TestLeavesRoomForMomentsOnly(t *testing.T) {
	w := newWaitingBox("b1")
	w.withAccounts()
	w.fill(0)
	w.ask("draft", "large")
	w.reportWaiting("small", draftWaits)
	x := w.ask("draft", "large")
	w.pass(450 * time.Millisecond)
	if got, _ := x.got(); got != "placed" {
		t.Errorf("%s 450 ms after the last report", got)
	}
}

// TestRouteThatMayNotWait guards against a request that is refused though there is room, because its
// route may not wait.
func TestRouteThatMayNotWait(t *testing.T) {
	w := newWaitingBox("b1")
	w.withAccounts()
	w.fill(0)
	w.ask("draft", "large")
	w.reportWaiting("small", 1)
	if got, a := w.ask("brief", "large").got(); got != "placed" {
		t.Errorf("%s: %v", got, a.err)
	}
}

// TestHubLeavesRoom guards against a hub that leaves room with its own requests only.
func TestHubLeavesRoom(t *testing.T) {
	for _, waits := range []int{0, draftWaits} {
		t.Run(fmt.Sprint(waits), func(t *testing.T) {
			w := newWaitingHub()
			w.withAccounts()
			w.fill(0)
			w.tables.accounts.Begin("models", "large", 30000)
			if waits > 0 {
				w.applyUsage(w.at, &w.tables, peer.Message{From: "box-10", ShortPools: []string{"models"}, AccountLoads: []peer.AccountLoad{{Key: fairshare.Key("models", "small"), Waits: waits}}})
			}
			got := answerOf(w.call(1, false, func(p *peer.PlacementRequest) {
				p.Account, p.RoutePriority, p.MaxMemoryShare = "large", 2, maxShareLowPriority
			}))
			if queued := got == "queued"; queued != (waits > 0) {
				t.Errorf("a request of the large account: %s", got)
			}
		})
	}
}

// TestAccountsWaiting guards against accounts whose requests wait without being reported, and against
// room that other boxes leave for ever to a request that can't use it.
func TestAccountsWaiting(t *testing.T) {
	w := newWaitingBox("b1")
	w.withAccounts()
	list := func() []fairshare.Waiting { return w.tables.accountsWaiting(w.at) }
	if got := list(); got != nil {
		t.Fatalf("nothing waits: %v", got)
	}
	first := w.ask("draft", "small")
	w.at = w.at.Add(100 * time.Millisecond)
	second := w.ask("question", "small")
	want := []fairshare.Waiting{{Pool: "models", Account: "small", Urgency: 0}}
	if got := list(); !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
	if loads := w.accountLoads(w.at, &w.tables); len(loads) != 1 || loads[0] != (peer.AccountLoad{Key: fairshare.Key("models", "small"), Waits: 1}) {
		t.Errorf("reports %v", loads)
	}
	w.at = w.at.Add(waitReportFor)
	if got := list(); got != nil {
		t.Errorf("nothing was placed for %v: %v", waitReportFor, got)
	}
	w.fill(45000 + 40000) // Room for one.
	if got, _ := second.got(); got != "placed" {
		t.Fatalf("the urgent request: %s", got)
	}
	if got, _ := first.got(); got != "waits" {
		t.Fatalf("the other request: %s", got)
	}
	want[0].Urgency = draftWaits - 1
	if got := list(); !slices.Equal(got, want) {
		t.Errorf("one was placed: %v, want %v", got, want)
	}
}
