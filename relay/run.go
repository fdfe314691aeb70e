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
	// text is the answer so far, which a further attempt continues.
	text strings.Builder
	// announced is the attempt last reported to the caller through OnFirstText or
	// OnMoved; 0 before the answer begins.
	announced int
	// mayRun is set before the first byte is sent to an engine and reset only
	// if nothing was sent or the engine confirms that the run did not start.
	mayRun bool
	// permitted is set once Request.Acquire has succeeded.
	permitted   bool
	exclude     []string
	avoidDomain string
	lastErr     error
	// callerLeft is set when a write to the caller has failed.
	callerLeft bool
}

// Run runs a request until its answer is complete or no further attempt is
// possible. The error is a *refusal.Refusal, returned as soon as it is certain;
// one of Request.Acquire is returned unchanged.
func (r *Relay) Run(ctx context.Context, request Request) (stream.Frame, error) {
	j := &job{Relay: r, request: request}
	j.checker.Request = request.ID
	for attempt := 1; attempt <= r.MaxAttempts; attempt++ {
		if attempt > 1 && !r.Retry(request.Pool) {
			break
		}
		placed, err := r.Place(ctx, j.placementRequest(attempt))
		if err != nil {
			return stream.Frame{}, j.giveUp(ctx, err)
		}
		if err := j.permit(ctx); err != nil {
			r.OnEnded(route.AttemptResult{Placement: placed})
			return stream.Frame{}, err
		}
		ended, err := j.attempt(ctx, placed)
		r.OnEnded(ended)
		if err == nil {
			return ended.End, nil
		}
		j.lastErr = err
		if ctx.Err() != nil || (request.Once && j.mayRun) {
			break
		}
		j.exclude = append(j.exclude, placed.Target)
		j.avoidDomain = placed.Domain
	}
	return stream.Frame{}, j.giveUp(ctx, j.lastErr)
}

func (j *job) placementRequest(attempt int) route.PlacementRequest {
	return route.PlacementRequest{
		Request: j.request.ID, Account: j.request.Account, Model: j.request.Model, Attempt: attempt,
		Prompt: j.request.Prompt, Tokens: j.request.MaxTokens,
		Exclude: j.exclude, AvoidDomain: j.avoidDomain, Version: j.pinnedVersion(),
	}
}

// pinnedVersion returns the weight version that the rest of an answer that has
// begun must come from, or "".
func (j *job) pinnedVersion() string {
	if j.checker.Offset() == 0 {
		return ""
	}
	return j.checker.Version
}

// permit calls Request.Acquire before the first send.
func (j *job) permit(ctx context.Context) error {
	if j.request.Acquire == nil || j.permitted {
		return nil
	}
	err := j.request.Acquire(ctx)
	j.permitted = err == nil
	return err
}

// giveUp returns the final refusal, with the outcome that is certain.
func (j *job) giveUp(ctx context.Context, err error) *refusal.Refusal {
	if j.permitted && !j.mayRun {
		j.request.Abandon(ctx)
	}
	outcome := refusal.DidNotRun
	if j.mayRun || j.announced > 0 {
		outcome = refusal.Unknown
	}
	var known *refusal.Refusal
	if errors.As(err, &known) {
		answer := *known
		answer.Outcome = outcome
		return &answer
	}
	return refusal.New(outcome, http.StatusBadGateway, "no_answer", "no target gave a whole answer: %v", err).WithRetryAfter(j.RetryAfter())
}

// attempt runs the request on one target.
func (j *job) attempt(ctx context.Context, placed route.Placement) (route.AttemptResult, error) {
	ended := route.AttemptResult{Placement: placed}
	j.checker.Version = placed.Version
	j.checker.Scope = placed.Scope.String()
	j.checker.NextAttempt(placed.Attempt)
	if err := j.Allow(placed); err != nil {
		ended.Refused = true
		return ended, trace.Wrap(err)
	}
	sent := j.Now()
	before := j.mayRun
	j.mayRun = true
	watch := j.startWatchdog(ctx, placed)
	defer watch.stop()
	frames, err := j.Generate(watch.ctx, placed.Address, j.run(placed))
	var refused *engine.Refusal
	switch {
	case errors.As(err, &refused):
		j.mayRun = before
		ended.Refused = true
		j.OnSignals(placed, refused.Signals)
		return ended, trace.Wrap(err)
	case errors.Is(err, engine.ErrNotSent):
		j.mayRun = before
		ended.Failed = true
		ended.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
		return ended, trace.Wrap(err)
	case err == nil:
		j.OnSignals(placed, frames.Signals)
		err = j.relayFrames(frames, watch, placed, sent, &ended)
	}
	for resumes := 0; err != nil && resumes < j.MaxResumes && resumable(err) && watch.ctx.Err() == nil; resumes++ {
		frames, resumeErr := j.Resume(watch.ctx, placed.Address, j.request.ID, placed.Attempt, j.checker.Offset())
		if resumeErr != nil {
			break
		}
		j.OnSignals(placed, frames.Signals)
		j.checker.NextAttempt(placed.Attempt)
		err = j.relayFrames(frames, watch, placed, sent, &ended)
	}
	if err != nil {
		ended.Failed = ctx.Err() == nil
		ended.CutOff = ended.Failed
		j.cancelAttempt(ctx, placed, before)
		return ended, trace.Wrap(err)
	}
	ended.End = j.checker.End()
	ended.Took = j.Now().Sub(sent)
	return ended, nil
}

func (j *job) run(placed route.Placement) engine.Run {
	return engine.Run{
		Request: j.request.ID, Attempt: placed.Attempt, Model: j.request.Model,
		Version: placed.Version, Scope: placed.Scope.String(),
		Prompt: j.request.Prompt, Generated: j.text.String(), MaxTokens: j.request.MaxTokens,
		Priority: placed.Priority, PieceBytes: placed.PieceBytes, Import: placed.Import,
	}
}

// cancelAttempt cancels an abandoned attempt. If the engine confirms that it
// never started, mayRun is set back to before, its value from earlier attempts.
func (j *job) cancelAttempt(ctx context.Context, placed route.Placement, before bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.CancelTimeout)
	defer cancel()
	started, err := j.Cancel(ctx, placed.Address, j.request.ID, placed.Attempt)
	if err == nil && !started {
		j.mayRun = before
	}
}

// resumable reports whether the stream broke or failed a check, so that the same
// attempt may be read again; a run that the engine failed is not resumable.
func resumable(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		trace.IsConnectionProblem(err) || trace.IsCompareFailed(err)
}

// relayFrames relays the frames of one stream until the answer is complete.
func (j *job) relayFrames(frames *engine.Frames, watch *watchdog, placed route.Placement, sent time.Time, ended *route.AttemptResult) error {
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
		watch.pause() // Time spent in a slow caller does not count as silence of the engine.
		j.write(text, placed)
		watch.reset()
	}
	j.announce(placed)
	return nil
}

// write sends text to the caller. A caller that has left doesn't end the run:
// it may resume the stream at another box, and the work is charged here.
func (j *job) write(text string, placed route.Placement) {
	j.announce(placed)
	j.text.WriteString(text)
	if j.callerLeft {
		return
	}
	j.callerLeft = j.request.Write(text, j.checker.Offset()) != nil
}

// announce reports to the caller which attempt the answer comes from. It is called
// only after the run's start frame was accepted.
func (j *job) announce(placed route.Placement) {
	switch {
	case j.announced == 0:
		j.request.OnFirstText(placed)
	case j.announced != placed.Attempt && j.request.OnMoved != nil:
		j.request.OnMoved(placed)
	}
	j.announced = placed.Attempt
}
