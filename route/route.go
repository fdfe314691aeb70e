// Package route holds the messages between a request and the daemon's event loop:
// the request for a placement, the placement, and the result of the attempt.
//
//	placed, err := place(ctx, route.PlacementRequest{Request: "r1", Model: "menu", Attempt: 1})
//	...
//	ended(route.AttemptResult{Placement: placed})
package route

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/stream"
)

// PlacementRequest is a request for the admission and placement of one attempt.
type PlacementRequest struct {
	Request string
	Account string
	// Model is the requested model; empty for a plain service.
	Model string
	// Pool is the pool of a plain service. A model's pool follows from Model.
	Pool    string
	Attempt int
	// Prompt is hashed into prefix keys.
	Prompt string
	// Tokens is the largest number of tokens that the answer may have.
	Tokens int
	// Exclude names the targets on which this request failed.
	Exclude []string
	// AvoidDomain is the failure domain of the last failure. It is avoided if
	// another domain has a usable target.
	AvoidDomain string
	// Version pins the attempt to the weight version that the answer began with;
	// empty if the answer has not begun.
	Version string
	// Home is the key for rendezvous hashing, from the account and the prompt's first
	// piece.
	Home prefix.Key
}

// Fingerprint identifies a model request by its content.
func (a PlacementRequest) Fingerprint() fingerprint.Sum {
	return fingerprint.Of(a.Account, "generate", a.Model, strconv.Itoa(a.Tokens), []byte(a.Prompt))
}

// Placement is the placement of one attempt.
type Placement struct {
	// PlacementRequest is the placement request.
	PlacementRequest PlacementRequest
	Request          string
	Account          string
	Pool             string
	Attempt          int
	Target           string
	Address          netip.AddrPort
	Domain           string
	Version          string
	// Scope separates the cache by client account and weight version.
	Scope      prefix.Key
	PieceBytes int
	// Home is that of the PlacementRequest.
	Home prefix.Key
	// Keys are the keys of the prompt's prefixes at piece boundaries, shortest first.
	Keys []prefix.Key
	// Store is the store box for the prompt's cache; unset if there is none.
	Store     netip.AddrPort
	StoreName string
	// TargetWarm says that this box last served the prompt's first piece on this target, with
	// this weight version.
	TargetWarm bool
	// PrefixKnown says that this box served the prompt's first piece recently, on any target.
	PrefixKnown bool
	// CachedPieces is the number of the prompt's pieces that the store box holds.
	CachedPieces int
	// PlacedAt is when the request was placed. QuotaGranted says that the target has a rate
	// limit and that this request is within this box's quota.
	PlacedAt     time.Time
	QuotaGranted bool
	// FirstToken bounds the wait for the first text.
	FirstToken time.Duration
	// Estimate holds the estimated speeds of the pool's engines and links.
	Estimate reuse.Estimate
	// Wait is the predicted wait at the target.
	Wait time.Duration
	// PredictedImport is the import time that the store box predicts, in seconds.
	PredictedImport float64
	// Priority orders waiting runs on the target; lower goes first.
	Priority int
	// Import names cached pieces to fetch, if that is predicted to be faster.
	Import *engine.Import
	// Rule names the rule that chose the target.
	Rule string
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Placement Placement
	// Failed says that the target broke off its answer or was unreachable.
	Failed bool
	// CutOff says that the request may have run and got no complete answer, and that the caller
	// was not the cause. ConnectionRefused says that the target's address refuses connections.
	CutOff, ConnectionRefused bool
	// Refused says that the target, or this box for the target, refused before the start.
	Refused bool
	// FirstToken is the time from sending to the first text; zero if none came.
	FirstToken time.Duration
	// Took is the time from sending to the end of the answer.
	Took time.Duration
	// End is the accepted end frame of a complete answer.
	End stream.Frame
}
