// Package workingset chooses which of a pool's targets are used when there are more than the
// work needs: the first in an order that all boxes compute alike, and more of them as they
// fill. The cost of what is done for each target in use (watching its cache events, gossiping
// its load, evaluating it for each request) then depends on the work, not on the pool's size.
//
//	var s workingset.Set
//	s.Resize(now, 0.6, false) // 60% of their memory is in use
//	members := s.Members(targets, open)
package workingset

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

const (
	// minSize is the smallest size of a set, if there are as many targets. A box that watches
	// the cache events of 512 makes 1,300 calls a second.
	minSize = 512
	// growAt is the share of the targets' memory in use from which on a set doubles,
	// shrinkAt the one below which it halves, after shrinkAfter. Below shrinkAt, the share
	// after halving is well below growAt.
	growAt      = 0.4
	shrinkAt    = 0.1
	shrinkAfter = time.Minute
)

// Set is the number of targets of one pool in use. The zero value is ready; it is not safe
// for concurrent use.
type Set struct {
	// doublings is how often minSize was doubled.
	doublings int
	// idleSince is since when the set is too large; zero if it is not.
	idleSince time.Time
}

// Size is how many targets are in use, if there are as many.
func (s *Set) Size() int { return minSize << s.doublings }

// Resize adjusts the size to the share of memory in use at the targets in use; all says
// that there are no other targets. It reports whether the size changed.
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

// Members returns the targets in use, sorted by ID: the first open ones in the order of
// their IDs' hashes. While a target is not open, the next one in that order replaces it.
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

// rankedTarget is a target and its rank.
type rankedTarget struct {
	rank   uint64
	target *fleet.Target
}

func rankOf(t *fleet.Target) rankedTarget { return rankedTarget{placement.Hash(t.ID), t} }
