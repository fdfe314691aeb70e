// Package idempotency ensures that a request marked not repeatable runs at most once per
// idempotency key: it returns the answer of an earlier run with the key, or the
// permission to run now.
//
//	p := guard.NewPermit(idempotency.Request{Account: "menu-app", Key: key, Digest: digest, ID: "r1"})
//	answer, err := p.Previous(ctx) // before anything else can refuse the request
//	answer, err = p.Acquire(ctx)   // when it is about to be sent
//	p.Abandon(ctx)                 // only if nothing can have been sent
//	p.Complete(ctx, answer)        // so that a caller that lost the answer can request it again
package idempotency

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/zeebo/blake3"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/refusal"
)

// MaxStored bounds the answer that is stored for a caller that sends its request again, in bytes.
const MaxStored = 4 << 10

// Guard issues permits. Set the exported fields before first use; it is safe for
// concurrent use after that.
type Guard struct {
	// Lookup, Take, Release and Finish access the claims in the table service.
	Lookup  func(ctx context.Context, account, key string) (claim.Claim, error)
	Take    func(ctx context.Context, c claim.Claim) (claim.Claim, error)
	Release func(ctx context.Context, c claim.Claim) error
	Finish  func(ctx context.Context, c claim.Claim, answer claim.Answer) error
	Record  func(decision.Record)
	// Timeout bounds the writes after an answer or a refusal.
	Timeout time.Duration
	// RetryAfter returns when a refused caller should retry.
	RetryAfter func() time.Duration
}

// Request is what a permit is for.
type Request struct {
	ID      string
	Account string
	Pool    string
	Key     string
	// Digest covers all that makes two requests the same; see the function Digest.
	Digest string
	// OnceByTarget is set if the targets run one key at most once, so that the request goes
	// on without a permit while the table service is down.
	OnceByTarget bool
}

// Permit is the permission for one request. It is not safe for concurrent use.
type Permit struct {
	*Guard
	request  Request
	held     claim.Claim
	acquired bool
}

// Digest returns the digest of a request's parts.
func Digest(body []byte, parts ...string) string {
	h := blake3.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return kvcache.Digest(h.Sum(nil))
}

// NewPermit returns a permit that is not acquired yet.
func (g *Guard) NewPermit(r Request) *Permit { return &Permit{Guard: g, request: r} }

// Previous returns the answer of an earlier run with the key, nil if there was no earlier
// attempt, or a refusal if that has not completed or is unknown.
func (p *Permit) Previous(ctx context.Context) (*claim.Answer, error) {
	found, err := p.Lookup(ctx, p.request.Account, p.request.Key)
	switch {
	case err == nil:
		return p.existing(found)
	case trace.IsNotFound(err), p.request.OnceByTarget:
		return nil, nil
	}
	return nil, p.unavailable()
}

// Acquire takes the permission to send the request, once. It returns an answer instead if
// an earlier run has completed meanwhile.
func (p *Permit) Acquire(ctx context.Context) (*claim.Answer, error) {
	if p.acquired {
		return nil, nil
	}
	held, err := p.Take(ctx, claim.Claim{
		Account: p.request.Account, Key: p.request.Key, Digest: p.request.Digest, Request: p.request.ID,
	})
	var taken *claim.TakenError
	switch {
	case err == nil:
		p.held, p.acquired = held, true
		p.record("inserted if absent", held.Nonce)
		return nil, nil
	case errors.As(err, &taken):
		return p.existing(taken.By)
	case p.request.OnceByTarget:
		return nil, nil
	}
	return nil, p.unavailable()
}

// Abandon releases the permission. Call it only if nothing can have been sent. If that
// fails, the key stays claimed until the claims' own cleanup releases it.
func (p *Permit) Abandon(ctx context.Context) {
	if !p.acquired {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.Timeout)
	defer cancel()
	if err := p.Release(ctx, p.held); err != nil {
		p.record("not released yet", trace.Unwrap(err).Error())
	}
}

// Complete stores a whole answer for a caller that sends its request again.
func (p *Permit) Complete(ctx context.Context, answer claim.Answer) {
	if !p.acquired {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.Timeout)
	defer cancel()
	if err := p.Finish(ctx, p.held, answer); err != nil {
		p.record("answer not stored", trace.Unwrap(err).Error())
	}
}

// existing returns the answer or the refusal for a key that is already claimed.
func (p *Permit) existing(by claim.Claim) (*claim.Answer, error) {
	switch {
	case by.Digest != p.request.Digest:
		return nil, refusal.New(refusal.DidNotRun, http.StatusUnprocessableEntity, "key_reused", "the key was used with another request")
	case by.State == claim.Done && by.Answer != nil && !by.Answer.Truncated:
		return by.Answer, nil
	case by.State == claim.Done && by.Answer != nil:
		return nil, refusal.New(refusal.Unknown, http.StatusConflict, "answered_before",
			"request %s ran and was answered with status %d; its answer was too large to keep", by.Request, by.Answer.Status)
	}
	return nil, refusal.New(refusal.Unknown, http.StatusConflict, "still_running",
		"request %s has this key; it may be running or may have run", by.Request).WithRetryAfter(p.RetryAfter())
}

func (p *Permit) unavailable() error {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_permission",
		"the platform's table service gives no permission to run it; whether an earlier try with this key ran is not known").WithRetryAfter(p.RetryAfter())
}

func (p *Permit) record(rule, result string) {
	p.Record(decision.Record{
		Kind: decision.Claimed, Request: p.request.ID, Account: p.request.Account, Pool: p.request.Pool, Rule: rule, Result: result,
	})
}
