// Package rollout selects the targets to load a model's newest weights, a few at a
// time, so that the others continue to serve.
//
//	p := rollout.Plan{MinConcurrent: 2, ConcurrentShare: 0.2}
//	ids := p.Next(newest, replicas)
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
	// Holder and Epoch are those of the lease. Epoch is the fencing token: targets
	// that check it refuse a lower one.
	Holder string
	Epoch  uint64
	// OrdersTaken is the number of orders that the target must have taken before this
	// one. It makes a delayed order ineffective.
	OrdersTaken uint64
	// Until is the end of the lease. The order must not be sent later.
	Until time.Time
}

// Replica is the state of one target in the rollout.
type Replica struct {
	ID      string
	Version int64
	// Loading says that an order is in progress.
	Loading bool
	// Barred replicas get no order for now.
	Barred bool
	// Busy is the replica's load; less busy replicas are ordered first.
	Busy int
}

// Plan bounds a rollout.
type Plan struct {
	// At most the larger of MinConcurrent targets and ConcurrentShare of all targets
	// load at the same time.
	MinConcurrent   int
	ConcurrentShare float64
}

// concurrentLoads returns how many of a number of replicas may load at the same time.
func (p Plan) concurrentLoads(replicas int) int {
	return max(p.MinConcurrent, int(p.ConcurrentShare*float64(replicas)))
}

// Behind returns the number of replicas with a version older than newest.
func Behind(newest int64, replicas []Replica) int {
	n := 0
	for _, r := range replicas {
		if r.Version < newest {
			n++
		}
	}
	return n
}

// MinVersion returns the lowest version of the replicas, or zero if there are none.
func MinVersion(replicas []Replica) int64 {
	var least int64
	for i, r := range replicas {
		if i == 0 || r.Version < least {
			least = r.Version
		}
	}
	return least
}

// Next returns the replicas to order now: the oldest version first, as its cached
// parts are kept until no replica has that version, then the least busy.
func (p Plan) Next(newest int64, replicas []Replica) []string {
	loading := 0
	var behind []Replica
	for _, r := range replicas {
		switch {
		case r.Loading:
			loading++
		case r.Version < newest && !r.Barred:
			behind = append(behind, r)
		}
	}
	slices.SortStableFunc(behind, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Busy, b.Busy))
	})
	var next []string
	for _, r := range behind[:min(len(behind), max(p.concurrentLoads(len(replicas))-loading, 0))] {
		next = append(next, r.ID)
	}
	return next
}
