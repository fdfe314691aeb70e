package entry

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// newWaitingHub returns a hub of a large fleet whose only engine is full.
func newWaitingHub() *waitingBox {
	w := newWaitingBox("box-00")
	for name, m := range largeFleet("box-00").tables.members {
		w.tables.members[name] = m
	}
	w.tables.membersKnown = true
	w.updateRole(start, &w.tables)
	w.tables.hubWarm = true
	return w
}

// call has a spoke call the hub for a request.
func (w *waitingBox) call(ticket uint64, hold bool, change func(p *peer.PlacementRequest)) chan peer.Message {
	p := &peer.PlacementRequest{
		Request: "r", Pool: "models", Model: "m", Tokens: 10000, MaxMemoryShare: maxShare, TypicalTokens: 10000, Parts: []peer.Part{{ID: "p", Tokens: 10000}},
		GoalMS: 1200, Wait: true, Hold: hold, Ticket: ticket, Account: "x", Priority: 2, LeftMS: 8000, GoalLeftMS: 1000,
	}
	if change != nil {
		change(p)
	}
	reply := make(chan peer.Message, 1)
	w.update(w.at, peerRequest{peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: p}, reply})
	return reply
}

// answerOf returns "held" if a call has no answer, and otherwise what the answer says.
func answerOf(reply <-chan peer.Message) string {
	select {
	case m := <-reply:
		switch p := m.PlacementResponse; {
		case p == nil:
			return "nothing"
		case p.Queued:
			return "queued"
		case p.AskAnother:
			return "ask another"
		case p.Refused != "":
			return p.Refused
		}
		return "placed"
	default:
		return "held"
	}
}

func expect(t *testing.T, what string, reply <-chan peer.Message, want string) {
	t.Helper()
	if got := answerOf(reply); got != want {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

// TestHeldCalls goes through the calls for requests that wait at a hub. Each case names what it
// guards against.
func TestHeldCalls(t *testing.T) {
	tests := []struct {
		guards string
		play   func(t *testing.T, w *waitingBox)
	}{
		{"a first call that is held, which a weak link would take for silence", func(t *testing.T, w *waitingBox) {
			expect(t, "first call", w.call(1, false, nil), "queued")
		}},
		{"a held call that is answered late, or all the time", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			held := w.call(1, true, nil)
			w.pass(tick)
			expect(t, "after a tick", held, "held")
			w.pass(tick)
			expect(t, "before the hold ends", held, "queued")
		}},
		{"a placement that waits for the next call", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			held := w.call(1, true, nil)
			w.fill(0)
			expect(t, "when there is room", held, "placed")
			if got := w.tables.placed.of(w.at, "models"); got != 10000 {
				t.Errorf("the account uses %d tokens", got)
			}
		}},
		{"a request that is kept after its sender has gone", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			w.pass(askAgainWithin - 1)
			if got := queued(w.Daemon); got != 1 {
				t.Errorf("%d requests wait before the sender is late", got)
			}
			w.pass(serveInterval)
			if got := queued(w.Daemon); got != 0 {
				t.Errorf("%d requests wait for a sender that has gone", got)
			}
		}},
		{"a placement for a sender that stopped listening while this box was paused", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			held := w.call(1, true, nil)
			w.at = w.at.Add(2 * time.Second)
			w.prove()
			w.fill(0)
			expect(t, "the held call", held, "ask another")
			if tokens, _ := w.load(w.at, &w.tables, w.tables.fleet.Target("a")); tokens != 0 {
				t.Errorf("%d tokens are counted", tokens)
			}
		}},
		{"a placement that nobody took and that stays counted", func(t *testing.T, w *waitingBox) {
			report := func() {
				w.update(w.at, peerRequest{peer.Message{Kind: peer.KindGossip, From: "box-05"}, make(chan peer.Message, 1)})
			}
			report()
			w.call(1, false, nil)
			w.call(1, true, nil)
			w.fill(0)
			if tokens := w.tables.othersUsage.Of(placement.Hash("a")).Tokens; tokens != 10000 {
				t.Errorf("%d tokens are counted at first", tokens)
			}
			report()
			if tokens := w.tables.othersUsage.Of(placement.Hash("a")).Tokens; tokens != 0 {
				t.Errorf("%d tokens are counted after the sender's next report", tokens)
			}
		}},
		{"a request that another hub queued and this one does not know", func(t *testing.T, w *waitingBox) {
			held := w.call(1, true, func(p *peer.PlacementRequest) { p.SinceMS = 3000 })
			expect(t, "the call", held, "held")
			if next, _ := w.tables.waiting["models"].queue.Next(w.at, nil); w.at.Sub(next.Since) != 3*time.Second {
				t.Errorf("waits since %v", w.at.Sub(next.Since))
			}
		}},
		{"a request that is queued twice, as the answer to the first call was lost", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			expect(t, "the repeated call", w.call(1, false, nil), "queued")
			if got := queued(w.Daemon); got != 1 {
				t.Errorf("%d requests wait", got)
			}
		}},
		{"two calls held for one request", func(t *testing.T, w *waitingBox) {
			first := w.call(1, true, nil)
			second := w.call(1, true, nil)
			expect(t, "the first", first, "queued")
			w.fill(0)
			expect(t, "the second", second, "placed")
		}},
		{"a request that gave way and is not told", func(t *testing.T, w *waitingBox) {
			held := w.call(1, true, nil)
			w.tables.waiting["models"].queue.MaxRequests = 1
			expect(t, "more urgent", w.call(2, false, func(p *peer.PlacementRequest) { p.Priority = 0 }), "queued")
			expect(t, "the first", held, codeCrowded)
		}},
		{"a sender between two calls that keeps others waiting", func(t *testing.T, w *waitingBox) {
			w.call(1, false, nil)
			second := w.call(2, true, nil)
			w.fill(75000)
			expect(t, "the second", second, "placed")
			if got := queued(w.Daemon); got != 1 {
				t.Errorf("%d requests wait", got)
			}
		}},
		{"a sender that can't wait and overtakes, or gets an answer that it can't read", func(t *testing.T, w *waitingBox) {
			older := func(p *peer.PlacementRequest) {
				p.Wait, p.Hold, p.Ticket, p.Account, p.LeftMS, p.Priority = false, false, 0, "", 0, 2
			}
			expect(t, "without room", w.call(0, false, older), codeCrowded)
			w.call(1, true, nil)
			w.tables.othersUsage.Set(w.at, "b2", nil)
			w.at = w.at.Add(time.Millisecond)
			expect(t, "while others wait", w.call(0, false, older), codeCrowded)
			w.fill(0)
			expect(t, "in the end", w.call(0, false, older), "placed")
		}},
		{"a request that waits at a hub where that is switched off", func(t *testing.T, w *waitingBox) {
			w.waits = false
			expect(t, "the call", w.call(1, false, nil), codeCrowded)
		}},
		{"a request that waits at a hub that stops", func(t *testing.T, w *waitingBox) {
			held := w.call(1, true, nil)
			w.stopping.Store(true)
			expect(t, "a new request", w.call(2, false, nil), "ask another")
			w.pass(tick)
			expect(t, "the held call", held, "ask another")
		}},
		{"a request that can't be answered in time and waits", func(t *testing.T, w *waitingBox) {
			expect(t, "the call", w.call(1, false, func(p *peer.PlacementRequest) { p.LeftMS = -1 }), codeCrowded)
		}},
		{"a request that outlives its latest begin", func(t *testing.T, w *waitingBox) {
			held := w.call(1, true, func(p *peer.PlacementRequest) { p.LeftMS = 50 })
			w.pass(tick)
			expect(t, "the held call", held, codeCrowded)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.guards, func(t *testing.T) {
			w := newWaitingHub()
			tt.play(t, w)
			if p := w.tables.waiting["models"]; p != nil && len(p.waiters) != p.queue.Len() {
				t.Errorf("%d waiters, %d queued", len(p.waiters), p.queue.Len())
			}
		})
	}
}

// TestHubKilledWithFullQueue kills the hub while its queue is full. It guards against requests
// that get no answer, and against more of them at the next hub than a queue holds.
func TestHubKilledWithFullQueue(t *testing.T) {
	f := newWaitingFleet(t)
	const requests = maxWaiting + 20
	f.spoke.random, f.first.random = func() float64 { return 0.5 }, func() float64 { return 0.5 }
	f.first.tables.holdTimes["models"] = &holdTime{tokens: 1, tokenSeconds: 0.001}
	f.second.tables.holdTimes["models"] = &holdTime{tokens: 1, tokenSeconds: 0.001}
	all := make([]*request, requests)
	for i := range all {
		all[i] = f.ask("draft", "x")
	}
	f.advance(500*time.Millisecond, nil)
	if got := queued(f.first); got != maxWaiting {
		t.Fatalf("%d requests wait at the first hub", got)
	}
	f.dead[f.first.Settings.Name] = true
	f.advance(time.Second, nil)
	if got := queued(f.second); got != maxWaiting {
		t.Errorf("%d requests wait at the next hub", got)
	}
	f.advance(9*time.Second, nil)
	for i, x := range all {
		if got, a := x.got(); got != codeCrowded {
			t.Fatalf("request %d: %s (%v)", i, got, a.err)
		}
	}
	if f.spoke.tables.heldBytes != 0 {
		t.Errorf("%d bytes are held in the end", f.spoke.tables.heldBytes)
	}
}

// TestHeldCallOverNetwork has a running hub hold a call. It guards against a loop that does not
// answer others meanwhile, and against a hold that is longer than its senders wait.
func TestHeldCallOverNetwork(t *testing.T) {
	hub := newWaitingHub()
	credential := "c"
	hub.credential.Store(&credential)
	hub.now = func() time.Time { return start }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hub.systems = []system{func(_ time.Time, t *tables) []effect { // Time passes for the queue alone.
		hub.at = hub.at.Add(tick)
		return hub.tendQueues(hub.at, t)
	}}
	go hub.loop(ctx)
	server := httptest.NewServer(hub.peerHandler())
	defer server.Close()
	spoke := newDaemon("box-05")
	spoke.credential.Store(&credential)
	defer spoke.peers.Close()
	at := netip.MustParseAddrPort(server.Listener.Addr().String())
	ask := askHub{hub: "box-00", address: at, request: placementRequest{ctx: ctx}, ask: peer.PlacementRequest{
		Request: "r", Pool: "models", Model: "m", Tokens: 10000, MaxMemoryShare: maxShare, TypicalTokens: 10000, Wait: true, Ticket: 7, LeftMS: 8000,
	}}
	if got := spoke.askHub(ctx, ask); got.err != nil || got.placed == nil || !got.placed.Queued {
		t.Fatalf("first call: %+v, %v", got.placed, got.err)
	}
	ask.ask.Hold = true
	held := make(chan hubPlaced, 1)
	began := time.Now()
	go func() { held <- spoke.askHub(ctx, ask) }()
	for range 5 {
		if answer, err := spoke.peers.Call(ctx, at, peer.Message{Kind: peer.KindConfiguration, From: "box-05"}); err != nil {
			t.Errorf("another call: %+v, %v", answer, err)
		}
	}
	if took := time.Since(began); took > waitHold {
		t.Errorf("other calls took %v while one is held", took)
	}
	if got := <-held; got.err != nil || got.placed == nil || !got.placed.Queued {
		t.Errorf("held call: %+v, %v", got.placed, got.err)
	}
	if took := time.Since(began); took < tick/2 || took > waitHold+hubPlaceTimeout {
		t.Errorf("the call was held for %v", took)
	}
}
