package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/minlatency"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// waitingConfiguration has routes whose requests may wait, and one whose requests may not.
func waitingConfiguration(version int64) *routing.Table {
	route := func(name string, priority int, goal, timeout time.Duration) *routing.Route {
		return &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Stream: true, Priority: priority, Attempts: 1, Goal: goal, GapGoal: 1250 * time.Millisecond, Timeout: timeout, Shares: []routing.Share{{Pool: "models", Weight: 1}}}
	}
	return routing.New(version, []*routing.Route{
		route("draft", 2, 1200*time.Millisecond, 10*time.Second), route("question", 0, 400*time.Millisecond, 10*time.Second), route("brief", 0, 400*time.Millisecond, 1500*time.Millisecond),
	}, []*routing.Pool{{Name: "models", Engine: &routing.Engine{Capacity: 100000, Models: []string{"m"}, TokenBytes: 1000, Megabits: 1000}}}, nil)
}

// waitingBox is a box with one engine, whose memory other boxes' requests use, in a time that the
// test sets.
type waitingBox struct {
	*Daemon
	at time.Time
	n  int
}

func newWaitingBox(name string) *waitingBox {
	w := &waitingBox{Daemon: newDaemon(name), at: start}
	w.now = func() time.Time { return w.at }
	w.startedAt = start
	w.random = func() float64 { return 0.5 }
	w.Settings.Box.MemoryMB = 8
	w.tables.members[name], w.tables.members["b2"] = &member{}, &member{}
	w.prove()
	w.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	w.fill(140000)
	return w
}

// prove has the box read that its configuration is the newest.
func (w *waitingBox) prove() {
	w.update(w.at, operatorRead{w.at, Operator{Table: waitingConfiguration(1)}})
}

// fill has another box report how much of the engine's memory its requests use, after the queue may
// be served again.
func (w *waitingBox) fill(tokens int) {
	w.at = w.at.Add(serveInterval)
	w.report(tokens)
}

// report is fill without a passage of time.
func (w *waitingBox) report(tokens int) {
	w.update(w.at, peerRequest{peer.Message{Kind: peer.KindGossip, From: "b2", TargetLoads: []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: tokens}}}, make(chan peer.Message, 1)})
}

// pass advances the time, with a tick at its end.
func (w *waitingBox) pass(after time.Duration) []effect {
	w.at = w.at.Add(after)
	return w.tendQueues(w.at, &w.tables)
}

// request is a request for a placement and its answer.
type request struct {
	placementRequest
	answer chan placementAnswer
	leave  context.CancelFunc
}

// request returns a request on a route, of an account, with 10,000 tokens.
func (w *waitingBox) request(route, account string) *request {
	w.n++
	r := waitingConfiguration(1).Route("h", "/"+route+"/")
	x := &request{answer: make(chan placementAnswer, 1)}
	x.ctx, x.leave = context.WithCancel(context.Background())
	x.reply = x.answer
	x.ask.Job = &deliver.Job{
		Call:  &deliver.Call{ID: fmt.Sprint(w.n), Model: "m", PromptTokens: 10000, Parts: []deliver.Part{{ID: "p", Tokens: 9000}, {ID: "own", Tokens: 1000}}, Received: w.at},
		Route: r, Pool: waitingConfiguration(1).Pools["models"], Account: &routing.Account{Name: account}, Until: w.at.Add(r.Timeout),
	}
	return x
}

// ask sends a request of an account on a route to the box.
func (w *waitingBox) ask(route, account string) *request {
	x := w.request(route, account)
	w.update(w.at, x.placementRequest)
	return x
}

// receive has the loop take the message that a caller's leaving posts.
func (w *waitingBox) receive(t *testing.T) {
	t.Helper()
	select {
	case m := <-w.messages:
		w.update(w.at, m)
	case <-time.After(5 * time.Second):
		t.Fatal("the loop is not told")
	}
}

// got returns a request's answer: "waits", "placed" or the code of its refusal.
func (x *request) got() (string, placementAnswer) {
	select {
	case a := <-x.answer:
		if a.err == nil {
			return "placed", a
		}
		var refused *refusal.Refusal
		if errors.As(a.err, &refused) {
			return refused.Code, a
		}
		return a.err.Error(), a
	default:
		return "waits", placementAnswer{}
	}
}

// TestWaitEnds guards, for each way in which a wait may end, against a request that gets no answer
// or two, is counted as load although nobody takes it, or is placed too late or by an old state.
func TestWaitEnds(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, w *waitingBox, x *request)
		want string
		// tokens is the memory then counted for the box's own requests.
		tokens int
	}{
		{"room is found", func(_ *testing.T, w *waitingBox, _ *request) {
			w.pass(time.Second)
			w.fill(50000)
		}, "placed", 10000},
		{"an attempt ended, at the next tick", func(_ *testing.T, w *waitingBox, _ *request) {
			w.tables.othersUsage.Set(w.at, "b2", nil)
			w.pass(tick)
		}, "placed", 10000},
		{"the caller left", func(t *testing.T, w *waitingBox, x *request) {
			w.pass(time.Second)
			x.leave()
			w.receive(t)
			w.fill(0)
		}, "timeout", 0},
		{"the caller left when room was found", func(_ *testing.T, w *waitingBox, x *request) {
			w.pass(time.Second)
			x.leave()
			w.fill(0)
		}, "timeout", 0},
		{"it can't be answered in time any more", func(_ *testing.T, w *waitingBox, x *request) {
			w.pass(8700 * time.Millisecond)
			if got, _ := x.got(); got != "waits" {
				t.Errorf("%s before its latest begin", got)
			}
			w.pass(200 * time.Millisecond)
		}, codeCrowded, 0},
		{"this box stops, and the request can be answered before", func(_ *testing.T, w *waitingBox, _ *request) {
			end := w.at.Add(7 * time.Second)
			w.stopEnds.Store(&end)
			w.stopping.Store(true)
			w.pass(time.Second)
			w.fill(0)
		}, "placed", 10000},
		{"this box stops before it can be answered", func(_ *testing.T, w *waitingBox, _ *request) {
			end := w.at.Add(2 * time.Second)
			w.stopEnds.Store(&end)
			w.stopping.Store(true)
			w.pass(time.Second)
		}, "stopping", 0},
		{"the proof is too old", func(_ *testing.T, w *waitingBox, _ *request) {
			w.bounds.Load().EvacuatedWithin = 3 * time.Second
			w.pass(4 * time.Second)
		}, "stale", 0},
		{"the table service is down, the proof is fresh", func(_ *testing.T, w *waitingBox, _ *request) {
			w.update(w.at, tableServiceLost{errors.New("no answer")})
			w.pass(time.Second)
			w.fill(0)
		}, "placed", 10000},
		{"the box was paused beyond the deadline", func(_ *testing.T, w *waitingBox, _ *request) {
			w.at = w.at.Add(10 * time.Second)
			w.prove()
			w.fill(0)
		}, codeCrowded, 0},
		{"all engines are leaving", func(_ *testing.T, w *waitingBox, _ *request) {
			w.tables.fleet.Target("a").Leaving = true
			w.pass(tick)
		}, "no_target", 0},
		{"a more urgent request needs the place", func(_ *testing.T, w *waitingBox, _ *request) {
			w.tables.waiting["models"].queue.MaxRequests = 1
			w.ask("question", "y")
		}, codeCrowded, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWaitingBox("b1")
			x := w.ask("draft", "x")
			if got, a := x.got(); got != "waits" {
				t.Fatalf("%s: %+v", got, a)
			}
			tt.do(t, w, x)
			got, a := x.got()
			if got != tt.want {
				t.Fatalf("%s (%v), want %s", got, a.err, tt.want)
			}
			var refused *refusal.Refusal
			if errors.As(a.err, &refused) && (refused.Outcome != refusal.DidNotRun || refused.RetryAfter <= 0) {
				t.Errorf("refused with %+v", refused)
			}
			if a.err == nil && a.place.Waited <= 0 {
				t.Error("the wait is not reported")
			}
			if tokens := w.tables.fleet.Target("a").Tokens; tokens != tt.tokens {
				t.Errorf("counted %d tokens, want %d", tokens, tt.tokens)
			}
			if p := w.tables.waiting["models"]; p != nil && len(p.waiters) != p.queue.Len() {
				t.Errorf("%d waiters, %d queued", len(p.waiters), p.queue.Len())
			}
			w.pass(tick)
			if again, _ := x.got(); again != "waits" {
				t.Errorf("answered again: %s", again)
			}
		})
	}
}

// TestPausedBox pauses the box for 2 s with requests waiting. It guards against placing requests
// that can't be answered any more before those that can.
func TestPausedBox(t *testing.T) {
	w := newWaitingBox("b1")
	old := w.ask("draft", "x")
	w.pass(7 * time.Second)
	w.prove()
	young := w.ask("draft", "y")
	w.at = w.at.Add(2 * time.Second)
	w.prove()
	w.fill(75000) // Room for one.
	if got, _ := old.got(); got != codeCrowded {
		t.Errorf("the old request: %s", got)
	}
	if got, _ := young.got(); got != "placed" {
		t.Errorf("the young request: %s", got)
	}
}

// TestNewWeights names new weights while a request waits. It guards against placing it on those of
// the time at which it came.
func TestNewWeights(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.ask("draft", "x")
	w.update(w.at, operatorRead{w.at, Operator{Table: waitingConfiguration(1), Weights: map[string]int64{"m": 2}}})
	w.update(w.at, targetsRead{w.at, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 2)}}, false})
	w.pass(time.Second)
	w.fill(0)
	if got, a := x.got(); got != "placed" || a.place.Version != 2 || a.place.NewestVersion != 2 {
		t.Errorf("%s on version %d of %d", got, a.place.Version, a.place.NewestVersion)
	}
}

// TestNoOvertaking guards against a later request that takes the room for which an earlier one
// waits, and against urgent requests that wait behind others.
func TestNoOvertaking(t *testing.T) {
	w := newWaitingBox("b1")
	first := w.ask("draft", "x")
	w.at = w.at.Add(time.Millisecond)
	second := w.ask("draft", "x")
	w.tables.othersUsage.Set(w.at, "b2", []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: 75000}}) // Room for one.
	w.at = w.at.Add(time.Millisecond)
	late := w.ask("draft", "x")
	if got, _ := late.got(); got != "waits" {
		t.Errorf("a later request of the account: %s", got)
	}
	urgent := w.ask("question", "x")
	if got, _ := urgent.got(); got != "placed" {
		t.Errorf("an urgent request: %s", got)
	}
	w.fill(65000)
	for i, x := range []*request{first, second, late} {
		want := []string{"placed", "waits", "waits"}[i]
		if got, _ := x.got(); got != want {
			t.Errorf("request %d: %s, want %s", i, got, want)
		}
	}
	w.tables.othersUsage.Set(w.at, "b2", []peer.TargetLoad{{Target: placement.Hash("a"), Tokens: 55000}})
	brief := w.ask("brief", "y") // It can't wait, but is more urgent.
	if got, _ := brief.got(); got != "placed" {
		t.Errorf("a request that can't wait: %s", got)
	}
}

// TestServeInterval guards against evaluating all engines of a pool after each of many messages.
func TestServeInterval(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.ask("draft", "x")
	w.pass(time.Second)
	w.at = w.at.Add(serveInterval - 1)
	w.report(0)
	if got, _ := x.got(); got != "waits" {
		t.Errorf("%s within the interval", got)
	}
	w.at = w.at.Add(1)
	w.report(0)
	if got, _ := x.got(); got != "placed" {
		t.Errorf("%s after the interval", got)
	}
}

// TestRefusedAtOnce guards against requests that wait although they can't be served, are not to
// wait, or exceed the memory for their bodies.
func TestRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(w *waitingBox, x *request)
		want   string
	}{
		{"may wait", func(*waitingBox, *request) {}, "waits"},
		{"on a route with a short timeout", func(_ *waitingBox, x *request) {
			x.ask.Job.Route = waitingConfiguration(1).Route("h", "/brief/")
		}, codeCrowded},
		{"switched off by the settings", func(w *waitingBox, _ *request) { w.waits = false }, codeCrowded},
		{"can't be answered in time", func(w *waitingBox, x *request) { x.ask.Job.Until = w.at.Add(time.Second) }, codeCrowded},
		{"a large body", func(_ *waitingBox, x *request) { x.ask.Job.Body = make([]byte, 1<<20) }, "waits"},
		{"a larger body", func(_ *waitingBox, x *request) { x.ask.Job.Body = make([]byte, 1<<20+1) }, codeCrowded},
		{"bodies of requests at hubs", func(w *waitingBox, x *request) {
			w.tables.heldBytes = 1 << 20
			x.ask.Job.Body = make([]byte, 1)
		}, codeCrowded},
		{"too many tokens before it", func(w *waitingBox, x *request) {
			for i := range 8 { // 70,000 tokens a second become free for this box.
				w.ask("draft", fmt.Sprint("y", i))
			}
			x.ask.Job.Received = w.at.Add(time.Millisecond)
			x.ask.Job.Until = w.at.Add(2200 * time.Millisecond)
		}, codeCrowded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWaitingBox("b1")
			x := w.request("draft", "x")
			tt.change(w, x)
			w.update(w.at, x.placementRequest)
			got, a := x.got()
			if got != tt.want {
				t.Fatalf("%s (%v), want %s", got, a.err, tt.want)
			}
			var refused *refusal.Refusal
			if errors.As(a.err, &refused) && (refused.RetryAfter <= 0 || refused.Status != 503) {
				t.Errorf("refused with %+v", refused)
			}
		})
	}
}

// TestCalm guards against requests that cost more than before while none waits.
func TestCalm(t *testing.T) {
	w := newWaitingBox("b1")
	w.fill(0)
	x := w.request("draft", "x")
	place := func(serve func()) float64 {
		return testing.AllocsPerRun(200, func() {
			serve()
			w.tables.fleet.Target("a").Tokens = 0
		})
	}
	before := place(func() {
		_, _ = w.place(w.at, &w.tables, x.ask)
	})
	after := place(func() {
		w.placeHere(w.at, &w.tables, x.placementRequest)
		<-x.answer
	})
	t.Logf("%v allocations for a placement, %v with the queue", before, after)
	if after > before+1 {
		t.Errorf("%v allocations for a placement, %v with the queue", before, after)
	}
	if len(w.tables.waiting) != 0 || w.tendQueues(w.at, &w.tables) != nil {
		t.Error("there is a queue although nothing waited")
	}
	if allocs := testing.AllocsPerRun(100, func() { w.tendQueues(w.at, &w.tables) }); allocs != 0 {
		t.Errorf("%v allocations in a tick", allocs)
	}
}

// TestAccountOrder guards against an account that starves others, by what their requests use.
func TestAccountOrder(t *testing.T) {
	w := newWaitingBox("b1")
	w.fill(0)
	for range 3 {
		if got, a := w.ask("draft", "large").got(); got != "placed" {
			t.Fatalf("%s: %v", got, a.err)
		}
	}
	w.fill(140000)
	first := w.ask("draft", "large")
	w.at = w.at.Add(serveInterval)
	small := w.ask("draft", "small")
	w.fill(45000) // Room for one, besides the three.
	if got, _ := small.got(); got != "placed" {
		t.Errorf("the small account's request: %s", got)
	}
	if got, _ := first.got(); got != "waits" {
		t.Errorf("the large account's request: %s", got)
	}
}

// TestPlacedTokens guards against memory of requests that ended, or of other boxes' requests, that is
// never given back.
func TestPlacedTokens(t *testing.T) {
	w := newWaitingBox("b1")
	w.fill(0)
	x := w.ask("draft", "x")
	_, a := x.got()
	if got := w.tables.placed.of(w.at, "models"); got != 10000 {
		t.Errorf("in use: %d", got)
	}
	w.update(w.at, attemptEnded{deliver.AttemptResult{Place: a.place, Job: x.ask.Job, Began: true}})
	w.tables.placed.addUntil(w.at, w.at.Add(time.Second), 700, "models")
	if got := w.tables.placed.of(w.at, "models"); got != 700 {
		t.Errorf("in use by another box's request: %d", got)
	}
	if got := w.tables.placed.of(w.at.Add(time.Second), "models"); got != 0 || len(w.tables.placed.running) != 0 {
		t.Errorf("in use in the end: %d", got)
	}
}

// TestFreeRate guards against a prediction by another rate than that at which requests end.
func TestFreeRate(t *testing.T) {
	w := newWaitingBox("b1")
	w.fill(80000)
	pool := w.queueOf(&w.tables, waitingConfiguration(1).Pools["models"])
	if got := w.freeRate(w.at, &w.tables, pool); got != 40000 {
		t.Errorf("%v tokens a second at first, want half of 80,000 for each of two boxes", got)
	}
	for range 200 {
		w.tables.learnHoldTime(w.at.Add(2*time.Second), attemptEnded{deliver.AttemptResult{Place: deliver.Placement{Tokens: 10000, PlacedAt: w.at}, Job: w.request("draft", "x").ask.Job, Began: true}})
	}
	w.at = w.at.Add(minFreeRateAge)
	if got := w.freeRate(w.at, &w.tables, pool); got < 19999 || got > 20001 {
		t.Errorf("%v tokens a second with requests of 2 s, want 20,000", got)
	}
	w.at = w.at.Add(minFreeRateAge)
	w.tables.placed.change("models", 60000)
	if got := w.freeRate(w.at, &w.tables, pool); got < 29999 || got > 30001 {
		t.Errorf("%v tokens a second for a box that placed three quarters, want 30,000", got)
	}
}

// TestPatience guards against a request that waits beyond the time at which its caller, who has got
// nothing, abandons it.
func TestPatience(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.request("draft", "x")
	x.ask.Job.Route.GapGoal = 0 // Four goals of 1.2 s count, and an answer takes one of them.
	w.update(w.at, x.placementRequest)
	w.pass(3500 * time.Millisecond)
	if got, a := x.got(); got != "waits" {
		t.Errorf("%s while its caller is patient: %v", got, a.err)
	}
	w.pass(200 * time.Millisecond)
	if got, a := x.got(); got != codeCrowded {
		t.Errorf("%s too late for its caller: %v", got, a.err)
	}
}

// TestQueueLog guards against a log line for each request, and against queues that are never
// logged as over.
func TestQueueLog(t *testing.T) {
	w := newWaitingBox("b1")
	var log lineCounter
	w.Log.SetOutput(&log)
	for range 3 {
		x := w.ask("draft", "x")
		w.pass(tick)
		x.leave()
		w.receive(t)
		w.pass(tick)
	}
	if log.lines != 1 {
		t.Errorf("%d lines while requests wait", log.lines)
	}
	w.pass(queueQuiet)
	if log.lines != 2 || len(w.tables.waiting) != 0 {
		t.Errorf("%d lines, %d queues in the end", log.lines, len(w.tables.waiting))
	}
}

// lineCounter counts written lines.
type lineCounter struct{ lines int }

func (c *lineCounter) Write(p []byte) (int, error) {
	for _, b := range p {
		if b == '\n' {
			c.lines++
		}
	}
	return len(p), nil
}

// TestMoveToHub has a box with waiting requests become a spoke. It guards against requests that
// wait at a box that no longer knows the loads.
func TestMoveToHub(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.ask("draft", "x")
	for name, m := range largeFleet("box-05").tables.members {
		w.tables.members[name] = m
	}
	w.tables.membersKnown = true
	w.updateRole(w.at, &w.tables)
	effects := w.pass(tick)
	if i := slices.IndexFunc(effects, func(e effect) bool { _, ok := e.(askHub); return ok }); i < 0 {
		t.Errorf("no hub is asked: %v", effects)
	}
	if got, _ := x.got(); got != "waits" {
		t.Errorf("request: %s", got)
	}
}

// TestMinAnswerTimeWithoutWait guards against requests that are refused for a short deadline because
// those before them waited long.
func TestMinAnswerTimeWithoutWait(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.request("draft", "x")
	for range minlatency.MinSamples {
		w.recordOutcome(deliver.Outcome{Call: x.ask.Job.Call, Job: x.ask.Job, Status: 200, Took: 5 * time.Second, Waited: 4900 * time.Millisecond})
	}
	if least, known := w.minAnswerTime(w.at, x.ask.Job); !known || least > 100*time.Millisecond {
		t.Errorf("minimum answer time %v, known %v", least, known)
	}
}

// TestQueueMetrics guards against a gauge that stays when the queue has ended, and against ends that
// are not counted.
func TestQueueMetrics(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.ask("draft", "x")
	if got := w.metric(t, "thymewind_entry_queued", "models"); got != 1 {
		t.Errorf("%v requests wait", got)
	}
	x.leave()
	w.receive(t)
	w.ask("draft", "x")
	w.fill(0)
	if got := w.metric(t, "thymewind_entry_queued", "models"); got != 0 {
		t.Errorf("%v requests wait in the end", got)
	}
	for _, end := range []string{endCallerLeft, endPlaced} {
		if got := w.metric(t, "thymewind_entry_queue_ends_total", end); got != 1 {
			t.Errorf("%v waits ended as %s", got, end)
		}
	}
}

// metric returns the value of the metric of a name, one of whose labels has a value.
func (w *waitingBox) metric(t *testing.T, name, label string) float64 {
	t.Helper()
	families, err := w.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if f.GetName() == name && l.GetValue() == label {
					return m.GetGauge().GetValue() + m.GetCounter().GetValue()
				}
			}
		}
	}
	return -1
}

// TestRefusedByStoppingBox guards against callers who are told to stay away for long from a box that
// stops, although others serve them.
func TestRefusedByStoppingBox(t *testing.T) {
	w := newWaitingBox("b1")
	end := w.at.Add(time.Second)
	w.stopEnds.Store(&end)
	w.stopping.Store(true)
	got, a := w.ask("draft", "x").got()
	var refused *refusal.Refusal
	if got != codeCrowded || !errors.As(a.err, &refused) || refused.RetryAfter > 200*time.Millisecond {
		t.Errorf("%s: %+v", got, refused)
	}
}

// becomeSpoke gives the box the role of a spoke in a large fleet, or that of a hub again.
func (w *waitingBox) becomeSpoke(spoke bool) {
	for name, m := range largeFleet("box-05").tables.members {
		w.tables.members[name] = m
	}
	w.tables.membersKnown = true
	w.spoke.Store(spoke)
}

// hubAsked returns the call to a hub among effects.
func hubAsked(t *testing.T, effects []effect) askHub {
	t.Helper()
	for _, e := range effects {
		if call, ok := e.(askHub); ok {
			return call
		}
	}
	t.Fatalf("no hub is asked: %v", effects)
	return askHub{}
}

// TestMovedWait has a hub place a request at once that waited at its own box before. It guards
// against a wait that is not reported, after which the key and the route would not be checked again.
func TestMovedWait(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.ask("draft", "x")
	w.at = w.at.Add(time.Second)
	w.becomeSpoke(true)
	call := hubAsked(t, w.pass(tick))
	w.update(w.at, hubPlaced{call.hub, call.request, &peer.PlacementResponse{Target: "a", Version: 1}, nil})
	if got, a := x.got(); got != "placed" || a.place.Waited != time.Second+tick {
		t.Errorf("%s (%v) after %v", got, a.err, a.place.Waited)
	}
}

// TestChangedRoles changes the box's role twice while a request waits. It guards against bodies that
// are counted twice, or still after the end of the wait, and against a wait that begins anew.
func TestChangedRoles(t *testing.T) {
	w := newWaitingBox("b1")
	w.becomeSpoke(true)
	x := w.request("draft", "x")
	x.ask.Job.Body = make([]byte, 100)
	call := hubAsked(t, w.update(w.at, x.placementRequest))
	w.at = w.at.Add(time.Second)
	for range 2 {
		call = hubAsked(t, w.update(w.at, hubPlaced{call.hub, call.request, &peer.PlacementResponse{Queued: true}, nil}))
		w.becomeSpoke(false)
		w.at = w.at.Add(time.Second)
		w.update(w.at, hubPlaced{call.hub, call.request, &peer.PlacementResponse{AskAnother: true}, nil})
		if here := w.tables.waiting["models"].queue.Bytes(); here != 100 || w.tables.heldBytes != 0 {
			t.Errorf("%d bytes wait here, %d at hubs", here, w.tables.heldBytes)
		}
		w.becomeSpoke(true)
		if len(call.request.askedHubs) == 0 {
			call = hubAsked(t, w.pass(tick))
		}
	}
	w.becomeSpoke(false)
	w.fill(0)
	if got, a := x.got(); got != "placed" || a.place.Waited < 2*time.Second {
		t.Errorf("%s (%v) after %v", got, a.err, a.place.Waited)
	}
	if here := w.tables.waiting["models"].queue.Bytes(); here != 0 || w.tables.heldBytes != 0 {
		t.Errorf("in the end, %d bytes are counted here, %d at hubs", here, w.tables.heldBytes)
	}
}

// TestSpokeStops stops a box whose request waits at a hub. It guards against a request that goes on
// waiting until the box exits and whose caller then gets no answer, and against one that is refused
// although it can be answered before.
func TestSpokeStops(t *testing.T) {
	w := newWaitingBox("b1")
	w.becomeSpoke(true)
	x := w.request("draft", "x")
	x.ask.Job.Body = make([]byte, 100)
	call := hubAsked(t, w.update(w.at, x.placementRequest))
	queuedThere := func() []effect {
		return w.update(w.at, hubPlaced{call.hub, call.request, &peer.PlacementResponse{Queued: true}, nil})
	}
	call = hubAsked(t, queuedThere())
	end := w.at.Add(2 * time.Second)
	w.stopEnds.Store(&end)
	w.stopping.Store(true)
	call = hubAsked(t, queuedThere())
	w.at = end.Add(time.Millisecond - x.ask.Job.Route.Goal) // The goal is the time that it needs to end.
	effects := queuedThere()
	got, a := x.got()
	var refused *refusal.Refusal
	if got != "stopping" || !errors.As(a.err, &refused) || refused.Outcome != refusal.DidNotRun || refused.RetryAfter <= 0 {
		t.Errorf("%s (%v)", got, a.err)
	}
	if len(effects) > 0 || w.tables.heldBytes != 0 {
		t.Errorf("effects %v, %d bytes held", effects, w.tables.heldBytes)
	}
}

// TestMaxServed finds room for all of many requests at once. It guards against a loop that places
// hundreds of requests for one message while other boxes' calls time out, and against requests that
// are left over.
func TestMaxServed(t *testing.T) {
	const requests = 2*maxServed + 1
	w := newWaitingHub()
	var held []chan peer.Message
	for i := range requests {
		change := func(p *peer.PlacementRequest) { p.Tokens = 100 }
		w.call(uint64(i+1), false, change)
		held = append(held, w.call(uint64(i+1), true, change))
	}
	for round := range 3 {
		w.fill(0)
		if got, want := queued(w.Daemon), max(requests-maxServed*(round+1), 0); got != want {
			t.Errorf("%d wait after round %d, want %d", got, round, want)
		}
	}
	for _, reply := range held {
		expect(t, "held call", reply, "placed")
	}
}

// TestGoalByUsualFirstEvent guards against requests that wait as long as only the fastest of their
// route could and then miss their goal.
func TestGoalByUsualFirstEvent(t *testing.T) {
	w := newWaitingBox("b1")
	x := w.request("draft", "x")
	for range 200 {
		w.update(w.at, attemptEnded{deliver.AttemptResult{Job: x.ask.Job, Began: true, Completed: true, FirstAfter: 700 * time.Millisecond}})
	}
	if got := w.goalAt(w.at, &w.tables, x.ask.Job).Sub(w.at); got < 490*time.Millisecond || got > 510*time.Millisecond {
		t.Errorf("may wait for %v, want its goal of 1.2 s less the usual 0.7 s", got)
	}
	for i := range 200 {
		w.tables.learnFirstEvent("draft", time.Duration(500+400*(i%2))*time.Millisecond)
	}
	if got := w.goalAt(w.at, &w.tables, x.ask.Job).Sub(w.at); got < 250*time.Millisecond || got > 350*time.Millisecond {
		t.Errorf("may wait for %v, want 0.2 s less as times differ by as much", got)
	}
}
