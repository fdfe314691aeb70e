package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
)

// with gives a request a content of its own.
func (x *request) with(content string) *request {
	x.ask.Job.Body = []byte(content)
	return x
}

// TestReturn refuses a request for want of room and has its caller return. It guards against callers
// who are refused again while later ones are served, and against those who get ahead by returning
// at once or with other content.
func TestReturn(t *testing.T) {
	tests := []struct {
		name string
		// wait is the share of the Retry-After that the caller waits.
		wait    float64
		content string
		want    string
	}{
		{"as told", 1, "same", "placed"},
		{"at once", 0, "same", codeCrowded},
		{"other content", 1, "other", codeCrowded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWaitingBox("b1")
			w.ask("draft", "x")
			w.tables.waiting["models"].queue.MaxRequests = 1
			w.at = w.at.Add(time.Millisecond) // Requests of the same time have no fixed order.
			first := w.request("draft", "x").with("same")
			w.update(w.at, first.placementRequest)
			got, a := first.got()
			var refused *refusal.Refusal
			if got != codeCrowded || !errors.As(a.err, &refused) {
				t.Fatalf("first try: %s", got)
			}
			w.at = w.at.Add(time.Duration(tt.wait * float64(refused.RetryAfter)))
			w.tables.waiting["models"].queue.MaxRequests = 1
			again := w.request("draft", "x").with(tt.content)
			w.update(w.at, again.placementRequest)
			w.fill(75000) // Room for one.
			if got, a := again.got(); got != tt.want {
				t.Errorf("second try: %s (%v), want %s", got, a.err, tt.want)
			}
		})
	}
}

// TestReturnThroughAnotherBox refuses a request of one box and has its caller return through another
// one of the domain. It guards against a hub that does not know it there, or gives it no place
// before those that came later.
func TestReturnThroughAnotherBox(t *testing.T) {
	sum := fingerprint.Sum{7}
	ask := func(w *waitingBox, from string, ticket uint64) chan peer.Message {
		p := &peer.PlacementRequest{
			Request: "r", Pool: "models", Model: "m", Tokens: 10000, MaxMemoryShare: maxShare, TypicalTokens: 10000, Parts: []peer.Part{{ID: "p", Tokens: 10000}},
			Wait: true, Hold: true, Ticket: ticket, Account: "x", Priority: 2, LeftMS: 8000, GoalLeftMS: 1000, Fingerprint: sum[:],
		}
		if ticket == 1 {
			p.Fingerprint = nil
		}
		reply := make(chan peer.Message, 1)
		w.update(w.at, peerRequest{peer.Message{Kind: peer.KindPlace, From: from, PlacementRequest: p}, reply})
		return reply
	}
	w := newWaitingHub()
	earlier := ask(w, "box-05", 1)
	limit := func() { w.tables.waiting["models"].queue.MaxRequests = 1 }
	limit()
	first := ask(w, "box-05", 2)
	m := <-first
	if m.PlacementResponse == nil || m.PlacementResponse.Refused != codeCrowded || m.PlacementResponse.RetryAfterMS == 0 {
		t.Fatalf("first try: %+v", m.PlacementResponse)
	}
	refusedAt := w.at
	w.at = w.at.Add(time.Duration(m.PlacementResponse.RetryAfterMS) * time.Millisecond)
	limit()
	again := ask(w, "box-06", 3)
	expect(t, "the one that gave way", earlier, codeCrowded)
	expect(t, "the returning one", again, "held")
	next, _ := w.tables.waiting["models"].queue.Next(w.at, nil)
	if !next.Returning || !next.Since.Equal(refusedAt) {
		t.Errorf("waits since %v, want since the first try", next.Since.Sub(start))
	}
	w.at = w.at.Add(waitHold - tick + 1)
	w.tendQueues(w.at, &w.tables)
	m = <-again
	if since := w.at.Add(-time.Duration(m.PlacementResponse.SinceMS) * time.Millisecond); since.Sub(refusedAt).Abs() > time.Millisecond {
		t.Errorf("its box is told that it waits since %v", since.Sub(start))
	}
}

// TestFingerprintsOnlyWhenShort guards against boxes that compute and send fingerprints while no
// request waits, and against those that send none while some do.
func TestFingerprintsOnlyWhenShort(t *testing.T) {
	f := newWaitingFleet(t)
	asked := func() peer.PlacementRequest {
		f.n++
		x := f.newRequest("draft", "x")
		return f.spoke.update(f.now, x.placementRequest)[0].(askHub).ask
	}
	f.fill(0)
	if got := asked(); !got.Wait || got.Fingerprint != nil {
		t.Errorf("in calm times %d bytes of a fingerprint are sent", len(got.Fingerprint))
	}
	f.fill(full)
	f.ask("draft", "x")
	f.advance(400*time.Millisecond, nil)
	if got := asked(); len(got.Fingerprint) != len(fingerprint.Sum{}) {
		t.Errorf("%d bytes of a fingerprint are sent while the hub is short of room", len(got.Fingerprint))
	}
	if !f.spoke.short.Load() || !f.first.short.Load() {
		t.Error("the boxes don't know that room is short")
	}
	f.advance(12*time.Second, nil)
	if got := asked(); got.Fingerprint != nil || f.spoke.short.Load() || f.first.short.Load() {
		t.Error("fingerprints are still sent in the end")
	}
}

// TestFirstTimeKept kills the hub at which a returning request waits. It guards against the next hub
// counting its wait from then on.
func TestFirstTimeKept(t *testing.T) {
	f := newWaitingFleet(t)
	x := f.newRequest("draft", "x")
	first := f.now.Add(-2 * time.Second)
	f.first.tables.returning.Refused(f.now, x.ask.Job.Fingerprint(), first, f.now)
	f.spoke.tables.accounts.HearShort(f.now, f.first.Settings.Name, []string{"models"})
	f.perform(f.spoke, f.spoke.update(f.now, x.placementRequest))
	f.advance(time.Second, nil)
	f.dead[f.first.Settings.Name] = true
	f.advance(time.Second, nil)
	w := f.second.tables.waiting["models"]
	if w == nil {
		t.Fatal("the request does not wait at the next hub")
	}
	next, _ := w.queue.Next(f.now, nil)
	if off := next.Since.Sub(first).Abs(); off > 2*emulatorStep {
		t.Errorf("waits since %v after the first try", off)
	}
}
