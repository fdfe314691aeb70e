// Package claim gives the permission to run a not-repeatable request, at most
// once for each client account and key.
//
// The row in the table service is the permission: whoever inserted it may
// dispatch, nobody else ever may. It is released only by the one who holds its
// nonce, and only if nothing can have been sent:
//
//	held, err := book.Take(ctx, claim.Claim{Account: "menu-app", Key: key, Digest: digest})
//	if err != nil { ... }
//	if sent := dispatch(); !sent {
//		book.Release(held)
//	}
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"
)

// The states of a claim.
const (
	// Running says that the request may be under way or may have run.
	Running = "running"
	// Done says that the request ran and its answer is known.
	Done = "done"
)

// ErrDown says that the claim was not obtained because the table service does
// not answer. The request has not run.
var ErrDown = errors.New("no permission could be obtained from the table service")

// Claim is the row of one not-repeatable request.
type Claim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Digest is over the request's method, path and body.
	Digest string `json:"digest"`
	// Nonce is the holder's own; no two claims share one.
	Nonce   string    `json:"nonce"`
	Request string    `json:"request"`
	Box     string    `json:"box"`
	At      time.Time `json:"at"`
	// State is Running or Done.
	State string `json:"state"`
	// Answer is what the caller was told. Done claims only.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a stored answer, given again to a caller that asks again.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Cut says that the body was too large to be stored.
	Cut bool `json:"cut,omitempty"`
}

// Taken says that another request has the claim. The request it is returned
// for has not run and will not.
type Taken struct {
	// By is the claim that stands.
	By Claim
}

// Error implements error.
func (t *Taken) Error() string { return "the key is taken by request " + t.By.Request }

// rowKey returns the claim's row. The key is hashed, as callers choose it.
func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claim/" + account + "/" + hex.EncodeToString(sum[:])
}
