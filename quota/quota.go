// Package quota divides the request rate that a target accepts from all boxes together
// over the boxes, so that they keep to it without a call per request.
//
//	share := quota.Share(3.6, target, self, boxes) // requests a second of this box
//	bucket.Refill(now, share)
//	if bucket.Ready() {
//		bucket.Take()
//	}
//
// It guards against overload of a target that announces a rate: without shares each of
// many boxes would send at that rate. In any span the boxes together send the rate times
// the span plus one burst each; so at a low rate only as many boxes get a share as
// requests come in a second, and two more.
package quota

import (
	"time"

	"github.com/thymewind/thymewind/placement"
)

const (
	// spareBoxes is how many boxes beyond the requests a second get a share, so that a low
	// rate does not depend on one box.
	spareBoxes = 2
	// burstTime limits a bucket to the tokens of this time, but to no less than one token.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate, in requests a second: without any request no box would
	// learn that the target accepts some again.
	minRate = 0.1
)

// Share returns how many requests a second this box may send to the target with this
// hash, of the boxes that share its rate. The boxes ranked first for the target
// (rendezvous hashing) get equal shares; for the others it is zero.
func Share(perSecond float64, target uint64, self string, boxes []string) float64 {
	perSecond = max(perSecond, minRate)
	holders := len(boxes)
	if perSecond+spareBoxes < float64(holders) {
		holders = int(perSecond) + spareBoxes
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

// Bucket is the token bucket of one box for one target. The zero value is empty; it is
// not safe for concurrent use.
type Bucket struct {
	// tokens is at most one burst. It is negative after Take on an empty bucket.
	tokens float64
	// share is this box's share of the rate, in requests a second, as of the last refill.
	share      float64
	refilledAt time.Time
}

// Refill adds the tokens since the last refill at the share of that time, and sets the
// share from now on.
func (b *Bucket) Refill(now time.Time, share float64) {
	if !b.refilledAt.IsZero() {
		b.tokens += b.share * now.Sub(b.refilledAt).Seconds()
	}
	b.share, b.refilledAt = share, now
	b.tokens = min(b.tokens, max(1, share*burstTime.Seconds()))
}

// Ready reports whether a request may be sent now.
func (b *Bucket) Ready() bool { return b.tokens >= 1 }

// Take counts a request that is sent. If it was sent although the bucket was not ready,
// the tokens go negative and later requests wait longer.
func (b *Bucket) Take() { b.tokens-- }
