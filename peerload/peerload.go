// Package peerload sums up the load that the requests of other boxes put on each target,
// as those boxes report it.
//
//	t := peerload.New()
//	t.Set(now, "box-2", loads) // replaces what box-2 reported before
//	load := t.Of(target)
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
	// late counts the targets in total with late answers.
	late int
}

// box is the last report of one box.
type box struct {
	reportedAt time.Time
	loads      map[uint64]peer.TargetLoad
}

// New returns totals without any box.
func New() *Totals {
	return &Totals{boxes: make(map[string]*box), total: make(map[uint64]peer.TargetLoad)}
}

// Set replaces what a box reported before.
func (t *Totals) Set(now time.Time, name string, list []peer.TargetLoad) {
	t.Drop(name)
	b := &box{reportedAt: now, loads: make(map[uint64]peer.TargetLoad, len(list))}
	t.boxes[name] = b
	for _, load := range list {
		t.add(b, load)
	}
}

// Add counts load for a box ahead of its next report. It changes nothing for a box that
// has not reported.
func (t *Totals) Add(name string, load peer.TargetLoad) {
	if b := t.boxes[name]; b != nil {
		t.add(b, load)
	}
}

func (t *Totals) add(b *box, load peer.TargetLoad) {
	b.loads[load.Target] = load.Add(b.loads[load.Target])
	t.setTotal(load.Add(t.total[load.Target]))
}

// sub subtracts a box's load from the total.
func (t *Totals) sub(load peer.TargetLoad) {
	left := t.total[load.Target].Sub(load)
	left.Target = load.Target
	t.setTotal(left)
}

func (t *Totals) setTotal(load peer.TargetLoad) {
	if t.total[load.Target].LateTenths > 0 {
		t.late--
	}
	if load.LateTenths > 0 {
		t.late++
	}
	if load.IsZero() {
		delete(t.total, load.Target)
		return
	}
	t.total[load.Target] = load
}

// AnyLate reports whether a box reported late answers of any target.
func (t *Totals) AnyLate() bool { return t.late > 0 }

// Expire drops the boxes that have not reported since a time.
func (t *Totals) Expire(since time.Time) {
	for name, b := range t.boxes {
		if b.reportedAt.Before(since) {
			t.Drop(name)
		}
	}
}

// Drop removes what a box reported.
func (t *Totals) Drop(name string) {
	b := t.boxes[name]
	if b == nil {
		return
	}
	delete(t.boxes, name)
	for _, load := range b.loads {
		t.sub(load)
	}
}

// Boxes returns how many boxes have reported.
func (t *Totals) Boxes() int { return len(t.boxes) }

// Of returns the load of all boxes on a target or store.
func (t *Totals) Of(target uint64) peer.TargetLoad { return t.total[target] }

// Without returns the load by target, leaving out some boxes and targets without load.
func (t *Totals) Without(names []string) map[uint64]peer.TargetLoad {
	rest := maps.Clone(t.total)
	for _, name := range names {
		b := t.boxes[name]
		if b == nil {
			continue
		}
		for target, load := range b.loads {
			left := rest[target].Sub(load)
			left.Target = target
			if left.IsZero() {
				delete(rest, target)
				continue
			}
			rest[target] = left
		}
	}
	return rest
}
