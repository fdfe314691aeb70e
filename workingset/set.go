// Package workingset says which of a pool's targets the work goes to, where more stand there
// than the work needs: the first in an order that all boxes work out alike, more of them as
// they fill. What is done for each target in use (following its news, telling other boxes of it,
// weighing it for each request) then costs what the work needs, however many there are.
//
//	var s workingset.Set
//	s.Fit(now, 0.6)                       // their memory is taken up by 0.6
//	members := s.Of(targets, open, size)
package workingset

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

const (
	// minSize is how many targets a set has at least, if there are as many. A box that follows
	// the news of 512 makes 1,300 calls a second.
	minSize = 512
	// growAt is the share of its targets' memory from which on a set doubles, and idles that
	// below which it halves, after idleFor. Below idles what is left after halving is well
	// below fills.
	growAt      = 0.4
	shrinkAt    = 0.1
	shrinkAfter = time.Minute
)

// Set is how many targets of one pool are in use. The zero value is ready; it is not safe for
// concurrent use.
type Set struct {
	// doublings is how often least was doubled.
	doublings int
	// idleSince is since when the set is too large; zero if it is not.
	idleSince time.Time
}

// Size is how many targets are in use, if there are as many.
func (s *Set) Size() int { return minSize << s.doublings }

// Resize takes over which share of the memory of the targets in use is taken up, and whether they
// are all that there are. It says whether the size changed.
func (s *Set) Resize(now time.Time, share float64, all bool) bool {
	switch {
	case share >= growAt && !all:
		s.doublings++
		s.idleSince = time.Time{}
		return true
	case share >= shrinkAt || s.doublings == 0:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero():
		s.idleSince = now
	case now.Sub(s.idleSince) >= shrinkAfter:
		s.doublings--
		s.idleSince = time.Time{}
		return true
	}
	return false
}

// Members returns the targets in use, by their IDs: the first that are open in the order of their
// IDs' hashes. One that closes gives its place to the next, and has it back when it opens.
func (s *Set) Members(targets []*fleet.Target, open func(*fleet.Target) bool) []*fleet.Target {
	if len(targets) <= s.Size() {
		return targets
	}
	ranked := make([]rankedTarget, 0, len(targets))
	for _, t := range targets {
		if open(t) {
			ranked = append(ranked, rankOf(t))
		}
	}
	slices.SortFunc(ranked, func(a, b rankedTarget) int { return cmp.Compare(a.rank, b.rank) })
	members := make([]*fleet.Target, 0, s.Size())
	for _, r := range ranked[:min(s.Size(), len(ranked))] {
		members = append(members, r.target)
	}
	slices.SortFunc(members, func(a, b *fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// rankedTarget is a target and its place in the order.
type rankedTarget struct {
	rank   uint64
	target *fleet.Target
}

func rankOf(t *fleet.Target) rankedTarget { return rankedTarget{placement.Hash(t.ID), t} }
