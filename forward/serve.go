package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/hop"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

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
	sent bool
	// permit is that of a marked request.
	permit *idempotency.Permit
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
		x.permit = f.Permits.NewPermit(idempotency.Request{
			ID: call.Request, Account: call.Account, Pool: call.Pool, Key: x.key, OnceByTarget: call.OnceByTarget,
			Digest: idempotency.Digest(x.body, call.Pool, in.Method, call.Path, in.URL.RawQuery),
		})
		earlier, err := x.permit.Previous(ctx)
		if err != nil {
			return err
		}
		if earlier != nil {
			replay(w, earlier)
			return nil
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
		if x.once {
			earlier, err := x.permit.Acquire(x.ctx)
			if err != nil || earlier != nil {
				x.Ended(route.Ended{Placed: placed})
			}
			if err != nil {
				return err
			}
			if earlier != nil {
				replay(w, earlier)
				return nil
			}
		}
		response, wrote, err := x.send(placed)
		if err == nil {
			x.answer(w, response, placed)
			return nil
		}
		x.sent = x.sent || wrote
		kept := errors.Is(err, notice.ErrLimited)
		x.Ended(route.Ended{Placed: placed, Failed: x.ctx.Err() == nil && !kept, Refused: kept})
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
	if x.once {
		x.permit.Abandon(x.ctx)
	}
	return known
}

// replay gives a caller the answer of an earlier run.
func replay(w http.ResponseWriter, answer *claim.Answer) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// send does one exchange with the target placed.
func (x *exchange) send(placed route.Placed) (*http.Response, bool, error) {
	if err := x.Allow(placed); err != nil {
		return nil, false, err
	}
	out := x.in.Clone(x.ctx)
	out.URL.Scheme = "http"
	out.URL.Host = placed.Address.String()
	out.URL.RawPath = x.call.Path
	out.URL.Path = x.path
	out.Host = ""
	out.RequestURI = ""
	hop.Strip(out.Header)
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
