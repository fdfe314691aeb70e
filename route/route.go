// Package route holds what a request and the daemon's loop say to each other:
// a request asks for a place, is placed, and tells how the attempt ended.
//
//	placed, err := place(ctx, route.Ask{Request: "r1", Model: "menu", Attempt: 1})
//	...
//	ended(route.Ended{Placed: placed})
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

// Ask is what the loop needs to admit a request and place one attempt.
type Ask struct {
	Request string
	Account string
	// Model is what the caller asked for; empty for a plain service.
	Model string
	// Pool is the pool of a plain service; a model's follows from Model.
	Pool    string
	Attempt int
	// Prompt bytes to name prefixes by.
	Prompt string
	// Tokens is the largest number of tokens the request may use.
	Tokens int
	// Exclude names targets that failed this request already.
	Exclude []string
	// AvoidDomain is the failure domain of the last failure, avoided if
	// another one serves.
	AvoidDomain string
	// Version pins the attempt to the weight version that the answer began
	// with; empty if it has not begun.
	Version string
	// Home ranks the targets: of the account and the prompt's first piece.
	Home prefix.Key
}

// Fingerprint names what a model request asks for.
func (a Ask) Fingerprint() fingerprint.Sum {
	return fingerprint.Of(a.Account, "generate", a.Model, strconv.Itoa(a.Tokens), []byte(a.Prompt))
}

// Placed is the loop's answer.
type Placed struct {
	// Ask is what was asked for.
	Ask     Ask
	Request string
	Account string
	Pool    string
	Attempt int
	Target  string
	Address netip.AddrPort
	Domain  string
	Version string
	// Scope separates the cache by client account and weight version.
	Scope      prefix.Key
	PieceBytes int
	// Home is the asked one.
	Home prefix.Key
	// Keys name the prompt's prefixes at the boundaries, the shortest first.
	Keys []prefix.Key
	// Store is the store box that keeps the prompt's cache; unset for none.
	Store     netip.AddrPort
	StoreName string
	// Warm says that the target served this prompt's beginning lately.
	Warm bool
	// Known says that this box served the prompt's beginning lately, anywhere.
	Known bool
	// KeptPieces is how many pieces the store box was found to hold.
	KeptPieces int
	// At is when the request was placed. Granted says that the target limits requests and that
	// this one is among those that this box may send.
	At      time.Time
	Granted bool
	// FirstToken bounds the wait for the first text.
	FirstToken time.Duration
	// Estimate is what is known of the pool's engines and links.
	Estimate reuse.Estimate
	// Wait is how long the target was predicted to be busy first.
	Wait time.Duration
	// Said is how long the store box says that the import takes, in seconds.
	Said float64
	// Priority orders waiting runs on the target; lower goes first.
	Priority int
	// Import names kept cache to fetch, if that is thought to be faster.
	Import *engine.Import
	// Rule says why this target.
	Rule string
}

// Ended tells the loop how one attempt went.
type Ended struct {
	Placed Placed
	// Failed says that the target broke off or could not be reached.
	Failed bool
	// Cut says that it may have run and that no whole answer came, not by the caller's
	// doing; Dead that its address refuses connections.
	Cut, Dead bool
	// Refused says that the target refused before starting.
	Refused bool
	// FirstToken is the time from sending to the first text; zero if none came.
	FirstToken time.Duration
	// Took is the time from sending to the end of the answer.
	Took time.Duration
	// End is the accepted end frame of a whole answer.
	End stream.Frame
}
