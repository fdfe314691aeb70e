package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quota"
	"github.com/thymewind/thymewind/refusal"
)

// limitedFleet starts eight boxes before two targets that name a rate limit, which all boxes know.
// At this rate some boxes have no share of it.
func limitedFleet(t *testing.T, pool string) *ratedFleet {
	t.Helper()
	w := &ratedFleet{
		emulator: emulate(8, 3, configuration(1)), pool: pool, rate: 2.5,
		limited: make(map[string]bool), arrivals: make(map[string][]time.Time), codes: make(map[string]int),
	}
	for i := range 2 {
		e := engineAt(i)
		e.Pool = pool
		w.addTargets(e)
		w.limited[e.ID] = true
	}
	for _, d := range w.boxes {
		d.tables.hubWarm = true
	}
	w.advance(2*time.Second, nil)
	w.advance(2*time.Second, func() { w.sendRequests(len(w.boxes)) })
	w.served, w.arrivals, w.answersOf = 0, make(map[string][]time.Time), make(map[string]*placementAnswers)
	for _, d := range w.boxes {
		w.answersOf[d.Settings.Name] = &placementAnswers{}
	}
	if len(w.withoutShare()) == 0 {
		t.Fatal("each box has a share")
	}
	return w
}

// TestRefusedWithoutCalls guards against callers that wait for calls to other boxes before they
// are refused, while those boxes are known to have no token: all boxes get far more requests than
// the targets take.
func TestRefusedWithoutCalls(t *testing.T) {
	for _, pool := range []string{"orders", "models"} {
		t.Run(pool, func(t *testing.T) {
			t.Parallel()
			w := limitedFleet(t, pool)
			const span = 20 * time.Second
			w.advance(span, func() { w.sendRequests(len(w.boxes)) })
			for _, d := range w.withoutShare() {
				got := *w.answersOf[d.Settings.Name]
				t.Logf("%s: %+v", d.Settings.Name, got)
				if most := int(span / quotaShortFor); got.refusedLate > most {
					t.Errorf("%s: %d of %d refusals wait for calls, at most %d may", d.Settings.Name, got.refusedLate, got.refused, most)
				}
				if got.served == 0 {
					t.Errorf("%s serves nobody", d.Settings.Name)
				}
			}
			if least := int(float64(len(w.limited)) * w.rate * span.Seconds() * 9 / 10); w.served < least {
				t.Errorf("%d callers were served, want %d", w.served, least)
			}
			for id := range w.limited {
				if most, allowed := overRate(w.arrivals[id], w.rate); most > allowed {
					t.Errorf("%d requests reach %s in 4 s, %d are allowed", most, id, allowed)
				}
			}
			t.Log(fmt.Sprint(w.served, " served, refused ", w.codes))
		})
	}
}

// TestRefusedAfterOneTimeout guards against a caller that waits for a second box once the first
// one that was asked for a token has not answered in time.
func TestRefusedAfterOneTimeout(t *testing.T) {
	w := limitedFleet(t, "orders")
	w.advance(2*quotaShortFor, nil)
	d := w.withoutShare()[0]
	j := job("short", 100)
	j.Pool = configuration(1).Pools["orders"]
	reply := make(chan placementAnswer, 1)
	effects := d.update(w.now, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
	if len(effects) != 1 {
		t.Fatalf("a first request has effects %v", effects)
	}
	asked := effects[0].(askHub)
	later := w.now.Add(hubPlaceTimeout)
	if effects := d.update(later, hubPlaced{asked.hub, asked.request, nil, context.DeadlineExceeded}); len(effects) > 0 {
		t.Errorf("after %v without an answer another box is asked: %v", hubPlaceTimeout, effects)
	}
	select {
	case answer := <-reply:
		if code := refusal.Of(answer.err, "", 0).Code; code != codeLimited {
			t.Errorf("refused as %q", code)
		}
	default:
		t.Error("the caller waits on")
	}
}

// TestLentTokens guards against lent tokens that are used twice, or so late that they add to those
// of the time since.
func TestLentTokens(t *testing.T) {
	token := &peer.PlacementResponse{Target: "a", QuotaGranted: true}
	tests := []struct {
		name string
		lent []*peer.PlacementResponse
		err  error
		used time.Duration
		// want is how many requests are placed, short says that the next caller is refused without
		// waiting for a box.
		want  int
		short bool
	}{
		{"one", []*peer.PlacementResponse{token}, nil, loanTTL - 1, 1, false},
		{"two", []*peer.PlacementResponse{token, token}, nil, loanTTL - 1, 2, false},
		{"one, too late", []*peer.PlacementResponse{token}, nil, loanTTL, 0, false},
		{"none left", []*peer.PlacementResponse{{Refused: codeLimited}}, nil, 0, 0, true},
		{"of a box that can't lend", []*peer.PlacementResponse{nil}, nil, 0, 0, true},
		{"of an unknown target", []*peer.PlacementResponse{{Target: "x", QuotaGranted: true}}, nil, 0, 0, false},
		{"no answer", []*peer.PlacementResponse{nil}, context.DeadlineExceeded, 0, 0, true},
		{"too long ago", []*peer.PlacementResponse{nil}, nil, quotaShortFor, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := singleBox()
			d.tables.members["b2"] = &member{domain: "a", share: 1}
			for _, id := range []string{"a", "b"} {
				setRateLimit(d, start, id, 2.5)
			}
			request := deliver.PlacementRequest{Job: job("long", 1000)}
			for _, lent := range tt.lent {
				asked := borrowToken{box: "b2", request: request, ask: peer.PlacementRequest{Pool: "models"}}
				d.update(start, tokenLent{asked, lent, tt.err})
			}
			now := start.Add(tt.used)
			d.current.setProvedAt(now)
			for _, id := range []string{"a", "b"} {
				d.quota(now, &d.tables, d.tables.fleet.Target(id)).bucket = quota.Bucket{}
			}
			placed := 0
			for range len(tt.lent) + 1 {
				if _, err := d.place(now, &d.tables, request); err == nil {
					placed++
				}
			}
			if placed != tt.want {
				t.Errorf("%d requests are placed, want %d", placed, tt.want)
			}
			if short := d.tables.isQuotaShort(now, "models"); short != tt.short {
				t.Errorf("short: %v", short)
			}
		})
	}
}

// TestLendToken guards against tokens lent for targets that the borrower can't use.
func TestLendToken(t *testing.T) {
	tests := []struct {
		name string
		ask  peer.PlacementRequest
		// limited are the targets with a rate limit, want the targets of the tokens lent.
		limited, want []string
	}{
		{"all", peer.PlacementRequest{Pool: "models"}, []string{"a", "b"}, []string{"a", "b"}},
		{"not tried ones", peer.PlacementRequest{Pool: "models", Tried: []string{"a"}}, []string{"a", "b"}, []string{"b"}},
		{"not excluded ones", peer.PlacementRequest{Pool: "models", Excluded: []uint32{shortIDOf("b")}}, []string{"a", "b"}, []string{"a"}},
		{"not in other regions", peer.PlacementRequest{Pool: "models", Limited: true, Regions: []string{"r1"}}, []string{"a", "b"}, nil},
		{"not without a limit", peer.PlacementRequest{Pool: "models"}, []string{"b"}, []string{"b"}},
		{"not of another pool", peer.PlacementRequest{Pool: "orders"}, []string{"a", "b"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := singleBox()
			for _, id := range tt.limited {
				setRateLimit(d, start, id, 2.5)
				d.withinQuota(start, &d.tables, d.tables.fleet.Target(id)) // Its bucket fills from here on.
			}
			tt.ask.TokenOnly = true
			now := start.Add(450 * time.Millisecond) // One token each.
			var got []string
			for range 4 {
				answer := d.peerRequest(now, &d.tables, peer.Message{Kind: peer.KindPlace, From: "b2", PlacementRequest: &tt.ask})
				if lent := answer.PlacementResponse; lent != nil && lent.QuotaGranted {
					got = append(got, lent.Target)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("lent %v, want %v", got, tt.want)
			}
		})
	}
}
