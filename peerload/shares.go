// Package peerload adds up what the requests of other boxes take up at each
// target, as those boxes tell it.
//
//	s := shares.New()
//	s.Set(now, "box-2", told)   // in place of what box-2 told before
//	tokens, unread := s.Of(target)
//
// It holds one entry for each box and target, and the sums, so that asking for
// one target costs the same however many boxes there are.
package peerload

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// Totals is not safe for concurrent use.
type Totals struct {
	boxes map[string]*box
	// total is the sum over boxes, by target. It holds no empty share.
	total map[uint64]peer.TargetLoad
}

// box is what one box told.
type box struct {
	heard  time.Time
	shares map[uint64]peer.TargetLoad
}

// New returns an empty sum.
func New() *Totals {
	return &Totals{boxes: make(map[string]*box), total: make(map[uint64]peer.TargetLoad)}
}

// Set takes what a box told in place of what it told before.
func (s *Totals) Set(now time.Time, name string, list []peer.TargetLoad) {
	s.forget(name)
	b := &box{heard: now, shares: make(map[uint64]peer.TargetLoad, len(list))}
	s.boxes[name] = b
	for _, share := range list {
		s.add(b, share)
	}
}

// Add counts something for a box that it will tell of itself. It changes nothing
// for a box that was not heard of.
func (s *Totals) Add(name string, share peer.TargetLoad) {
	if b := s.boxes[name]; b != nil {
		s.add(b, share)
	}
}

func (s *Totals) add(b *box, share peer.TargetLoad) {
	b.shares[share.Target] = share.Add(b.shares[share.Target])
	s.total[share.Target] = share.Add(s.total[share.Target])
}

// take takes a share away from the total.
func (s *Totals) take(share peer.TargetLoad) {
	left := s.total[share.Target].Sub(share)
	if left.IsZero() {
		delete(s.total, share.Target)
		return
	}
	s.total[share.Target] = left
}

// Expire forgets the boxes that were not heard since a time.
func (s *Totals) Expire(since time.Time) {
	for name, b := range s.boxes {
		if b.heard.Before(since) {
			s.forget(name)
		}
	}
}

func (s *Totals) forget(name string) {
	b := s.boxes[name]
	if b == nil {
		return
	}
	delete(s.boxes, name)
	for _, share := range b.shares {
		s.take(share)
	}
}

// Boxes counts the boxes heard.
func (s *Totals) Boxes() int { return len(s.boxes) }

// Of returns what all boxes heard tell of a target or store.
func (s *Totals) Of(target uint64) peer.TargetLoad { return s.total[target] }

// Without returns what the boxes heard take up by target, but for some boxes.
func (s *Totals) Without(names []string) map[uint64]peer.TargetLoad {
	rest := maps.Clone(s.total)
	for _, name := range names {
		b := s.boxes[name]
		if b == nil {
			continue
		}
		for target, share := range b.shares {
			rest[target] = rest[target].Sub(share)
		}
	}
	return rest
}
