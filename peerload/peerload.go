// Package peerload sums up the load that the requests of other boxes put on each target,
// as those boxes report it.
//
//	s := peerload.New()
//	s.Set(now, "box-2", usage)   // replaces what box-2 reported before
//	usage := s.Of(target)
//
// It holds one entry for each box and target, and the totals, so that a lookup costs the
// same for any number of boxes.
package peerload

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// Totals is not safe for concurrent use.
type Totals struct {
	boxes map[string]*box
	// total is the sum over boxes, by target, without zero entries.
	total map[uint64]peer.TargetLoad
}

// box is the last report of one box.
type box struct {
	reportedAt time.Time
	shares     map[uint64]peer.TargetLoad
}

// New returns totals without any box.
func New() *Totals {
	return &Totals{boxes: make(map[string]*box), total: make(map[uint64]peer.TargetLoad)}
}

// Set replaces what a box reported before.
func (s *Totals) Set(now time.Time, name string, list []peer.TargetLoad) {
	s.drop(name)
	b := &box{reportedAt: now, shares: make(map[uint64]peer.TargetLoad, len(list))}
	s.boxes[name] = b
	for _, share := range list {
		s.add(b, share)
	}
}

// Add counts load for a box ahead of its next report. It changes nothing for a box that
// has not reported.
func (s *Totals) Add(name string, share peer.TargetLoad) {
	if b := s.boxes[name]; b != nil {
		s.add(b, share)
	}
}

func (s *Totals) add(b *box, share peer.TargetLoad) {
	b.shares[share.Target] = share.Add(b.shares[share.Target])
	s.total[share.Target] = share.Add(s.total[share.Target])
}

// sub subtracts a box's load from the total.
func (s *Totals) sub(share peer.TargetLoad) {
	left := s.total[share.Target].Sub(share)
	if left.IsZero() {
		delete(s.total, share.Target)
		return
	}
	s.total[share.Target] = left
}

// Expire drops the boxes that have not reported since a time.
func (s *Totals) Expire(since time.Time) {
	for name, b := range s.boxes {
		if b.reportedAt.Before(since) {
			s.drop(name)
		}
	}
}

func (s *Totals) drop(name string) {
	b := s.boxes[name]
	if b == nil {
		return
	}
	delete(s.boxes, name)
	for _, share := range b.shares {
		s.sub(share)
	}
}

// Boxes returns how many boxes have reported.
func (s *Totals) Boxes() int { return len(s.boxes) }

// Of returns the load of all boxes on a target or store.
func (s *Totals) Of(target uint64) peer.TargetLoad { return s.total[target] }

// Without returns the load by target, leaving out some boxes.
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
