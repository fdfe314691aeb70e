package thymewind

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// requestPlacement asks the loop to place an attempt.
func (d *Daemon) requestPlacement(ctx context.Context, request route.PlacementRequest) (route.Placement, error) {
	request.Home = d.homeOf(request)
	reply := make(chan placementAnswer, 1)
	if err := d.send(ctx, placementRequest{request, reply}); err != nil {
		return route.Placement{}, d.tooLate()
	}
	select {
	case answer := <-reply:
		if answer.err == nil && request.Model != "" {
			d.findCached(ctx, &answer.placed, request.Prompt)
		}
		return answer.placed, answer.err
	case <-ctx.Done():
		// The loop may still place the attempt and count it; report its end.
		go func() {
			if answer := <-reply; answer.err == nil {
				d.reportEnded(route.AttemptResult{Placement: answer.placed})
			}
		}()
		return route.Placement{}, d.tooLate()
	}
}

// homeOf returns the key that ranks the targets by rendezvous hash: account and first
// piece of the prompt. It does not depend on the weight version, so that a rollout
// does not move prompts to other homes. Requests to plain services have no home; they
// get a key of their own.
func (d *Daemon) homeOf(request route.PlacementRequest) prefix.Key {
	if request.Model == "" {
		return prefix.Scope(request.Request, request.Pool)
	}
	c := d.currentOrEmpty()
	p := c.Pools[c.Models[request.Model].Pool]
	return prefix.Home(prefix.Scope(request.Account, ""), []byte(request.Prompt), max(p.PieceBytes, 1))
}

// tooLate returns the refusal of a request whose time was up before it was placed.
func (d *Daemon) tooLate() error {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "too_late",
		"the request's time was up before it was placed").WithRetryAfter(d.jitter(time.Second))
}

// reportEnded charges a completed attempt and reports the end of any attempt to the loop.
func (d *Daemon) reportEnded(e route.AttemptResult) {
	if e.End.Request != "" {
		d.ledger.Add(e.Placement.Account, e.End.Usage)
	}
	_ = d.send(context.Background(), attemptEnded{e})
}

// reportSignals records a target's signals and passes them to the loop if they change anything.
func (d *Daemon) reportSignals(placed route.Placement, signals notice.Signals) {
	limited := d.notices.ObserveLimit(d.now(), placed.PlacedAt, notice.IncarnationAt(placed.Target, placed.Address), signals)
	if limited || signals.Leaving || signals.Backoff > 0 {
		_ = d.send(context.Background(), signalsReceived{placed, signals})
	}
}

// spendRetry takes one attempt from the pool's retry budget.
func (d *Daemon) spendRetry(pool string) bool {
	if !d.budget.Spend(pool) {
		d.metrics.retrySpent.Inc()
		return false
	}
	d.metrics.retries.WithLabelValues(pool).Inc()
	return true
}

// recordRefused records why a request was refused or given up.
func (d *Daemon) recordRefused(request, account string, r *refusal.Refusal) {
	d.metrics.refused.WithLabelValues(r.Code, r.Outcome).Inc()
	d.records.Add(decision.Record{
		At: d.now(), Kind: decision.Refused, Request: request, Account: account, Rule: r.Code,
		Inputs: "come back after " + r.RetryAfter.String(), Result: r.Outcome + ": " + r.Reason,
	})
}

// resumeStream relays a run again from an offset. It does not charge the run: the box
// that placed it does, if it is alive. A charge may be lost but must not be doubled.
func (d *Daemon) resumeStream(ctx context.Context, token resume.Token, offset int, write func(string, int) error) (stream.Frame, error) {
	d.records.Add(decision.Record{
		At: d.now(), Kind: decision.Resumed, Request: token.Request, Account: token.Account,
		Rule: "resume token", Result: token.Target.String(),
	})
	frames, err := d.resumeRun(ctx, token.Target, token.Request, token.Attempt, offset)
	if err != nil {
		return stream.Frame{}, notResumable(err)
	}
	defer func() { _ = frames.Close() }()
	checker := stream.Checker{Request: token.Request, Attempt: token.Attempt, Version: token.Version, Scope: token.Scope}
	checker.ResumeAt(offset)
	for !checker.Complete() {
		frame, err := frames.Next()
		if errors.Is(err, io.EOF) {
			err = trace.ConnectionProblem(err, "the stream was cut")
		}
		var text string
		if err == nil {
			text, err = checker.Accept(frame)
		}
		if err == nil && text != "" {
			err = write(text, checker.Offset())
		}
		if errors.Is(err, stream.ErrRunFailed) {
			return stream.Frame{}, notResumable(err)
		}
		if err != nil {
			return stream.Frame{}, refusal.New(refusal.Unknown, http.StatusBadGateway, "cut", "%v", trace.Unwrap(err))
		}
	}
	return checker.End(), nil
}

// notResumable returns the refusal that tells a caller that its run is gone and has to
// be requested again.
func notResumable(err error) error {
	return refusal.New(refusal.Unknown, http.StatusGone, "not_resumable", "the target has the run no more: %v", trace.Unwrap(err))
}
