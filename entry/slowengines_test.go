package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/throughput"
)

// answered has a box observe answers of a target that it placed a while ago; in time ones of
// engine "e-1" follow, so that the box isn't taken for the cause.
func answered(d *Daemon, now time.Time, target string, n int, took time.Duration) {
	for range n {
		d.answerBegan(now, &d.tables, deliver.Placement{Target: target, Scope: "m@1", PlacedAt: now.Add(-took), PrefillTokens: 1000})
		d.answerBegan(now, &d.tables, deliver.Placement{Target: "e-1", Scope: "m@1", PlacedAt: now.Add(-60 * time.Millisecond), PrefillTokens: 1000})
	}
}

// slowFleet emulates boxes with ten engines, the first of which is "e-0000".
func slowFleet(boxes int) (*emulator, string) {
	w := manyEngines(boxes, 10)
	w.advance(time.Second, nil)
	return w, w.boxes[0].tables.engines("models")[0].ID
}

// ratio is an engine's ratio as known by a box.
func (w *emulator) ratio(box int, id string) float64 {
	d := w.boxes[box]
	_, possible := d.engineSlowdown(w.now, &d.tables, d.tables.fleet.Target(id))
	return possible
}

// TestSlowEngineHeard guards against ratios that don't reach the boxes that place within a second,
// that one late answer brings about, or that stay at boxes that hear nothing or once none come.
// Of 30 boxes the first six are hubs, of 5 all place.
func TestSlowEngineHeard(t *testing.T) {
	const late = 500 * time.Millisecond
	oneEach := func(w *emulator, id string) {
		for _, d := range w.boxes[len(w.boxes)-4:] {
			answered(d, w.now, id, 1, late)
		}
	}
	tests := []struct {
		name    string
		boxes   int
		observe func(w *emulator, id string)
		slow    bool
	}{
		{"nothing", 30, func(*emulator, string) {}, false},
		{"one plain box, one late answer", 30, func(w *emulator, id string) { answered(w.boxes[20], w.now, id, 1, late) }, false},
		{"one plain box, several", 30, func(w *emulator, id string) { answered(w.boxes[20], w.now, id, 6, late) }, true},
		{"four plain boxes, one each", 30, oneEach, true},
		{"another box of a small fleet", 5, func(w *emulator, id string) { answered(w.boxes[4], w.now, id, 6, late) }, true},
		{"four boxes of a small fleet, one each", 5, oneEach, true},
		{"in time", 30, func(w *emulator, id string) { answered(w.boxes[20], w.now, id, 20, 60*time.Millisecond) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w, id := slowFleet(tt.boxes)
			tt.observe(w, id)
			w.advance(700*time.Millisecond, nil)
			for box := range 3 {
				if got := w.ratio(box, id); (got > 2) != tt.slow {
					t.Errorf("box %d: ratio %.1f, want slow: %v", box, got, tt.slow)
				}
			}
			w.advance(9*time.Second, nil)
			for i, d := range w.boxes {
				if got := w.ratio(i, id); got != 1 {
					t.Errorf("box %d: ratio %.1f after 9 s without answers", i, got)
				}
				if list := d.gossipLoads(w.now, &d.tables); len(list) != 0 {
					t.Errorf("box %d still reports %+v", i, list)
				}
			}
		})
	}
}

// TestSlowEngineMessagesLost guards against ratios that a lost message removes, that outlast
// peerLoadTTL at a box that hears nothing, or that aren't there again once messages pass.
func TestSlowEngineMessagesLost(t *testing.T) {
	w, id := slowFleet(30)
	observe := func() { answered(w.boxes[20], w.now, id, 1, 500*time.Millisecond) }
	w.advance(time.Second, observe)
	steps := []struct {
		name   string
		cut    bool
		length time.Duration
		slow   bool
	}{
		{"heard", false, 500 * time.Millisecond, true},
		{"lost for a moment", true, 500 * time.Millisecond, true},
		{"lost for 5 s", true, 5 * time.Second, false},
		{"heard again", false, 3 * time.Second, true},
	}
	for _, step := range steps {
		w.cut = nil
		if step.cut {
			w.cut = func(string, string) bool { return true }
		}
		w.advance(step.length, observe)
		if got := w.ratio(0, id); (got > 2) != step.slow {
			t.Errorf("%s: ratio %.1f, want slow: %v", step.name, got, step.slow)
		}
	}
}

// TestSlowEngineIncarnation guards against a ratio that an engine keeps when it starts again, also
// through answers and reports of its earlier incarnation that come later.
func TestSlowEngineIncarnation(t *testing.T) {
	d := newDaemon("b1")
	d.tables.members["b2"] = &member{}
	first, second := engine("a", 1), engine("a", 1)
	first.StartedAt, second.StartedAt = start.Add(-time.Hour), start
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{first}}, false})
	old := fleet.Incarnation{ID: "a", StartedAt: first.StartedAt}
	late := func() {
		for range 6 {
			d.answerBegan(start, &d.tables, deliver.Placement{Target: "a", StartedAt: first.StartedAt, Scope: "m@1", PlacedAt: start.Add(-time.Second)})
			answered(d, start, "e-1", 1, 60*time.Millisecond)
		}
		d.tables.receiveLoads(start, "b2", []peer.TargetLoad{{Target: engineKey(old), FirstExpectedMS: 500, FirstTookMS: 2000, LateTenths: 60}})
	}
	late()
	if _, got := d.tables.engineSlowdown(start, d.tables.fleet.Target("a")); got < 2 {
		t.Fatalf("ratio %.1f of the slow incarnation", got)
	}
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{second}}, false})
	late()
	if _, got := d.tables.engineSlowdown(start, d.tables.fleet.Target("a")); got != 1 {
		t.Errorf("ratio %.1f of the next one", got)
	}
}

// TestPlacementAvoidsSlowEngine guards against a ratio that placement ignores, also at a hub for its
// spokes, or that counts although most engines have one, and against a spoke that learns the pool's speed from an engine known as slow.
func TestPlacementAvoidsSlowEngine(t *testing.T) {
	hub := boxWithEngines("box-00")
	place := func() *peer.PlacementResponse {
		return hub.placeForPeer(start, &hub.tables, peer.Message{From: "box-05", PlacementRequest: &peer.PlacementRequest{
			Request: "r", Pool: "models", Model: "m", Tokens: 1000, MaxMemoryShare: 0.92, Parts: []peer.Part{{ID: "p", Tokens: 500}, {ID: "own", Tokens: 500}},
		}})
	}
	usual := place()
	hear := func(ids ...string) {
		var list []peer.TargetLoad
		for _, id := range ids {
			list = append(list, peer.TargetLoad{Target: engineKey(fleet.Incarnation{ID: id}), FirstExpectedMS: 600, FirstTookMS: 2400, LateTenths: 60})
		}
		hub.tables.members["box-05"] = &member{}
		hub.tables.receiveLoads(start, "box-05", list)
	}
	hear(usual.Target)
	if got := place(); got.Target == usual.Target || got.SlowdownPercent != 0 {
		t.Errorf("placed at %s with %d although it is slow", got.Target, got.SlowdownPercent)
	}
	hear("a", "b")
	if got := place(); got.SlowdownPercent != 400 {
		t.Errorf("the spoke is told %d percent", got.SlowdownPercent)
	}
	hub.noteSlowEngines(start, &hub.tables)
	if got := place(); got.Target != usual.Target || got.SlowdownPercent != 0 {
		t.Errorf("placed at %s with %d percent although all engines are slow", got.Target, got.SlowdownPercent)
	}
	spoke := boxWithEngines("box-05")
	before := spoke.prefillPerToken()
	for range 50 {
		spoke.answerBegan(start, &spoke.tables, deliver.Placement{Target: "a", Scope: "m@1", PrefillTokens: 4000, PlacedAt: start.Add(-4 * (50*time.Millisecond + 4000*before)), EngineSlowdown: 4})
	}
	if after := spoke.prefillPerToken(); after > before*11/10 {
		t.Errorf("a token takes %v at the pool, %v before", after, before)
	}
}

// TestSlowPoolRemoved guards against a pool that is taken from the configuration while most of its
// engines are slow and whose ratios are still ignored when it is back.
func TestSlowPoolRemoved(t *testing.T) {
	d := boxWithEngines("box-00")
	hear := func(ids ...string) {
		var list []peer.TargetLoad
		for _, id := range ids {
			list = append(list, peer.TargetLoad{Target: engineKey(fleet.Incarnation{ID: id}), FirstExpectedMS: 600, FirstTookMS: 2400, LateTenths: 60})
		}
		d.tables.members["box-05"] = &member{}
		d.tables.receiveLoads(start, "box-05", list)
		d.noteSlowEngines(start, &d.tables)
	}
	ratio := func() float64 {
		_, possible := d.tables.effectiveSlowdown(start, d.tables.fleet.Target("a"))
		return possible
	}
	hear("a", "b")
	if got := ratio(); got != 1 {
		t.Fatalf("ratio %.1f although all engines are slow", got)
	}
	table := d.current.Load()
	d.current.Store(routing.New(2, nil, nil, nil))
	hear()
	d.current.Store(table)
	d.tables.receiveLoads(start, "box-05", []peer.TargetLoad{{Target: engineKey(fleet.Incarnation{ID: "a"}), FirstExpectedMS: 600, FirstTookMS: 2400, LateTenths: 60}})
	if got := ratio(); got != 4 {
		t.Errorf("ratio %.1f of the only slow engine", got)
	}
}

// TestSlowEngineLogged guards against engines that become slow, or normal again, without a line, and
// against a gauge that doesn't tell.
func TestSlowEngineLogged(t *testing.T) {
	w, id := slowFleet(5)
	d := w.boxes[0]
	var text bytes.Buffer
	d.Log = log.New(&text)
	gauge := func() float64 {
		families, err := d.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if f.GetName() == "thymewind_entry_slow_engines" {
				return f.GetMetric()[0].GetGauge().GetValue()
			}
		}
		return -1
	}
	answered(w.boxes[1], w.now, id, 6, 500*time.Millisecond)
	w.advance(1200*time.Millisecond, nil)
	if got := text.String(); !strings.Contains(got, "target="+id+" slow=true") || gauge() != 1 {
		t.Errorf("gauge %v, log %s", gauge(), got)
	}
	w.advance(7*time.Second, nil)
	if got := text.String(); strings.Count(got, "engine's first events") != 2 || !strings.Contains(got, "target="+id+" slow=false") || gauge() != 0 {
		t.Errorf("gauge %v, log %s", gauge(), got)
	}
}

// TestSlowEngineBytes guards against bytes in calm times and against more than a few for each slow
// engine.
func TestSlowEngineBytes(t *testing.T) {
	sent := func(late int) int {
		w, _ := slowFleet(30)
		engines := w.boxes[0].tables.engines("models")
		before := w.cost["box-0020"].bytes
		w.advance(time.Second, func() {
			for i, x := range engines {
				took := 60 * time.Millisecond
				if i < late {
					took = 500 * time.Millisecond
				}
				w.boxes[20].answerBegan(w.now, &w.boxes[20].tables, deliver.Placement{Target: x.ID, StartedAt: x.StartedAt, Scope: "m@1", PlacedAt: w.now.Add(-took)})
			}
		})
		return w.cost["box-0020"].bytes - before
	}
	calm, one, three := sent(0), sent(1), sent(3)
	silent, _ := slowFleet(30)
	before := silent.cost["box-0020"].bytes
	silent.advance(time.Second, nil)
	if none := silent.cost["box-0020"].bytes - before; calm != none {
		t.Errorf("%d bytes a second with answers in time, %d without any", calm, none)
	}
	t.Logf("a spoke sends %d bytes a second more for one slow engine, %d for three", one-calm, three-calm)
	if one <= calm || three-calm > 3*300 {
		t.Errorf("a spoke sends %d bytes a second, %d with one slow engine and %d with three", calm, one, three)
	}
}

// TestLatenessCountsOnce guards against an engine taken for slow because of what the prediction
// already holds: prompts queued there, overdue ones included, or a source known to be slow.
func TestLatenessCountsOnce(t *testing.T) {
	const transfer, took = 80 * time.Millisecond, 800 * time.Millisecond
	source := placement.Hash("large")
	tests := []struct {
		name  string
		place deliver.Placement
		hear  []peer.TargetLoad
		late  bool
	}{
		{"nothing explains it", deliver.Placement{}, nil, true},
		{"a queue", deliver.Placement{PrefillBacklog: 80000}, nil, false},
		{"a usual source", deliver.Placement{Transfers: []throughput.Transfer{{Source: source, Expected: transfer}}}, nil, true},
		{"a slow source", deliver.Placement{Transfers: []throughput.Transfer{{Source: source, Expected: transfer}}}, []peer.TargetLoad{{Target: source, ExpectedMS: 1000, ActualMS: 10000}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.members["b2"] = &member{}
			d.tables.receiveLoads(start, "b2", tt.hear)
			tt.place.Target, tt.place.PlacedAt = "a", start.Add(-took)
			d.tables.observeEngine(start, tt.place)
			if late := !d.tables.slowEngines.IsEmpty(); late != tt.late {
				t.Errorf("counts as late: %v", late)
			}
		})
	}
}

// TestSlowEngineAnswers guards against a spoke that doesn't take an answer in time of an engine
// placed with a ratio as a sign that it recovered, against state that outlasts such answers, and
// against a late answer with transfers that doesn't count for their source, which may be the cause.
func TestSlowEngineAnswers(t *testing.T) {
	d := boxWithEngines("box-05")
	got, ok := d.acceptHubPlace(start, &d.tables, deliver.PlacementRequest{Job: job("long", 1000)}, &peer.PlacementResponse{Target: "a", Version: 1, SlowdownPercent: 400})
	if !ok || got.place.EngineSlowdown != 4 {
		t.Fatalf("placed: %v, with the ratio %v", ok, got.place.EngineSlowdown)
	}
	d.answerBegan(start.Add(60*time.Millisecond), &d.tables, got.place)
	if e := d.tables.slowEngines.Of(start.Add(60*time.Millisecond), engineKey(fleet.Incarnation{ID: got.place.Target, StartedAt: got.place.StartedAt})); e.LateTenths != -10 {
		t.Errorf("after an answer in time: %+v", e)
	}
	d.sweep(start.Add(10*time.Second), &d.tables)
	if !d.tables.slowEngines.IsEmpty() {
		t.Error("state is left 10 s after the last answer")
	}
	source := placement.Hash("store")
	place := deliver.Placement{Target: "a", Scope: "m@1", PlacedAt: start, Transfers: []throughput.Transfer{{Source: source, Expected: 80 * time.Millisecond}}}
	d.answerBegan(start.Add(time.Second), &d.tables, place)
	if got := d.tables.slowdownOf(start.Add(time.Second), source); got < 2 {
		t.Errorf("slowdown %.1f of the source", got)
	}
}

// TestMostlySlowPool guards against work that gathers at the few engines without a ratio for longer
// than boxes take to hear of the others.
func TestMostlySlowPool(t *testing.T) {
	w, id := slowFleet(5)
	for i, x := range w.boxes[0].tables.engines("models") {
		if i < 7 {
			answered(w.boxes[1], w.now, x.ID, 6, 500*time.Millisecond)
		}
	}
	w.advance(400*time.Millisecond, nil)
	d := w.boxes[0]
	if _, got := d.tables.engineSlowdown(w.now, d.tables.fleet.Target(id)); got < 2 {
		t.Fatalf("ratio %.1f of a slow engine", got)
	}
	if _, got := d.tables.effectiveSlowdown(w.now, d.tables.fleet.Target(id)); got != 1 {
		t.Errorf("placement uses the ratio %.1f although most engines are slow", got)
	}
}
