// Package forward proxies callers' requests to plain services and keeps method,
// query, headers, body and status unchanged.
//
// A request marked not repeatable runs at most once for each client account and
// key: it is placed first, then claimed, and only then sent.
//
//	f := forward.Forwarder{Place: loop.place, Permits: &guard, ...}
//	f.Serve(w, r, forward.Call{Account: "menu-app", Pool: "orders", Path: "/orders"})
package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/route"
)

// The headers of marked requests and of answers.
const (
	// HeaderNotRepeatable marks a request that must run at most once.
	HeaderNotRepeatable = "Thymewind-Not-Repeatable"
	// HeaderKey is the key of the IETF Idempotency-Key draft.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed is set on a stored answer of an earlier request.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Thymewind-Target"
)

// Call is one authenticated request to a plain service.
type Call struct {
	Request string
	Account string
	Pool    string
	// Path is the escaped path after the pool's prefix. It starts with a slash.
	Path string
	// BodyBytes bounds the request's body.
	BodyBytes int64
	// Timeout bounds a not-repeatable request as a whole, and for every request
	// the wait for a target's answer to begin.
	Timeout time.Duration
	// OnceByTarget says that the pool's targets themselves run a key at most once.
	OnceByTarget bool
}

// Forwarder proxies requests. Set the exported fields before first use; it is
// safe for concurrent use after that.
type Forwarder struct {
	Place func(ctx context.Context, request route.PlacementRequest) (route.Placement, error)
	// OnEnded is called exactly once for each placed attempt.
	OnEnded func(route.AttemptResult)
	// OnSignals gets the signals in the headers of a target's answer, before any of the answer
	// is copied.
	OnSignals func(route.Placement, notice.Signals)
	// Allow is called right before a request leaves this box; its error stops the send.
	Allow func(route.Placement) error
	// Gate bounds the memory of bodies; nil bounds nothing but each body.
	Gate *intake.Gate
	// Permits acquires the claims of not-repeatable requests.
	Permits *idempotency.Guard
	// Send makes one attempt on a new connection and reports whether any byte was
	// written. It waits up to timeout for the answer's headers. See Sender.
	Send func(request *http.Request, at netip.AddrPort, timeout time.Duration) (response *http.Response, wrote bool, err error)
	// Retry spends one attempt of the retry budget, or returns false if none is left.
	Retry func(pool string) bool
	// MaxAttempts bounds the attempts of one request. It is at least 1.
	MaxAttempts int
	// RetryAfter returns the delay after which a refused caller should retry.
	RetryAfter func() time.Duration
}

// Sender sends each request on a new connection, as the HTTP transport may resend a
// request when a reused connection fails. Set Dial before first use.
type Sender struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
