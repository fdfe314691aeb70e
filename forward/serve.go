package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/hop"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// exchange is one call while it runs.
type exchange struct {
	*Forwarder
	call Call
	in   *http.Request
	// ctx ends when the caller leaves. That of a not-repeatable request ends only
	// after Call.Timeout, so that its answer is stored for the caller's retry.
	ctx context.Context
	key string
	// path is Call.Path, unescaped.
	path string
	// atMostOnce says that the request needs a claim: it is marked not repeatable, or
	// has a key and a method that is not repeatable.
	atMostOnce bool
	// repeatable says that the request may be sent to a second target after the first
	// may have run it.
	repeatable bool
	// body is the complete body: a target is not held by a caller that sends slowly.
	body []byte
	// maybeSent says that a target may have received a part of the request.
	maybeSent bool
	// permit is set for atMostOnce requests.
	permit *idempotency.Permit
}

// Serve proxies a request and writes the answer. The error is a *refusal.Refusal,
// returned only if nothing was written to w.
func (f *Forwarder) Serve(w http.ResponseWriter, in *http.Request, call Call) error {
	x := &exchange{Forwarder: f, call: call, in: in, ctx: in.Context(), key: in.Header.Get(HeaderKey)}
	path, err := url.PathUnescape(call.Path)
	if err != nil {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "bad_path", "the path is not well escaped")
	}
	x.path = path
	x.repeatable = in.Method == http.MethodGet || in.Method == http.MethodHead || in.Method == http.MethodOptions
	marked := in.Header.Get(HeaderNotRepeatable) != ""
	x.atMostOnce = marked || (x.key != "" && !x.repeatable)
	if x.atMostOnce && x.key == "" {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "key_missing", "a request marked not repeatable needs an %s header", HeaderKey)
	}
	held, err := x.readBody(w)
	defer held.Close()
	if err != nil {
		return err
	}
	if x.atMostOnce {
		x.repeatable = false
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

// readBody reads the whole body. The account holds its memory.
func (x *exchange) readBody(w http.ResponseWriter) (*heldbytes.Account, error) {
	body, held, err := x.Gate.ReadBody(w, x.in, x.call.BodyBytes, 1, x.call.Timeout)
	if err != nil {
		return held, intake.Refusal(err, x.call.BodyBytes, x.RetryAfter())
	}
	x.body = body
	return held, nil
}

// run tries targets until one answers, no attempt is left, or the outcome is
// unknown.
func (x *exchange) run(w http.ResponseWriter) error {
	request := route.PlacementRequest{Request: x.call.Request, Account: x.call.Account, Pool: x.call.Pool}
	for {
		request.Attempt++
		placed, err := x.Place(x.ctx, request)
		if err != nil {
			return x.giveUp(err)
		}
		if x.atMostOnce {
			earlier, err := x.permit.Acquire(x.ctx)
			if err != nil || earlier != nil {
				x.OnEnded(route.AttemptResult{Placement: placed})
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
		x.maybeSent = x.maybeSent || wrote
		limited := errors.Is(err, notice.ErrLimited)
		x.OnEnded(route.AttemptResult{Placement: placed, Failed: x.ctx.Err() == nil && !limited, Refused: limited})
		if wrote && !x.repeatable {
			return refusal.New(refusal.Unknown, http.StatusBadGateway, "no_answer", "the request was sent to %s but no answer came", placed.Target)
		}
		last := request.Attempt >= x.MaxAttempts || x.ctx.Err() != nil
		if last || !x.Retry(x.call.Pool) {
			return x.giveUp(refusal.New(refusal.DidNotRun, http.StatusBadGateway, "unreachable", "no target gave an answer: %v", err).WithRetryAfter(x.RetryAfter()))
		}
		request.Exclude = append(request.Exclude, placed.Target)
		request.AvoidDomain = placed.Domain
	}
}

// giveUp returns the final refusal. It releases the claim, and reports that the
// request did not run, only if no target can have received any of it.
func (x *exchange) giveUp(err error) error {
	known := refusal.Of(err, refusal.DidNotRun, http.StatusServiceUnavailable)
	if x.maybeSent {
		answer := *known
		answer.Outcome = refusal.Unknown
		return &answer
	}
	if x.atMostOnce {
		x.permit.Abandon(x.ctx)
	}
	return known
}

// replay writes the stored answer of an earlier run.
func replay(w http.ResponseWriter, answer *claim.Answer) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// send makes one attempt on the chosen target.
func (x *exchange) send(placed route.Placement) (*http.Response, bool, error) {
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
	// The target must not see the caller's API key for this system.
	out.Header.Del("Authorization")
	out.Header.Set("X-Request-Id", x.call.Request)
	out.Body, out.ContentLength, out.TransferEncoding = nil, int64(len(x.body)), nil
	if len(x.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	timeout := x.call.Timeout
	if placed.FirstToken > 0 {
		timeout = min(timeout, placed.FirstToken)
	}
	return x.Send(out, placed.Address, timeout)
}
