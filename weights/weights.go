// Package weights rolls a pool out to another weight version, a few targets at a time, to
// keep capacity and not to overload the weight store.
//
//	r := weights.Rollout{Timeout: time.Minute}
//	for _, name := range r.Next(now, "v8", targets) { order(name, "v8") }
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/target"
)

// MaxLoading is how many targets of a pool load weights at once; more would slow each
// other down.
const MaxLoading = 2

// Rollout tracks which targets were ordered to load. Set the exported fields before first
// use; it is not safe for concurrent use.
type Rollout struct {
	// Timeout is how long an ordered load counts as in progress. After that the order is
	// repeated.
	Timeout time.Duration

	// ordered holds the last order by target name.
	ordered map[string]order
}

type order struct {
	version string
	at      time.Time
}

// Note records an order that was given, by this daemon or an earlier holder of the lease.
func (r *Rollout) Note(name, version string, at time.Time) {
	if r.ordered == nil {
		r.ordered = make(map[string]order)
	}
	r.ordered[name] = order{version, at}
}

// Next returns the targets to order now, the least loaded first. Together with those in
// progress they are at most MaxLoading, and at most a third of the targets, but at least
// one.
func (r *Rollout) Next(now time.Time, version string, targets []*target.Target) []string {
	var outdated []*target.Target
	loading, listed := 0, 0
	for _, t := range targets {
		if !t.Listed || t.Leaving {
			continue
		}
		listed++
		switch {
		case r.inProgress(now, t) || t.Loading:
			loading++
		case t.Version != version && !t.ReportedAt.IsZero():
			outdated = append(outdated, t)
		}
	}
	slices.SortFunc(outdated, func(a, b *target.Target) int {
		return cmp.Or(cmp.Compare(a.Load(), b.Load()), cmp.Compare(a.Name, b.Name))
	})
	room := min(MaxLoading, max(1, listed/3)) - loading
	var names []string
	for _, t := range outdated[:min(max(room, 0), len(outdated))] {
		names = append(names, t.Name)
	}
	return names
}

// inProgress reports whether a target was ordered to load a version that it does not
// report yet. A report from before the order does not count.
func (r *Rollout) inProgress(now time.Time, t *target.Target) bool {
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
