package deliver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// timed is an event that arrives some time after the one before it.
type timed struct {
	ms   int
	text string
}

// bodyOf delivers events in time, and then breaks off or ends.
func bodyOf(events []timed, breaks bool) io.Reader {
	var parts []io.Reader
	for _, e := range events {
		parts = append(parts, &delayed{time.Duration(e.ms) * time.Millisecond, strings.NewReader(e.text)})
	}
	if breaks {
		parts = append(parts, brokenBody{})
	}
	return io.MultiReader(parts...)
}

const event1, event2, event3, event4 = "id: 1\n\n", "id: 2\n\n", "id: 3\n\n", "id: 4\n\n"

// TestLateBy checks what is recorded as the cause of a late stream, with a goal of 100 ms and 50 ms
// between events. It guards against a preemption recorded as a resumption, a late first event hidden
// by a pause, and a repeated event or a slow caller taken for progress or a pause of the target.
func TestLateBy(t *testing.T) {
	tests := []struct {
		name string
		// attempts are the events of each target; all but the last break off.
		attempts         [][]timed
		breaks           bool
		slow             time.Duration // The caller takes so long for each event.
		noGoal           bool
		hasGoal          bool
		lateBy           string
		pauseMS          int
		events           int
		resumed          int
		lateForAdmission bool
	}{
		{name: "in time", attempts: [][]timed{{{90, event1}, {40, event2}, {20, event3}}}, hasGoal: true, pauseMS: 40, events: 3},
		{name: "exactly at the goals", attempts: [][]timed{{{100, event1}, {50, event2}}}, hasGoal: true, pauseMS: 50, events: 2},
		{name: "the first event is late", attempts: [][]timed{{{110, event1}, {10, event2}}}, hasGoal: true, lateBy: deliver.LateFirst, pauseMS: 10, events: 2, lateForAdmission: true},
		{name: "preempted: a pause at one target", attempts: [][]timed{{{10, event1}, {170, event2}, {10, event3}}}, hasGoal: true, lateBy: deliver.LatePause, pauseMS: 170, events: 3, lateForAdmission: true},
		{name: "a late first event, then a pause", attempts: [][]timed{{{110, event1}, {60, event2}}}, hasGoal: true, lateBy: deliver.LateFirst, pauseMS: 60, events: 2, lateForAdmission: true},
		{name: "continued late elsewhere", attempts: [][]timed{{{10, event1}}, {{80, event2}, {10, event3}}}, hasGoal: true, lateBy: deliver.LateResumed, pauseMS: 80, events: 3, resumed: 1, lateForAdmission: true},
		{name: "continued in time elsewhere", attempts: [][]timed{{{10, event1}}, {{40, event2}}}, hasGoal: true, pauseMS: 40, events: 2, resumed: 1},
		{name: "continued in time, paused later", attempts: [][]timed{{{10, event1}}, {{40, event2}, {70, event3}}}, hasGoal: true, lateBy: deliver.LatePause, pauseMS: 70, events: 3, resumed: 1, lateForAdmission: true},
		{name: "paused, then continued late", attempts: [][]timed{{{10, event1}, {60, event2}}, {{90, event3}}}, hasGoal: true, lateBy: deliver.LatePause, pauseMS: 90, events: 3, resumed: 1, lateForAdmission: true},
		{name: "continued twice within one gap", attempts: [][]timed{{{10, event1}}, {{30, event1}}, {{30, event2}}}, hasGoal: true, lateBy: deliver.LateResumed, pauseMS: 60, events: 2, resumed: 2},
		{name: "an event that the caller has does not end a gap", attempts: [][]timed{{{10, event1}, {10, event2}}, {{30, event1}, {10, event2}, {30, event3}}}, hasGoal: true, lateBy: deliver.LateResumed, pauseMS: 70, events: 3, resumed: 1},
		{name: "broken off before the first event, then a late one", attempts: [][]timed{{}, {{110, event1}}}, hasGoal: true, lateBy: deliver.LateFirst, events: 1, lateForAdmission: true},
		{name: "broken off for good", attempts: [][]timed{{{110, event1}, {60, event2}}}, breaks: true, pauseMS: 60, events: 2},
		{name: "a slow caller", attempts: [][]timed{{{10, event1}, {20, event2}}}, slow: time.Second, hasGoal: true, pauseMS: 20, events: 2, lateForAdmission: true},
		{name: "no events, late", attempts: [][]timed{{{110, ""}}}, hasGoal: true, lateBy: deliver.LateFirst},
		{name: "no goal", attempts: [][]timed{{{500, event1}, {300, event2}}}, noGoal: true, pauseMS: 300, events: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(false, true, true, len(tt.attempts))
				r.Goal, r.GapGoal, r.Timeout = 100*time.Millisecond, 50*time.Millisecond, time.Minute
				if tt.noGoal {
					r.Goal, r.GapGoal = 0, 0
				}
				s := (&targets{}).server(r)
				s.Suspect = nil
				sent := 0
				s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
					sent++
					return streamReply(bodyOf(tt.attempts[sent-1], tt.breaks || sent < len(tt.attempts))), nil
				}
				var got deliver.Outcome
				s.RecordOutcome = func(o deliver.Outcome) { got = o }
				var ended deliver.AttemptResult
				s.Ended = func(e deliver.AttemptResult) { ended = e }
				serveTo(s, &slowCaller{httptest.NewRecorder(), tt.slow})
				if got.HasGoal != tt.hasGoal || got.LateBy != tt.lateBy {
					t.Errorf("has a goal %v, late by %q", got.HasGoal, got.LateBy)
				}
				if got.Pause != time.Duration(tt.pauseMS)*time.Millisecond || got.Events != tt.events || got.Resumed != tt.resumed {
					t.Errorf("pause %v, %d events, resumed %d times", got.Pause, got.Events, got.Resumed)
				}
				if ended.Completed && ended.Late != tt.lateForAdmission {
					t.Errorf("admission is told late=%v", ended.Late)
				}
			})
		})
	}
}

func serveTo(s *deliver.Server, w http.ResponseWriter) {
	defer func() { _ = recover() }() // An answer that is cut off panics.
	_ = s.Serve(context.Background(), w, &deliver.Call{ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now()})
}

// TestLateByPlain checks answers that are not streams. It guards against failures counted as
// answers in time and against a time to the first byte taken for the whole answer's.
func TestLateByPlain(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	tests := []struct {
		name    string
		status  int
		body    []timed
		breaks  bool
		hasGoal bool
		lateBy  string
	}{
		{"in time", 200, []timed{{90, "whole"}}, false, true, ""},
		{"late", 200, []timed{{110, "whole"}}, false, true, deliver.LateFirst},
		{"the end of a long one is late", 200, []timed{{10, long}, {110, "end"}}, false, true, deliver.LateFirst},
		{"the caller's mistake", 404, []timed{{10, "no"}}, false, true, ""},
		{"the target's failure", 500, []timed{{10, "failed"}}, false, false, ""},
		{"a long failure", 500, []timed{{10, long}}, false, false, ""},
		{"cut off", 200, []timed{{110, "wh"}}, true, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := (&targets{}).server(route(false, false, false, 1))
				s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
					return reply(tt.status, deliver.MayHaveRun, bodyOf(tt.body, tt.breaks)), nil
				}
				var got deliver.Outcome
				s.RecordOutcome = func(o deliver.Outcome) { got = o }
				serveTo(s, httptest.NewRecorder())
				if got.HasGoal != tt.hasGoal || got.LateBy != tt.lateBy || got.Events != 0 || got.Pause != 0 {
					t.Errorf("has a goal %v, late by %q, %d events, pause %v", got.HasGoal, got.LateBy, got.Events, got.Pause)
				}
			})
		})
	}
}

// TestLateByPlainSlowCaller has a caller that takes an answer in time slowly. It guards against the
// time of writing to the caller being taken for lateness of the target.
func TestLateByPlainSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := (&targets{}).server(route(false, false, false, 1))
		s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
			return reply(200, deliver.MayHaveRun, bodyOf([]timed{{90, "whole"}}, false)), nil
		}
		var got deliver.Outcome
		s.RecordOutcome = func(o deliver.Outcome) { got = o }
		serveTo(s, &slowCaller{httptest.NewRecorder(), time.Second})
		if !got.HasGoal || got.LateBy != "" {
			t.Errorf("has a goal %v, late by %q", got.HasGoal, got.LateBy)
		}
	})
}

// TestGapGoalOnly checks which answers are judged on a route that has a goal for gaps alone. It
// guards against an answer without gaps recorded as in time, and against a late stream left out
// because its route is not marked as a stream.
func TestGapGoalOnly(t *testing.T) {
	tests := []struct {
		name        string
		streamRoute bool
		reply       func() *deliver.Reply
		hasGoal     bool
		lateBy      string
	}{
		{"a stream in time", true, func() *deliver.Reply { return streamReply(bodyOf([]timed{{500, event1}, {40, event2}}, false)) }, true, ""},
		{"a late stream", true, func() *deliver.Reply { return streamReply(bodyOf([]timed{{500, event1}, {60, event2}}, false)) }, true, deliver.LatePause},
		{"a late stream of another route", false, func() *deliver.Reply { return streamReply(bodyOf([]timed{{500, event1}, {60, event2}}, false)) }, true, deliver.LatePause},
		{"a stream without events", true, func() *deliver.Reply { return streamReply(bodyOf([]timed{{500, ""}}, false)) }, false, ""},
		{"an error that is no stream", true, func() *deliver.Reply {
			return reply(404, deliver.MayHaveRun, bodyOf([]timed{{500, "no"}}, false))
		}, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(false, tt.streamRoute, false, 1)
				r.Goal, r.GapGoal = 0, 50*time.Millisecond
				s := (&targets{}).server(r)
				s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) { return tt.reply(), nil }
				var got deliver.Outcome
				s.RecordOutcome = func(o deliver.Outcome) { got = o }
				serveTo(s, httptest.NewRecorder())
				if got.HasGoal != tt.hasGoal || got.LateBy != tt.lateBy {
					t.Errorf("has a goal %v, late by %q", got.HasGoal, got.LateBy)
				}
			})
		})
	}
}

// TestWaited checks that the waits of all placements are added up, with that of a placement that
// was refused. It guards against losing the wait of a request that was refused after it.
func TestWaited(t *testing.T) {
	tests := []struct {
		name   string
		script []int
		waits  []int // In milliseconds; the placement after the last is refused.
		refuse bool
		want   time.Duration
	}{
		{"placed at once", nil, []int{0}, false, 0},
		{"placed after a wait", nil, []int{300}, false, 300 * time.Millisecond},
		{"placed twice", []int{turnsAway}, []int{300, 200}, false, 500 * time.Millisecond},
		{"refused after a wait", nil, []int{400}, true, 400 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := (&targets{script: tt.script}).server(route(true, false, false, 2))
			placed := 0
			s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
				placed++
				p := deliver.Placement{Target: "t", Waited: time.Duration(tt.waits[placed-1]) * time.Millisecond}
				if tt.refuse {
					return p, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "crowded", "")
				}
				return p, nil
			}
			var got deliver.Outcome
			s.RecordOutcome = func(o deliver.Outcome) { got = o }
			ask(s)
			if got.Waited != tt.want {
				t.Errorf("waited %v, want %v", got.Waited, tt.want)
			}
		})
	}
}

// TestRefusedOutcomeNamesRoute checks what is recorded of requests that are refused before they
// are admitted. It guards against refusals that show neither route nor account.
func TestRefusedOutcomeNamesRoute(t *testing.T) {
	tests := []struct {
		name                 string
		host, key            string
		short                bool
		code                 string
		route, account, pool string
	}{
		{"no route", "other", "k", false, "no_route", "", "", ""},
		{"unknown key", "h", "x", false, "unknown_key", "r", "", ""},
		{"too little time", "h", "k", true, "no_time", "r", "a", "p"},
		{"served", "h", "k", false, "", "r", "a", "p"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := (&targets{}).server(route(true, false, false, 1))
			table := routing.New(2, []*routing.Route{s.Configuration().Route("h", "/")}, []*routing.Pool{{Name: "p"}}, []*routing.Account{{Name: "a", Keys: []string{"k"}}})
			s.Configuration = func() *routing.Proved { return &routing.Proved{Table: table} }
			s.MinAnswerTime = func(time.Time, *deliver.Job) (time.Duration, bool) { return time.Hour, tt.short }
			var got deliver.Outcome
			s.RecordOutcome = func(o deliver.Outcome) { got = o }
			_ = s.Serve(context.Background(), httptest.NewRecorder(), &deliver.Call{ID: "r", Key: tt.key, Method: "POST", Path: "/x", Host: tt.host, Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now()})
			var name, account, pool string
			if got.Route != nil {
				name = got.Route.Name
			}
			if got.Account != nil {
				account = got.Account.Name
			}
			if got.Pool != nil {
				pool = got.Pool.Name
			}
			if got.RefusalCode != tt.code || name != tt.route || account != tt.account || pool != tt.pool || (got.Job != nil) != (tt.code == "") {
				t.Errorf("code %q, route %q, account %q, pool %q, job %v", got.RefusalCode, name, account, pool, got.Job)
			}
		})
	}
}
