// Package slowstart limits what all boxes together send to a cold target: one that has
// just started, or reports that it is slow for a while.
//
//	limit := slowstart.Limit(18, 1.5, 5)                 // of all boxes in a window
//	share := slowstart.Share(limit, target, self, boxes) // of this one
//	if limiter.Allow(now, target, share) {
//		limiter.Take(now, target)
//	}
//
// It guards against the targets of a failure domain all coming back at once. As they are
// empty, each box finds them the cheapest, and 70 boxes send each several times what it
// can serve while cold; it then crashes, and the requests are lost with it.
//
// Boxes do not coordinate. Each knows which boxes place requests and takes its fixed
// share of the limit; where there are more boxes than requests, those ranked first for
// that target have one each. A partitioned box stays within its share on its own, and one
// that stops leaves its share unused until the target is warm, some seconds. Two
// alternatives were rejected: one owner for each cold target, as its crash makes the
// whole target unusable and a change of owner doubles the rate; and shares lent by an
// owner, which need a call before each request and fail in a partition.
package slowstart

import (
	"time"

	"github.com/thymewind/thymewind/placement"
)

const (
	// window is how long each request counts: the second in which the platform counts
	// arrivals, and a quarter of one for differences in request latency; a placement call to
	// a hub takes at most 100 ms, twice.
	window = 1250 * time.Millisecond
	// usable is the share of the limit that is divided. The rest is a reserve for the time
	// while boxes join, when two boxes may act in the place of one hub: this may concern two
	// of six hubs. Over the window the divided part is 19 of 32 requests a second, where a
	// target can sustain 18.
	usable = 0.75
)

// Limit returns how many requests all boxes may send to a cold target within the window,
// if it can serve a rate a second, and the platform allows a factor of that plus extra.
func Limit(rate, factor, extra float64) int { return int(usable * (rate*factor + extra)) }

// Share returns how many of limit requests a box may send, of the boxes that place
// requests, to the target with this hash. It is zero for a box that is not in the list.
func Share(limit int, target uint64, self string, boxes []string) int {
	own := placement.Weight(target, placement.Hash(self))
	ahead, known := 0, false
	for _, box := range boxes {
		known = known || box == self
		if placement.Weight(target, placement.Hash(box)) > own {
			ahead++
		}
	}
	if !known {
		return 0
	}
	share := limit / len(boxes)
	if ahead < limit%len(boxes) {
		share++
	}
	return share
}

// Limiter counts what this box sent to cold targets, by the hash of their IDs. The zero
// value is ready; it is not safe for concurrent use.
type Limiter struct {
	// sent holds when requests were sent, in order; none is older than the window after a
	// call of Allow.
	sent map[uint64][]time.Time
}

// Allow reports whether one more request may be sent to a target, of share in a window.
func (l *Limiter) Allow(now time.Time, target uint64, share int) bool {
	list := l.sent[target]
	for len(list) > 0 && now.Sub(list[0]) >= window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(l.sent, target)
		return share > 0
	}
	l.sent[target] = list
	return len(list) < share
}

// Take counts a request that is sent.
func (l *Limiter) Take(now time.Time, target uint64) {
	if l.sent == nil {
		l.sent = make(map[uint64][]time.Time)
	}
	l.sent[target] = append(l.sent[target], now)
}

// Expire drops targets without a request in the window.
func (l *Limiter) Expire(now time.Time) {
	for target, list := range l.sent {
		if now.Sub(list[len(list)-1]) >= window {
			delete(l.sent, target)
		}
	}
}
