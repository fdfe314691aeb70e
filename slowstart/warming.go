// Package slowstart bounds what all boxes together send to a target that is cold: one
// that has just started, or says that it is slow for a while.
//
//	most := warming.Most(18, 1.5, 5)                  // of all boxes in a second
//	share := warming.Share(most, target, self, boxes) // of this one
//	if gate.Room(now, target, share) {
//		gate.Take(now, target)
//	}
//
// The load it answers: the targets of a failure domain come back at once. Empty as they
// are, each box takes them for the cheapest, and 70 boxes send each of them several times
// what it bears while it is cold; it then falls over, and the requests are lost with it.
//
// Boxes don't ask each other. Each knows who places requests and takes its fixed share of
// what a target bears; where there are more boxes than requests, those ranked first for
// that target have one each. A box that is cut off keeps within its share by itself, and
// one that ends leaves its share unused until the target is warm, some seconds. Two other
// ways were weighed: one owner for each cold target, whose end costs the whole target and
// whose change doubles the rate; and shares lent by an owner, which need a call before
// each request and bear no cut.
package slowstart

import (
	"time"

	"github.com/thymewind/thymewind/placement"
)

const (
	// window is how long each request counts: the second in which the platform counts
	// arrivals, and a quarter of one by which a request's way may be longer than
	// another's; a place is asked of a hub for 100 ms at most, twice.
	window = 1250 * time.Millisecond
	// part is how much of what a target bears is shared out. The rest is for boxes that
	// two others take for the placing one at a time, while boxes join: two of six hubs
	// may do so. Over the window it is 19 of 32 requests a second, where 18 are what a
	// target bears for long.
	part = 0.75
)

// Limit returns how many requests all boxes may send to a cold target within the window,
// if it bears a rate a second, and the platform allows a factor and some more.
func Limit(rate, factor, more float64) int { return int(part * (rate*factor + more)) }

// Share returns how many of those a box may send, of the boxes that place requests, to
// the target with a hash. It is zero for a box that is none of them.
func Share(most int, target uint64, self string, boxes []string) int {
	own := placement.Weight(target, placement.Hash(self))
	before, known := 0, false
	for _, box := range boxes {
		known = known || box == self
		if placement.Weight(target, placement.Hash(box)) > own {
			before++
		}
	}
	if !known {
		return 0
	}
	share := most / len(boxes)
	if before < most%len(boxes) {
		share++
	}
	return share
}

// Limiter counts what this box sent to cold targets, by the hash of their IDs. The zero
// value is ready; it is not safe for concurrent use.
type Limiter struct {
	// sent holds when requests were sent, in order; none is older than the window once
	// Room was asked.
	sent map[uint64][]time.Time
}

// Allow says whether one more request may be sent to a target, of so many in a window.
func (g *Limiter) Allow(now time.Time, target uint64, share int) bool {
	list := g.sent[target]
	for len(list) > 0 && now.Sub(list[0]) >= window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(g.sent, target)
		return share > 0
	}
	g.sent[target] = list
	return len(list) < share
}

// Take counts a request that goes out.
func (g *Limiter) Take(now time.Time, target uint64) {
	if g.sent == nil {
		g.sent = make(map[uint64][]time.Time)
	}
	g.sent[target] = append(g.sent[target], now)
}

// Expire forgets targets that got nothing for a while.
func (g *Limiter) Expire(now time.Time) {
	for target, list := range g.sent {
		if now.Sub(list[len(list)-1]) >= window {
			delete(g.sent, target)
		}
	}
}
