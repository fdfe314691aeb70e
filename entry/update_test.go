package entry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/clearing"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/table"
)

var start = time.Unix(1000, 0)

// newDaemon is a daemon whose loop a test runs by hand, at times of its own.
func newDaemon(name string) *Daemon {
	rows := &fake.Table{}
	d := &Daemon{
		Settings: settings.Settings{Name: name, Domain: "a", Bounds: settings.Bounds{
			RevokedWithin: 5 * time.Second, Takeover: 3 * time.Second, WeightsWithin: 12 * time.Second, RetryShare: 0.2, RetryExtra: 50,
		}},
		Log: log.New(io.Discard), Registry: prometheus.NewRegistry(), Sweep: func(time.Time) {},
		Platform: Platform{Commit: rows.Commit, Read: rows.Read},
	}
	d.build()
	return d
}

func configuration(version int64) *routing.Table {
	return routing.New(version, []*routing.Route{
		{Name: "long", Host: "h", Prefix: "/long/", Stream: true, Urgency: 2, Attempts: 1, Shares: []routing.Share{{Pool: "models", Weight: 1}}},
		{Name: "short", Host: "h", Prefix: "/short/", Stream: true, Urgency: 0, Attempts: 1, Shares: []routing.Share{{Pool: "models", Weight: 1}}},
	}, []*routing.Pool{
		{Name: "models", Engine: &routing.Engine{Capacity: 100000, Models: []string{"m"}, TokenBytes: 1000, Megabits: 1000}},
		{Name: "orders"},
	}, nil)
}

func engine(id string, version int64) fleet.Entry {
	return fleet.Entry{ID: id, Pool: "models", Versions: map[string]int64{"m": version}}
}

func job(route string, tokens int) *deliver.Job {
	t := configuration(1)
	return &deliver.Job{
		Call:  &deliver.Call{ID: "r", Model: "m", Input: tokens, Parts: []deliver.Part{{ID: "p", Tokens: tokens / 2}, {ID: "own", Tokens: tokens / 2}}},
		Route: t.Route("h", "/"+route+"/"), Pool: t.Pools["models"],
	}
}

// TestConfigurationNeverBack shows that a version is never followed by a lower
// one, and that an unusable one changes nothing.
func TestConfigurationNeverBack(t *testing.T) {
	d := newDaemon("b1")
	steps := []struct {
		name   string
		change Operator
		want   int64
	}{
		{"first", Operator{Table: configuration(5)}, 5},
		{"lower", Operator{Table: configuration(4)}, 5},
		{"unusable", Operator{Unusable: errors.New("spoilt")}, 5},
		{"higher", Operator{Table: configuration(9)}, 9},
	}
	for _, s := range steps {
		d.update(start, operatorRead{start, s.change})
		if got := d.version(); got != s.want {
			t.Errorf("%s: version %d, want %d", s.name, got, s.want)
		}
	}
}

// TestFresh shows that keys are trusted by when the last answered read was
// sent, never by when its answer came.
func TestFresh(t *testing.T) {
	d := newDaemon("b1")
	if d.fresh(start) {
		t.Error("fresh without any read")
	}
	d.update(start.Add(3*time.Second), operatorRead{start, Operator{}})
	tests := []struct {
		after time.Duration
		want  bool
	}{{4 * time.Second, true}, {5*time.Second - proofMargin, false}, {time.Hour, false}}
	for _, tt := range tests {
		if got := d.fresh(start.Add(tt.after)); got != tt.want {
			t.Errorf("%v after the read was sent: fresh %v, want %v", tt.after, got, tt.want)
		}
	}
	d.update(start.Add(4*time.Second), operatorRead{start.Add(-time.Second), Operator{}})
	if !d.fresh(start.Add(4 * time.Second)) {
		t.Error("an older read took a newer proof back")
	}
}

// TestTargets follows the list through what befalls it.
func TestTargets(t *testing.T) {
	d := newDaemon("b1")
	f := d.tables.fleet
	read := func(after time.Duration, away bool, change Targets) {
		d.update(start.Add(after), targetsRead{start.Add(after), change, away})
	}
	read(0, false, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1)}})
	read(time.Second, false, Targets{Gone: []string{"a"}})
	if f.Target("a") != nil {
		t.Error("a target that went while the store answered is kept")
	}
	read(2*time.Second, true, Targets{Whole: true})
	x := f.Target("b")
	if x == nil || !x.Open(start.Add(3*time.Second)) {
		t.Fatal("a target that lapsed while the store was away is gone at once")
	}
	read(3*time.Second, false, Targets{Listed: []fleet.Entry{engine("b", 1)}})
	d.sweep(start.Add(time.Hour), &d.tables)
	if f.Target("b") == nil {
		t.Error("a target that came back is gone")
	}
	read(4*time.Second, true, Targets{Whole: true})
	d.sweep(start.Add(4*time.Second+fleet.LapsedFor), &d.tables)
	if f.Target("b") != nil {
		t.Error("a target that did not come back is kept")
	}
}

// TestScope shows that neither other weights nor another walled account reach
// kept parts.
func TestScope(t *testing.T) {
	open, walled, other := job("long", 10), job("long", 10), job("long", 10)
	walled.Account = &routing.Account{Name: "w", Isolated: true}
	other.Account = &routing.Account{Name: "o", Isolated: true}
	plain := job("long", 10)
	plain.Account = &routing.Account{Name: "p"}
	scopes := []string{scope(1, open), scope(2, open), scope(1, walled), scope(1, other)}
	for i, a := range scopes {
		for _, b := range scopes[:i] {
			if a == b {
				t.Errorf("two scopes are %q", a)
			}
		}
	}
	if scope(1, plain) != scope(1, open) {
		t.Error("accounts that are not walled share")
	}
	if !outdated(scope(1, walled), "m", 2) || outdated(scope(2, open), "m", 2) || outdated(scope(1, open), "other", 2) {
		t.Error("which scopes are outdated")
	}
}

// TestAdmission shows that the least urgent kind leaves room for the others.
func TestAdmission(t *testing.T) {
	tests := []struct {
		name, route string
		taken       int
		admitted    bool
	}{
		{"room for all", "long", 50000, true},
		{"nearly full, least urgent", "long", 90000, false},
		{"nearly full, urgent", "short", 90000, true},
		{"over full, urgent", "short", 140000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.now = func() time.Time { return start }
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			d.update(start, targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.tables.members["b1"], d.tables.members["b2"] = &member{}, &member{}
			d.update(start, peerAsks{peer.Message{From: "b2", Shares: []peer.Share{{Target: placement.Hash("a"), Tokens: tt.taken}}}, make(chan peer.Message, 1)})
			place, err := d.place(start, &d.tables, deliver.Ask{Job: job(tt.route, 5000)})
			if (err == nil) != tt.admitted {
				t.Fatalf("place %+v, %v", place, err)
			}
			want := 0
			if tt.admitted {
				want = 5000
			}
			if x := d.tables.fleet.Target("a"); x.Tokens != want {
				t.Errorf("counted %d tokens, want %d", x.Tokens, want)
			}
		})
	}
}

// TestWeightsOrders follows a rollout by one box: only with the lease, two at a
// time, none that another holder ordered a moment ago.
func TestWeightsOrders(t *testing.T) {
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	d.update(now, targetsRead{now, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 2)}}, false})
	if effects := d.rollWeights(now, &d.tables); len(effects) != 1 {
		t.Fatalf("without the lease: %v", effects)
	}
	if err := d.lease.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if effects := d.rollWeights(now, &d.tables); len(effects) != 0 {
		t.Fatalf("orders before the earlier holder's rows were read: %v", effects)
	}
	last := table.Row{Key: rolloutPrefix + "m", Value: []byte(`{"epoch":0,"version":2,"loading":["a"],"recent":["a"]}`)}
	d.update(now, leaseStepped{read: true, rows: []table.Row{last}})
	if got := ordered(t, d, now); got != "b c " {
		t.Errorf("ordered %q, want all but a, which another box ordered", got)
	}
	if !d.tables.fleet.Target("b").Loading(now) {
		t.Error("a target that was ordered takes requests")
	}
	d.update(now, orderEnded{"b", "m", 2, nil})
	d.update(now, orderEnded{"c", "m", 2, nil})
	if got := ordered(t, d, now); got != "" {
		t.Errorf("ordered %q too early", got)
	}
	now = now.Add(d.bounds.Load().Takeover + holdSlack + time.Millisecond)
	d.tables.readEpoch = 1
	if err := d.lease.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
	epoch, _, _ := d.lease.Held()
	d.tables.readEpoch = epoch
	if got := ordered(t, d, now); got != "a " {
		t.Errorf("ordered %q, want a", got)
	}
}

// ordered runs the rollout and returns the targets that get orders.
func ordered(t *testing.T, d *Daemon, now time.Time) string {
	t.Helper()
	got := ""
	for _, e := range d.rollWeights(now, &d.tables) {
		a, ok := e.(announce)
		if !ok {
			continue
		}
		for _, sent := range d.update(now, announced{a.model, nil}) {
			got += sent.(sendOrder).order.Target + " "
		}
	}
	return got
}

// TestNotAnnounced shows that no order goes out that a successor would not know
// of.
func TestNotAnnounced(t *testing.T) {
	d := newDaemon("b1")
	d.tables.model("m").planned = []string{"a"}
	if effects := d.update(start, announced{"m", errors.New("lost")}); len(effects) != 0 {
		t.Errorf("effects %v", effects)
	}
}

// TestLateRow shows that a row of an earlier holder, written late, is not
// taken over.
func TestLateRow(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
	row := func(epoch, loading string) {
		d.update(start, ownRead{change: Own{Rows: []table.Row{{Key: rolloutPrefix + "m", Value: []byte(`{"epoch":` + epoch + `,"version":2,"loading":[` + loading + `],"done":[]}`)}}}})
	}
	row("4", "")
	row("3", `"a"`)
	if d.tables.fleet.Target("a").Loading(start) {
		t.Error("a late row counts")
	}
	row("4", `"a"`)
	if !d.tables.fleet.Target("a").Loading(start) {
		t.Error("the holder's row does not count")
	}
}

// TestFreeing shows when parts made on older weights may be freed: not before
// each fetch has ended, and only with a list that lacks nothing.
func TestFreeing(t *testing.T) {
	const (
		// later is when no fetch on older weights can run any more, soon is right
		// after the last engine got the newer ones.
		soon  = 10*time.Second + time.Millisecond
		later = 20 * time.Second
	)
	tests := []struct {
		name   string
		change func(d *Daemon, now time.Time)
		after  time.Duration
		frees  bool
	}{
		{"too early", func(*Daemon, time.Time) {}, soon, false},
		{"late enough", func(*Daemon, time.Time) {}, later, true},
		{"an engine with older weights went without notice", func(d *Daemon, now time.Time) {
			d.update(now, targetsRead{now, Targets{Listed: []fleet.Entry{engine("c", 1)}}, false})
			d.update(now, targetsRead{now, Targets{Gone: []string{"c"}}, false})
		}, later, false},
		{"an engine with the newer weights went without notice", func(d *Daemon, now time.Time) {
			d.update(now, targetsRead{now, Targets{Gone: []string{"b"}}, false})
		}, later, true},
		{"the store came back meanwhile", func(d *Daemon, now time.Time) { d.update(now, storeBack{}) }, later, false},
		{"the store is away", func(d *Daemon, now time.Time) { d.update(now, storeLost{errors.New("away")}) }, later, false},
		{"the clock is not known", func(d *Daemon, _ time.Time) { d.tables.timed = false }, later, false},
		{"they were cleared already", func(d *Daemon, _ time.Time) { d.tables.model("m").freed = 2 }, later, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.timed, d.tables.ownKnown = true, true
			d.tables.stores = []*affinity.Source{{Name: "s"}}
			d.update(start, operatorRead{start, Operator{Weights: map[string]int64{"m": 2}}})
			w := d.tables.model("m")
			w.clearing.See(start, 1)
			d.update(start, targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 2), engine("b", 2)}}, false})
			w.clearing.See(start.Add(10*time.Second), 2)
			tt.change(d, start.Add(later-time.Second))
			if effects := d.freeOld(start.Add(tt.after), &d.tables, "m", w); (len(effects) > 0) != tt.frees {
				t.Errorf("effects %v, want some: %v", effects, tt.frees)
			}
		})
	}
}

// TestFreeingDuringRollout shows that parts of a version that no engine has any
// more go while a still newer one is brought to the engines.
func TestFreeingDuringRollout(t *testing.T) {
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.tables.timed, d.tables.ownKnown = true, true
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	d.tables.stores = []*affinity.Source{{Name: "s"}}
	d.update(now, targetsRead{now, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 2), engine("b", 2), engine("c", 2)}}, false})
	d.rollWeights(now, &d.tables)
	now = now.Add(10 * time.Second)
	d.update(now, operatorRead{now, Operator{Weights: map[string]int64{"m": 3}}})
	if err := d.lease.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
	d.tables.readEpoch, _, _ = d.lease.Held()
	var frees, orders int
	for _, e := range d.rollWeights(now, &d.tables) {
		switch e := e.(type) {
		case freeParts:
			frees++
			if e.version != 2 {
				t.Errorf("freed below %d, want 2", e.version)
			}
		case announce:
			orders++
		}
	}
	if frees != 1 || orders != 1 {
		t.Errorf("%d times freed, %d times ordered", frees, orders)
	}
}

// TestFreedAgain tries to clear a store again that did not answer, some times.
func TestFreedAgain(t *testing.T) {
	d := newDaemon("b1")
	w := d.tables.model("m")
	for try := 1; try <= freeMost; try++ {
		w.freeing = true
		d.update(start, freedOld{"m", 2, errors.New("no answer")})
		if w.freeing {
			t.Fatal("the next try never comes")
		}
		if done := w.freed == 2; done != (try == freeMost) {
			t.Errorf("after %d failures: given up %v", try, done)
		}
	}
	if w.freeTries != 0 || !w.freeAgain.After(start) {
		t.Errorf("%d tries, again at %v", w.freeTries, w.freeAgain)
	}
}

// TestFetchOfOldParts bounds a fetch by what this box knows of the weights.
func TestFetchOfOldParts(t *testing.T) {
	tests := []struct {
		name   string
		wanted int64
		proved time.Duration
		want   time.Duration
	}{
		{"the newest weights", 1, time.Second, clearing.FetchFor(true, 0)},
		{"older weights", 2, time.Second, clearing.FetchFor(false, 0)},
		{"cut off", 1, time.Minute, clearing.FetchFor(false, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.began = start
			d.tables.timed = true
			d.update(start, operatorRead{start.Add(-tt.proved), Operator{Table: configuration(1), Weights: map[string]int64{"m": tt.wanted}}})
			d.update(start, targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			place, refused := d.placeModel(start, &d.tables, deliver.Ask{Job: job("long", 10)})
			if refused != nil || place.FetchUntil != tt.want {
				t.Errorf("until %v, refused %v, want %v", place.FetchUntil, refused, tt.want)
			}
		})
	}
}

// TestLearn takes what targets say of their weights.
func TestLearn(t *testing.T) {
	tests := []struct {
		name    string
		ended   deliver.Ended
		version int64
		loading bool
		known   bool
	}{
		{"other weights, told", deliver.Ended{Verdict: deliver.OtherVersion, Version: 3}, 3, false, true},
		{"other weights, not told", deliver.Ended{Verdict: deliver.OtherVersion}, 1, true, true},
		{"turned away during a rollout", deliver.Ended{Verdict: deliver.DidNotRun}, 1, true, true},
		{"another replica has the address", deliver.Ended{Verdict: deliver.Elsewhere}, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			d.tables.model("m").wanted = 2
			x := d.tables.fleet.Target("a")
			x.Sent(start, 0, 0)
			tt.ended.Place, tt.ended.Job = deliver.Place{Target: "a"}, job("long", 10)
			d.update(start, sendingEnded{tt.ended})
			if known := d.tables.fleet.Target("a") != nil; known != tt.known {
				t.Errorf("known %v", known)
			}
			if tt.known && (x.Versions["m"] != tt.version || x.Loading(start) != tt.loading) {
				t.Errorf("version %d, loading %v", x.Versions["m"], x.Loading(start))
			}
		})
	}
}

// TestNews shows that a source that restarted or fell silent keeps nothing.
func TestNews(t *testing.T) {
	d := newDaemon("b1")
	d.tables.followed["s"] = func() {}
	key := directory.Of("m@1", "p")
	told := News{Epoch: 1, Changes: []Change{{Kept: true, Scope: "m@1", Part: "p", Tokens: 9}}, Clock: time.Hour}
	d.update(start, newsRead{source: "s", news: told})
	if !d.tables.directory.Whole("s", key) || !d.tables.timed {
		t.Fatal("the news was not taken over")
	}
	d.update(start, newsRead{source: "s", err: errors.New("reset")})
	if d.tables.directory.Whole("s", key) {
		t.Error("a silent source still counts")
	}
	d.update(start, newsRead{source: "s", news: News{Epoch: 2}})
	if d.tables.directory.Whole("s", key) {
		t.Error("a source that restarted still counts")
	}
}

// TestReplaced finds out in each way that another replica has a target's
// address. The target is gone for good, and other boxes hear of it.
func TestReplaced(t *testing.T) {
	tests := []struct {
		name string
		m    message
		gone bool
	}{
		{"its epoch changed", newsRead{source: "a", news: News{Epoch: 2}}, true},
		{"its epoch is as before", newsRead{source: "a", news: News{Epoch: 1}}, false},
		{"another one answers for its health", probed{"a", ErrReplaced}, true},
		{"its health is bad", probed{"a", errors.New("503")}, false},
		{"another box tells", peerCalled{name: "b2", m: peer.Message{Replaced: []string{"a"}}}, true},
		{"a request was refused by another one", sendingEnded{deliver.Ended{
			Place: deliver.Place{Target: "a"}, Job: job("long", 10), Verdict: deliver.Elsewhere,
		}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.members["b2"] = &member{}
			d.tables.settled = true
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			list := targetsRead{start, Targets{Whole: true, Listed: []fleet.Entry{engine("a", 1)}}, false}
			d.update(start, list)
			d.update(start, newsRead{source: "a", news: News{Epoch: 1}})
			d.update(start, tt.m)
			d.update(start, list)
			if gone := d.tables.fleet.Target("a") == nil; gone != tt.gone {
				t.Errorf("gone %v", gone)
			}
			told := d.peerAsks(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "b2"}).Replaced
			if (len(told) == 1) != tt.gone {
				t.Errorf("told %v", told)
			}
		})
	}
}
