// Package refusal holds the error answer to a request without a complete answer: its
// outcome, the reason and when to retry.
//
//	return refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over_limit", "the account's concurrency limit is reached").WithRetryAfter(2 * time.Second)
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// The outcomes of a request without a complete answer.
const (
	// DidNotRun is certain: nothing was sent to a target, or the target confirmed
	// that the request did not start.
	DidNotRun = "did-not-run"
	// Unknown says that the request may have run, partly or completely.
	Unknown = "unknown"
)

// Refusal is an error to be sent to a caller.
type Refusal struct {
	// Outcome is DidNotRun or Unknown.
	Outcome string
	// Status is the HTTP status.
	Status int
	// Code is a stable identifier for programs, such as "over_limit".
	Code string
	// Reason is for people.
	Reason string
	// RetryAfter is the delay before a retry; zero if a retry makes no sense.
	RetryAfter time.Duration
}

// New returns a refusal without RetryAfter.
func New(outcome string, status int, code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: outcome, Status: status, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string { return r.Outcome + ": " + r.Reason }

// Of returns the refusal in an error's chain. An error without one becomes a refusal
// with the given outcome and status.
func Of(err error, outcome string, status int) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(outcome, status, "failed", "%v", err)
}
