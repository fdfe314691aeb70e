// Package canary judges whether a new version of a service's software is worse than the
// current one, while a small share of the requests is sent to it. It knows nothing of
// boxes' addresses, rows or calls: its input is what boxes counted, its output the
// verdict.
//
//	j := canary.NewJudge()
//	j.Observe("box-3", "orders", canary.Counts{Good: 12, Bad: 1, BaselineGood: 160, BaselineBad: 3})
//	if j.Bad() { ... }
package canary

import (
	"time"

	"github.com/thymewind/thymewind/revision"
)

// Rollout is an operator's order to move a pool's requests to a version of its software,
// if that is no worse.
type Rollout struct {
	Pool string
	// Version is the software version as the targets report it; empty if the order cannot be
	// parsed: then no target that joins from then on is used.
	Version string
	// Order is the number of the operator's order, so that the same order repeated is a new
	// rollout.
	Order uint64
	// Timeout is how long it may take until it is decided.
	Timeout time.Duration
}

// restoreSpan is the range of Order between two restores of the table service, far more
// than the rows it writes.
const restoreSpan = 1 << 40

// OrderAt returns the order number for a change of the table service, rising over its
// restores.
func OrderAt(changed revision.Revision) uint64 {
	return changed.Restores*restoreSpan + changed.Number
}

// Same reports whether two rollouts are the same one: a restored table service has its
// older rows again, and the operator writes the lost ones again, so that the same rollout
// may have two order numbers.
func (r Rollout) Same(other Rollout) bool {
	return r.Order == other.Order || r.Pool == other.Pool && r.Version == other.Version && r.Order/restoreSpan != other.Order/restoreSpan
}

// State is the progress of a rollout. It only rises, except that Completing may become
// RolledBack.
type State int

// The states of a rollout.
const (
	// Trying sends the new version a share of the requests.
	Trying State = iota
	// Completing sends it all requests, while older targets finish theirs.
	Completing
	// Completed means that older targets may stop.
	Completed
	// RolledBack sends it no requests.
	RolledBack
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"trying", "completing", "completed", "rolled back"}[s]
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == RolledBack }
