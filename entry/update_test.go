package entry

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/routing"
)

var start = time.Unix(1000, 0)

// rev is a revision of a table service that was never restored.
func rev(number uint64) revision.Revision { return revision.Revision{Number: number} }

// newDaemon returns a daemon without a running loop: tests call update and the systems
// directly, with times of their choice.
func newDaemon(name string) *Daemon {
	rows := &fake.Table{}
	d := &Daemon{
		Settings: settings.Settings{Name: name, Domain: "a", Overload: settings.Overload{Queue: true, Copies: true, SlowEngines: true, HeldBytes: true}, Bounds: settings.Bounds{
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
		{Name: "long", Host: "h", Prefix: "/long/", Stream: true, Priority: 2, Attempts: 1, Shares: []routing.Share{{Pool: "models", Weight: 1}}},
		{Name: "short", Host: "h", Prefix: "/short/", Stream: true, Priority: 0, Attempts: 1, Shares: []routing.Share{{Pool: "models", Weight: 1}}},
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
		Call:  &deliver.Call{ID: "r", Model: "m", PromptTokens: tokens, Parts: []deliver.Part{{ID: "p", Tokens: tokens / 2}, {ID: "own", Tokens: tokens / 2}}},
		Route: t.Route("h", "/"+route+"/"), Pool: t.Pools["models"],
	}
}

// TestConfigurationNeverBack shows that a version is never followed by a lower one, and that
// an unusable one changes nothing.
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

// TestKeysFresh shows that keys are trusted by when the last answered read was sent, not by
// when its answer arrived.
func TestKeysFresh(t *testing.T) {
	d := newDaemon("b1")
	if d.trustsKeys(start) {
		t.Error("keys are fresh without any read")
	}
	d.update(start.Add(3*time.Second), operatorRead{start, Operator{}})
	tests := []struct {
		after time.Duration
		want  bool
	}{{4 * time.Second, true}, {5*time.Second - proofMargin, false}, {time.Hour, false}}
	for _, tt := range tests {
		if got := d.trustsKeys(start.Add(tt.after)); got != tt.want {
			t.Errorf("%v after the read was sent: fresh %v, want %v", tt.after, got, tt.want)
		}
	}
	d.update(start.Add(4*time.Second), operatorRead{start.Add(-time.Second), Operator{}})
	if !d.trustsKeys(start.Add(4 * time.Second)) {
		t.Error("an older read replaced a newer proof")
	}
}

// TestTargets follows the list of targets through removals and a failure of the table service.
func TestTargets(t *testing.T) {
	d := newDaemon("b1")
	f := d.tables.fleet
	read := func(after time.Duration, away bool, change Targets) {
		d.update(start.Add(after), targetsRead{start.Add(after), change, away})
	}
	read(0, false, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1), engine("b", 1)}})
	read(time.Second, false, Targets{Removed: []string{"a"}})
	if f.Target("a") != nil {
		t.Error("a target removed while the table service answered is still listed")
	}
	read(2*time.Second, true, Targets{Snapshot: true})
	x := f.Target("b")
	if x == nil || !x.Available(start.Add(3*time.Second)) {
		t.Fatal("a target that lapsed while the table service was down is removed at once")
	}
	read(3*time.Second, false, Targets{Listed: []fleet.Entry{engine("b", 1)}})
	d.sweep(start.Add(time.Hour), &d.tables)
	if f.Target("b") == nil {
		t.Error("a target that came back was removed")
	}
	read(4*time.Second, true, Targets{Snapshot: true})
	d.sweep(start.Add(4*time.Second+fleet.LapseGrace), &d.tables)
	if f.Target("b") != nil {
		t.Error("a target that did not come back is still listed")
	}
}

// TestScope shows that cached parts are not shared between weight versions nor with isolated
// accounts.
func TestScope(t *testing.T) {
	open, isolated, other := job("long", 10), job("long", 10), job("long", 10)
	isolated.Account = &routing.Account{Name: "w", Isolated: true}
	other.Account = &routing.Account{Name: "o", Isolated: true}
	plain := job("long", 10)
	plain.Account = &routing.Account{Name: "p"}
	scopes := []string{scope(1, open), scope(2, open), scope(1, isolated), scope(1, other)}
	for i, a := range scopes {
		for _, b := range scopes[:i] {
			if a == b {
				t.Errorf("two scopes are %q", a)
			}
		}
	}
	if scope(1, plain) != scope(1, open) {
		t.Error("accounts that are not isolated have different scopes")
	}
	if !isStaleScope(scope(1, isolated), "m", 2) || isStaleScope(scope(2, open), "m", 2) || isStaleScope(scope(1, open), "other", 2) {
		t.Error("wrong scopes count as outdated")
	}
}

// TestCacheEvents shows that a source that restarted or is silent counts as empty.
func TestCacheEvents(t *testing.T) {
	d := newDaemon("b1")
	d.tables.watched["s"] = func() {}
	key := directory.KeyOf("m@1", "p")
	events := CacheEvents{Epoch: 1, Changes: []CacheEvent{{Cached: true, Scope: "m@1", Part: "p", Tokens: 9}}, Clock: time.Hour}
	d.update(start, cacheEventsRead{source: "s", events: events})
	if !d.tables.directory.Has("s", key) || !d.tables.clockKnown {
		t.Fatal("the events were not applied")
	}
	d.update(start, cacheEventsRead{source: "s", err: errors.New("reset")})
	if d.tables.directory.Has("s", key) {
		t.Error("a silent source still counts")
	}
	d.update(start, cacheEventsRead{source: "s", events: CacheEvents{Epoch: 2}})
	if d.tables.directory.Has("s", key) {
		t.Error("a source that restarted still counts")
	}
}

// TestReplaced covers the ways to find out that another replica has a target's address. The
// target is removed for good, and that is reported to other boxes.
func TestReplaced(t *testing.T) {
	tests := []struct {
		name string
		m    message
		gone bool
	}{
		{"its epoch changed", cacheEventsRead{source: "a", events: CacheEvents{Epoch: 2}}, true},
		{"its epoch is unchanged", cacheEventsRead{source: "a", events: CacheEvents{Epoch: 1}}, false},
		{"another replica answers its health probe", probed{probe{target: "a"}, ErrReplaced}, true},
		{"its health probe fails", probed{probe{target: "a"}, errors.New("503")}, false},
		{"another box reports it", peerAnswered{name: "b2", answer: peer.Message{EndedIncarnations: []peer.Incarnation{{ID: "a"}}}}, true},
		{"another replica refused a request", attemptEnded{deliver.AttemptResult{
			Place: deliver.Placement{Target: "a"}, Job: job("long", 10), Verdict: deliver.OtherReplica,
		}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.members["b2"] = &member{}
			d.tables.membersKnown = true
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			list := targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false}
			d.update(start, list)
			d.update(start, cacheEventsRead{source: "a", events: CacheEvents{Epoch: 1}})
			d.update(start, tt.m)
			d.update(start, list)
			if gone := d.tables.fleet.Target("a") == nil; gone != tt.gone {
				t.Errorf("gone %v", gone)
			}
			reported := d.peerRequest(start, &d.tables, peer.Message{Kind: peer.KindGossip, From: "b2"}).EndedIncarnations
			if (len(reported) == 1) != tt.gone {
				t.Errorf("reported %v", reported)
			}
		})
	}
}

// TestSecondIncarnation has an engine restart under its ID while requests of its earlier
// incarnation are in flight: none of them counts for the later one, however late they end.
func TestSecondIncarnation(t *testing.T) {
	first, second := start.Add(-time.Hour), start.Add(time.Hour)
	incarnation := func(startedAt time.Time, version int64) fleet.Entry {
		e := engine("a", version)
		e.StartedAt = startedAt
		return e
	}
	list := func(e fleet.Entry) message { return targetsRead{start, Targets{Listed: []fleet.Entry{e}}, false} }
	ended := attemptEnded{deliver.AttemptResult{Place: deliver.Placement{Target: "a", StartedAt: first, Tokens: 10}, Job: job("long", 10), Failed: true, Unreachable: true}}
	tests := []struct {
		name  string
		steps []message
		// listed says that the later incarnation is listed after the steps.
		listed bool
	}{
		{"seen in its entry", []message{list(incarnation(second, 3))}, true},
		{"seen in its cache events", []message{cacheEventsRead{source: "a", events: CacheEvents{Epoch: 1, StartedAt: second}}}, false},
		{"seen in its cache events, then its entry", []message{cacheEventsRead{source: "a", events: CacheEvents{Epoch: 1, StartedAt: second}}, list(incarnation(first, 5)), list(incarnation(second, 3))}, true},
		{"reported by another box, then its entry", []message{peerAnswered{name: "b2", answer: peer.Message{EndedIncarnations: []peer.Incarnation{{ID: "a", StartedMS: first.UnixMilli()}}}}, list(incarnation(second, 3))}, true},
		{"seen in its entry, then another box reports the earlier one", []message{list(incarnation(second, 3)), peerAnswered{name: "b2", answer: peer.Message{EndedIncarnations: []peer.Incarnation{{ID: "a", StartedMS: first.UnixMilli()}}}}}, true},
		{"requests of the earlier incarnation end late", []message{list(incarnation(second, 3)), ended, answerBegan{ended.Place}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.members["b2"] = &member{}
			d.tables.membersKnown = true
			d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
			d.update(start, list(incarnation(first, 5)))
			d.update(start, cacheEventsRead{source: "a", events: CacheEvents{Epoch: 1}})
			key := directory.KeyOf("m@5", "p")
			d.tables.directory.Add("a", key, 100)
			d.tables.fleet.Target("a").Sent(start, 10, 10)
			for _, m := range tt.steps {
				d.update(start, m)
			}
			x := d.tables.fleet.Target("a")
			if (x != nil) != tt.listed {
				t.Fatalf("listed %+v", x)
			}
			if d.tables.directory.Has("a", key) {
				t.Error("the cache of the earlier incarnation still counts")
			}
			if x != nil && (!x.StartedAt.Equal(second) || x.Versions["m"] != 3 || x.InFlight != 0 || x.Tokens != 0 || x.Ejected(start)) {
				t.Errorf("the later incarnation is %+v", x)
			}
		})
	}
}
