// Package placement chooses the target for a request.
//
// The target of a returning prompt is computed, not looked up: its home key ranks the
// targets by rendezvous hashing, and the best-ranked one of those whose wait is close
// enough to the shortest takes it. Every box computes the same ranking, so boxes share no
// index of prompts, and boxes with the same lagged view of loads still spread over all
// targets that are close enough.
//
//	c := placement.Chooser{Usable: (*target.Target).Usable, Wait: wait}
//	choice, err := c.Choose(now, placement.Request{Home: home, Slack: 100 * time.Millisecond}, targets)
package placement

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/target"
)

// Placement rules.
const (
	// RuleHome is the best-ranked target of all.
	RuleHome = "home"
	// RuleNext is the best-ranked target among those with a shorter wait, as the wait at
	// home is too long.
	RuleNext = "next in rank"
)

// Chooser chooses targets. Set the exported fields before first use; it is not safe for
// concurrent use.
type Chooser struct {
	// Usable says whether a target takes new work; it is (*target.Target).Usable.
	Usable func(t *target.Target, now time.Time) bool
	// Wait predicts how long a request sent now waits before it is processed.
	Wait func(t *target.Target) time.Duration

	// waits holds each target's wait, or ineligible, within one call.
	waits []time.Duration
}

// ineligible marks a target that can't be chosen.
const ineligible = -1

// Request is the input of a choice.
type Request struct {
	// Home ranks the targets.
	Home uint64
	// Slack is how much longer than the shortest wait the request may wait in order to
	// reach a better-ranked target, which probably has its cache.
	Slack time.Duration
	// Skip excludes targets for which it returns true; nil excludes none.
	Skip func(*target.Target) bool
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the chosen target's index in the given slice, Home that of the best-ranked
	// one.
	Index, Home int
	Rule        string
	// MinWait is the shortest wait, Wait the one at the chosen target.
	MinWait, Wait time.Duration
	// Usable counts the targets that could have been chosen.
	Usable int
}

// Hash returns the part of the ranking that depends on a target's name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight ranks a target, given by its Hash, for a home key; higher is better.
func Weight(home, hash uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	high, low := bits.Mul64(home^hash, odd^hash)
	return (high ^ low) * odd
}

// Choose returns the target for a request. It fails with trace.NotFound if no target is
// usable.
func (c *Chooser) Choose(now time.Time, request Request, targets []*target.Target) (Choice, error) {
	choice := Choice{Index: -1, Home: -1, MinWait: ineligible}
	c.waits = c.waits[:0]
	for _, t := range targets {
		wait := time.Duration(ineligible)
		if c.eligible(now, request, t) {
			wait = c.Wait(t)
			choice.Usable++
			if choice.MinWait == ineligible || wait < choice.MinWait {
				choice.MinWait = wait
			}
		}
		c.waits = append(c.waits, wait)
	}
	if choice.Usable == 0 {
		return choice, trace.NotFound("no target of the pool takes new work")
	}
	c.rank(request, targets, &choice)
	choice.Rule = RuleNext
	if choice.Index == choice.Home {
		choice.Rule = RuleHome
	}
	return choice, nil
}

// rank finds the best-ranked target of all, and of those within the slack.
func (c *Chooser) rank(request Request, targets []*target.Target, choice *Choice) {
	var best, home uint64
	maxWait := choice.MinWait + request.Slack
	for i, wait := range c.waits {
		if wait == ineligible {
			continue
		}
		weight := Weight(request.Home, targets[i].Hash)
		if choice.Home < 0 || weight > home {
			choice.Home, home = i, weight
		}
		if wait <= maxWait && (choice.Index < 0 || weight > best) {
			choice.Index, choice.Wait, best = i, wait, weight
		}
	}
}

func (c *Chooser) eligible(now time.Time, request Request, t *target.Target) bool {
	return c.Usable(t, now) && (request.Skip == nil || !request.Skip(t))
}
