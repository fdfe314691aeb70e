package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"
	"github.com/zeebo/blake3"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/kept"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// maxStored bounds the body that a claim stores, in bytes.
const maxStored = 4 << 10

// exchange is one call while it runs.
type exchange struct {
	*Forwarder
	call Call
	in   *http.Request
	// ctx ends when the caller leaves; for a marked request only when its time
	// is up, so that its answer is still kept for the caller's return.
	ctx context.Context
	key string
	// path is the call's, unescaped.
	path string
	// once says that the request is marked not repeatable.
	once bool
	// repeatable says that running it twice does no harm.
	repeatable bool
	// body is the whole body of a marked request; others are streamed.
	body []byte
	// read says that some of a streamed body was taken.
	read bool
	// sent says that a target may have got some of the request.
	sent    bool
	held    claim.Claim
	claimed bool
}

// Serve passes a request on and writes the answer. The error is a
// *refusal.Refusal, returned only if nothing was written to w.
func (f *Forwarder) Serve(w http.ResponseWriter, in *http.Request, call Call) error {
	x := &exchange{Forwarder: f, call: call, in: in, ctx: in.Context(), key: in.Header.Get(HeaderKey)}
	path, err := url.PathUnescape(call.Path)
	if err != nil {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "bad_path", "the path is not well escaped")
	}
	if in.ContentLength > call.BodyBytes {
		return tooLarge(call.BodyBytes)
	}
	x.path = path
	x.repeatable = in.Method == http.MethodGet || in.Method == http.MethodHead || in.Method == http.MethodOptions
	marked := in.Header.Get(HeaderNotRepeatable) != ""
	x.once = marked || (x.key != "" && !x.repeatable)
	if x.once && x.key == "" {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "key_missing", "a request marked not repeatable needs an %s header", HeaderKey)
	}
	if x.once {
		x.repeatable = false
		if err := x.readBody(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(in.Context()), call.Timeout)
		defer cancel()
		x.ctx = ctx
		if replayed, err := x.earlier(w); replayed || err != nil {
			return err
		}
	}
	return x.run(w)
}

func (x *exchange) readBody() error {
	body, err := io.ReadAll(io.LimitReader(x.in.Body, x.call.BodyBytes+1))
	if err != nil {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "body_cut", "the request's body did not arrive whole")
	}
	if int64(len(body)) > x.call.BodyBytes {
		return tooLarge(x.call.BodyBytes)
	}
	x.body = body
	return nil
}

func tooLarge(bound int64) error {
	return refusal.New(refusal.DidNotRun, http.StatusRequestEntityTooLarge, "too_large", "the request's body has over %d bytes", bound)
}

// run tries targets until one answers or the outcome can't be known.
func (x *exchange) run(w http.ResponseWriter) error {
	ask := route.Ask{Request: x.call.Request, Account: x.call.Account, Pool: x.call.Pool}
	for {
		ask.Attempt++
		placed, err := x.Place(x.ctx, ask)
		if err != nil {
			return x.notRun(err)
		}
		if replayed, err := x.claim(w); err != nil || replayed {
			x.Ended(route.Ended{Placed: placed})
			return err
		}
		response, wrote, err := x.send(placed)
		if err == nil {
			x.answer(w, response, placed)
			return nil
		}
		x.sent = x.sent || wrote
		x.Ended(route.Ended{Placed: placed, Failed: x.ctx.Err() == nil})
		if wrote && !x.repeatable {
			return refusal.New(refusal.Unknown, http.StatusBadGateway, "no_answer", "the request was sent to %s but no answer came", placed.Target)
		}
		last := ask.Attempt >= x.Attempts || x.read || x.ctx.Err() != nil
		if last || !x.Retry(x.call.Pool) {
			return x.notRun(refusal.New(refusal.DidNotRun, http.StatusBadGateway, "unreachable", "no target gave an answer: %v", err).After(x.ComeBack()))
		}
		ask.Exclude = append(ask.Exclude, placed.Target)
		ask.AvoidDomain = placed.Domain
	}
}

// notRun gives the request up. Only if no target can have got any of it does
// it take the claim back and say that the request did not run.
func (x *exchange) notRun(err error) error {
	known := refusal.Of(err, refusal.DidNotRun, http.StatusServiceUnavailable)
	if x.sent {
		answer := *known
		answer.Outcome = refusal.Unknown
		return &answer
	}
	if x.claimed {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.Patience)
		defer cancel()
		// A failed release is looked after by the book; the key stays taken
		// until then, and the caller is told the truth either way.
		_ = x.Release(ctx, x.held)
	}
	return known
}

// claim obtains the permission for a marked request. It reports true if the
// caller was given the answer of an earlier run instead.
func (x *exchange) claim(w http.ResponseWriter) (replayed bool, err error) {
	if !x.once || x.claimed {
		return false, nil
	}
	held, err := x.Take(x.ctx, claim.Claim{
		Account: x.call.Account, Key: x.key, Digest: x.digest(), Request: x.call.Request,
	})
	var taken *claim.Taken
	switch {
	case err == nil:
		x.held, x.claimed = held, true
		x.Record(decision.Record{Kind: decision.Claimed, Request: x.call.Request, Account: x.call.Account, Pool: x.call.Pool, Rule: "inserted if absent", Result: held.Nonce})
		return false, nil
	case errors.As(err, &taken):
		return x.standing(w, taken.By)
	case x.call.OnceByTarget:
		return false, nil
	}
	return false, x.noPermission()
}

// earlier answers a caller whose key is in use already, before anything can
// refuse the request with less knowledge.
func (x *exchange) earlier(w http.ResponseWriter) (replayed bool, err error) {
	found, err := x.Lookup(x.ctx, x.call.Account, x.key)
	switch {
	case err == nil:
		return x.standing(w, found)
	case trace.IsNotFound(err), x.call.OnceByTarget:
		return false, nil
	}
	return false, x.noPermission()
}

func (x *exchange) noPermission() error {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_permission",
		"the platform's table service gives no permission to run it; whether an earlier try with this key ran is not known").After(x.ComeBack())
}

// standing answers a caller whose key is in use already.
func (x *exchange) standing(w http.ResponseWriter, by claim.Claim) (replayed bool, err error) {
	switch {
	case by.Digest != x.digest():
		return false, refusal.New(refusal.DidNotRun, http.StatusUnprocessableEntity, "key_reused", "the key was used with another request")
	case by.State == claim.Done && by.Answer != nil && !by.Answer.Cut:
		w.Header().Set("Content-Type", by.Answer.ContentType)
		w.Header().Set(HeaderReplayed, "true")
		w.WriteHeader(by.Answer.Status)
		_, _ = w.Write(by.Answer.Body)
		return true, nil
	case by.State == claim.Done && by.Answer != nil:
		return false, refusal.New(refusal.Unknown, http.StatusConflict, "answered_before",
			"request %s ran and was answered with status %d; its answer was too large to keep", by.Request, by.Answer.Status)
	}
	return false, refusal.New(refusal.Unknown, http.StatusConflict, "still_running",
		"request %s has this key; it may be running or may have run", by.Request).After(x.ComeBack())
}

func (x *exchange) digest() string {
	h := blake3.New()
	for _, part := range []string{x.call.Pool, x.in.Method, x.call.Path, x.in.URL.RawQuery} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return kept.Digest(h.Sum(nil))
}

// send does one exchange with the target placed.
func (x *exchange) send(placed route.Placed) (*http.Response, bool, error) {
	out := x.in.Clone(x.ctx)
	out.URL.Scheme = "http"
	out.URL.Host = placed.Address.String()
	out.URL.RawPath = x.call.Path
	out.URL.Path = x.path
	out.Host = ""
	out.RequestURI = ""
	dropHopHeaders(out.Header)
	// The caller's key to this system is no business of the target.
	out.Header.Del("Authorization")
	out.Header.Set("X-Request-Id", x.call.Request)
	switch {
	case x.once:
		out.Body = io.NopCloser(bytes.NewReader(x.body))
		out.ContentLength = int64(len(x.body))
	case x.in.ContentLength != 0:
		out.Body = io.NopCloser(&watched{from: http.MaxBytesReader(nil, x.in.Body, x.call.BodyBytes), read: &x.read})
	default:
		out.Body = nil
	}
	patience := x.call.Timeout
	if placed.FirstToken > 0 {
		patience = min(patience, placed.FirstToken)
	}
	return x.Send(out, placed.Address, patience)
}

// watched notes that a body was read from, so that it can't be sent again.
type watched struct {
	from io.Reader
	read *bool
}

// Read implements io.Reader.
func (b *watched) Read(p []byte) (int, error) {
	*b.read = true
	return b.from.Read(p)
}
