// Package relay carries one model request to an engine and the answer back,
// over as many attempts as it takes, and says truly what became of it.
//
//	r := relay.Relay{Place: loop.place, Generate: engines.Generate, ...}
//	end, err := r.Run(ctx, relay.Request{ID: "r1", Prompt: prompt, Write: write})
//	// err is nil only for a whole answer; else it is a *refusal.Refusal
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

// Request is one model request that was admitted.
type Request struct {
	ID      string
	Account string
	Model   string
	Pool    string
	Prompt  string
	// MaxTokens bounds the answer. It is at least 1.
	MaxTokens int
	// Once says that the request must not run again once it may have started.
	Once bool
	// Permit, if it is set, is asked once, right before the first send; its
	// error ends the request as it is. GiveBack is called behind it if nothing
	// can have been sent after all.
	Permit   func(ctx context.Context) error
	GiveBack func(ctx context.Context)
	// Open is called once, before the first Write, with the attempt that
	// begins the answer. Moved is called when another target goes on with it.
	Open  func(route.Placed)
	Moved func(route.Placed)
	// Write takes the answer's next text and the offset behind it.
	Write func(text string, offset int) error
}

// Relay runs requests. Set the exported fields before first use; it is safe
// for concurrent use after that.
type Relay struct {
	Place    func(ctx context.Context, ask route.Ask) (route.Placed, error)
	Generate func(ctx context.Context, at netip.AddrPort, run engine.Run) (*engine.Frames, error)
	Resume   func(ctx context.Context, at netip.AddrPort, request string, attempt, offset int) (*engine.Frames, error)
	Cancel   func(ctx context.Context, at netip.AddrPort, request string, attempt int) (started bool, err error)
	// Accept checks a frame; it is (*stream.Checker).Accept.
	Accept func(c *stream.Checker, f stream.Frame) (string, error)
	// Ended hears of every attempt that was placed, exactly once.
	Ended func(route.Ended)
	// Said hears what the head of an answer says of its target, before any of the answer
	// is passed on.
	Said func(route.Placed, notice.Signals)
	// Allow is asked right before a request leaves this box; its error keeps it here.
	Allow func(route.Placed) error
	// Retry asks the retry budget for one more attempt and says whether there
	// is any left.
	Retry func(pool string) bool
	Now   func() time.Time
	// Attempts bounds the attempts of one request, Resumes the resumes of one
	// attempt. Both are at least 1.
	Attempts, Resumes int
	// Stall bounds the wait between two frames once the answer has begun; an
	// engine that is silent for longer is given up. Before the first text the
	// bound is Placed.FirstToken.
	Stall time.Duration
	// CancelPatience bounds the wait for an engine to confirm a cancel.
	CancelPatience time.Duration
	// ComeBack says when a refused caller should return.
	ComeBack func() time.Duration
}
