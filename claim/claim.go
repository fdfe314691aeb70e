// Package claim grants the permission to run a not-repeatable request, at most
// once for each client account and idempotency key.
//
// A row in the table service is the permission: only the request that inserted
// it may dispatch. It is released only by the holder of its nonce, and only if
// nothing can have been sent:
//
//	held, err := store.Take(ctx, claim.Claim{Account: "menu-app", Key: key, Digest: digest})
//	if err != nil { ... }
//	if sent := dispatch(); !sent {
//		store.Release(ctx, held)
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
	// Running says that the request may be in flight or may have run.
	Running = "running"
	// Done says that the request ran and its answer is stored.
	Done = "done"
)

// ErrDown says that the claim was not obtained because the table service did not
// answer. The request has not run.
var ErrDown = errors.New("claim not obtained from the table service")

// Claim is the row of one not-repeatable request.
type Claim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Digest covers what identifies the request, such as method, path and body.
	Digest string `json:"digest"`
	// Nonce is unique among claims and known to the holder only.
	Nonce   string    `json:"nonce"`
	Request string    `json:"request"`
	Box     string    `json:"box"`
	At      time.Time `json:"at"`
	// State is Running or Done.
	State string `json:"state"`
	// Answer is the caller's answer. Done claims only.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a stored answer, replayed to a caller that retries.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated says that the body was too large to be stored completely.
	Truncated bool `json:"cut,omitempty"`
}

// TakenError is the error if another request holds the claim. The request that got it
// has not run and will not.
type TakenError struct {
	// By is the stored claim.
	By Claim
}

// Error implements error.
func (t *TakenError) Error() string { return "idempotency key taken by request " + t.By.Request }

// rowKey returns the key of the claim's row. The caller's key is hashed, as
// callers choose its bytes and length.
func rowKey(account, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claim/" + account + "/" + hex.EncodeToString(sum[:])
}
