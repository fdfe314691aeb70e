// Package target describes one replica that requests are sent to, as this
// daemon sees it: the platform's list, the target's own lagged report, and what
// the daemon itself has sent since.
package target

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one model engine or plain service. The fields that each placement
// reads come first, so that they share cache lines.
type Target struct {
	// Hash is the target's part of rendezvous ranking; it depends on Name only.
	Hash uint64
	// Listed says that the platform's list has the target as live.
	Listed bool
	// Leaving is set by the list, by the target's own answer or by a peer. It is
	// cleared only when nothing has said so for long; see Board.StillLeaving.
	Leaving bool
	// Loading says that it loads weights and starts no run meanwhile.
	Loading bool
	// AvoidUntil keeps new work off after failures, BackoffUntil as the target asked for a
	// time without requests.
	AvoidUntil, BackoffUntil time.Time
	// Running, Waiting and Slots are the target's last report.
	Running, Waiting, Slots int
	// SentSince counts this daemon's own dispatches since the report.
	SentSince int
	// InFlight counts this daemon's requests under way on the target.
	InFlight int
	// slowdown is how many times longer the target computed than its pool's mean,
	// as learned at slowAt; zero if nothing was.
	slowdown   float64
	slowdownAt time.Time
	// queue is the prompts that wait to be computed.
	queue queue

	// Limited says that it takes no more than Rate requests a second of all boxes together, as
	// it said.
	Limited bool
	Rate    float64

	// ID is that of Name and Address.
	ID      uint64
	Name    string
	Address netip.AddrPort
	Pool    string
	// Domain is the failure domain.
	Domain string
	// Version is the weight version last reported. Engines only.
	Version string
	// ReportedAt is when the report was received; zero means never.
	ReportedAt time.Time
	// LeavingAt is when the list or the target last said that it is leaving.
	LeavingAt time.Time
	// Failures counts failures in a row.
	Failures int
}

// ID names a target at an address, for peers. Two of a few thousand share one
// by chance once in 10^12; the worst is that one is taken for the other until
// its own report comes.
func ID(name string, address netip.AddrPort) uint64 {
	return xxhash.Sum64String(name + "@" + address.String())
}

// Usable says whether new work may be sent at now. A target is unusable from
// the moment anyone says that it is leaving, and for the time for which it asked for no
// requests.
func (t *Target) Usable(now time.Time) bool {
	return t.Listed && !t.Leaving && !t.Loading && passed(now, t.AvoidUntil) && passed(now, t.BackoffUntil)
}

// passed says that a time is over, or was never set.
func passed(now, until time.Time) bool { return until.IsZero() || !now.Before(until) }

// Report takes the target's own report over, which tells how it was at a time
// that lies back a while. busy is how long the prompts that were still to be
// computed then take.
func (t *Target) Report(at time.Time, running, waiting int, busy time.Duration) {
	t.Running, t.Waiting = running, waiting
	t.ReportedAt = at
	t.SentSince = 0
	t.queue.report(Since(at), busy)
}

// Send counts a request in that is sent now and takes the target about busy to
// compute.
func (t *Target) Send(now time.Time, busy time.Duration) {
	t.SentSince++
	t.queue.send(Since(now), busy)
}

// Slowness is how many times longer than its pool's mean the target is thought
// to compute. What was learned fades, so that a target that has recovered is
// tried again.
func (t *Target) Slowness(now time.Time) float64 {
	const (
		most     = 50.0
		little   = 1.05
		halfLife = 30 * time.Second
	)
	if t.slowdown < little {
		return 1
	}
	age := now.Sub(t.slowdownAt).Seconds() / halfLife.Seconds()
	return min(1+(t.slowdown-1)*math.Exp2(-age), most)
}

// Computed takes in that the target took so many times longer than its pool's
// mean to compute a prompt.
func (t *Target) Computed(now time.Time, times float64) {
	const part = 0.2
	t.slowdown = t.Slowness(now)
	t.slowdown += (times - t.slowdown) * part
	t.slowdownAt = now
}

// Wait predicts how long a request sent now waits for its turn: behind the
// prompts that are still to be computed, and for a slot when all are taken,
// each for about run.
func (t *Target) Wait(now time.Time, run time.Duration) time.Duration {
	return t.WaitAt(Since(now), run)
}

// WaitAt is Wait for callers that look at many targets at one time.
func (t *Target) WaitAt(at, run time.Duration) time.Duration {
	wait := t.queue.wait(at)
	if over := t.Load() + 1 - t.Slots; over > 0 && t.Slots > 0 {
		wait += run * time.Duration(over) / time.Duration(t.Slots)
	}
	return wait
}

// Load estimates the requests on the target: its report plus what was sent
// since, and at least what this daemon itself has under way.
func (t *Target) Load() int {
	return max(t.Running+t.Waiting+t.SentSince, t.InFlight)
}
