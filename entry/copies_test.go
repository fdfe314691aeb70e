package entry

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/runcopy"
)

// copyTTL is how long the engines of these tests hold a copy.
const copyTTL = 5 * time.Second

// copyTokens is the size of the runs of these tests; their prompts take some 100 ms to read.
const copyTokens = 12000

// withCopies returns a configuration whose engines copy runs.
func withCopies() *routing.Table {
	table := configuration(1)
	e := table.Pools["models"].Engine
	e.RunCopies, e.CopyTTL, e.TokenBytes, e.Megabits = true, copyTTL, 35136, 1500000
	return table
}

// draft is a long request that can't be resumed, with 10 s left.
func draft(now time.Time) *deliver.Job {
	j := job("long", copyTokens)
	j.Pool, j.Until = withCopies().Pools["models"], now.Add(10*time.Second)
	return j
}

// copyEngines are the engines a, b and c, in this order at 10.0.0.1 to 10.0.0.3.
func copyEngines(startedAt time.Time) []fleet.Entry {
	var list []fleet.Entry
	for i, id := range []string{"a", "b", "c"} {
		e := engine(id, 1)
		e.Address, e.Domain, e.StartedAt = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1), "a", startedAt
		list = append(list, e)
	}
	return list
}

// copyingBox returns a box, the only one or of a large fleet, that knows three engines, has the
// events of the parts that they cache, and lost runs if lost is not zero.
func copyingBox(d *Daemon, lost int) *Daemon {
	d.now = func() time.Time { return start }
	d.update(start, operatorRead{start, Operator{Table: withCopies()}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: copyEngines(start.Add(-time.Hour))}, false})
	for source := range d.tables.watched {
		d.update(start, cacheEventsRead{source: source})
	}
	for range lost {
		d.tables.runLosses.End(start, poolHash(withCopies().Pools["models"]), true)
	}
	return d
}

// tokensAt returns the memory in use at an engine, by this box's requests.
func tokensAt(d *Daemon, id string) int { return d.tables.fleet.Target(id).Tokens }

// TestWhichRunsAreCopied guards against copies of runs that need none, and against headers and load
// where nothing is to change.
func TestWhichRunsAreCopied(t *testing.T) {
	tests := []struct {
		name   string
		lost   int
		change func(d *Daemon, r *deliver.PlacementRequest)
		copied bool
	}{
		{"a long run that can't be resumed", 5, func(*Daemon, *deliver.PlacementRequest) {}, true},
		{"no run is lost", 0, func(*Daemon, *deliver.PlacementRequest) {}, false},
		{"the engines make no copies", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Job.Pool.Engine.RunCopies = false }, false},
		{"resumable, with an attempt left", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Job.Route.Resumable, r.Job.Route.Attempts = true, 2 }, false},
		{"resumable, without one", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Job.Route.Resumable = true }, true},
		{"no stream", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Job.Route.Stream = false }, false},
		{"a short prompt, whose caller loses the answer as well", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Job.PromptTokens = 800 }, true},
		{"the other engines lack room", 5, func(d *Daemon, _ *deliver.PlacementRequest) {
			d.tables.members["b2"] = &member{}
			d.tables.receiveLoads(start, "b2", nil) // Otherwise others are assumed to use as much.
			for _, id := range []string{"a", "b", "c"} {
				d.tables.fleet.Target(id).Tokens = 70000
			}
		}, false},
		{"the other engines have other weights", 5, func(d *Daemon, r *deliver.PlacementRequest) {
			d.tables.fleet.Target("b").Versions["m"], d.tables.fleet.Target("c").Versions["m"] = 2, 3
			r.Attempted = []string{"c"}
		}, false},
		{"the other engines were attempted", 5, func(_ *Daemon, r *deliver.PlacementRequest) { r.Attempted = []string{"b", "c"} }, false},
		{"the other engines are leaving", 5, func(d *Daemon, _ *deliver.PlacementRequest) {
			d.tables.fleet.Target("b").Leaving, d.tables.fleet.Target("c").Leaving = true, true
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := copyingBox(newDaemon("b1"), tt.lost)
			r := deliver.PlacementRequest{Job: draft(start)}
			tt.change(d, &r)
			before := tokensAt(d, "a") + tokensAt(d, "b") + tokensAt(d, "c")
			place, err := d.place(start, &d.tables, r)
			if err != nil {
				t.Fatal(err)
			}
			if copied := place.CopyTarget != ""; copied != tt.copied || copied != place.CopyAddress.IsValid() || place.CopyTarget == place.Target {
				t.Fatalf("at %s, copied to %q at %v", place.Target, place.CopyTarget, place.CopyAddress)
			}
			want := place.Tokens
			if tt.copied {
				want *= 2
			}
			if got := tokensAt(d, "a") + tokensAt(d, "b") + tokensAt(d, "c") - before; got != want {
				t.Errorf("%d tokens are counted, want %d", got, want)
			}
		})
	}
}

// TestCopyStaysInDomain guards against copies in another failure domain, which cost twice the link
// time, or in a region where the request must not run.
func TestCopyStaysInDomain(t *testing.T) {
	for _, limited := range []bool{false, true} {
		d := copyingBox(newDaemon("b1"), 5)
		d.tables.regions["a"], d.tables.regions["z"] = "r1", "r2"
		d.tables.fleet.Target("b").Domain = "z"
		r := deliver.PlacementRequest{Job: draft(start)}
		if limited {
			r.Job.Route.Regions = routing.Regions{"r1"}
			d.tables.fleet.Target("c").Leaving = true
		}
		place, err := d.place(start, &d.tables, r)
		if err != nil {
			t.Fatal(err)
		}
		if place.CopyTarget == "b" || place.CopyTarget == "" && !limited {
			t.Errorf("limited %v: at %s, copied to %q", limited, place.Target, place.CopyTarget)
		}
	}
}

// TestCopyMemory guards against memory that is no longer counted at the engine that holds a copy
// although the copy is there, and against memory that is counted for ever.
func TestCopyMemory(t *testing.T) {
	tests := []struct {
		name   string
		result deliver.AttemptResult
		// held says that the copy counts until its engine drops it.
		held bool
	}{
		{"the run ended well", deliver.AttemptResult{Began: true, Completed: true, Answered: true}, false},
		{"the request never left this box", deliver.AttemptResult{Failed: true, Unreachable: true}, false},
		{"the engine turned it away", deliver.AttemptResult{Failed: true, Verdict: deliver.DidNotRun}, false},
		{"the engine was lost", deliver.AttemptResult{Began: true, Failed: true, Unreachable: true, CutOff: true}, true},
		{"the caller left", deliver.AttemptResult{Began: true, CallerLeft: true}, true},
		{"the deadline passed", deliver.AttemptResult{Began: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := copyingBox(newDaemon("b1"), 5)
			j := draft(start)
			place, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j})
			if err != nil || place.CopyTarget == "" {
				t.Fatalf("placed at %+v, %v", place, err)
			}
			reported := func(now time.Time) int {
				for _, load := range d.tables.ownLoads(now) {
					if load.Target == placement.Hash(place.CopyTarget) {
						return load.Tokens
					}
				}
				return 0
			}
			if got := reported(start); got != place.Tokens {
				t.Fatalf("%d tokens are reported to other boxes for the copy", got)
			}
			tt.result.Place, tt.result.Job = place, j
			if tt.result.Unreachable {
				// The run's own engine may be gone by then.
				d.update(start, targetsRead{start, Targets{Removed: []string{place.Target}}, false})
			}
			d.update(start, attemptEnded{tt.result})
			steps := []struct {
				after time.Duration
				held  bool
			}{{0, tt.held}, {copyTTL - time.Millisecond, tt.held}, {copyTTL, false}}
			for _, step := range steps {
				d.expireCopies(start.Add(step.after), &d.tables)
				if got := reported(start.Add(step.after)); got > 0 != step.held {
					t.Errorf("%d tokens are reported %v after the end", got, step.after)
				}
			}
		})
	}
}

// TestOneCopyOfRequestID guards against a run that continues from the copy of another run: engines
// tell copies apart by the request's ID, which callers choose and may use again for a further try.
func TestOneCopyOfRequestID(t *testing.T) {
	for _, end := range []string{"in progress", "caller left", "ended well", "continued"} {
		t.Run(end, func(t *testing.T) {
			d := copyingBox(newDaemon("b1"), 5)
			d.tables.members["b2"] = &member{}
			d.tables.receiveLoads(start, "b2", nil) // Otherwise others are assumed to use as much.
			j := draft(start)
			first, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j})
			if err != nil || first.CopyTarget == "" {
				t.Fatalf("placed at %+v, %v", first, err)
			}
			switch end {
			case "caller left":
				d.update(start, attemptEnded{deliver.AttemptResult{Place: first, Job: j, Began: true, CallerLeft: true}})
			case "ended well":
				d.update(start, attemptEnded{deliver.AttemptResult{Place: first, Job: j, Began: true, Completed: true, Answered: true}})
			case "continued":
				d.update(start, attemptEnded{deliver.AttemptResult{Place: first, Job: j, Began: true, Failed: true, CutOff: true}})
				if _, err := d.continueFromCopy(start, &d.tables, copyRequest{ctx: context.Background(), job: j, broken: first}); err != nil {
					t.Fatal(err)
				}
			}
			copied := func(now time.Time, id string) bool {
				again := draft(now)
				again.ID = id
				place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: again})
				if err != nil {
					t.Fatal(err)
				}
				d.update(now, attemptEnded{deliver.AttemptResult{Place: place, Job: again, Began: true, Completed: true, Answered: true}})
				return place.CopyTarget != ""
			}
			if got, want := copied(start, j.ID), end == "ended well" || end == "continued"; got != want {
				t.Errorf("the second run of this ID is copied: %v, want %v", got, want)
			}
			if !copied(start, "other") {
				t.Error("a run of another ID is not copied")
			}
			d.expireCopies(start.Add(copyTTL), &d.tables)
			if end == "caller left" && !copied(start.Add(copyTTL), j.ID) {
				t.Error("the second run of this ID is not copied after the first copy was dropped")
			}
		})
	}
}

// TestHubCopyOfUsedRequestID guards against the same where a hub chose the copy while this box
// placed another run of that ID.
func TestHubCopyOfUsedRequestID(t *testing.T) {
	d := copyingBox(newDaemon("b1"), 5)
	j := draft(start)
	first, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j})
	if err != nil || first.CopyTarget == "" {
		t.Fatalf("placed at %+v, %v", first, err)
	}
	second := deliver.Placement{Target: first.Target, Version: first.Version}
	if d.acceptCopy(start, &d.tables, j, &second, first.CopyTarget); second.CopyTarget != "" {
		t.Errorf("the second run of this ID is copied to %s", second.CopyTarget)
	}
}

// brokenDraft returns a box that placed a run with a copy, which then broke, and its placement.
func brokenDraft(t *testing.T) (*Daemon, *deliver.Job, deliver.Placement) {
	t.Helper()
	d := copyingBox(newDaemon("b1"), 5)
	j := draft(start)
	place, err := d.place(start, &d.tables, deliver.PlacementRequest{Job: j})
	if err != nil || place.CopyTarget == "" {
		t.Fatalf("placed at %+v, %v", place, err)
	}
	d.update(start, attemptEnded{deliver.AttemptResult{Place: place, Job: j, Began: true, Failed: true, Unreachable: true, CutOff: true}})
	return d, j, place
}

// TestContinueOnlyWhereCopyIs guards against a run that is sent to an engine that can't have its
// copy, or that must not get the request any more.
func TestContinueOnlyWhereCopyIs(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Daemon, m *copyRequest)
		ok     bool
	}{
		{"the copy is there", func(*Daemon, *copyRequest) {}, true},
		{"the caller left", func(_ *Daemon, m *copyRequest) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			m.ctx = ctx
		}, false},
		{"its engine is not listed", func(d *Daemon, m *copyRequest) {
			d.update(start, targetsRead{start, Targets{Removed: []string{m.broken.CopyTarget}}, false})
		}, false},
		{"its engine started again", func(d *Daemon, _ *copyRequest) {
			d.update(start, targetsRead{start, Targets{Listed: copyEngines(start)}, false})
		}, false},
		{"its engine is leaving", func(d *Daemon, m *copyRequest) { d.tables.fleet.Target(m.broken.CopyTarget).Leaving = true }, false},
		{"its domain is evacuated", func(d *Daemon, _ *copyRequest) { d.tables.fleet.Evacuate("a", true) }, false},
		{"its engine has other weights", func(d *Daemon, m *copyRequest) { d.tables.fleet.Target(m.broken.CopyTarget).Versions["m"] = 2 }, false},
		{"its engine loads weights", func(d *Daemon, m *copyRequest) {
			d.tables.fleet.Target(m.broken.CopyTarget).LoadingUntil = start.Add(time.Second)
		}, false},
		{"its engine wants no requests", func(d *Daemon, m *copyRequest) {
			d.tables.fleet.Target(m.broken.CopyTarget).BackoffUntil = start.Add(time.Second)
		}, false},
		{"the weights are too old", func(d *Daemon, _ *copyRequest) {
			d.tables.rolloutOf("m").versionLog.Prove(2, start.Add(-time.Minute), 0)
		}, false},
		{"engines ended under requests like it", func(d *Daemon, m *copyRequest) {
			for _, incarnation := range []string{"x", "y", "z"} {
				d.tables.quarantine.Ended(start, m.job.Fingerprint(), incarnation)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, j, broken := brokenDraft(t)
			reply := make(chan placementAnswer, 1)
			m := copyRequest{ctx: context.Background(), job: j, broken: broken, reply: reply}
			tt.change(d, &m)
			d.update(start, m)
			got := <-reply
			if (got.err == nil) != tt.ok {
				t.Fatalf("got %+v, %v", got.place, got.err)
			}
			if !tt.ok {
				return
			}
			if p := got.place; !p.FromCopy || p.Target != broken.CopyTarget || p.Address != broken.CopyAddress || p.Scope != broken.Scope || p.Version != broken.Version || p.CopyTarget != "" {
				t.Errorf("continues at %+v", p)
			}
			if n := tokensAt(d, broken.CopyTarget); n != broken.Tokens {
				t.Errorf("%d tokens are counted where the run continues, want %d", n, broken.Tokens)
			}
			d.update(start, attemptEnded{deliver.AttemptResult{Place: got.place, Job: j, Began: true, Completed: true, Answered: true}})
			d.expireCopies(start.Add(copyTTL), &d.tables)
			if n := tokensAt(d, broken.CopyTarget); n != 0 {
				t.Errorf("%d tokens are counted after the end", n)
			}
		})
	}
}

// TestLostRuns guards against copies for requests that only their callers ended, and against
// silent engines whose runs end with their deadline and do not count.
func TestLostRuns(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
		result deliver.AttemptResult
		lost   bool
	}{
		{"a complete answer", false, deliver.AttemptResult{Began: true, Completed: true, Answered: true}, false},
		{"cut off", false, deliver.AttemptResult{Began: true, Failed: true, Unreachable: true, CutOff: true}, true},
		{"the caller left", false, deliver.AttemptResult{Began: true, CallerLeft: true}, false},
		{"turned away", false, deliver.AttemptResult{Failed: true, Verdict: deliver.DidNotRun}, false},
		{"the deadline passed at a live engine", false, deliver.AttemptResult{Failed: true, CutOff: true}, false},
		{"the deadline passed at a silent engine", true, deliver.AttemptResult{Failed: true, CutOff: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := copyingBox(newDaemon("b1"), 0)
			x := d.tables.fleet.Target("a")
			if tt.silent {
				d.tables.silences[x.Address] = start
			}
			tt.result.Place, tt.result.Job = deliver.Placement{Target: "a", StartedAt: x.StartedAt, PlacedAt: start}, draft(start)
			d.update(start, attemptEnded{tt.result})
			if got := d.tables.runLosses.Chance(start, poolHash(tt.result.Job.Pool)) > 0; got != tt.lost {
				t.Errorf("counted as lost %v", got)
			}
		})
	}
}

// TestHubChoosesCopies guards against runs of spokes without a copy, as hubs place most requests,
// and against fields in messages while no run is lost.
func TestHubChoosesCopies(t *testing.T) {
	tests := []struct {
		name   string
		lost   int
		change func(hub, spoke *Daemon)
		asked  bool
		copied bool
	}{
		{"runs are lost", 5, func(_, _ *Daemon) {}, true, true},
		{"no run is lost", 0, func(_, _ *Daemon) {}, false, false},
		{"the hub knows of no loss", 5, func(hub, _ *Daemon) { hub.tables.runLosses = runcopy.Losses{} }, true, false},
		{"the hub makes no copies", 5, func(hub, _ *Daemon) { hub.Settings.Without = []string{settings.Copies}; hub.ablate() }, true, false},
		{"this box makes no copies", 5, func(_, spoke *Daemon) {
			spoke.Settings.Without = []string{settings.Copies}
			spoke.ablate()
		}, false, false},
		{"only this box knows that the other engines are leaving", 5, func(_, spoke *Daemon) {
			for _, id := range []string{"a", "b", "c"} {
				spoke.tables.fleet.Target(id).Leaving = id != "a"
			}
		}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub, spoke := copyingBox(largeFleet("box-00"), tt.lost), copyingBox(largeFleet("box-05"), tt.lost)
			tt.change(hub, spoke)
			hub.tables.othersUsage.Set(start, "box-05", nil)
			r := placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: draft(start)}, reply: make(chan placementAnswer, 1)}
			effects := spoke.update(start, r)
			if len(effects) != 1 {
				t.Fatalf("%d effects", len(effects))
			}
			ask := effects[0].(askHub).ask
			if (ask.LossMS > 0) != tt.asked {
				t.Fatalf("the hub is told that the caller loses %d ms", ask.LossMS)
			}
			answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &ask}).PlacementResponse
			if answer == nil || answer.Refused != "" {
				t.Fatalf("the hub answers %+v", answer)
			}
			if answer.CopyTarget != "" {
				if got := hub.tables.othersUsage.Of(placement.Hash(answer.CopyTarget)).Tokens; got != ask.Tokens {
					t.Errorf("the hub counts %d tokens for the copy, want %d", got, ask.Tokens)
				}
			}
			place, ok := spoke.acceptHubPlace(start, &spoke.tables, r.ask, answer)
			if !ok {
				return // Another hub is asked, as the engine itself is leaving.
			}
			if copied := place.place.CopyTarget != ""; copied != tt.copied {
				t.Errorf("copied to %q, the hub chose %q", place.place.CopyTarget, answer.CopyTarget)
			}
		})
	}
}

// TestHubIsToldWhatIsLost guards against runs that get no copy as their hub is told nothing, and
// against copies of runs that can be resumed without one.
func TestHubIsToldWhatIsLost(t *testing.T) {
	tests := []struct {
		name   string
		change func(j *deliver.Job)
		want   time.Duration
	}{
		{"a long prompt", func(*deliver.Job) {}, 10 * time.Second},
		{"a short prompt", func(j *deliver.Job) { j.PromptTokens = 800 }, 10 * time.Second},
		{"can be resumed", func(j *deliver.Job) { j.Route.Resumable, j.Route.Attempts = true, 2 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spoke := copyingBox(largeFleet("box-05"), 5)
			j := draft(start)
			tt.change(j)
			effects := spoke.update(start, placementRequest{ctx: context.Background(), ask: deliver.PlacementRequest{Job: j}, reply: make(chan placementAnswer, 1)})
			if len(effects) != 1 {
				t.Fatalf("%d effects", len(effects))
			}
			if ask := effects[0].(askHub).ask; ask.LossMS != tt.want.Milliseconds() {
				t.Errorf("the hub is told that the caller loses %d ms, want %v", ask.LossMS, tt.want)
			}
		})
	}
}

// TestSpokeCountsOwnLossesOnce guards against a share of lost runs in which a spoke's own runs count
// twice: by its own count and as the hub returns them.
func TestSpokeCountsOwnLossesOnce(t *testing.T) {
	hub, spoke := copyingBox(largeFleet("box-00"), 0), copyingBox(largeFleet("box-05"), 1)
	pool := poolHash(withCopies().Pools["models"])
	want := spoke.tables.runLosses.Chance(start, pool)
	answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05", RunLosses: spoke.runLossesFor(start, &spoke.tables, "")})
	if got := hub.tables.runLosses.Chance(start, pool); got != want {
		t.Fatalf("the hub counts %v", got)
	}
	spoke.tables.receiveRunLosses(start, peer.Message{From: "box-00", RunLosses: answer.RunLosses})
	if got := spoke.tables.runLosses.Chance(start, pool); got != want {
		t.Errorf("the spoke counts %v, want %v", got, want)
	}
}

// TestLossesReachAllBoxes guards against hubs that do not learn of the runs that their spokes lose,
// and against reports that go round for ever once no more runs are lost.
func TestLossesReachAllBoxes(t *testing.T) {
	t.Parallel()
	w := emulate(60, 4, withCopies())
	pool := poolHash(withCopies().Pools["models"])
	w.advance(3*time.Second, nil)
	i := slices.IndexFunc(w.boxes, func(d *Daemon) bool { return d.spoke.Load() })
	if i < 0 {
		t.Fatal("no box is a spoke")
	}
	spoke := w.boxes[i]
	knowing := func() (n int) {
		for _, d := range w.boxes {
			if d.tables.runLosses.Chance(w.now, pool) > 0 {
				n++
			}
		}
		return n
	}
	if n := knowing(); n != 0 {
		t.Fatalf("%d boxes know of lost runs", n)
	}
	lost := deliver.AttemptResult{Place: deliver.Placement{Target: "gone"}, Job: draft(w.now), Began: true, Failed: true, Unreachable: true, CutOff: true}
	w.receive(spoke, attemptEnded{lost})
	w.advance(600*time.Millisecond, nil)
	if n := knowing(); n != len(w.boxes) {
		t.Errorf("%d of %d boxes know of the lost run after 0.6 s", n, len(w.boxes))
	}
	w.advance(runcopy.Window+3*time.Second, nil)
	if n := knowing(); n != 0 {
		t.Errorf("%d boxes still count the lost run", n)
	}
	for _, d := range w.boxes {
		if got := d.runLossesFor(w.now, &d.tables, "spoke"); got != nil {
			t.Fatalf("%s still reports %v", d.Settings.Name, got)
		}
	}
}

// TestLossReportSize guards against reports of lost runs that cost more than a few bytes, or any
// while no run is lost.
func TestLossReportSize(t *testing.T) {
	size := func(m peer.Message) int {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	plain := size(peer.Message{Kind: peer.KindGossip, From: "b1"})
	d := copyingBox(newDaemon("b1"), 0)
	if got := size(peer.Message{Kind: peer.KindGossip, From: "b1", RunLosses: d.runLossesFor(start, &d.tables, "spoke")}); got != plain {
		t.Errorf("%d bytes more while no run is lost", got-plain)
	}
	d = copyingBox(newDaemon("b1"), 300)
	got := size(peer.Message{Kind: peer.KindGossip, From: "b1", RunLosses: d.runLossesFor(start, &d.tables, "spoke")})
	t.Logf("%d bytes for a pool", got-plain)
	if got == plain || got > plain+20 {
		t.Errorf("%d bytes more for a pool", got-plain)
	}
}
