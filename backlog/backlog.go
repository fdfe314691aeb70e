// Package backlog reckons how long each target still reads the prompts that were
// sent there, by all boxes that place requests.
//
//	c := backlog.Clock{Token: func() time.Duration { return time.Millisecond / 112 }}
//	c.Place(now, target, 9000)        // decided here: 80 ms more to read
//	c.Hear(now, "hub-2", told)        // decided there since hub-2 told last
//	tokens := c.Unread(now, target)   // falls by itself as time passes
//
// It answers a herd: several boxes place at once, each learns of the others'
// choices a tenth of a second late, and callers come in clumps. A sum of what every
// box says is still unread is late twice, as it goes on counting prompts that were
// read meanwhile: the engines near a caller look taken, the same few elsewhere look
// free to all, and meet there. In a model of five boxes before 99 engines 2 in 100
// answers were late by what boxes say and 4 in 1,000 with this package, and at half as
// much load again 15 in 100 and 5 in 1,000; see its tests.
//
// Boxes tell running totals, so that a message that is lost or comes twice changes
// nothing.
package backlog

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/peer"
)

const (
	// tellFor is how long a target's total is told after its last prompt: some
	// rounds of the slowest gossip, of 0.3 s.
	tellFor = 3 * time.Second
	// forget is when a total that does not change any more is forgotten. It is well
	// beyond tellFor, so that no box hears a total fall that it still knows.
	forget = time.Minute
	// longest bounds what is reckoned for one target. Boxes that told nothing for
	// long tell of all at once what was read one after another.
	longest = 10 * time.Second
)

// Estimator reckons for all targets. Set the exported fields before first use; it is
// not safe for concurrent use.
type Estimator struct {
	// TokenTime returns how long a target takes to read one token. It is above zero.
	TokenTime func() time.Duration

	queues map[uint64]*queue
	// heard is what other boxes told last.
	heard map[string]*told
}

// queue is one target's.
type queue struct {
	// until is when the target will have read all.
	until time.Time
	// total are the tokens placed by this box since it started, placed is when the
	// last were. Both stay zero if others alone placed there.
	total  uint64
	placed time.Time
}

// told is what another box told.
type told struct {
	at     time.Time
	totals map[uint64]uint64
}

// Place counts tokens that this box decided to have read at a target.
func (c *Estimator) Place(now time.Time, target uint64, tokens int) {
	if tokens <= 0 {
		return
	}
	q := c.of(target)
	q.add(now, time.Duration(tokens)*c.TokenTime())
	q.total += uint64(tokens)
	q.placed = now
}

// of returns a target's queue.
func (c *Estimator) of(target uint64) *queue {
	if c.queues == nil {
		c.queues = make(map[uint64]*queue)
	}
	q := c.queues[target]
	if q == nil {
		q = &queue{}
		c.queues[target] = q
	}
	return q
}

// add has a target read for some time more, from since on at the earliest.
func (q *queue) add(since time.Time, work time.Duration) {
	if q.until.Before(since) {
		q.until = since
	}
	q.until = q.until.Add(min(work, longest))
}

// Merge takes over the totals that another box told. What it placed since it told
// last was placed half of that time ago, on average.
func (c *Estimator) Merge(now time.Time, box string, reads []peer.PrefillTotal) {
	before := c.heard[box]
	if before == nil {
		c.first(now, box, reads)
		return
	}
	since := now.Add(-min(now.Sub(before.at), tellFor) / 2)
	before.at = now
	for _, r := range reads {
		more := r.Total - before.totals[r.Target]
		if r.Total < before.totals[r.Target] {
			more = r.Total // The box began anew.
		}
		before.totals[r.Target] = r.Total
		if more > 0 {
			c.of(r.Target).add(since, time.Duration(min(more, mostTokens))*c.TokenTime())
		}
	}
}

// mostTokens bounds what one message tells of a target, so that no time overflows.
const mostTokens = 1 << 24

// first takes over what a box tells that was not heard yet. How long ago it placed
// that is not known, so nothing is reckoned for it.
func (c *Estimator) first(now time.Time, box string, reads []peer.PrefillTotal) {
	if c.heard == nil {
		c.heard = make(map[string]*told)
	}
	t := &told{at: now, totals: make(map[uint64]uint64, len(reads))}
	for _, r := range reads {
		t.totals[r.Target] = r.Total
	}
	c.heard[box] = t
}

// Totals lists the totals that other boxes may not know.
func (c *Estimator) Totals(now time.Time) []peer.PrefillTotal {
	var list []peer.PrefillTotal
	for target, q := range c.queues {
		if !q.placed.IsZero() && now.Sub(q.placed) < tellFor {
			list = append(list, peer.PrefillTotal{Target: target, Total: q.total})
		}
	}
	return list
}

// PrefillBacklog returns the tokens that a target is still to read.
func (c *Estimator) PrefillBacklog(now time.Time, target uint64) int {
	q := c.queues[target]
	if q == nil || !now.Before(q.until) {
		return 0
	}
	return int(min(q.until.Sub(now), longest) / c.TokenTime())
}

// Expire forgets targets and boxes of which nothing was heard for long. Call it
// about once a second.
func (c *Estimator) Expire(now time.Time) {
	maps.DeleteFunc(c.queues, func(_ uint64, q *queue) bool {
		return now.Sub(q.until) > forget && now.Sub(q.placed) > forget
	})
	maps.DeleteFunc(c.heard, func(_ string, t *told) bool { return now.Sub(t.at) > forget })
}
