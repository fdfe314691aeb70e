// Package relay sends one model request to an engine and streams the answer
// back, with retries on other targets and resumes of broken streams. It reports
// whether the request can have run.
//
//	r := relay.Relay{Place: loop.place, Generate: engines.Generate, ...}
//	end, err := r.Run(ctx, relay.Request{ID: "r1", Prompt: prompt, Write: write})
//	// err is nil only for a complete answer; otherwise it is a *refusal.Refusal
package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// Request is one admitted model request.
type Request struct {
	ID      string
	Account string
	Model   string
	Pool    string
	Prompt  string
	// MaxTokens bounds the answer. It is at least 1.
	MaxTokens int
	// Once forbids a retry after an attempt that may have started.
	Once bool
	// Acquire, if set, is called once, right before the first send. Its error ends
	// the request and is returned unchanged. Abandon is called after it if
	// nothing can have been sent.
	Acquire func(ctx context.Context) error
	Abandon func(ctx context.Context)
	// OnFirstText is called once, before the first Write, with the attempt that starts
	// the answer. OnMoved, if set, is called when another target continues it.
	OnFirstText func(route.Placement)
	OnMoved     func(route.Placement)
	// Write gets the next text of the answer and the byte offset after it.
	Write func(text string, offset int) error
}

// Relay runs requests. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Relay struct {
	Place    func(ctx context.Context, request route.PlacementRequest) (route.Placement, error)
	Generate func(ctx context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error)
	Resume   func(ctx context.Context, at netip.AddrPort, request string, attempt, offset int) (*engine.Frames, error)
	Cancel   func(ctx context.Context, at netip.AddrPort, request string, attempt int) (started bool, err error)
	// Accept validates a frame; outside tests it is (*stream.Checker).Accept.
	Accept func(c *stream.Checker, f stream.Frame) (string, error)
	// OnEnded is called exactly once for each placed attempt.
	OnEnded func(route.AttemptResult)
	// OnSignals gets the signals in the headers of a target's answer, before any of its text
	// is written.
	OnSignals func(route.Placement, notice.Signals)
	// Allow is called right before a request leaves this box; its error stops the send.
	Allow func(route.Placement) error
	// Retry spends one attempt of the retry budget, or returns false if none is
	// left.
	Retry func(pool string) bool
	Now   func() time.Time
	// MaxAttempts bounds the attempts of one request, MaxResumes the resumes of one
	// attempt. Both are at least 1.
	MaxAttempts, MaxResumes int
	// StallTimeout bounds the wait for the next text once the answer has begun. An
	// attempt whose engine is silent for longer is abandoned. Before the first
	// text the bound is the placement's FirstToken.
	StallTimeout time.Duration
	// CancelTimeout bounds the wait for an engine to confirm a cancel.
	CancelTimeout time.Duration
	// RetryAfter returns the delay after which a refused caller should retry.
	RetryAfter func() time.Duration
}
