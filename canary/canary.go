// Package canary judges whether a new version of a service's software is worse than the one
// that serves, while a small share of the requests is sent to it. It knows of no boxes'
// addresses, rows or calls: what boxes saw goes in, what to think of the version comes out.
//
//	j := canary.NewJudge()
//	j.See("box-3", "orders", canary.Counts{Good: 12, Bad: 1, OldGood: 160, OldBad: 3})
//	if j.Bad() { ... }
package canary

import (
	"time"

	"github.com/thymewind/thymewind/revision"
)

// Rollout is what the operator asks for: a pool's requests are to move to a version of its
// software, if that is no worse.
type Rollout struct {
	Pool string
	// Version is the software's, as its targets tell it; empty if what was asked for can't
	// be read, and then no target that comes from then on is to be used.
	Version string
	// Order numbers what was asked for, so that the same ask made again is another one.
	Order uint64
	// Timeout is how long it may take until it is decided.
	Timeout time.Duration
}

// restoreSpan is how many numbers an Order has between two restores of the table service, far
// more than it writes rows.
const restoreSpan = 1 << 40

// OrderAt numbers what was asked for by a change of the table service, over its restores.
func OrderAt(changed revision.Revision) uint64 {
	return changed.Restores*restoreSpan + changed.Number
}

// Same says that two asks are one: a restored table service has its older rows again, and the
// operator writes those it lost again, so that the same ask may come at two orders.
func (a Rollout) Same(b Rollout) bool {
	return a.Order == b.Order || a.Pool == b.Pool && a.Version == b.Version && a.Order/restoreSpan != b.Order/restoreSpan
}

// State is how far it has come. It only rises, but for Completing, which may yet be
// RolledBack.
type State int

// The states of a version that is tried out.
const (
	// Trying sends it a share of the requests.
	Trying State = iota
	// Completing sends it all requests, while older targets end what they run.
	Completing
	// Completed says that older targets may stop.
	Completed
	// RolledBack sends it nothing.
	RolledBack
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"trying", "completing", "completed", "rolled back"}[s]
}

// Ended says that the state changes no more.
func (s State) Ended() bool { return s == Completed || s == RolledBack }
