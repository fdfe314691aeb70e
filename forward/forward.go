// Package forward passes callers' requests on to plain services, with their
// method, query, headers, body and status as they are.
//
// A request marked not repeatable runs at most once for its client account and
// key: it is placed first, then claimed, and only then sent.
//
//	f := forward.Forwarder{Place: loop.place, Permits: &office, ...}
//	f.Serve(w, r, forward.Call{Account: "menu-app", Pool: "orders", Path: "/orders"})
package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/route"
)

// The headers by which callers mark a request.
const (
	// HeaderNotRepeatable marks a request that must run at most once.
	HeaderNotRepeatable = "Thymewind-Not-Repeatable"
	// HeaderKey is the key of the IETF Idempotency-Key draft.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed is set on an answer that was given before.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Thymewind-Target"
)

// Call is one request to a plain service, of a caller that is known.
type Call struct {
	Request string
	Account string
	Pool    string
	// Path is the escaped path behind the pool's prefix; it starts with a slash.
	Path string
	// BodyBytes bounds the request's body.
	BodyBytes int64
	// Timeout bounds a request marked not repeatable.
	Timeout time.Duration
	// OnceByTarget says that the pool's targets run one key at most once.
	OnceByTarget bool
}

// Forwarder passes requests on. Set the exported fields before first use; it
// is safe for concurrent use after that.
type Forwarder struct {
	Place func(ctx context.Context, ask route.Ask) (route.Placed, error)
	// Ended hears of every attempt that was placed, exactly once.
	Ended func(route.Ended)
	// Said hears what the head of an answer says of its target, before any of the answer
	// is passed on.
	Said func(route.Placed, notice.Signals)
	// Allow is asked right before a request leaves this box; its error keeps it here.
	Allow func(route.Placed) error
	// Permits gives marked requests the permission to run.
	Permits *idempotency.Guard
	// Send does one exchange on a connection of its own and says whether any
	// byte was written. It waits no longer than patience for the answer to
	// begin. See Sender.
	Send func(request *http.Request, at netip.AddrPort, patience time.Duration) (response *http.Response, wrote bool, err error)
	// Retry asks the retry budget for one more attempt.
	Retry func(pool string) bool
	// Attempts bounds the attempts of one request. It is at least 1.
	Attempts int
	// ComeBack says when a refused caller should return.
	ComeBack func() time.Duration
}

// Sender sends requests on fresh connections, so that the HTTP library never
// sends a request again by itself. Set Dial before first use.
type Sender struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
