// Package weights rolls a pool over to another weight version, a few targets
// at a time, so that capacity is kept and the weight store is not crowded.
//
//	r := weights.Rollout{Patience: time.Minute}
//	for _, name := range r.Next(now, "v8", targets) { order(name, "v8") }
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/target"
)

// MaxLoading is how many targets of a pool load weights at once; more would
// slow each other down.
const MaxLoading = 2

// Rollout remembers which targets were ordered to load. Set the exported
// fields before first use; it is not safe for concurrent use.
type Rollout struct {
	// Timeout is how long an ordered load counts as under way. After that the
	// order is given again.
	Timeout time.Duration

	// ordered holds when each target was ordered to load which version.
	ordered map[string]order
}

type order struct {
	version string
	at      time.Time
}

// Note records an order that was given, by this daemon or an earlier holder of
// the duty.
func (r *Rollout) Note(name, version string, at time.Time) {
	if r.ordered == nil {
		r.ordered = make(map[string]order)
	}
	r.ordered[name] = order{version, at}
}

// Next returns the targets to order now, the least loaded first. Together with
// those under way they are at most MaxLoading, and at most a third of the
// targets, but at least one.
func (r *Rollout) Next(now time.Time, version string, targets []*target.Target) []string {
	var wrong []*target.Target
	loading, listed := 0, 0
	for _, t := range targets {
		if !t.Listed || t.Leaving {
			continue
		}
		listed++
		switch {
		case r.underWay(now, t) || t.Loading:
			loading++
		case t.Version != version && !t.ReportedAt.IsZero():
			wrong = append(wrong, t)
		}
	}
	slices.SortFunc(wrong, func(a, b *target.Target) int {
		return cmp.Or(cmp.Compare(a.Load(), b.Load()), cmp.Compare(a.Name, b.Name))
	})
	room := min(MaxLoading, max(1, listed/3)) - loading
	var names []string
	for _, t := range wrong[:min(max(room, 0), len(wrong))] {
		names = append(names, t.Name)
	}
	return names
}

// underWay says whether a target was ordered to load a version that it does
// not report yet. A report read before the order does not count.
func (r *Rollout) underWay(now time.Time, t *target.Target) bool {
	o, known := r.ordered[t.Name]
	if !known {
		return false
	}
	if (t.Version == o.version && t.ReportedAt.After(o.at)) || now.Sub(o.at) > r.Timeout {
		delete(r.ordered, t.Name)
		return false
	}
	return true
}
