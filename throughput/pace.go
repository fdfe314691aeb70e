// Package throughput learns how quickly engines read prompts and sources move kept
// parts, from how soon requests got their first event. Nothing is asked for it:
// each request that is served anyway is a sample.
//
//	var r pace.Record
//	r.See(now, pace.Sample{Took: 180 * time.Millisecond, Tokens: 4000})
//	base, token := r.Reading()
//	asked, took := r.Moved(now, source)
//	stretch := pace.Stretch(asked, took)
//
// Placing by a guess about the links (the own moves times the number of boxes)
// had up to a fourteenth of all prompt tokens read although a store kept them
// whole and its moves hardly waited; what is learnt instead also shows a source
// that has turned slow.
package throughput

import (
	"math"
	"time"
)

// Sample is what one request's first event tells.
type Sample struct {
	// Took is the time from the placing to the first event.
	Took time.Duration
	// Tokens had to be read until then: the request's own and those of requests
	// before it.
	Tokens int
	// Transfers were ordered for the request.
	Transfers []Transfer
}

// Transfer is one move of kept parts.
type Transfer struct {
	// Source is the hash of the source's name.
	Source uint64
	// Expected is how long the move takes over an unused link.
	Expected time.Duration
}

const (
	// fade is how long a move counts, so that a source that turned slow or is
	// well again is noticed within some seconds.
	fade = 2 * time.Second
	// trust is how much time of moves is taken to have gone as expected: about
	// two long ones, so that a single late answer changes little.
	trust = 150 * time.Millisecond
	// mostStretch bounds the estimate, so that costs stay finite.
	mostStretch = 20
	// scatter is by how much first events miss the line through them, as a rule. What
	// moves seem to take longer than they should counts from there on only:
	// without it, sources of short moves passed for three times slower.
	scatter = 60 * time.Millisecond
	// longestTook bounds a sample; longer waits have other causes, as targets
	// that died.
	longestTook = 4 * time.Second
)

// Estimator is what one box learnt. The zero value is ready; it is not safe for
// concurrent use.
type Estimator struct {
	reading fit
	moves   map[uint64]*sum
}

// sum adds up moves, fading.
type sum struct {
	// asked is the time that the moves should have taken, took what they took.
	asked, took float64
	as          time.Time
}

// Observe learns from a request. Without moves it tells how engines read; with moves,
// what is left after the reading was spent on them.
func (r *Estimator) Observe(now time.Time, s Sample) {
	took := min(s.Took, longestTook)
	if len(s.Transfers) == 0 {
		r.reading.add(float64(s.Tokens), float64(took))
		return
	}
	base, token := r.Prefill()
	took = max(took-base-time.Duration(s.Tokens)*token, 0)
	var all time.Duration
	for _, m := range s.Transfers {
		all += m.Expected
	}
	if all <= 0 {
		return
	}
	took = min(took, all) + max(took-all-scatter, 0)
	for _, m := range s.Transfers {
		r.of(now, m.Source).add(m.Expected, time.Duration(float64(took)*float64(m.Expected)/float64(all)))
	}
}

// of returns a source's sum as of now.
func (r *Estimator) of(now time.Time, source uint64) *sum {
	if r.moves == nil {
		r.moves = make(map[uint64]*sum)
	}
	x := r.moves[source]
	if x == nil {
		x = &sum{as: now}
		r.moves[source] = x
	}
	left := math.Exp(-float64(now.Sub(x.as)) / float64(fade))
	x.asked, x.took, x.as = x.asked*left, x.took*left, now
	return x
}

func (x *sum) add(asked, took time.Duration) {
	x.asked += float64(asked)
	x.took += float64(took)
}

// Prefill returns the time to a first event if nothing has to be read, and what
// each token adds.
func (r *Estimator) Prefill() (base, token time.Duration) { return r.reading.line() }

// Transferred returns how long recent moves from a source should have taken, and how
// long they took.
func (r *Estimator) Transferred(now time.Time, source uint64) (asked, took time.Duration) {
	if r.moves[source] == nil {
		return 0, 0
	}
	x := r.of(now, source)
	return time.Duration(x.asked), time.Duration(x.took)
}

// Each calls a function for each source with recent moves, and forgets the
// others.
func (r *Estimator) Each(now time.Time, yield func(source uint64, asked, took time.Duration)) {
	for source := range r.moves {
		asked, took := r.Transferred(now, source)
		if asked < time.Millisecond {
			delete(r.moves, source)
			continue
		}
		yield(source, asked, took)
	}
}

// Slowdown returns by how much moves take longer than over an unused link, from
// how long they should have taken and took.
func Slowdown(asked, took time.Duration) float64 {
	return min(max(float64(took+trust)/float64(asked+trust), 1), mostStretch)
}
