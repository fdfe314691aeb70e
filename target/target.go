// Package target describes one replica that requests are sent to, as this
// daemon sees it: the platform's list, the target's own lagged report, and what
// the daemon itself has sent since.
package target

import (
	"net/netip"
	"time"
)

// Target is one model engine or plain service.
type Target struct {
	Name    string
	Address netip.AddrPort
	Pool    string
	// Domain is the failure domain.
	Domain string
	// Version is the weight version last reported. Engines only.
	Version string
	// Loading says that it loads weights and starts no run meanwhile.
	Loading bool
	// Listed says that the platform's list has the target as live.
	Listed bool
	// Leaving is set by the list, by the target's own answer or by a peer, and
	// is never cleared while the target stays at its address.
	Leaving bool
	// Running, Waiting and Slots are the target's last report.
	Running, Waiting, Slots int
	// ReportedAt is when the report was received; zero means never.
	ReportedAt time.Time
	// SentSince counts this daemon's own dispatches since the report.
	SentSince int
	// InFlight counts this daemon's requests under way on the target.
	InFlight int
	// Failures counts failures in a row.
	Failures int
	// AvoidUntil keeps new work off after failures.
	AvoidUntil time.Time
	// Hash is the target's part of rendezvous ranking; it depends on Name only.
	Hash uint64
	// FirstToken is a moving mean of the time to first token seen here, zero
	// if none was.
	FirstToken time.Duration
}

// Usable says whether new work may be sent at now. A target is unusable from
// the moment anyone says that it is leaving.
func (t *Target) Usable(now time.Time) bool {
	return t.Listed && !t.Leaving && !t.Loading && !now.Before(t.AvoidUntil)
}

// Load estimates the requests on the target: its report plus what was sent
// since, and at least what this daemon itself has under way.
func (t *Target) Load() int {
	return max(t.Running+t.Waiting+t.SentSince, t.InFlight)
}
