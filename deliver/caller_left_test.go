package deliver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// TestCallerLeaves has the caller disconnect at each stage of a request. Its placements are
// released and its unused retries refunded, nothing more is sent, and a caller that has closed
// only one direction of its connection is told correctly whether the request ran.
func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name   string
		route  *routing.Route
		script []int
		// during is the attempt in which the caller leaves, from 1; 0 is before the
		// body was read.
		during int
		// closed says that only the connection shows it, not the context.
		closed bool
		sent   int
		// outcome is the refusal's; took is how long after the disconnect everything has ended.
		outcome string
		took    time.Duration
	}{
		{"before the body was read, the connection shows it", route(true, false, false, 3), nil, 0, true, 0, refusal.DidNotRun, 0},
		{"before the body was read, the context shows it", route(true, false, false, 3), nil, 0, false, 0, refusal.DidNotRun, 0},
		{"while the target hangs", route(false, false, false, 1), []int{hangs}, 1, false, 1, refusal.Unknown, 0},
		{"while the target hangs, repeatable", route(true, false, false, 3), []int{hangs}, 1, false, 1, refusal.Unknown, 0},
		{"while the target hangs, only the connection shows it", route(false, false, false, 1), []int{hangs}, 1, true, 1, refusal.Unknown, 200 * time.Millisecond},
		{"the target turns it away", route(true, false, false, 3), []int{turnsAway}, 1, true, 1, refusal.DidNotRun, 0},
		{"the target gives no answer", route(true, false, false, 3), []int{givesNoAnswer}, 1, true, 1, refusal.Unknown, 0},
		{"the target cuts off its answer, repeatable", route(true, false, false, 3), []int{cutsOff}, 1, true, 1, refusal.Unknown, 0},
		{"the target is unreachable", route(true, false, false, 3), []int{unreachable}, 1, true, 1, refusal.DidNotRun, 0},
		{"before a paid retry left this box", route(true, false, false, 3), []int{turnsAway, unreachable}, 2, false, 2, refusal.DidNotRun, 0},
		{"before a paid retry left this box, after a run", route(true, false, false, 3), []int{givesNoAnswer, unreachable}, 2, false, 2, refusal.Unknown, 0},
		{"while a paid retry's target hangs", route(true, false, false, 3), []int{turnsAway, hangs}, 2, false, 2, refusal.Unknown, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &targets{script: tt.script}
				s := x.server(tt.route)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var gone atomic.Bool
				leave := func() {
					gone.Store(true)
					if !tt.closed {
						cancel()
					}
				}
				send := s.Send
				s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
					if x.sent+1 == tt.during {
						leave()
					}
					return send(ctx, attempt)
				}
				var noted deliver.Outcome
				s.RecordOutcome = func(o deliver.Outcome) { noted = o }
				retried := 0
				s.Retried = func(deliver.Retry) { retried++ }
				if tt.during == 0 {
					leave()
				}
				time.AfterFunc(200*time.Millisecond, s.Reap)
				began := time.Now()
				err := s.Serve(ctx, httptest.NewRecorder(), &deliver.Call{
					ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{},
					Received: began, Disconnected: gone.Load,
				})
				refused := new(refusal.Refusal)
				if !errors.As(err, &refused) || refused.Outcome != tt.outcome {
					t.Errorf("got %v, want outcome %q", err, tt.outcome)
				}
				if x.sent != tt.sent || x.placed != x.ended {
					t.Errorf("%d attempts, want %d; %d placed, %d ended", x.sent, tt.sent, x.placed, x.ended)
				}
				if retries := max(x.arrived-1, 0); x.spent != retries {
					t.Errorf("%d retries paid, %d arrived", x.spent, retries)
				}
				if want := max(tt.sent-1, 0); retried != want {
					t.Errorf("%d retries logged, want %d", retried, want)
				}
				if !noted.CallerLeft {
					t.Errorf("outcome %+v", noted)
				}
				if took := time.Since(began); took != tt.took {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// TestRetryPaidOnce has a retry that was taken from the budget fail to reach its target:
// the next attempt uses it.
func TestRetryPaidOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{script: []int{turnsAway, unreachable}}
		got := ask(x.server(route(true, false, false, 3)))
		if got.status != http.StatusOK || x.sent != 3 || x.spent != 1 {
			t.Errorf("got %+v, %d attempts, %d paid", got, x.sent, x.spent)
		}
	})
}

// blockedWriter is a response that takes no more bytes until its write deadline is set.
type blockedWriter struct {
	http.ResponseWriter
	ended chan struct{}
}

func (b *blockedWriter) Write([]byte) (int, error) {
	<-b.ended
	return 0, errBroken
}

// SetWriteDeadline is called by http.ResponseController.
func (b *blockedWriter) SetWriteDeadline(time.Time) error {
	close(b.ended)
	return nil
}

// TestCallerReadsNothing has a caller that reads nothing disconnect: the write to it
// is unblocked, and the request ends.
func TestCallerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{}
		s := x.server(route(true, false, false, 1))
		var noted deliver.Outcome
		s.RecordOutcome = func(o deliver.Outcome) { noted = o }
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		func() {
			defer func() { _ = recover() }() // An answer that was begun is aborted.
			_ = s.Serve(ctx, &blockedWriter{httptest.NewRecorder(), make(chan struct{})}, &deliver.Call{
				ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{}, Received: began,
			})
		}()
		if took := time.Since(began); took != time.Second || !noted.CallerLeft || !noted.Aborted {
			t.Errorf("took %v, outcome %+v", took, noted)
		}
	})
}

// leavingCaller is a caller that disconnects during one of its request's attempts.
type leavingCaller struct {
	// during is the attempt, from 1, or 0 for before the body was read.
	during int
	// closed says that only the connection shows the disconnect, undetected that nothing does.
	closed, undetected bool
}

// serve runs the caller's request until it ends. It returns the refusal, if there was
// one, the number of attempts before the caller left, and how long the request went on
// after that.
func (l leavingCaller) serve(s *deliver.Server, x *targets) (refused *refusal.Refusal, before int, took time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gone atomic.Bool
	var left time.Time
	leave := func() {
		left, before = time.Now(), x.sent
		gone.Store(!l.undetected)
		if !l.closed && !l.undetected {
			cancel()
		}
	}
	send := s.Send
	s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
		reply, err := send(ctx, attempt)
		if x.sent == l.during && left.IsZero() {
			leave()
		}
		return reply, err
	}
	if l.during == 0 {
		leave()
	}
	defer func() {
		_ = recover() // An answer that was begun is aborted.
		if !left.IsZero() {
			took = time.Since(left)
		}
	}()
	err := s.Serve(ctx, httptest.NewRecorder(), &deliver.Call{
		ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{},
		Received: time.Now(), Disconnected: gone.Load,
	})
	errors.As(err, &refused)
	return refused, before, took
}

// releasesAll is the property, for any behaviour of the targets and any moment at which
// the caller leaves, that nothing more is sent, that each placement is released, that only
// retries that left this box are paid for, and that a request that may have run is not
// reported as not run.
func releasesAll(t *testing.T, mutate func(*deliver.Server, *leavingCaller)) gopter.Prop {
	return prop.ForAll(func(repeatable, stream, resumable, closed bool, attempts, during int, script []int) bool {
		good := true
		synctest.Test(t, func(*testing.T) {
			x := &targets{script: script}
			s := x.server(route(repeatable, stream, resumable, attempts))
			l := leavingCaller{during: during, closed: closed}
			mutate(s, &l)
			refused, before, took := l.serve(s, x)
			left := during == 0 || x.sent >= during
			promised := refused != nil && refused.Outcome == refusal.DidNotRun
			good = !(left && x.sent > before) &&
				!(promised && x.ran > 0) &&
				x.placed == x.ended &&
				x.spent == max(x.arrived-1, 0) &&
				took <= 200*time.Millisecond
		})
		return good
	}, gen.Bool(), gen.Bool(), gen.Bool(), gen.Bool(), gen.IntRange(1, 3), gen.IntRange(0, 4), gen.SliceOfN(6, gen.IntRange(0, behaviours-1)))
}

func TestReleasesAll(t *testing.T) {
	proptest.Holds(t, releasesAll(t, func(*deliver.Server, *leavingCaller) {}))
}

// TestReleaseNeedsDisconnect has neither the context nor the connection report it.
func TestReleaseNeedsDisconnect(t *testing.T) {
	proptest.Violated(t, releasesAll(t, func(_ *deliver.Server, l *leavingCaller) { l.undetected = true }))
}

// TestReleaseNeedsRefund does not refund a retry that was never made.
func TestReleaseNeedsRefund(t *testing.T) {
	proptest.Violated(t, releasesAll(t, func(s *deliver.Server, _ *leavingCaller) {
		s.Refund = func(string) {}
	}))
}

// TestReleaseNeedsEnded does not report the end of attempts without an answer.
func TestReleaseNeedsEnded(t *testing.T) {
	proptest.Violated(t, releasesAll(t, func(s *deliver.Server, _ *leavingCaller) {
		ended := s.Ended
		s.Ended = func(e deliver.AttemptResult) {
			if e.Began {
				ended(e)
			}
		}
	}))
}
