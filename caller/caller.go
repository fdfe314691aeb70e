// Package caller is the HTTP front for callers: the OpenAI-compatible API for models, a path
// prefix per pool for plain services, and resuming interrupted streams.
//
//	f := caller.Front{Configuration: current, Run: relay.Run, ...}
//	http.Serve(listener, f.Handler())
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/stream"
)

// The headers that this system adds to the API.
const (
	// HeaderRequest carries the request ID.
	HeaderRequest = "X-Request-Id"
	// HeaderResume carries the resume token, in both directions.
	HeaderResume = "Thymewind-Resume"
	// HeaderOffset is the offset after the last text that the caller has, if it does not send
	// Last-Event-ID.
	HeaderOffset = "Thymewind-Offset"
	// HeaderOutcome says what became of a refused request.
	HeaderOutcome = "Thymewind-Outcome"
	// HeaderRule says why the target was chosen.
	HeaderRule = "Thymewind-Rule"
	// HeaderTimeout bounds the request, as a duration such as 5s.
	HeaderTimeout = "Thymewind-Timeout"
)

// servicePrefix precedes a pool's name in the path.
const servicePrefix = "/services/"

// Front serves callers. Set the exported fields before Handler; it is safe for concurrent use
// after that.
type Front struct {
	// Configuration returns the revision in force; nil before the first.
	Configuration func() *configuration.Configuration
	// Permits ensures that requests marked not repeatable run at most once.
	Permits *idempotency.Guard
	Run     func(ctx context.Context, request relay.Request) (stream.Frame, error)
	Forward func(w http.ResponseWriter, r *http.Request, call forward.Call) error
	// Resume continues the answer of a run from an offset.
	Resume      func(ctx context.Context, token resume.Token, offset int, write func(text string, offset int) error) (stream.Frame, error)
	SignToken   func(resume.Token) (string, error)
	VerifyToken func(text, account string, now time.Time) (resume.Token, error)
	// OnRefused is called for every refusal, for counters and records.
	OnRefused func(request, account string, r *refusal.Refusal)
	// RequestID returns a new request ID.
	RequestID func() string
	Now       func() time.Time
	// Gate bounds what callers have this process hold; nil bounds nothing but each body.
	Gate *intake.Gate
	// RetryAfter returns the delay after which a caller that was refused for its body may retry.
	RetryAfter func() time.Duration
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// Timeout bounds every request; callers may set a shorter one.
	Timeout time.Duration
	// ResumeRetention is how long engines keep a run for resuming.
	ResumeRetention time.Duration
}

// call is one request.
type call struct {
	*Front
	w             http.ResponseWriter
	r             *http.Request
	id            string
	account       account.Account
	configuration *configuration.Configuration
	// held is the memory of the body; nil if none was read.
	held *heldbytes.Account
}

// Handler returns the routes.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/chat/completions", f.authenticated(http.MethodPost, (*call).chat))
	mux.HandleFunc("/v1/completions", f.authenticated(http.MethodPost, (*call).completion))
	mux.HandleFunc("/v1/models", f.authenticated(http.MethodGet, (*call).models))
	mux.HandleFunc("/v1/models/{name...}", f.authenticated(http.MethodGet, (*call).model))
	mux.HandleFunc("/v1/resume", f.authenticated(http.MethodPost, (*call).resume))
	mux.HandleFunc(servicePrefix+"{pool}/{path...}", f.authenticated("", (*call).service))
	mux.HandleFunc("/", f.authenticated("", func(*call) error {
		return refusal.New(refusal.DidNotRun, http.StatusNotFound, "unknown_path", "there is nothing at this path")
	}))
	return mux
}

// authenticated wraps a handler for callers with a valid API key.
func (f *Front) authenticated(method string, serve func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{Front: f, w: w, r: r, id: f.RequestID(), configuration: f.Configuration()}
		w.Header().Set(HeaderRequest, c.id)
		defer func() { c.held.Close() }()
		if err := c.serve(method, serve); err != nil {
			c.refuse(refusal.Of(err, refusal.Unknown, http.StatusInternalServerError))
		}
	}
}

func (c *call) serve(method string, serve func(*call) error) error {
	if c.configuration == nil || c.configuration.Revision == 0 {
		return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "not_ready", "this box has no configuration yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if c.account, ok = c.configuration.Account(key); !ok {
		return refusal.New(refusal.DidNotRun, http.StatusUnauthorized, "invalid_api_key", "the API key is missing or unknown")
	}
	if method != "" && c.r.Method != method {
		c.w.Header().Set("Allow", method)
		return refusal.New(refusal.DidNotRun, http.StatusMethodNotAllowed, "wrong_method", "use %s here", method)
	}
	return serve(c)
}

// timeout returns the request's timeout.
func (c *call) timeout() (time.Duration, error) {
	text := c.r.Header.Get(HeaderTimeout)
	if text == "" {
		return c.Timeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, refusal.New(refusal.DidNotRun, http.StatusBadRequest, "bad_timeout", "%s must be a duration such as 5s", HeaderTimeout)
	}
	return min(d, c.Timeout), nil
}

func (c *call) poolAllowed(pool string) bool {
	if len(c.account.Pools) == 0 {
		return true
	}
	for _, name := range c.account.Pools {
		if name == pool {
			return true
		}
	}
	return false
}
