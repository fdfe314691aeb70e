package thymewind

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/standin/broken"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/route"
)

// limitedTarget wraps a target's handler and may announce a rate limit.
type limitedTarget struct {
	handler http.Handler

	mu sync.Mutex
	// rate is announced in each answer to a request since rateSetAt, unless it is empty.
	rate      string
	rateSetAt time.Time
	// arrivals are the times of requests, including resumed runs.
	arrivals []time.Time
	// broken is the answer to all of these; nil lets the handler answer.
	broken *broken.Answer
}

func (l *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Request-Id") != "" || strings.HasPrefix(r.URL.Path, "/v1/generate") || strings.HasPrefix(r.URL.Path, "/v1/resume") {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		if l.rate != "" {
			w.Header().Set(engine.HeaderLimit, l.rate)
		}
		answer := l.broken
		l.mu.Unlock()
		if answer != nil {
			sendBroken(w, r, answer)
			return
		}
	}
	l.handler.ServeHTTP(w, r)
}

// sendBroken sends a broken answer to a request.
func sendBroken(w http.ResponseWriter, r *http.Request, answer *broken.Answer) {
	if !answer.Early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	answer.Send(w, "")
}

// setRate has the target announce a rate limit from now on; an empty rate stops that.
func (l *limitedTarget) setRate(rate string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.rateSetAt = rate, time.Now()
}

// maxArrivals returns the most requests within any 4 s, from 3 s after the rate was set.
func (l *limitedTarget) maxArrivals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for last, at := range l.arrivals {
		if at.Sub(l.rateSetAt) < 3*time.Second {
			first = last + 1
			continue
		}
		for at.Sub(l.arrivals[first]) > 4*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// sendLoad sends requests to each daemon of a fleet, one after the other, and counts the answers
// by status.
func (f *fleet) sendLoad(span time.Duration, ask func(daemon, n int) int) map[int]int {
	end := time.Now().Add(span)
	statuses := make(map[int]int)
	var mu sync.Mutex
	var work sync.WaitGroup
	for daemon := range f.daemons {
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				_ = wait(context.Background(), 15*time.Millisecond)
				status := ask(daemon, n)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return statuses
}

// TestTargetRateLimitHolds guards against boxes that together exceed the rate limit that a target
// announces for all of them: for one engine of several, all engines, and a service's only target.
func TestTargetRateLimitHolds(t *testing.T) {
	const rate, allowed = "2.5", 20 // One and a half times the requests of 4 s, plus five.
	tests := []struct {
		name    string
		limited []string
		service bool
		// refused allows refusals, as there are limited targets only.
		refused bool
	}{
		{"one engine of three", []string{"engine-1"}, false, false},
		{"all engines", []string{"engine-1", "engine-2", "engine-3"}, false, true},
		{"a service's only target", []string{"service-1"}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, nil)
			for _, name := range tt.limited {
				f.limited[name].setRate(rate)
			}
			statuses := f.sendLoad(9*time.Second, func(daemon, n int) int {
				if tt.service {
					return f.do(http.MethodGet, daemon, "menu key", "/services/orders/orders", "", nil).status
				}
				_, _, r := f.chat(daemon, "menu key", fmt.Sprintf("what is left tonight, %d %d", daemon, n), 2)
				return r.status
			})
			for _, name := range tt.limited {
				if most := f.limited[name].maxArrivals(); most > allowed {
					t.Errorf("%d requests reached %s in 4 s, %d are allowed", most, name, allowed)
				}
			}
			t.Logf("answered %v", statuses)
			if refused := statuses[http.StatusServiceUnavailable]; refused > 0 && !tt.refused {
				t.Errorf("%d requests were refused though other targets have no limit", refused)
			}
			served := statuses[http.StatusOK] + statuses[http.StatusCreated]
			if least := 9 * len(tt.limited); served < least {
				t.Errorf("%d requests were served, want at least %d", served, least)
			}
		})
	}
}

// TestTargetRateLimitSources checks what a box learns of a target's rate limit from answers and
// from peers.
func TestTargetRateLimitSources(t *testing.T) {
	now := time.Unix(1000, 0)
	at := address("engine-0")
	placed := route.Placement{Target: "engine-0", Address: at, PlacedAt: now}
	tests := []struct {
		name    string
		happen  func(d *Daemon)
		limited bool
		rate    float64
	}{
		{"nothing", func(*Daemon) {}, false, 0},
		{"an answer", func(d *Daemon) { d.reportSignals(placed, notice.Signals{Limited: true, Rate: 3}) }, true, 3},
		{"a peer", func(d *Daemon) {
			d.update(now, peerRequest{peer.Message{RateLimits: []peer.RateLimit{{Target: "engine-0@" + at.String(), Active: true, PerSecond: 2}}}, make(chan peer.Message, 1)})
		}, true, 2},
		{"a peer, of a target at another address", func(d *Daemon) {
			d.update(now, peerRequest{peer.Message{RateLimits: []peer.RateLimit{{Target: "engine-0@10.9.9.9:1", Active: true, PerSecond: 2}}}, make(chan peer.Message, 1)})
		}, false, 0},
		{"an end", func(d *Daemon) {
			d.reportSignals(placed, notice.Signals{Limited: true, Rate: 3})
			later := placed
			later.PlacedAt = d.now().Add(time.Second)
			d.reportSignals(later, notice.Signals{Unlimited: true})
		}, false, 0},
		{"an answer to a request placed before", func(d *Daemon) {
			d.reportSignals(placed, notice.Signals{Limited: true, Rate: 3})
			d.reportSignals(placed, notice.Signals{Unlimited: true})
		}, true, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.update(now, configurationRead{configuration: testConfiguration(1)})
			(&targetEvents{leaving: make(map[string]bool)}).apply(d, now, "engine-0", listedLive)
			tt.happen(d)
			for len(d.messages) > 0 {
				d.update(now, <-d.messages)
			}
			x, _ := d.tables.Targets.Lookup("engine-0")
			if x.Limited != tt.limited || x.Rate != tt.rate {
				t.Errorf("limited %v to %v", x.Limited, x.Rate)
			}
		})
	}
}

// TestResumedRunsCountAgainstLimit guards against resumed answers that bypass a target's rate limit.
func TestResumedRunsCountAgainstLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDaemon(t)
	d.update(now, configurationRead{configuration: testConfiguration(1)})
	(&targetEvents{leaving: make(map[string]bool)}).apply(d, now, "engine-0", listedLive)
	x, _ := d.tables.Targets.Lookup("engine-0")
	d.tables.SetLimit(x, true, 1)
	placed := func(at time.Time) bool {
		_, err := d.tables.Place(at, route.PlacementRequest{Request: "r", Model: "m", Attempt: 1, Exclude: []string{"engine-1", "engine-2"}})
		return err == nil
	}
	d.update(now, loadRead{target: "engine-0", load: engine.Load{Version: "v1", Slots: 8}})
	placed(now) // The first request uses up the burst.
	d.update(now, runResumed{x.Address})
	if placed(now.Add(1500 * time.Millisecond)) {
		t.Error("a request is placed 1.5 s after a run was resumed, at a limit of one a second")
	}
	if !placed(now.Add(2500 * time.Millisecond)) {
		t.Error("no request is placed 2.5 s after that")
	}
}

// TestAllowChecksLimitBeforeSending guards against requests that are sent although their target
// announced a rate limit after they were placed.
func TestAllowChecksLimitBeforeSending(t *testing.T) {
	d := newDaemon(t)
	p := route.Placement{Target: "engine-0", Address: netip.MustParseAddrPort("10.0.0.1:1"), PlacedAt: d.now()}
	if err := d.allow(p); err != nil {
		t.Errorf("no limit is known: %v", err)
	}
	d.reportSignals(p, notice.Signals{Limited: true, Rate: 3})
	if d.allow(p) == nil {
		t.Error("placed before the limit, and still allowed")
	}
	p.QuotaGranted = true
	if err := d.allow(p); err != nil {
		t.Errorf("placed within the limit: %v", err)
	}
	p.PlacedAt = p.PlacedAt.Add(-grantLifetime - time.Second)
	if d.allow(p) == nil {
		t.Error("placed longer than grantLifetime ago, and still allowed")
	}
}
