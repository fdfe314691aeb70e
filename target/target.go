// Package target holds this daemon's view of one replica that serves requests: the
// platform's list, the target's own delayed load report, and the requests that the
// daemon has sent since that report.
package target

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one model engine or plain service. The fields that each placement reads
// come first, so that they share cache lines.
type Target struct {
	// Hash is the target's hash for rendezvous ranking. It depends on Name only.
	Hash uint64
	// Listed says that the platform's list shows the target as live.
	Listed bool
	// Leaving is set by the list, by the target's own answer or by a peer. It is
	// cleared only after a time without any such signal; see
	// dispatch.Scheduler.ExpireLeaving.
	Leaving bool
	// Loading says that the target is loading weights and starts no run meanwhile.
	Loading bool
	// AvoidUntil is the end of the ejection after failures, BackoffUntil the end of a
	// backoff that the target asked for.
	AvoidUntil, BackoffUntil time.Time
	// Running, Waiting and Slots are from the target's last report.
	Running, Waiting, Slots int
	// SentSince counts the requests that this daemon sent since the report.
	SentSince int
	// InFlight counts this daemon's requests in flight on the target.
	InFlight int
	// slowdown is the target's prefill time relative to its pool's mean, as learned
	// at slowdownAt; zero if nothing was learned.
	slowdown   float64
	slowdownAt time.Time
	// queue models the prompts that wait for prefill.
	queue queue

	// Limited says that the target accepts at most Rate requests per second from all boxes
	// together, as it signalled itself.
	Limited bool
	Rate    float64

	// ID is the hash of Name and Address; see the function ID.
	ID      uint64
	Name    string
	Address netip.AddrPort
	Pool    string
	// Domain is the failure domain.
	Domain string
	// Version is the weight version last reported. Engines only.
	Version string
	// ReportedAt is the time that the last report describes; zero if there is none.
	ReportedAt time.Time
	// LeavingAt is when the list or the target last signalled that it is leaving.
	LeavingAt time.Time
	// Failures counts consecutive failures.
	Failures int
}

// ID identifies a target at an address among peers. The chance that two of a few
// thousand targets share an ID is about 10^-12. The worst effect is that one is
// mistaken for the other until its own report arrives.
func ID(name string, address netip.AddrPort) uint64 {
	return xxhash.Sum64String(name + "@" + address.String())
}

// Usable reports whether new work may be sent at now. A target is unusable while it is
// not listed, leaving, loading weights, ejected after failures or in a backoff.
func (t *Target) Usable(now time.Time) bool {
	return t.Listed && !t.Leaving && !t.Loading && passed(now, t.AvoidUntil) && passed(now, t.BackoffUntil)
}

// passed reports whether a time has passed or was never set.
func passed(now, until time.Time) bool { return until.IsZero() || !now.Before(until) }

// ApplyReport applies the target's own load report, which describes the target at an earlier
// time at. busy is the predicted time for the prompts that waited for prefill then.
func (t *Target) ApplyReport(at time.Time, running, waiting int, busy time.Duration) {
	t.Running, t.Waiting = running, waiting
	t.ReportedAt = at
	t.SentSince = 0
	t.queue.report(SinceStart(at), busy)
}

// RecordSent counts a request sent at now whose prefill is predicted to take busy.
func (t *Target) RecordSent(now time.Time, busy time.Duration) {
	t.SentSince++
	t.queue.send(SinceStart(now), busy)
}

// Slowdown estimates the target's prefill time relative to its pool's mean, at least 1.
// The estimate decays, so that a target that has recovered gets requests again.
func (t *Target) Slowdown(now time.Time) float64 {
	const (
		maxSlowdown = 50.0
		// negligible is the slowdown below which a target counts as average.
		negligible = 1.05
		halfLife   = 30 * time.Second
	)
	if t.slowdown < negligible {
		return 1
	}
	age := now.Sub(t.slowdownAt).Seconds() / halfLife.Seconds()
	return min(1+(t.slowdown-1)*math.Exp2(-age), maxSlowdown)
}

// ObservePrefill adds a sample: a prefill took times as long as the pool's mean. The
// estimate is an exponentially weighted moving average.
func (t *Target) ObservePrefill(now time.Time, times float64) {
	const weight = 0.2
	t.slowdown = t.Slowdown(now)
	t.slowdown += (times - t.slowdown) * weight
	t.slowdownAt = now
}

// Wait predicts how long a request sent at now waits for the prompts ahead of it and,
// if all slots are taken, for a free slot. run is the predicted time of a run in its
// slot.
func (t *Target) Wait(now time.Time, run time.Duration) time.Duration {
	return t.WaitAt(SinceStart(now), run)
}

// WaitAt is Wait with a time from SinceStart, for callers that compare many targets.
func (t *Target) WaitAt(at, run time.Duration) time.Duration {
	wait := t.queue.wait(at)
	if over := t.Load() + 1 - t.Slots; over > 0 && t.Slots > 0 {
		wait += run * time.Duration(over) / time.Duration(t.Slots)
	}
	return wait
}

// Load estimates the requests on the target: its report plus the requests sent since,
// but at least this daemon's requests in flight.
func (t *Target) Load() int {
	return max(t.Running+t.Waiting+t.SentSince, t.InFlight)
}
