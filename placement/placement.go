// Package placement chooses the target for a request.
//
// The place of a returning prompt is computed, not looked up: its home key
// ranks the targets by rendezvous hash, and the best-ranked target whose load
// is within a bound of the mean takes it. Every box computes the same ranking,
// so boxes share no index of prompts.
//
//	c := placement.Chooser{Bound: 1.25, Usable: (*target.Target).Usable, Random: rand.Uint64}
//	choice, err := c.Choose(now, home, targets, nil)
package placement

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/target"
)

// The rules by which a target is chosen.
const (
	// RuleHome is the best-ranked target.
	RuleHome = "home"
	// RuleNext is a lower-ranked target, as the better ones were too loaded.
	RuleNext = "next in rank"
	// RuleLeast is the least loaded target, as none of the best-ranked was
	// within the bound.
	RuleLeast = "least load"
)

// Ranks is how many of the best-ranked targets are tried before the least
// loaded one is taken. More would spread a prompt's cache over more targets.
const Ranks = 3

// Chooser chooses targets. Set the exported fields before first use. It keeps
// no state between calls.
type Chooser struct {
	// Bound is how far above the mean load a ranked target may be, as a
	// factor. It is over 1.
	Bound float64
	// Usable says whether a target takes new work; it is (*target.Target).Usable.
	Usable func(t *target.Target, now time.Time) bool
	// Random breaks ties between equally loaded targets, so that boxes with
	// the same lagged view do not choose alike.
	Random func() uint64
}

// Choice is the outcome of one choosing.
type Choice struct {
	// Index is the chosen target's place in the slice given.
	Index int
	Rule  string
	// Rank is the chosen target's place in the ranking, from 0; Ranks when it
	// was chosen by least load.
	Rank int
	// Mean is the usable targets' mean load, with the request itself.
	Mean float64
	// Usable counts the targets that could have been chosen.
	Usable int
	// Best are the indices of the best-ranked targets, from the best.
	Best [Ranks]int
}

// Hash returns the part of the ranking that depends on a target's name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight ranks a target, given by its Hash, for a home key; higher is better.
func Weight(home, hash uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(home^hash, odd^hash)
	return (high ^ low) * odd
}

// Choose returns the target for a request with the given home key. Targets for
// which skip returns true are passed over; a nil skip passes over none. It
// fails with trace.NotFound when no target is usable.
func (c *Chooser) Choose(now time.Time, home uint64, targets []*target.Target, skip func(*target.Target) bool) (Choice, error) {
	choice := Choice{Best: [Ranks]int{-1, -1, -1}}
	var weights [Ranks]uint64
	least := lightest{index: -1}
	sum := 0
	for i, t := range targets {
		if !c.Usable(t, now) || (skip != nil && skip(t)) {
			continue
		}
		choice.Usable++
		load := t.Load()
		sum += load
		insert(&choice.Best, &weights, i, Weight(home, t.Hash))
		least.offer(i, load, c.Random)
	}
	if choice.Usable == 0 {
		return choice, trace.NotFound("no target of the pool takes new work")
	}
	choice.Mean = float64(sum+1) / float64(choice.Usable)
	limit := int(c.Bound*choice.Mean) + 1
	for rank, i := range choice.Best {
		// A free slot means no waiting, whatever the mean is.
		if i >= 0 && targets[i].Load() < max(limit, targets[i].Slots) {
			choice.Index = i
			choice.Rank = rank
			choice.Rule = ruleOf(rank)
			return choice, nil
		}
	}
	choice.Index = least.index
	choice.Rank = Ranks
	choice.Rule = RuleLeast
	return choice, nil
}

func ruleOf(rank int) string {
	if rank == 0 {
		return RuleHome
	}
	return RuleNext
}

// insert keeps the best-ranked targets in order of their weights.
func insert(best *[Ranks]int, weights *[Ranks]uint64, index int, weight uint64) {
	for rank := range best {
		if best[rank] < 0 || weight > weights[rank] {
			best[rank], index = index, best[rank]
			weights[rank], weight = weight, weights[rank]
		}
		if index < 0 {
			return
		}
	}
}

// lightest keeps the least loaded target offered so far, at random among ties.
type lightest struct {
	index, load int
	ties        uint64
}

func (l *lightest) offer(index, load int, random func() uint64) {
	switch {
	case l.index < 0 || load < l.load:
		l.index, l.load, l.ties = index, load, 1
	case load == l.load:
		l.ties++
		if random()%l.ties == 0 {
			l.index = index
		}
	}
}
