package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// answer is the text that every engine generates, in pieces of a few bytes.
const answer = "sinigang, adobo and pancit are left tonight"

// Faults of a stream, drawn for each frame.
const (
	fine = iota
	cut
	duplicated
	misrouted
	skipped
	shifted
	endsEarly
	failsRun
	streamKinds
)

// Results of opening a stream.
const (
	opens = iota
	notSent
	refused
	noAnswer
	otherVersion
	openKinds
)

// engines is a fake of all engines.
type engines struct {
	opening, streams fake.Script
	// started counts the runs that started on any engine.
	started int
	// queued holds the engines whose run has not started, which cancel confirms.
	queued map[string]bool
	// versions maps each engine to the weight version of its run.
	versions map[string]string
}

func (e *engines) generate(_ context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error) {
	switch int(e.opening.Draw()) {
	case notSent:
		return nil, trace.Wrap(engine.ErrNotSent)
	case refused:
		return nil, &engine.Refusal{Status: http.StatusServiceUnavailable, Reason: "full"}
	case noAnswer:
		e.queued[at.String()] = e.started%2 == 0
		if !e.queued[at.String()] {
			e.started++
		}
		return nil, trace.ConnectionProblem(nil, "reset")
	case otherVersion:
		run.Version = "v0"
	}
	e.started++
	e.versions[at.String()] = run.Version
	return e.frames(run.Request, run.Attempt, run.Version, run.Scope, len(run.Generated)), nil
}

func (e *engines) resume(_ context.Context, at netip.AddrPort, request string, attempt, offset int) (*engine.Frames, error) {
	if int(e.opening.Draw()) == refused {
		return nil, trace.NotFound("gone")
	}
	return e.frames(request, attempt, e.versions[at.String()], scope.Scope.String(), offset), nil
}

func (e *engines) cancel(_ context.Context, at netip.AddrPort, _ string, _ int) (bool, error) {
	return !e.queued[at.String()], nil
}

var scope = route.Placement{}

// frames streams the answer from an offset, with the faults drawn.
func (e *engines) frames(request string, attempt int, version, scope string, offset int) *engine.Frames {
	const piece = 7
	var queue []stream.Frame
	base := stream.Frame{Request: request, Attempt: attempt}
	start := base
	start.Kind, start.Version, start.Scope = stream.KindStart, version, scope
	queue = append(queue, start)
	for at := offset; at < len(answer); at += piece {
		f := base
		f.Kind, f.Offset, f.Text = stream.KindPiece, at, answer[at:min(at+piece, len(answer))]
		queue = append(queue, f)
	}
	end := base
	end.Kind, end.Total, end.Finish = stream.KindEnd, len(answer), "stop"
	queue = append(queue, end)
	next := func() (stream.Frame, error) {
		if len(queue) == 0 {
			return stream.Frame{}, io.EOF
		}
		f := queue[0]
		queue = queue[1:]
		switch int(e.streams.Draw()) {
		case cut:
			queue = nil
			return stream.Frame{}, trace.ConnectionProblem(nil, "cut")
		case duplicated:
			queue = append([]stream.Frame{f}, queue...)
		case misrouted:
			queue = append([]stream.Frame{f}, queue...)
			return stream.Frame{Kind: stream.KindPiece, Request: "other", Attempt: 1, Text: "another caller's"}, nil
		case skipped:
			if len(queue) > 0 {
				f = queue[0]
				queue = queue[1:]
			}
		case shifted:
			f.Offset += 3
		case endsEarly:
			f = base
			f.Kind, f.Total = stream.KindEnd, len(answer)
			queue = nil
		case failsRun:
			f = base
			f.Kind, f.Error = stream.KindError, "out of memory"
			queue = nil
		}
		return f, nil
	}
	return &engine.Frames{Next: next, Close: func() error { return nil }}
}

// hooks are the functions that control tests replace.
type hooks struct {
	accept func(*stream.Checker, stream.Frame) (string, error)
	cancel func(*engines) func(context.Context, netip.AddrPort, string, int) (bool, error)
}

var production = hooks{
	accept: (*stream.Checker).Accept,
	cancel: func(e *engines) func(context.Context, netip.AddrPort, string, int) (bool, error) { return e.cancel },
}

// ignoreSignals is the OnSignals hook of tests without signals.
func ignoreSignals(route.Placement, notice.Signals) {}

func allowAll(route.Placement) error { return nil }

// outcome is what the caller got.
type outcome struct {
	text    string
	whole   bool
	refused *refusal.Refusal
	opened  int
	started int
}

func run(s hooks, once bool, opening, streams []int) outcome {
	e := &engines{opening: fake.Script{Kinds: opening}, streams: fake.Script{Kinds: streams}, queued: make(map[string]bool), versions: make(map[string]string)}
	var got outcome
	var text strings.Builder
	r := relay.Relay{
		Place: func(_ context.Context, request route.PlacementRequest) (route.Placement, error) {
			return route.Placement{
				Request: request.Request, Attempt: request.Attempt, Target: "t" + string(rune('0'+request.Attempt)), Version: "v1",
				Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(request.Attempt)), FirstToken: time.Minute,
			}, nil
		},
		Generate: e.generate, Resume: e.resume, Cancel: s.cancel(e), Accept: s.accept,
		OnEnded: func(route.AttemptResult) {}, OnSignals: ignoreSignals, Allow: allowAll, Retry: func(string) bool { return true },
		Now: func() time.Time { return time.Time{} }, MaxAttempts: 3, MaxResumes: 2, StallTimeout: time.Minute,
		RetryAfter: func() time.Duration { return time.Second },
	}
	_, err := r.Run(context.Background(), relay.Request{
		ID: "r", Once: once, OnFirstText: func(route.Placement) { got.opened++ },
		Write: func(piece string, offset int) error {
			text.WriteString(piece)
			if offset != text.Len() {
				return errors.New("wrong offset")
			}
			return nil
		},
	})
	errors.As(err, &got.refused)
	got.text, got.whole, got.started = text.String(), err == nil, e.started
	return got
}

// wholeOrTyped checks that a success carries the complete answer, that anything
// else is a typed refusal, and that all relayed text is a prefix of the answer.
func wholeOrTyped(s hooks) gopter.Prop {
	return prop.ForAll(func(once bool, opening, streams []int) bool {
		got := run(s, once, opening, streams)
		if got.whole && got.text != answer {
			return false
		}
		return strings.HasPrefix(answer, got.text) && got.whole == (got.refused == nil) && got.opened <= 1
	}, gen.Bool(), gen.SliceOfN(5, gen.IntRange(0, openKinds-1)), gen.SliceOfN(23, gen.IntRange(0, streamKinds-1)))
}

// didNotRunIsTrue checks that a request refused as did-not-run started on no
// engine, and that one marked Once starts at most once.
func didNotRunIsTrue(s hooks) gopter.Prop {
	return prop.ForAll(func(once bool, opening, streams []int) bool {
		got := run(s, once, opening, streams)
		if got.refused != nil && got.refused.Outcome == refusal.DidNotRun && got.started > 0 {
			return false
		}
		return !once || got.started <= 1
	}, gen.Bool(), gen.SliceOfN(4, gen.IntRange(0, openKinds-1)), gen.SliceOfN(23, gen.IntRange(0, streamKinds-1)))
}

func TestWholeAnswerOrTypedError(t *testing.T) { proptest.Holds(t, wholeOrTyped(production)) }

func TestWholeAnswerNeedsTheChecker(t *testing.T) {
	removed := production
	removed.accept = func(c *stream.Checker, f stream.Frame) (string, error) {
		// Accept every frame by making it look like the expected one.
		f.Request, f.Attempt, f.Version, f.Scope, f.Offset, f.Total = c.Request, c.Attempt, c.Version, c.Scope, c.Offset(), c.Offset()
		return c.Accept(f)
	}
	proptest.Violated(t, wholeOrTyped(removed))
}

func TestDidNotRunIsTrue(t *testing.T) { proptest.Holds(t, didNotRunIsTrue(production)) }

func TestDidNotRunNeedsTheCancelsAnswer(t *testing.T) {
	removed := production
	removed.cancel = func(*engines) func(context.Context, netip.AddrPort, string, int) (bool, error) {
		return func(context.Context, netip.AddrPort, string, int) (bool, error) { return false, nil }
	}
	proptest.Violated(t, didNotRunIsTrue(removed))
}

// TestAnotherVersionIsNeverRelayed lets every engine answer with other weights.
func TestAnotherVersionIsNeverRelayed(t *testing.T) {
	got := run(production, false, []int{otherVersion}, nil)
	if got.text != "" || got.opened != 0 || got.refused == nil {
		t.Errorf("got %+v, want nothing relayed", got)
	}
}

// TestSilentEngineIsAbandoned lets the first engine go silent before or within its
// answer. A second engine must finish the answer after the timeout.
func TestSilentEngineIsAbandoned(t *testing.T) {
	tests := []struct {
		name string
		// after is how many frames come before the silence.
		after int
		want  time.Duration
	}{
		{"before the first text", 1, 3 * time.Second},
		{"within the answer", 3, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSilentEngine(t, tt.after, tt.want) })
		})
	}
}

func checkSilentEngine(t *testing.T, after int, want time.Duration) {
	e := &engines{queued: make(map[string]bool), versions: make(map[string]string)}
	var text strings.Builder
	r := relay.Relay{
		Place: func(_ context.Context, request route.PlacementRequest) (route.Placement, error) {
			return route.Placement{Attempt: request.Attempt, Version: "v1", FirstToken: 3 * time.Second}, nil
		},
		Generate: func(ctx context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error) {
			frames, err := e.generate(ctx, at, run)
			if run.Attempt > 1 {
				return frames, err
			}
			sent := 0
			next := frames.Next
			frames.Next = func() (stream.Frame, error) {
				if sent++; sent > after {
					<-ctx.Done()
					return stream.Frame{}, trace.ConnectionProblem(ctx.Err(), "silent")
				}
				return next()
			}
			return frames, err
		},
		Resume: e.resume, Cancel: e.cancel, Accept: (*stream.Checker).Accept,
		OnEnded: func(route.AttemptResult) {}, OnSignals: ignoreSignals, Allow: allowAll, Retry: func(string) bool { return true }, Now: time.Now,
		MaxAttempts: 2, MaxResumes: 2, StallTimeout: 2 * time.Second, RetryAfter: func() time.Duration { return time.Second },
	}
	began := time.Now()
	_, err := r.Run(context.Background(), relay.Request{
		ID: "r", OnFirstText: func(route.Placement) {}, Write: func(piece string, _ int) error { text.WriteString(piece); return nil },
	})
	if err != nil || text.String() != answer {
		t.Errorf("got %q, %v", text.String(), err)
	}
	if waited := time.Since(began); waited != want {
		t.Errorf("the silent engine was abandoned after %v, want %v", waited, want)
	}
}

// TestSlowCallerIsNotASilentEngine lets a caller read slowly. Time spent in writes
// to the caller must not count against the engine's timeout.
func TestSlowCallerIsNotASilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{queued: make(map[string]bool), versions: make(map[string]string)}
		var text strings.Builder
		r := relay.Relay{
			Place: func(_ context.Context, request route.PlacementRequest) (route.Placement, error) {
				return route.Placement{Attempt: request.Attempt, Version: "v1", FirstToken: 3 * time.Second}, nil
			},
			Generate: func(ctx context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error) {
				frames, err := e.generate(ctx, at, run)
				next := frames.Next
				frames.Next = func() (stream.Frame, error) {
					if ctx.Err() != nil {
						return stream.Frame{}, trace.ConnectionProblem(ctx.Err(), "given up")
					}
					return next()
				}
				return frames, err
			},
			Resume: e.resume, Cancel: e.cancel, Accept: (*stream.Checker).Accept, OnEnded: func(route.AttemptResult) {},
			OnSignals: ignoreSignals, Allow: allowAll, Retry: func(string) bool { return true }, Now: time.Now, MaxAttempts: 3, MaxResumes: 2, StallTimeout: 2 * time.Second,
			RetryAfter: func() time.Duration { return time.Second },
		}
		_, err := r.Run(context.Background(), relay.Request{
			ID: "r", OnFirstText: func(route.Placement) {}, Write: func(piece string, _ int) error {
				time.Sleep(10 * time.Second)
				text.WriteString(piece)
				return nil
			},
		})
		if err != nil || text.String() != answer || e.started != 1 {
			t.Errorf("got %q, %v, %d runs, want the answer of one run", text.String(), err, e.started)
		}
	})
}

// TestSignals lets an engine signal in the headers of its stream that it is leaving. The
// signals must arrive before any text is written.
func TestSignals(t *testing.T) {
	tests := []struct {
		name    string
		signals notice.Signals
	}{
		{"nothing", notice.Signals{}},
		{"engine is leaving", notice.Signals{Leaving: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &engines{queued: make(map[string]bool), versions: make(map[string]string)}
			passed := 0
			var got []notice.Signals
			r := relay.Relay{
				Place: func(_ context.Context, request route.PlacementRequest) (route.Placement, error) {
					return route.Placement{Attempt: request.Attempt, Version: "v1", FirstToken: time.Minute}, nil
				},
				Generate: func(ctx context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error) {
					frames, err := e.generate(ctx, at, run)
					frames.Signals = tt.signals
					return frames, err
				},
				Resume: e.resume, Cancel: e.cancel, Accept: (*stream.Checker).Accept, OnEnded: func(route.AttemptResult) {},
				OnSignals: func(_ route.Placement, signals notice.Signals) {
					if passed > 0 {
						t.Error("signals arrived after the answer's first text")
					}
					got = append(got, signals)
				},
				Allow: allowAll, Retry: func(string) bool { return true }, Now: time.Now, MaxAttempts: 1, MaxResumes: 1, StallTimeout: time.Minute,
				RetryAfter: func() time.Duration { return time.Second },
			}
			_, err := r.Run(t.Context(), relay.Request{
				ID: "r", OnFirstText: func(route.Placement) {}, Write: func(string, int) error { passed++; return nil },
			})
			if err != nil || len(got) != 1 || got[0] != tt.signals {
				t.Errorf("signals %+v, want %+v, %v", got, tt.signals, err)
			}
		})
	}
}
