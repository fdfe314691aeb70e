// Package engine is the client of model engines.
//
//	c := engine.Client{HTTP: httpClient}
//	frames, err := c.Generate(ctx, address, engine.Run{Request: "r1", Attempt: 1, Prompt: prompt})
//	var refused *engine.Refusal
//	if errors.As(err, &refused) { // it did not start; try another target
//	}
package engine

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
)

// Run is the request for one answer.
type Run struct {
	Request string `json:"request"`
	// Attempt counts from 1 for each request; (Request, Attempt) is unique.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	// Version is the weight version. An engine with another one refuses the run.
	Version string `json:"version"`
	// Scope separates the engine's prefix cache by client account and version.
	Scope  string `json:"scope"`
	Prompt string `json:"prompt"`
	// Generated is the part of the answer that the caller already has. The engine
	// continues after it.
	Generated string `json:"generated,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders waiting runs; lower values go first.
	Priority int `json:"priority"`
	// PieceBytes is the number of prompt bytes between two cache boundaries.
	PieceBytes int `json:"piece_bytes"`
	// Import names cached pieces to fetch before prefill.
	Import *Import `json:"import,omitempty"`
}

// Import names cached pieces and the store box that holds them.
type Import struct {
	Store netip.AddrPort `json:"store"`
	// Run holds the pieces' manifests, from the prompt's first boundary on.
	Run []kvcache.Manifest `json:"run"`
}

// Load is an engine's own load report, which describes an earlier time.
type Load struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int  `json:"queued_tokens"`
	Leaving      bool `json:"leaving"`
	// Loading says that the engine loads weights and starts no run meanwhile.
	Loading bool      `json:"loading"`
	Epoch   uint64    `json:"epoch"`
	At      time.Time `json:"at"`
}

// Order changes an engine's state. Epoch is the fencing token: engines that check it
// refuse an Epoch below the highest they have seen.
type Order struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
	// Version is the weight version to load.
	Version string `json:"version,omitempty"`
	// Deadline is when the order expires, by the sender's clock. Engines that don't
	// check the fencing token ignore it.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Refusal is the error of an engine that refused a run before starting it.
type Refusal struct {
	Status int
	Reason string
	// Signals holds the signals in the answer's headers.
	Signals notice.Signals
}

// Error implements error.
func (r *Refusal) Error() string { return "engine refused the run: " + r.Reason }
