// Package reuse decides whether a prompt's kept cache is imported from a store
// box or computed again, by what either is predicted to cost.
//
//	e := reuse.Estimate{Prefill: 20000, Link: 50e6}
//	import := e.Better(pool.Policy, reuse.Choice{Tokens: 6000, Kept: 4096, Bytes: 8 << 20})
package reuse

import (
	"time"

	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/stream"
)

// weight is the part of a new sample in the moving means.
const weight = 0.2

// Estimate is what was learned of engines and links from their own figures.
// The zero value knows nothing and imports, so that it learns.
type Estimate struct {
	// Prefill is the prompt tokens computed a second; zero if not known.
	Prefill float64
	// Link is the bytes imported a second, waiting included; zero if not known.
	Link float64
}

// Choice is one prompt with kept cache.
type Choice struct {
	// Tokens are the prompt's, Kept those that the kept cache covers.
	Tokens, Kept int
	// Bytes are the kept cache's.
	Bytes int
}

// Better says whether importing is predicted to cost less than computing.
// Seconds of waiting, of computing again and of the link are weighed by the
// pool's policy.
func (e Estimate) Better(p pool.Policy, c Choice) bool {
	if e.Prefill == 0 || e.Link == 0 {
		return true
	}
	compute := float64(c.Kept) / e.Prefill
	link := float64(c.Bytes) / e.Link
	return (p.FirstToken+p.Link)*link <= (p.FirstToken+p.Recompute)*compute
}

// Learn takes in the engine's own figures of one run; bytes is what was
// imported.
func (e *Estimate) Learn(u stream.Usage, bytes int) {
	if computed := u.Prompt - u.Reused - u.Imported; u.PrefillMillis > 0 && computed > 0 {
		e.Prefill = mean(e.Prefill, float64(computed)/seconds(u.PrefillMillis))
	}
	if u.ImportMillis > 0 && bytes > 0 && u.Imported > 0 {
		e.Link = mean(e.Link, float64(bytes)/seconds(u.ImportMillis))
	}
}

// Fail notes an import that brought nothing in spite of the wait, such as from
// a store box that died.
func (e *Estimate) Fail(bytes int, waited time.Duration) {
	if waited > 0 {
		e.Link = mean(e.Link, float64(bytes)/(10*waited.Seconds()))
	}
}

func seconds(millis float64) float64 { return millis / 1000 }

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*weight
}
