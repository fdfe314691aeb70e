// Package throughput estimates how fast engines prefill prompts and how fast sources
// transfer cached parts, from the time requests took to their first event. It sends no
// probes: each served request is a sample.
//
//	var e throughput.Estimator
//	e.Observe(now, throughput.Sample{Took: 180 * time.Millisecond, Tokens: 4000})
//	base, token := e.Prefill()
//	expected, took := e.Transferred(now, source)
//	slowdown := throughput.Slowdown(expected, took)
//
// Placement by an assumption about the links (a box's own transfers times the number of
// boxes) recomputed up to a fourteenth of all prompt tokens although a store cached them
// whole and its transfers hardly waited. Measured times also show a source that has
// become slow.
package throughput

import (
	"math"
	"time"
)

// Sample is what the first event of one request shows.
type Sample struct {
	// Took is the time from placement to the first event.
	Took time.Duration
	// Tokens had to be prefilled until then: the request's own and those of requests queued
	// before it.
	Tokens int
	// Transfers were ordered for the request.
	Transfers []Transfer
}

// Transfer is one transfer of cached parts.
type Transfer struct {
	// Source is the hash of the source's name.
	Source uint64
	// Expected is how long the transfer takes over an idle link.
	Expected time.Duration
}

const (
	// decayTime is the time constant of the decay of transfers. It is short, so that a source
	// that became slow or recovered is noticed within some seconds.
	decayTime = 2 * time.Second
	// prior is how much transfer time is assumed to have gone as expected: about two long
	// transfers, so that a single late answer changes little.
	prior = 150 * time.Millisecond
	// maxSlowdown bounds the estimate, so that costs stay finite.
	maxSlowdown = 20
	// scatter is the usual distance of first events from the fitted line. Only a transfer's
	// excess beyond it counts: without it, sources of short transfers looked three times
	// slower than they were.
	scatter = 60 * time.Millisecond
	// maxSample bounds a sample; longer waits have other causes, such as targets that died.
	maxSample = 4 * time.Second
)

// Estimator holds what one box measured. The zero value is ready; it is not safe for
// concurrent use.
type Estimator struct {
	prefill   fit
	transfers map[uint64]*decayedSum
}

// decayedSum adds up transfer times, which decay exponentially.
type decayedSum struct {
	// expected is the time that the transfers should have taken, took the time they took,
	// both as of at.
	expected, took float64
	at             time.Time
}

// Observe learns from a request. Without transfers it is a sample of prefill; with
// transfers, the time left after the estimated prefill is attributed to them.
func (e *Estimator) Observe(now time.Time, s Sample) {
	took := min(s.Took, maxSample)
	if len(s.Transfers) == 0 {
		e.prefill.add(float64(s.Tokens), float64(took))
		return
	}
	base, token := e.Prefill()
	took = max(took-base-time.Duration(s.Tokens)*token, 0)
	var all time.Duration
	for _, t := range s.Transfers {
		all += t.Expected
	}
	if all <= 0 {
		return
	}
	took = min(took, all) + max(took-all-scatter, 0)
	for _, t := range s.Transfers {
		e.of(now, t.Source).add(t.Expected, time.Duration(float64(took)*float64(t.Expected)/float64(all)))
	}
}

// of returns a source's sum, decayed to now.
func (e *Estimator) of(now time.Time, source uint64) *decayedSum {
	if e.transfers == nil {
		e.transfers = make(map[uint64]*decayedSum)
	}
	x := e.transfers[source]
	if x == nil {
		x = &decayedSum{at: now}
		e.transfers[source] = x
	}
	left := math.Exp(-float64(now.Sub(x.at)) / float64(decayTime))
	x.expected, x.took, x.at = x.expected*left, x.took*left, now
	return x
}

func (x *decayedSum) add(expected, took time.Duration) {
	x.expected += float64(expected)
	x.took += float64(took)
}

// Prefill returns the time to a first event if nothing has to be prefilled, and the time
// that each token adds.
func (e *Estimator) Prefill() (base, token time.Duration) { return e.prefill.line() }

// Transferred returns how long recent transfers from a source should have taken, and how
// long they took.
func (e *Estimator) Transferred(now time.Time, source uint64) (expected, took time.Duration) {
	if e.transfers[source] == nil {
		return 0, 0
	}
	x := e.of(now, source)
	return time.Duration(x.expected), time.Duration(x.took)
}

// Each calls yield for each source with recent transfers, and drops the others.
func (e *Estimator) Each(now time.Time, yield func(source uint64, expected, took time.Duration)) {
	for source := range e.transfers {
		expected, took := e.Transferred(now, source)
		if expected < time.Millisecond {
			delete(e.transfers, source)
			continue
		}
		yield(source, expected, took)
	}
}

// Slowdown returns by what factor transfers are slower than over an idle link, from how
// long they should have taken and took.
func Slowdown(expected, took time.Duration) float64 {
	return min(max(float64(took+prior)/float64(expected+prior), 1), maxSlowdown)
}
