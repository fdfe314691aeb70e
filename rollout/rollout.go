// Package rollout decides which targets are told to load a model's newest
// weights, a few at a time, so that the others go on serving.
//
//	p := rollout.Plan{Least: 2, Share: 0.2}
//	ids := p.Next(wanted, replicas)
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Order tells one target to load weights.
type Order struct {
	Target  string
	Model   string
	Version int64
	// Holder and Epoch are the lease's: targets refuse a lower epoch, where
	// they check it.
	Holder string
	Epoch  uint64
	// After is how many orders the target must have taken before; an order that
	// is carried out late then comes to nothing.
	After uint64
	// Until is when the lease ends: the order must not be sent later.
	Until time.Time
}

// Replica is a target as the rollout sees it.
type Replica struct {
	ID      string
	Version int64
	// Loading says that an order is under way there.
	Loading bool
	// Barred replicas get no order yet.
	Barred bool
	// Busy orders replicas: those with less work are first.
	Busy int
}

// Plan bounds a rollout.
type Plan struct {
	// Least is how many targets may always load at the same time, Share the
	// part of all that may.
	Least int
	Share float64
}

// atOnce is how many of some replicas load at the same time.
func (p Plan) atOnce(replicas int) int { return max(p.Least, int(p.Share*float64(replicas))) }

// Behind counts the replicas that don't have the wanted version.
func Behind(wanted int64, replicas []Replica) int {
	n := 0
	for _, r := range replicas {
		if r.Version < wanted {
			n++
		}
	}
	return n
}

// Least returns the lowest version of some replicas, or zero if there are none.
func Least(replicas []Replica) int64 {
	var least int64
	for i, r := range replicas {
		if i == 0 || r.Version < least {
			least = r.Version
		}
	}
	return least
}

// Next returns the replicas to order now: those with the oldest version first,
// as parts made on it are kept until no replica has it, then the least busy.
func (p Plan) Next(wanted int64, replicas []Replica) []string {
	loading := 0
	var behind []Replica
	for _, r := range replicas {
		switch {
		case r.Loading:
			loading++
		case r.Version < wanted && !r.Barred:
			behind = append(behind, r)
		}
	}
	slices.SortStableFunc(behind, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Busy, b.Busy))
	})
	var next []string
	for _, r := range behind[:min(len(behind), max(p.atOnce(len(replicas))-loading, 0))] {
		next = append(next, r.ID)
	}
	return next
}
