package deliver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// What the fake targets do with one attempt.
const (
	answers = iota
	unreachable
	turnsAway
	otherWeights
	givesNoAnswer
	cutsOff
	fails
	hangs
	withheld
	behaviours
)

var errBroken = errors.New("broken")

// targets are fake targets that behave as scripted, one entry per attempt.
type targets struct {
	script []int
	// sent counts attempts, arrived those that reached a target, and ran those that a
	// target ran.
	sent, arrived, ran int
	// placed counts placements, ended the attempts reported to Ended.
	placed, ended int
	spent         int
	// timeouts are the timeouts given to targets.
	timeouts []time.Duration
}

func (x *targets) send(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error) {
	way := answers
	if x.sent < len(x.script) {
		way = x.script[x.sent]
	}
	x.sent++
	x.timeouts = append(x.timeouts, s.Timeout)
	if way == unreachable {
		return nil, fmt.Errorf("%w: refused", exchange.ErrNotSent)
	}
	if way == withheld {
		return nil, fmt.Errorf("%w: %w", exchange.ErrNotSent, notice.ErrBackoff)
	}
	x.arrived++
	switch way {
	case turnsAway:
		return reply(http.StatusServiceUnavailable, deliver.DidNotRun, strings.NewReader("")), nil
	case otherWeights:
		return reply(http.StatusMisdirectedRequest, deliver.OtherVersion, strings.NewReader("")), nil
	}
	x.ran++
	switch way {
	case givesNoAnswer:
		return nil, errBroken
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case fails:
		return reply(http.StatusInternalServerError, deliver.MayHaveRun, strings.NewReader("failed")), nil
	}
	if s.Job.Route.Stream {
		return streamed(s, way == cutsOff), nil
	}
	if way == cutsOff {
		return reply(http.StatusOK, deliver.MayHaveRun, io.MultiReader(strings.NewReader("ha"), brokenBody{})), nil
	}
	return reply(http.StatusOK, deliver.MayHaveRun, strings.NewReader("whole")), nil
}

// events is the number of events in a complete stream.
const events = 4

// streamed returns the rest of the stream after the last event that the caller has.
func streamed(s deliver.Attempt, breaks bool) *deliver.Reply {
	from, _ := strconv.Atoi(s.LastEventID) // Zero for a stream from the start.
	var text strings.Builder
	for i := from + 1; i <= events; i++ {
		if breaks && i > from+1 {
			return streamReply(io.MultiReader(strings.NewReader(text.String()+"id: 9\nda"), brokenBody{}))
		}
		fmt.Fprintf(&text, "id: %d\n\n", i)
	}
	return streamReply(strings.NewReader(text.String()))
}

func streamReply(body io.Reader) *deliver.Reply {
	r := reply(http.StatusOK, deliver.MayHaveRun, body)
	r.Events = true
	return r
}

func reply(status, verdict int, body io.Reader) *deliver.Reply {
	return &deliver.Reply{Status: status, Header: http.Header{}, Verdict: verdict, Length: -1, Body: body, Close: func() {}}
}

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errBroken }

func (x *targets) server(route *routing.Route) *deliver.Server {
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Shares = []routing.Share{{Pool: "p", Weight: 1}}
	table := routing.New(1, []*routing.Route{route}, []*routing.Pool{{Name: "p"}}, nil)
	return &deliver.Server{
		Configuration: func() *routing.Proved { return &routing.Proved{Table: table} }, KeysFresh: func(time.Time, *routing.Proved) bool { return true }, ConfigurationFresh: func(time.Time, *routing.Proved) bool { return true },
		Place: func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
			x.placed++
			return deliver.Placement{Target: "t" + strconv.Itoa(x.placed)}, nil
		},
		Send: x.send, Began: func(deliver.Placement) {}, Ended: func(deliver.AttemptResult) { x.ended++ },
		Spend:  func(string) bool { x.spent++; return true },
		Refund: func(string) { x.spent-- }, Earn: func(string) {},
		Suspect: func(context.Context, string) bool { return true },
		Now:     time.Now, Random: func() uint64 { return 0 }, RetryAfter: func(string, *deliver.Job) time.Duration { return time.Second },
		RecordOutcome: func(deliver.Outcome) {}, Retried: func(deliver.Retry) {},
	}
}

// outcome is what the caller got.
type outcome struct {
	refused *refusal.Refusal
	status  int
	body    string
	cut     bool
	took    time.Duration
}

func ask(s *deliver.Server) (o outcome) {
	w := httptest.NewRecorder()
	began := time.Now()
	defer func() {
		o.cut = recover() != nil
		o.status, o.body, o.took = w.Code, w.Body.String(), time.Since(began)
	}()
	err := s.Serve(context.Background(), w, &deliver.Call{ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now()})
	errors.As(err, &o.refused)
	return o
}

func route(repeatable, stream, resumable bool, attempts int) *routing.Route {
	return &routing.Route{
		Repeatable: repeatable && !stream, Stream: stream, Resumable: stream && resumable,
		Timeout: 3 * time.Second, Goal: 100 * time.Millisecond, Attempts: attempts,
	}
}

const wholeStream = "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n"

// invariants is the property, for any behaviour of the targets, that a request that is
// not repeatable runs once at most; that one that is reported as not run has not run; that
// the limit of attempts holds; that a stream has each event once and in order; that each
// attempt is accounted for; and that the final answer arrives before the deadline.
func invariants(t *testing.T, mutate func(*deliver.Server)) gopter.Prop {
	return prop.ForAll(func(repeatable, stream, resumable bool, attempts int, script []int) bool {
		good := true
		synctest.Test(t, func(*testing.T) {
			r := route(repeatable, stream, resumable, attempts)
			x := &targets{script: script}
			s := x.server(r)
			mutate(s)
			got := ask(s)
			once := !r.Repeatable && !r.Resumable
			promised := got.refused != nil && got.refused.Outcome == refusal.DidNotRun
			good = !(once && x.ran > 1) &&
				!(promised && x.ran > 0) &&
				x.arrived <= attempts &&
				x.placed == x.ended &&
				got.took <= r.Timeout &&
				(!stream || got.refused != nil || got.status != http.StatusOK || strings.HasPrefix(wholeStream, got.body)) &&
				(got.refused != nil || got.cut || got.status != http.StatusOK || got.body == "whole" || got.body == wholeStream)
		})
		return good
	}, gen.Bool(), gen.Bool(), gen.Bool(), gen.IntRange(1, 3), gen.SliceOfN(6, gen.IntRange(0, behaviours-1)))
}

func TestInvariants(t *testing.T) {
	proptest.Holds(t, invariants(t, func(*deliver.Server) {}))
}

// TestInvariantsNeedErrNotSent reports every failed attempt as not sent.
func TestInvariantsNeedErrNotSent(t *testing.T) {
	proptest.Violated(t, invariants(t, func(s *deliver.Server) {
		send := s.Send
		s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
			r, err := send(ctx, attempt)
			if err != nil {
				err = fmt.Errorf("%w: %w", exchange.ErrNotSent, err)
			}
			return r, err
		}
	}))
}

// TestInvariantsNeedVerdict takes every error answer for the statement that the request
// did not run.
func TestInvariantsNeedVerdict(t *testing.T) {
	proptest.Violated(t, invariants(t, func(s *deliver.Server) {
		send := s.Send
		s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
			r, err := send(ctx, attempt)
			if r != nil && r.Status >= http.StatusInternalServerError {
				r.Verdict = deliver.DidNotRun
			}
			return r, err
		}
	}))
}

// TestInvariantsNeedLastEventID has a resumed stream continue from a wrong event.
func TestInvariantsNeedLastEventID(t *testing.T) {
	proptest.Violated(t, invariants(t, func(s *deliver.Server) {
		send := s.Send
		s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
			if attempt.LastEventID != "" {
				attempt.LastEventID = strconv.Itoa(events)
			}
			return send(ctx, attempt)
		}
	}))
}

func TestServe(t *testing.T) {
	tests := []struct {
		name   string
		route  *routing.Route
		script []int
		status int
		// refused is the outcome of the refusal, if there is one.
		refused string
		spent   int
	}{
		{"answered", route(false, false, false, 1), nil, 200, "", 0},
		{"unreachable twice, then answered, without budget", route(false, false, false, 1), []int{unreachable, unreachable}, 200, "", 0},
		{"always unreachable", route(false, false, false, 1), []int{unreachable, unreachable, unreachable, unreachable}, 503, refusal.DidNotRun, 0},
		{"turned away, one attempt allowed", route(false, false, false, 1), []int{turnsAway}, 503, refusal.DidNotRun, 0},
		{"turned away, then answered, from the budget", route(false, false, false, 2), []int{turnsAway}, 200, "", 1},
		{"lost", route(false, false, false, 2), []int{givesNoAnswer}, 502, refusal.Unknown, 0},
		{"no answer, repeatable", route(true, false, false, 2), []int{givesNoAnswer}, 200, "", 1},
		{"failed, repeatable", route(true, false, false, 2), []int{fails}, 200, "", 1},
		{"failed twice: the target's answer is passed on", route(true, false, false, 2), []int{fails, fails}, 500, "", 1},
		{"no answer, then turned away: may have run", route(true, false, false, 2), []int{givesNoAnswer, turnsAway}, 502, refusal.Unknown, 1},
		{"hangs until the deadline", route(false, false, false, 2), []int{hangs}, 504, refusal.Unknown, 0},
		{"hangs, repeatable, the target looks dead", route(true, false, false, 2), []int{hangs}, 200, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &targets{script: tt.script}
				got := ask(x.server(tt.route))
				status, outcome := got.status, ""
				if got.refused != nil {
					status, outcome = got.refused.Status, got.refused.Outcome
				}
				if status != tt.status || outcome != tt.refused || x.spent != tt.spent {
					t.Errorf("status %d, outcome %q, spent %d; want %d, %q, %d", status, outcome, x.spent, tt.status, tt.refused, tt.spent)
				}
			})
		})
	}
}

// TestSlowIsNotDead shows that a request waits at a slow target that is alive: an
// attempt at another one would only add load.
func TestSlowIsNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{script: []int{hangs}}
		s := x.server(route(false, true, true, 2))
		s.Suspect = func(context.Context, string) bool { return false }
		got := ask(s)
		if x.sent != 1 || got.refused == nil || got.refused.Status != http.StatusGatewayTimeout {
			t.Errorf("%d attempts, got %+v", x.sent, got)
		}
	})
}

// TestNoRetryWithoutBudget shows that nothing is sent again without retry budget.
func TestNoRetryWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{script: []int{turnsAway}}
		s := x.server(route(true, false, false, 3))
		s.Spend = func(string) bool { return false }
		if got := ask(s); x.sent != 1 || got.refused == nil || got.refused.RetryAfter == 0 {
			t.Errorf("%d attempts, got %+v", x.sent, got)
		}
	})
}

// TestWithheld has a request withheld at the last moment, as its target asked for a
// backoff: that does not count against the target and costs no budget, and another
// target is tried.
func TestWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{script: []int{withheld}}
		s := x.server(route(false, false, false, 1))
		s.Ended = func(e deliver.AttemptResult) {
			if e.Place.Target == "t1" && (e.Failed || e.Unreachable || e.CutOff || e.Began) {
				t.Errorf("the attempt counts against the target: %+v", e)
			}
		}
		if got := ask(s); got.status != http.StatusOK || x.arrived != 1 || x.spent != 0 {
			t.Errorf("%d arrived, %d spent, got %+v", x.arrived, x.spent, got)
		}
	})
}

// TestTimeLeft shows that targets get the time that is left as their timeout.
func TestTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{script: []int{hangs}}
		ask(x.server(route(true, false, false, 2)))
		if len(x.timeouts) != 2 || x.timeouts[0] != 3*time.Second || x.timeouts[1] >= x.timeouts[0] || x.timeouts[1] < 2*time.Second {
			t.Errorf("timeouts given %v", x.timeouts)
		}
	})
}

// TestStaleConfiguration shows that keys are refused with a Retry-After while the
// configuration is too old to tell whether they are still valid.
func TestStaleConfiguration(t *testing.T) {
	x := &targets{}
	s := x.server(route(true, false, false, 1))
	r := s.Configuration().Route("h", "/")
	table := routing.New(2, []*routing.Route{r}, []*routing.Pool{{Name: "p"}}, []*routing.Account{{Name: "a", Keys: []string{"k"}}})
	s.Configuration = func() *routing.Proved { return &routing.Proved{Table: table} }
	s.KeysFresh = func(time.Time, *routing.Proved) bool { return false }
	got := ask(s)
	if got.refused == nil || got.refused.Status != http.StatusServiceUnavailable || got.refused.RetryAfter == 0 || x.sent != 0 {
		t.Errorf("got %+v", got)
	}
	r.Open = true
	if got := ask(s); got.status != http.StatusOK || got.refused != nil {
		t.Errorf("an open route needs no fresh configuration: %+v", got)
	}
}
