package deliver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// What the target that holds a copy does with the run that continues there.
const (
	copyThere = iota
	copyBehind
	copyMissing
	copyRefuses
	copyUnreachable
	copyDies
	copyGone
	copyBehaviors
)

// copyAddress is where the copy of every run is.
var copyAddress = netip.MustParseAddrPort("10.0.0.9:1")

// copyTargets are fake targets of which one holds the copies of the others' runs.
type copyTargets struct {
	targets
	behavior int
	// continued counts the attempts to continue from a copy, fresh the runs from the start.
	continued, fresh int
	outcome          deliver.Outcome
	retries          []deliver.Retry
}

func (x *copyTargets) server(route *routing.Route) *deliver.Server {
	s := x.targets.server(route)
	place := s.Place
	s.Place = func(ctx context.Context, r deliver.PlacementRequest) (deliver.Placement, error) {
		p, err := place(ctx, r)
		p.CopyTarget, p.CopyAddress = "c", copyAddress
		return p, err
	}
	s.PlaceCopy = func(_ context.Context, _ *deliver.Job, broken deliver.Placement) (deliver.Placement, error) {
		if x.behavior == copyGone {
			return deliver.Placement{}, errors.New("the target left")
		}
		x.placed++
		return deliver.Placement{Target: broken.CopyTarget, Address: broken.CopyAddress, FromCopy: true}, nil
	}
	s.Send = x.send
	s.RecordOutcome = func(o deliver.Outcome) { x.outcome = o }
	s.Retried = func(r deliver.Retry) { x.retries = append(x.retries, r) }
	return s
}

func (x *copyTargets) send(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error) {
	if !s.ResumeFrom.IsValid() {
		before := x.ran
		reply, err := x.targets.send(ctx, s)
		if s.LastEventID == "" {
			x.fresh += x.ran - before
		}
		return reply, err
	}
	x.continued++
	switch x.behavior {
	case copyBehind: // It begins with the events that it had not copied.
		s.LastEventID = ""
	case copyMissing:
		return reply(http.StatusServiceUnavailable, deliver.DidNotRun, strings.NewReader("")), nil
	case copyRefuses: // Without the statement that it did not run.
		return reply(http.StatusServiceUnavailable, deliver.MayHaveRun, strings.NewReader("no")), nil
	case copyUnreachable:
		return nil, fmt.Errorf("%w: refused", exchange.ErrNotSent)
	}
	return streamed(s, x.behavior == copyDies), nil
}

// TestContinueFromCopy breaks a run of a stream that may not be resumed and has no attempt left.
// It guards against streams that end although a copy of their run is there, and against events
// that are missing or doubled, second runs and further attempts where it is not.
func TestContinueFromCopy(t *testing.T) {
	tests := []struct {
		name     string
		script   int
		behavior int
		whole    bool
		body     string
		retries  int
	}{
		{"the target dies in the middle of its stream", cutsOff, copyThere, true, wholeStream, 1},
		{"the target dies before its first event", givesNoAnswer, copyThere, true, wholeStream, 1},
		{"the copy is behind", cutsOff, copyBehind, true, wholeStream, 1},
		{"the copy was lost or used", cutsOff, copyMissing, false, "id: 1\n\n", 1},
		{"the copy's target answers 503 alone", cutsOff, copyRefuses, false, "id: 1\n\n", 1},
		{"the copy's target is dead as well", cutsOff, copyUnreachable, false, "id: 1\n\n", 1},
		{"the copy's target dies too", cutsOff, copyDies, false, "id: 1\n\nid: 2\n\n", 1},
		{"the copy's target has other weights or left", cutsOff, copyGone, false, "id: 1\n\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &copyTargets{targets: targets{script: []int{tt.script}}, behavior: tt.behavior}
			got := ask(x.server(route(false, true, false, 1)))
			if got.body != tt.body || got.cut == tt.whole {
				t.Errorf("the caller got %q, cut off: %v", got.body, got.cut)
			}
			if x.sent != 1 || x.continued > 1 || x.fresh != 1 || x.placed != x.ended {
				t.Errorf("%d attempts from the start, of which %d ran, %d from the copy, %d placed and %d ended", x.sent, x.fresh, x.continued, x.placed, x.ended)
			}
			if len(x.retries) != tt.retries || tt.retries > 0 && (!x.retries[0].Copy || x.retries[0].Place.CopyTarget != "c") {
				t.Errorf("reported %+v", x.retries)
			}
			if want := min(x.continued, 1); tt.behavior != copyUnreachable && x.spent != want {
				t.Errorf("%d retries were charged, want %d", x.spent, want)
			}
			if tt.behavior == copyUnreachable && x.spent != 0 {
				t.Errorf("%d retries were charged for a target that was not reached", x.spent)
			}
		})
	}
}

// TestCopyBeforeFirstEvent guards against an answer that promises that a request did not run where
// its run was lost before the first event and its copy is missing.
func TestCopyBeforeFirstEvent(t *testing.T) {
	for _, behavior := range []int{copyMissing, copyRefuses, copyUnreachable, copyGone} {
		x := &copyTargets{targets: targets{script: []int{givesNoAnswer}}, behavior: behavior}
		got := ask(x.server(route(false, true, false, 1)))
		if got.refused == nil || got.refused.Status != http.StatusBadGateway || got.refused.Outcome != refusal.Unknown {
			t.Errorf("behavior %d: got %+v", behavior, got)
		}
	}
}

// TestCopyNotAsked guards against a run that continues from a copy although nobody may pay for it
// or wait for it, or although there is none.
func TestCopyNotAsked(t *testing.T) {
	tests := []struct {
		name   string
		change func(*deliver.Server)
	}{
		{"the retry budget is empty", func(s *deliver.Server) { s.Spend = func(string) bool { return false } }},
		{"the run has no copy", func(s *deliver.Server) {
			s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
				return deliver.Placement{Target: "t"}, nil
			}
		}},
		{"copies are not used", func(s *deliver.Server) { s.PlaceCopy = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &copyTargets{targets: targets{script: []int{cutsOff}}}
			s := x.server(route(false, true, false, 1))
			tt.change(s)
			if got := ask(s); got.body != "id: 1\n\n" || !got.cut || x.continued != 0 || x.sent != 1 {
				t.Errorf("the caller got %q, cut off: %v, after %d attempts and %d from the copy", got.body, got.cut, x.sent, x.continued)
			}
		})
	}
}

// TestCopyAfterOwnAbort guards against a run that continues from its copy although this box gave it
// up, as it did not begin before the deadline for the target's weights.
func TestCopyAfterOwnAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &copyTargets{targets: targets{script: []int{hangs}}}
		s := x.server(route(false, true, false, 1))
		place := s.Place
		s.Place = func(ctx context.Context, r deliver.PlacementRequest) (deliver.Placement, error) {
			p, err := place(ctx, r)
			p.BeginBy = time.Now().Add(50 * time.Millisecond)
			return p, err
		}
		if got := ask(s); got.refused == nil || x.continued != 0 || x.spent != 0 {
			t.Errorf("got %+v after %d attempts from the copy", got, x.continued)
		}
	})
}

// TestCopyAndCallerLeft guards against a run that continues for a caller who left just as it broke.
func TestCopyAndCallerLeft(t *testing.T) {
	x := &copyTargets{targets: targets{script: []int{cutsOff}}}
	s := x.server(route(false, true, false, 1))
	left := false
	send := s.Send
	s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
		reply, err := send(ctx, a)
		left = true
		return reply, err
	}
	func() {
		defer func() { _ = recover() }() // Serve aborts the answer that was begun.
		_ = s.Serve(context.Background(), httptest.NewRecorder(), &deliver.Call{
			ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now(), Disconnected: func() bool { return left },
		})
	}()
	if x.continued != 0 || x.spent != 0 || x.placed != x.ended {
		t.Errorf("%d attempts from the copy, %d retries charged, %d placed and %d ended", x.continued, x.spent, x.placed, x.ended)
	}
}

// unfinishedBody gives one event and then nothing until its attempt is aborted.
type unfinishedBody struct {
	ctx   context.Context
	first io.Reader
}

func (b unfinishedBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// TestCopyOfSilentTarget guards against a stream that waits for its deadline although its target
// looks dead and its run has a copy, and against one that is broken off although its target looks
// alive: a late event is better than none if the copy is missing.
func TestCopyOfSilentTarget(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			x := &copyTargets{}
			r := route(false, true, false, 1)
			r.Timeout = 10 * time.Second
			s := x.server(r)
			s.Suspect = func(context.Context, string) bool { return dead }
			send := s.Send
			s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
				if !a.ResumeFrom.IsValid() {
					return streamReply(unfinishedBody{ctx, strings.NewReader("id: 1\n\n")}), nil
				}
				return send(ctx, a)
			}
			got := ask(s)
			if dead && (got.body != wholeStream || got.cut || got.took > 3*time.Second) || !dead && (!got.cut || x.continued > 0) {
				t.Errorf("target dead %v: the caller got %q after %v, cut off: %v, %d attempts from the copy", dead, got.body, got.took, got.cut, x.continued)
			}
		})
	}
}

// copyInvariants is the property, for any behaviour of the targets and of the one that holds the
// copy, that a run that may not be resumed begins once at most, that the copy is tried once at
// most, that a request reported as not run has not run, and that a stream has each event once and
// in order.
func copyInvariants(t *testing.T, mutate func(*deliver.Server)) gopter.Prop {
	return prop.ForAll(func(resumable bool, attempts, behavior int, script []int) bool {
		good := true
		synctest.Test(t, func(*testing.T) {
			x := &copyTargets{targets: targets{script: script}, behavior: behavior}
			s := x.server(route(false, true, resumable, attempts))
			mutate(s)
			got := ask(s)
			promised := got.refused != nil && got.refused.Outcome == refusal.DidNotRun
			good = (resumable || x.fresh <= 1) && x.continued <= 1 && !(promised && x.ran > 0) && x.arrived <= attempts &&
				x.placed == x.ended && x.spent >= 0 &&
				(got.refused != nil || got.status != http.StatusOK || strings.HasPrefix(wholeStream, got.body)) &&
				(got.refused != nil || got.cut || got.status != http.StatusOK || got.body == wholeStream)
		})
		return good
	}, gen.Bool(), gen.IntRange(1, 3), gen.IntRange(0, copyBehaviors-1), gen.SliceOfN(6, gen.IntRange(0, behaviours-1)))
}

func TestCopyInvariants(t *testing.T) {
	proptest.Holds(t, copyInvariants(t, func(*deliver.Server) {}))
}

// TestCopyInvariantsNeedEventIDs has the copy's target number its events from 1 again.
func TestCopyInvariantsNeedEventIDs(t *testing.T) {
	proptest.Violated(t, copyInvariants(t, func(s *deliver.Server) {
		send := s.Send
		s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
			reply, err := send(ctx, a)
			if a.ResumeFrom.IsValid() && err == nil && reply.Events {
				after, _ := strconv.Atoi(a.LastEventID) // Zero for none.
				reply.Body = strings.NewReader(fmt.Sprintf("id: %d\n\n", after+2))
			}
			return reply, err
		}
	}))
}
