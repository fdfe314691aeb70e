// Package refusal is the final answer to a request that the system gives up:
// what became of it, why, and when to come back.
//
//	return refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over the account's share").After(2 * time.Second)
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// The outcomes of a request that got no whole answer.
const (
	// DidNotRun is proved: nothing reached a target, or the target itself said
	// that it did not start.
	DidNotRun = "did-not-run"
	// Unknown says that the request may have run, in part or whole.
	Unknown = "unknown"
)

// Refusal is a typed error for a caller.
type Refusal struct {
	// Outcome is DidNotRun or Unknown.
	Outcome string
	// Status is the HTTP status.
	Status int
	// Code is a short word for programs, such as "over_limit".
	Code string
	// Reason is for people.
	Reason string
	// RetryAfter is when to come back; zero if coming back makes no sense.
	RetryAfter time.Duration
}

// New returns a refusal without a time to come back.
func New(outcome string, status int, code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: outcome, Status: status, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// After returns the refusal with a time to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string { return r.Outcome + ": " + r.Reason }

// Of finds the refusal in an error's chain; an error without one becomes a
// refusal with the outcome and status given.
func Of(err error, outcome string, status int) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(outcome, status, "failed", "%v", err)
}
