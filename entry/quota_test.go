package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
)

// What the platform allows for a target that names a rate: in any window this factor times the
// rate, and some extra.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateExtra  = 5
)

// overRate returns the most arrivals in a window, and how many the rate allows.
func overRate(came []time.Time, rate float64) (most, allowed int) {
	slices.SortFunc(came, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	first := 0
	for last, at := range came {
		for at.Sub(came[first]) > rateWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, int(rateFactor*rate*rateWindow.Seconds()) + rateExtra
}

// ratedFleet is a fleet in which targets of a pool name a rate limit in each answer.
type ratedFleet struct {
	*emulator
	pool string
	rate float64
	// limited are the targets that do so.
	limited map[string]bool
	// pending are the requests that wait for their placement.
	pending []pendingRequest
	// arrivals is when requests reached each target; those after from are checked.
	arrivals map[string][]time.Time
	from     time.Time
	served   int
	codes    map[string]int
	turn     int
	// answersOf counts the answers of each box.
	answersOf map[string]*placementAnswers
}

// placementAnswers counts the answers to requests for a placement.
type placementAnswers struct {
	served, refused int
	// refusedLate are the refusals that waited for a call to another box.
	refusedLate int
}

// count counts an answer after a wait.
func (c *placementAnswers) count(answer placementAnswer, waited time.Duration) {
	if answer.err == nil {
		c.served++
		return
	}
	c.refused++
	if waited > 0 {
		c.refusedLate++
	}
}

// pendingRequest is a request that waits for its placement.
type pendingRequest struct {
	box         *Daemon
	reply       chan placementAnswer
	requestedAt time.Time
}

// sendRequests has some boxes send a request each, and handles those that were placed.
func (w *ratedFleet) sendRequests(requests int) {
	for range requests {
		w.turn += 7
		d := w.boxes[w.turn%len(w.boxes)]
		j := job("short", 100)
		j.Pool = configuration(1).Pools[w.pool]
		reply := make(chan placementAnswer, 1)
		w.pending = append(w.pending, pendingRequest{d, reply, w.now})
		w.perform(d, d.update(w.now, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: reply}))
	}
	w.pending = slices.DeleteFunc(w.pending, func(x pendingRequest) bool {
		select {
		case answer := <-x.reply:
			w.answered(x, answer)
			return true
		default:
			return false
		}
	})
}

// answered sends a request that was placed, and has its box receive the answer.
func (w *ratedFleet) answered(x pendingRequest, answer placementAnswer) {
	if c := w.answersOf[x.box.Settings.Name]; c != nil {
		c.count(answer, w.now.Sub(x.requestedAt))
	}
	if answer.err != nil {
		w.codes[refusal.Of(answer.err, "", 0).Code]++
		return
	}
	incarnation := incarnationOf(answer.place)
	if err := x.box.allow(incarnation, deliver.Attempt{Job: job("short", 100), Place: answer.place}); err != nil {
		w.codes[err.Error()]++
		return
	}
	w.served++
	if w.now.After(w.from) {
		w.arrivals[incarnation.ID] = append(w.arrivals[incarnation.ID], w.now)
	}
	signals := notice.Signals{Unlimited: true}
	if w.limited[incarnation.ID] {
		signals = notice.Signals{Limited: true, Rate: w.rate}
	}
	sentAt := w.now
	w.after(100*time.Millisecond, func() {
		x.box.update(w.now, answerBegan{answer.place})
		x.box.attemptEnded(w.now, &x.box.tables, attemptEnded{deliver.AttemptResult{Place: answer.place, Job: job("short", 100), Began: true, Answered: true}})
		if x.box.observeSignals(sentAt, incarnation, signals, "an answer") {
			x.box.update(w.now, signalsReceived{incarnation})
		}
	})
}

// TestLimitInFleets guards against boxes of a fleet with hubs that together exceed the rate
// limit of a target, or leave it unused while callers are refused.
func TestLimitInFleets(t *testing.T) {
	tests := []struct {
		name           string
		boxes, domains int
		pool           string
		rate           float64
		// limited is how many of eight targets name a rate.
		limited int
	}{
		{"a small fleet", 6, 3, "orders", 3, 2},
		{"a small fleet, its whole pool", 6, 3, "orders", 3, 8},
		{"a small fleet, low rates", 12, 3, "orders", 0.3, 8},
		{"hubs", 70, 3, "orders", 3, 2},
		{"hubs, a whole service", 70, 3, "orders", 3, 8},
		{"hubs, engines", 70, 3, "models", 3, 2},
		{"hubs, all engines", 70, 3, "models", 3, 8},
		{"many hubs, a whole service", 60, 10, "orders", 3, 8},
		{"many hubs, all engines", 60, 10, "models", 12, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := &ratedFleet{
				emulator: emulate(tt.boxes, tt.domains, configuration(1)), pool: tt.pool, rate: tt.rate,
				limited: make(map[string]bool), arrivals: make(map[string][]time.Time), codes: make(map[string]int),
			}
			for i := range 8 {
				e := engineAt(i)
				e.Pool = tt.pool
				w.addTargets(e)
				w.limited[e.ID] = i < tt.limited
			}
			for _, d := range w.boxes {
				d.tables.hubWarm = true
			}
			w.advance(2*time.Second, nil)
			w.from = w.now.Add(3 * time.Second)
			const span = 15
			requests := 0
			w.advance(span*time.Second, func() {
				requests += 10
				w.sendRequests(10) // 200 a second.
			})
			for id := range w.limited {
				if !w.limited[id] {
					continue
				}
				if most, allowed := overRate(w.arrivals[id], tt.rate); most > allowed {
					t.Errorf("%d requests reach %s in 4 s, %d are allowed", most, id, allowed)
				}
			}
			t.Logf("%d of %d served, refused %v", w.served, requests, w.codes)
			least := requests * 95 / 100
			if tt.limited == 8 {
				least = int(8 * tt.rate * span * 9 / 10)
			}
			if w.served < least {
				t.Errorf("%d requests of %d are served", w.served, requests)
			}
		})
	}
}

// setRateLimit has a box learn that a target names a rate limit.
func setRateLimit(d *Daemon, now time.Time, id string, rate float64) {
	d.notices.ObserveLimit(now, now, fleet.Incarnation{ID: id}, notice.Signals{Limited: true, Rate: rate})
	d.update(now, signalsReceived{fleet.Incarnation{ID: id}})
}

// singleBox is a box without others, with two engines.
func singleBox() *Daemon {
	d := withEngines(newDaemon("b1"), "a", "b")
	d.tables.membersKnown = true
	d.tables.members["b1"] = &member{domain: "a", share: 1}
	return d
}

// TestLimitBeforeSend guards against requests that are sent to a target which named its rate
// limit after they were placed, or long after their token was taken.
func TestLimitBeforeSend(t *testing.T) {
	tests := []struct {
		name    string
		granted bool
		waited  time.Duration
		limited bool
		want    error
	}{
		{"no limit", false, time.Minute, false, nil},
		{"placed before the limit", false, 0, true, notice.ErrLimited},
		{"placed within it", true, 0, true, nil},
		{"placed within it, long ago", true, grantTTL + 1, true, notice.ErrLimited},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := singleBox()
			now := start.Add(tt.waited)
			d.now = func() time.Time { return now }
			if tt.limited {
				setRateLimit(d, start, "a", 3)
			}
			s := deliver.Attempt{Job: job("long", 1000), Place: deliver.Placement{Target: "a", PlacedAt: start, QuotaGranted: tt.granted}}
			if err := d.allow(fleet.Incarnation{ID: "a"}, s); !errors.Is(err, tt.want) || (err == nil) != (tt.want == nil) {
				t.Errorf("allowed: %v, want %v", err, tt.want)
			}
		})
	}
}

// TestLimitExcludesTarget guards against placing on a target whose rate limit is reached, and
// checks the refusal when that holds for all.
func TestLimitExcludesTarget(t *testing.T) {
	d := singleBox()
	setRateLimit(d, start, "a", 2)
	if got, _ := placedOn(d, start); fmt.Sprint(got) != "[b]" {
		t.Errorf("placed at once on %v", got)
	}
	setRateLimit(d, start, "b", 2)
	_, refused := placedOn(d, start)
	if refused.Code != codeLimited || refused.Outcome != refusal.DidNotRun || refused.RetryAfter <= 0 {
		t.Errorf("refused as %q, %v, retry after %v", refused.Code, refused.Outcome, refused.RetryAfter)
	}
	later := start.Add(time.Second)
	d.current.setProvedAt(later)
	if got, _ := placedOn(d, later); fmt.Sprint(got) != "[a b]" {
		t.Errorf("placed a second later on %v", got)
	}
	d.notices.ObserveLimit(later, later, fleet.Incarnation{ID: "a"}, notice.Signals{Unlimited: true})
	d.update(later, signalsReceived{fleet.Incarnation{ID: "a"}})
	if got, _ := placedOn(d, later); fmt.Sprint(got) != "[a]" {
		t.Errorf("placed after the end of a limit on %v", got)
	}
}

// TestProbesWithinLimit guards against health probes of a silent target beyond its rate limit.
func TestProbesWithinLimit(t *testing.T) {
	d := singleBox()
	table := configuration(1)
	table.Pools["orders"].HealthPath = "/health"
	d.current.Store(table)
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{{ID: "s", Pool: "orders"}}}, false})
	setRateLimit(d, start, "s", 0.5)
	x := d.tables.fleet.Target("s")
	x.Sent(start, 0, 0)
	probes := 0
	for ms := 0; ms < 20000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for range d.probeSilent(now, &d.tables) {
			probes++
			delete(d.tables.probing, "s")
		}
	}
	if probes == 0 || probes > 10 {
		t.Errorf("probed %d times in 20 s at 0.5 a second", probes)
	}
}

// TestLimitGossip guards against boxes that don't learn of a limit, or of its end, from another
// box.
func TestLimitGossip(t *testing.T) {
	tests := []struct {
		name     string
		received []peer.RateLimit
		limited  bool
		rate     float64
	}{
		{"a limit", []peer.RateLimit{{Target: "a", Active: true, PerSecond: 3}}, true, 3},
		{"its end", []peer.RateLimit{{Target: "a", Active: true, PerSecond: 3, AgeMS: 50}, {Target: "a", AgeMS: 20}}, false, 0},
		{"an end from before", []peer.RateLimit{{Target: "a", Active: true, PerSecond: 3, AgeMS: 20}, {Target: "a", AgeMS: 50}}, true, 3},
		{"of another incarnation", []peer.RateLimit{{Target: "c", Active: true, PerSecond: 3}}, false, 0},
		{"an invalid rate", []peer.RateLimit{{Target: "a", Active: true, PerSecond: -3}}, false, 0},
		{"of a future time", []peer.RateLimit{{Target: "a", Active: true, PerSecond: 3, AgeMS: -5}}, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := singleBox()
			d.peerRequest(start.Add(time.Second), &d.tables, peer.Message{Kind: peer.KindGossip, From: "b2", RateLimits: tt.received})
			if x := d.tables.fleet.Target("a"); x.Limited != tt.limited || x.Rate != tt.rate {
				t.Errorf("limited %v to %v", x.Limited, x.Rate)
			}
		})
	}
}

// TestLimitOfUnlistedIncarnation guards against a gossiped limit of a target's next
// incarnation, which this box's list does not have yet: it must not discard the signals that
// the listed incarnation sent to this box.
func TestLimitOfUnlistedIncarnation(t *testing.T) {
	d := singleBox()
	listed := engine("a", 1)
	listed.StartedAt = start.Add(-time.Minute)
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{listed}}, false})
	limit := peer.RateLimit{Target: "a", StartedMS: start.UnixMilli(), Active: true, PerSecond: 3}
	d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "b2", RateLimits: []peer.RateLimit{limit}})
	sendSignals(d, start, fleet.Incarnation{ID: "a", StartedAt: listed.StartedAt}, signalsBackoff)
	if got, _ := placedOn(d, start.Add(time.Second)); fmt.Sprint(got) != "[b]" {
		t.Errorf("placed on %v during the backoff that a asked for", got)
	}
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{{ID: "a", Pool: "models", Versions: map[string]int64{"m": 1}, StartedAt: start}}}, false})
	d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "b2", RateLimits: []peer.RateLimit{limit}})
	if x := d.tables.fleet.Target("a"); !x.Limited {
		t.Error("the limit is not known once the list has that incarnation")
	}
}

// TestLimitsRepeated guards against messages that repeat all limits all the time.
func TestLimitsRepeated(t *testing.T) {
	d := singleBox()
	other := &member{}
	for i := range maxLimitsPerMessage + 10 {
		setRateLimit(d, start, fmt.Sprint("x", i), 3)
	}
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, maxLimitsPerMessage}, {newLimitRepeat, maxLimitsPerMessage}, {newLimitRepeat + 1, 0}, {allLimitsInterval, maxLimitsPerMessage}, {allLimitsInterval + 1, 0}} {
		if got := len(d.limitsForPeer(start.Add(tt.after), other)); got != tt.want {
			t.Errorf("after %v: %d are sent, want %d", tt.after, got, tt.want)
		}
	}
}
