package deliver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// TestRecheckedAfterWait changes what is configured while a request waits for its placement. It
// guards against a request that is sent by a key or route that was removed meanwhile, or by a proof
// that is too old by then, and against its placement staying counted.
func TestRecheckedAfterWait(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *deliver.Server)
		// retried has the target turn the request away before it waits.
		retried bool
		waited  time.Duration
		status  int
		code    string
		outcome string
		sent    int
	}{
		{"nothing changed", func(*deliver.Server) {}, false, time.Second, http.StatusOK, "", "", 1},
		{"key removed", func(s *deliver.Server) { keyed(s, "other") }, false, time.Second, http.StatusUnauthorized, "unknown_key", refusal.DidNotRun, 0},
		{"key removed, but it did not wait", func(s *deliver.Server) { keyed(s, "other") }, false, 0, http.StatusOK, "", "", 1},
		{"route removed", func(s *deliver.Server) {
			s.Configuration = func() *routing.Proved {
				return &routing.Proved{Table: routing.New(2, nil, []*routing.Pool{{Name: "p"}}, nil)}
			}
		}, false, time.Second, http.StatusNotFound, "no_route", refusal.DidNotRun, 0},
		{"proof too old", func(s *deliver.Server) {
			s.KeysFresh = func(time.Time, *routing.Proved) bool { return false }
		}, false, time.Second, http.StatusServiceUnavailable, "stale", refusal.DidNotRun, 0},
		{"key removed before the second attempt, the first may have run", func(s *deliver.Server) { keyed(s, "other") }, true, time.Second, http.StatusBadGateway, "unknown_key", refusal.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &targets{}
			if tt.retried {
				x.script = []int{givesNoAnswer}
			}
			s := x.server(route(true, false, false, 2))
			keyed(s, "key")
			place := s.Place
			s.Place = func(ctx context.Context, request deliver.PlacementRequest) (deliver.Placement, error) {
				chosen, err := place(ctx, request)
				if x.placed > 1 || !tt.retried {
					tt.change(s)
					chosen.Waited = tt.waited
				}
				return chosen, err
			}
			got := ask(s)
			status, code, outcome := got.status, "", ""
			if got.refused != nil {
				status, code, outcome = got.refused.Status, got.refused.Code, got.refused.Outcome
			}
			if status != tt.status || code != tt.code || outcome != tt.outcome || x.sent != tt.sent {
				t.Errorf("status %d, code %q, outcome %q, sent %d", status, code, outcome, x.sent)
			}
			if x.placed != x.ended {
				t.Errorf("%d placements, %d ended", x.placed, x.ended)
			}
		})
	}
}

// keyed has the server's only route need a key. Calls come with an empty one, which counts as known
// if key is "key".
func keyed(s *deliver.Server, key string) {
	known := []string{"other"}
	if key == "key" {
		known = []string{""}
	}
	table := s.Configuration().Table
	r := table.Route("h", "/x")
	next := routing.New(table.Version+1, []*routing.Route{r}, []*routing.Pool{{Name: "p"}}, []*routing.Account{{Name: "x", Keys: known}})
	s.Configuration = func() *routing.Proved { return &routing.Proved{Table: next} }
}

// TestLateWithoutWait has a request wait for longer than its goal before it is placed. It guards
// against counting that as lateness of the target, by which the lowest priority gets less room, and
// against a target that is late itself and counts as in time.
func TestLateWithoutWait(t *testing.T) {
	tests := []struct {
		name  string
		takes time.Duration
		late  bool
	}{
		{"in time after the wait", 90 * time.Millisecond, false},
		{"late after the wait", 110 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(false, true, false, 1)
				r.Goal, r.GapGoal = 100*time.Millisecond, 50*time.Millisecond
				s := (&targets{}).server(r)
				s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
					time.Sleep(time.Second)
					return deliver.Placement{Target: "t", Waited: time.Second}, nil
				}
				s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
					return streamReply(&delayed{tt.takes, strings.NewReader("id: 1\n\n")}), nil
				}
				var ended deliver.AttemptResult
				s.Ended = func(e deliver.AttemptResult) { ended = e }
				ask(s)
				if !ended.Completed || ended.Late != tt.late {
					t.Errorf("completed %v, late %v", ended.Completed, ended.Late)
				}
			})
		})
	}
}
