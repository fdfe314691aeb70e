// Package leastrequest chooses a replica of a plain service: a healthy one with the fewest
// requests of this box in flight, with a preference for the box's failure domain.
//
//	target, ok := leastrequest.Chooser{Domain: "quezon"}.Choose(now, targets, skip)
package leastrequest

import (
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

// SilenceTimeout is how long a service with requests may send nothing: the slowest in 100
// take a fifth of a second.
const SilenceTimeout = 350 * time.Millisecond

const (
	// otherDomainCost is the cost of another failure domain in requests in flight: a request
	// takes 30 ms, the round trip between domains 2 ms.
	otherDomainCost = 0.5
	// greyCost is the cost of a target with an unusual share of failures.
	greyCost = 100.0
	// ejectedCost is the cost of a target that could not be reached recently.
	ejectedCost = 200.0
)

// Chooser chooses by this box's own view of the targets.
type Chooser struct {
	// Domain is this box's failure domain.
	Domain string
	// Self is the hash of this box's name. It ranks targets of equal cost, so that boxes with
	// nothing in flight don't all send to the same one.
	Self uint64
}

// Choose returns the target for a request, or false if none takes new work. Skip excludes
// targets for which it returns true.
func (c Chooser) Choose(now time.Time, targets []*fleet.Target, skip func(id string) bool) (*fleet.Target, bool) {
	var best *fleet.Target
	var least float64
	for _, t := range targets {
		if !t.Available(now) || skip(t.ID) || t.Silent(now, SilenceTimeout) {
			continue
		}
		cost := c.cost(now, t)
		if best == nil || cost < least || cost == least && c.rank(t) > c.rank(best) {
			best, least = t, cost
		}
	}
	return best, best != nil
}

// rank orders targets of equal cost; the highest is taken.
func (c Chooser) rank(t *fleet.Target) uint64 { return placement.Weight(c.Self, placement.Hash(t.ID)) }

func (c Chooser) cost(now time.Time, t *fleet.Target) float64 {
	cost := float64(t.InFlight)
	if t.Domain != c.Domain {
		cost += otherDomainCost
	}
	if t.Grey(now) {
		cost += greyCost
	}
	if t.Ejected(now) {
		cost += ejectedCost
	}
	return cost
}

// Silent says whether a target's health should be probed: it has requests in flight and
// sends nothing.
func Silent(now time.Time, t *fleet.Target) bool { return t.Silent(now, SilenceTimeout) }
