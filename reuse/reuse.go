// Package reuse decides how much of a prompt's stored KV cache is imported from a store
// box and how much is recomputed, by the predicted cost of either.
//
//	e := reuse.Estimate{Prefill: 20000}
//	n := e.Best(now, pool.Policy, reuse.Choice{Tokens: 6000, Found: found})
//	run := found.Run[:n] // import these, recompute the rest
package reuse

import (
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/stream"
)

// weight is the weight of a new sample in the moving averages.
const weight = 0.2

// slowdownRetention is how long a link is remembered as slower than it reports.
const slowdownRetention = 10 * time.Second

// Estimate is what was measured of engines and links. The zero value knows nothing and
// imports all, so that there are samples.
type Estimate struct {
	// Prefill is the prompt tokens computed a second; zero if unknown.
	Prefill float64
	// Link is the bytes imported a second, waiting included; zero if unknown.
	Link float64
	// Slowdown is how many times longer imports take than store boxes predict; zero if
	// unknown. It applies until SlowdownUntil.
	Slowdown      float64
	SlowdownUntil time.Time
}

// Choice is one prompt with stored cache.
type Choice struct {
	// Tokens are the prompt's.
	Tokens int
	// Found is what the store box holds.
	Found kvcache.Found
	// Wait is how long the engine is busy before it starts to compute; imports proceed
	// meanwhile.
	Wait time.Duration
}

// Best returns how many of the pieces found to import. The time to the first token, the
// recomputing and the use of the links, in seconds, are weighted by the pool's policy.
func (e Estimate) Best(now time.Time, p pool.Policy, c Choice) int {
	if e.Prefill == 0 {
		return len(c.Found.Run)
	}
	wait := c.Wait.Seconds()
	best, least := 0, p.FirstToken*(wait+float64(c.Tokens)/e.Prefill)+p.Recompute*float64(c.Tokens)/e.Prefill
	tokens := 0
	var bytes [kvcache.Tiers]int
	for i, m := range c.Found.Run {
		tokens += m.Piece.Tokens
		bytes[m.Tier%kvcache.Tiers] += m.Piece.Bytes
		ready, moving := e.links(now, c.Found.Links, bytes)
		compute := float64(c.Tokens-tokens) / e.Prefill
		cost := p.FirstToken*(max(wait, ready)+compute) + p.Recompute*compute + p.Link*moving
		if cost < least {
			best, least = i+1, cost
		}
	}
	return best
}

// links predicts when the bytes of each tier have arrived and how long the links are in
// use, in seconds.
func (e Estimate) links(now time.Time, links [kvcache.Tiers]kvcache.Link, bytes [kvcache.Tiers]int) (ready, moving float64) {
	slow := 1.0
	if e.Slowdown > 0 && now.Before(e.SlowdownUntil) {
		slow = e.Slowdown
	}
	for tier, link := range links {
		if bytes[tier] == 0 || link.Rate <= 0 {
			continue
		}
		ready = max(ready, slow*float64(link.Queue+bytes[tier])/link.Rate)
		moving += slow * float64(bytes[tier]) / link.Rate
	}
	return ready, moving
}

// Predicted returns how long an import takes as the store box reports its links, in
// seconds.
func Predicted(found kvcache.Found, n int) float64 {
	var bytes [kvcache.Tiers]int
	for _, m := range found.Run[:n] {
		bytes[m.Tier%kvcache.Tiers] += m.Piece.Bytes
	}
	ready, _ := Estimate{}.links(time.Time{}, found.Links, bytes)
	return ready
}

// Sample is the result of one run.
type Sample struct {
	// Usage are the engine's own figures.
	Usage stream.Usage
	// Bytes were to be imported, and Predicted is how many seconds that should take.
	Bytes     int
	Predicted float64
}

// Learn updates the estimate with the result of one run.
func (e *Estimate) Learn(now time.Time, s Sample) {
	u := s.Usage
	if computed := u.Prompt - u.Reused - u.Imported; u.PrefillMillis > 0 && computed > 0 {
		e.Prefill = mean(e.Prefill, float64(computed)/seconds(u.PrefillMillis))
	}
	if u.ImportMillis <= 0 || s.Bytes == 0 {
		return
	}
	took := seconds(u.ImportMillis)
	if u.Imported == 0 && u.Reused == 0 {
		took *= failedFactor // The import failed in spite of the wait.
	}
	e.Link = mean(e.Link, float64(s.Bytes)/took)
	if s.Predicted > 0 {
		e.Slowdown = mean(e.Slowdown, max(took/s.Predicted, 1))
		e.SlowdownUntil = now.Add(slowdownRetention)
	}
}

// failedFactor is how many times longer a failed import counts.
const failedFactor = 10

func seconds(millis float64) float64 { return millis / 1000 }

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*weight
}
