// Package engine is the client of model engines.
//
//	c := engine.Client{HTTP: httpClient}
//	body, err := c.Generate(ctx, address, engine.Run{Request: "r1", Attempt: 1, Prompt: prompt})
//	var refused *engine.Refusal
//	if errors.As(err, &refused) { // it did not start; another target may serve
//	}
package engine

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
)

// Run asks an engine for one answer.
type Run struct {
	Request string `json:"request"`
	// Attempt counts from 1 for each request; (Request, Attempt) is unique.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	// Version is the weight version; an engine with another one refuses.
	Version string `json:"version"`
	// Scope separates the engine's prefix cache by client account and version.
	Scope  string `json:"scope"`
	Prompt string `json:"prompt"`
	// Generated is the part of the answer that the caller already has; the
	// engine goes on behind it.
	Generated string `json:"generated,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders waiting runs; lower goes first.
	Priority int `json:"priority"`
	// PieceBytes is the prompt bytes between two cache boundaries.
	PieceBytes int `json:"piece_bytes"`
	// Import names kept cache to fetch before prefill.
	Import *Import `json:"import,omitempty"`
}

// Import names kept cache and the store box that holds it.
type Import struct {
	Store netip.AddrPort `json:"store"`
	// Run are the manifests from the prompt's first boundary on.
	Run []kvcache.Manifest `json:"run"`
}

// Load is what an engine reports of itself, with a lag.
type Load struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// QueuedTokens are prompt tokens that are still to be computed.
	QueuedTokens int  `json:"queued_tokens"`
	Leaving      bool `json:"leaving"`
	// Loading says that weights are being loaded; no run starts meanwhile.
	Loading bool      `json:"loading"`
	Epoch   uint64    `json:"epoch"`
	At      time.Time `json:"at"`
}

// Order changes what an engine is. Engines that check the fence refuse an
// Epoch below the highest they have seen.
type Order struct {
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
	// Version is the weight version to load.
	Version string `json:"version,omitempty"`
	// Deadline is when the order lapses, by the sender's clock; engines that
	// don't check the fence ignore it.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Refusal says that the engine itself refused before starting the run.
type Refusal struct {
	Status int
	Reason string
	// Said is what the engine says of itself.
	Said notice.Signals
}

// Error implements error.
func (r *Refusal) Error() string { return "the engine refused: " + r.Reason }
