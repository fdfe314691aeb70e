package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// job is one request while it runs.
type job struct {
	*Relay
	request Request
	checker stream.Checker
	// text is the answer so far, for an engine to go on behind.
	text strings.Builder
	// known is the attempt that the caller was last told of; 0 before the
	// answer's beginning.
	known int
	// mayRun is set from before the first byte goes to an engine until the
	// engine itself says that nothing started.
	mayRun bool
	// permitted says that the permission to send was obtained.
	permitted bool
	exclude   []string
	avoid     string
	lastFail  error
	// gone says that the caller takes no more text.
	gone bool
}

// Run carries a request until its answer is whole or given up. The error is a
// *refusal.Refusal, sent on as soon as it is known.
func (r *Relay) Run(ctx context.Context, request Request) (stream.Frame, error) {
	j := &job{Relay: r, request: request}
	j.checker.Request = request.ID
	for attempt := 1; attempt <= r.Attempts; attempt++ {
		if attempt > 1 && !r.Retry(request.Pool) {
			break
		}
		placed, err := r.Place(ctx, j.ask(attempt))
		if err != nil {
			return stream.Frame{}, j.giveUp(ctx, err)
		}
		if err := j.permit(ctx); err != nil {
			r.Ended(route.Ended{Placed: placed})
			return stream.Frame{}, err
		}
		ended, err := j.attempt(ctx, placed)
		r.Ended(ended)
		if err == nil {
			return ended.End, nil
		}
		j.lastFail = err
		if ctx.Err() != nil || (request.Once && j.mayRun) {
			break
		}
		j.exclude = append(j.exclude, placed.Target)
		j.avoid = placed.Domain
	}
	return stream.Frame{}, j.giveUp(ctx, j.lastFail)
}

func (j *job) ask(attempt int) route.Ask {
	return route.Ask{
		Request: j.request.ID, Account: j.request.Account, Model: j.request.Model, Attempt: attempt,
		Prompt: j.request.Prompt, Tokens: j.request.MaxTokens,
		Exclude: j.exclude, AvoidDomain: j.avoid, Version: j.pinned(),
	}
}

// pinned is the weight version that the rest of the answer must come from.
func (j *job) pinned() string {
	if j.checker.Offset() == 0 {
		return ""
	}
	return j.checker.Version
}

// permit asks for the permission to send, once.
func (j *job) permit(ctx context.Context) error {
	if j.request.Permit == nil || j.permitted {
		return nil
	}
	err := j.request.Permit(ctx)
	j.permitted = err == nil
	return err
}

// giveUp says what became of the request.
func (j *job) giveUp(ctx context.Context, err error) *refusal.Refusal {
	if j.permitted && !j.mayRun {
		j.request.GiveBack(ctx)
	}
	outcome := refusal.DidNotRun
	if j.mayRun || j.known > 0 {
		outcome = refusal.Unknown
	}
	var known *refusal.Refusal
	if errors.As(err, &known) {
		answer := *known
		answer.Outcome = outcome
		return &answer
	}
	return refusal.New(outcome, http.StatusBadGateway, "no_answer", "no target gave a whole answer: %v", err).After(j.ComeBack())
}

// attempt runs the request on one target.
func (j *job) attempt(ctx context.Context, placed route.Placed) (route.Ended, error) {
	ended := route.Ended{Placed: placed}
	j.checker.Version = placed.Version
	j.checker.Scope = placed.Scope.String()
	j.checker.Next(placed.Attempt)
	if err := j.Allow(placed); err != nil {
		ended.Refused = true
		return ended, trace.Wrap(err)
	}
	sent := j.Now()
	before := j.mayRun
	j.mayRun = true
	watch := j.watch(ctx, placed)
	defer watch.end()
	frames, err := j.Generate(watch.ctx, placed.Address, j.run(placed))
	var refused *engine.Refusal
	switch {
	case errors.As(err, &refused):
		j.mayRun = before
		ended.Refused = true
		j.Said(placed, refused.Said)
		return ended, trace.Wrap(err)
	case errors.Is(err, engine.ErrNotSent):
		j.mayRun = before
		ended.Failed = true
		ended.Dead = errors.Is(err, syscall.ECONNREFUSED)
		return ended, trace.Wrap(err)
	case err == nil:
		j.Said(placed, frames.Said)
		err = j.read(frames, watch, placed, sent, &ended)
	}
	for try := 0; err != nil && try < j.Resumes && resumable(err) && watch.ctx.Err() == nil; try++ {
		frames, resumeErr := j.Resume(watch.ctx, placed.Address, j.request.ID, placed.Attempt, j.checker.Offset())
		if resumeErr != nil {
			break
		}
		j.Said(placed, frames.Said)
		j.checker.Next(placed.Attempt)
		err = j.read(frames, watch, placed, sent, &ended)
	}
	if err != nil {
		ended.Failed = ctx.Err() == nil
		ended.Cut = ended.Failed
		j.stop(ctx, placed, before)
		return ended, trace.Wrap(err)
	}
	ended.End = j.checker.End()
	ended.Took = j.Now().Sub(sent)
	return ended, nil
}

func (j *job) run(placed route.Placed) engine.Run {
	return engine.Run{
		Request: j.request.ID, Attempt: placed.Attempt, Model: j.request.Model,
		Version: placed.Version, Scope: placed.Scope.String(),
		Prompt: j.request.Prompt, Generated: j.text.String(), MaxTokens: j.request.MaxTokens,
		Priority: placed.Priority, PieceBytes: placed.PieceBytes, Import: placed.Import,
	}
}

// stop cancels an attempt that was given up. If the engine confirms that it
// never started, and no earlier one may have, the request did not run.
func (j *job) stop(ctx context.Context, placed route.Placed, before bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.CancelPatience)
	defer cancel()
	started, err := j.Cancel(ctx, placed.Address, j.request.ID, placed.Attempt)
	if err == nil && !started {
		j.mayRun = before
	}
}

// resumable says whether the stream was cut rather than wrong.
func resumable(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		trace.IsConnectionProblem(err) || trace.IsCompareFailed(err)
}

// read relays the frames of one stream until the answer is whole.
func (j *job) read(frames *engine.Frames, watch *watch, placed route.Placed, sent time.Time, ended *route.Ended) error {
	defer func() { _ = frames.Close() }()
	for !j.checker.Complete() {
		frame, err := frames.Next()
		if err != nil {
			return trace.Wrap(err)
		}
		text, err := j.Accept(&j.checker, frame)
		if err != nil {
			return trace.Wrap(err)
		}
		if text != "" && ended.FirstToken == 0 {
			ended.FirstToken = j.Now().Sub(sent)
		}
		if text == "" {
			continue
		}
		watch.rest() // A slow caller is no silent engine.
		j.pass(text, placed)
		watch.heard()
	}
	j.open(placed)
	return nil
}

// pass sends text to the caller. A caller that has left doesn't end the run:
// it may take the stream up at another box, and the work is charged here.
func (j *job) pass(text string, placed route.Placed) {
	j.open(placed)
	j.text.WriteString(text)
	if j.gone {
		return
	}
	j.gone = j.request.Write(text, j.checker.Offset()) != nil
}

// open tells the caller where the answer comes from, once its run was checked.
func (j *job) open(placed route.Placed) {
	switch {
	case j.known == 0:
		j.request.Open(placed)
	case j.known != placed.Attempt && j.request.Moved != nil:
		j.request.Moved(placed)
	}
	j.known = placed.Attempt
}
