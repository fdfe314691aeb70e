// Package quota divides the rate of requests that a target takes of all boxes together over
// the boxes, so that they keep it without asking each other for each request.
//
//	part := quota.Part(3.6, target, self, boxes) // requests a second of this box
//	bucket.Refill(now, part)
//	if bucket.Ready() {
//		bucket.Take()
//	}
//
// The load it answers: a target in need names a rate, and each of many boxes sends it that
// much. In any span the boxes together send the rate times the span, and one burst each; so
// where a rate is low only as many boxes have a part of it as requests come in a second, and
// two more.
package quota

import (
	"time"

	"github.com/thymewind/thymewind/placement"
)

const (
	// spare is how many boxes more than requests a second have a part of a rate, so that a
	// low rate does not hang on one box.
	spare = 2
	// burstFor is for how long a box saves up its part; at least one request.
	burstFor = 250 * time.Millisecond
	// trial is the least rate, in requests a second: without any request nobody would hear
	// that a target takes some again.
	trial = 0.1
)

// Share returns how many requests a second this box may send to the target with a hash, of the
// boxes that share its rate. It is zero for a box that has no part of it.
func Share(perSecond float64, target uint64, self string, boxes []string) float64 {
	perSecond = max(perSecond, trial)
	holders := len(boxes)
	if perSecond+spare < float64(holders) {
		holders = int(perSecond) + spare
	}
	own := placement.Weight(target, placement.Hash(self))
	before, known := 0, false
	for _, box := range boxes {
		known = known || box == self
		if placement.Weight(target, placement.Hash(box)) > own {
			before++
		}
	}
	if !known || before >= holders {
		return 0
	}
	return perSecond / float64(holders)
}

// Bucket holds what one box may send to one target now. The zero value is empty; it is not
// safe for concurrent use.
type Bucket struct {
	// tokens is at most one burst.
	tokens float64
	// part is this box's of the rate, in requests a second, as of the last refill.
	part float64
	// filled is when it was last refilled.
	filled time.Time
}

// Refill adds what came at the part known so far, and goes on with a part.
func (b *Bucket) Refill(now time.Time, part float64) {
	if !b.filled.IsZero() {
		b.tokens += b.part * now.Sub(b.filled).Seconds()
	}
	b.part, b.filled = part, now
	b.tokens = min(b.tokens, max(1, part*burstFor.Seconds()))
}

// Ready says whether a request may be sent now.
func (b *Bucket) Ready() bool { return b.tokens >= 1 }

// Take counts a request that is sent. One that must go though the bucket is not ready makes
// later ones wait for longer.
func (b *Bucket) Take() { b.tokens-- }
