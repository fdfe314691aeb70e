// Package grace bounds for how long after a restore of the table service its rows prove
// nothing, as their writers have yet to write again what the restore lost.
//
//	p := grace.Period{Length: 2 * time.Second, Max: 4 * time.Second}
//	p.Begin(now, restores)
//	if !p.Covers(requestedAt) {
//		noteProof(requestedAt)
//	}
package grace

import "time"

// Period is the grace period after the last restore. Set the exported fields before the first
// Begin. It is not safe for concurrent use.
type Period struct {
	// Length is how long the writers may take after one restore.
	Length time.Duration
	// Max bounds a period that further restores extend, so that restores in a row don't
	// extend it without end. It is at least Length.
	Max time.Duration

	// restores is the highest number of restores seen.
	restores uint64
	// since and until are the begin and the end of the last period.
	since, until time.Time
}

// Begin begins or extends the period if there were more restores than seen before, and
// reports whether there were.
func (p *Period) Begin(now time.Time, restores uint64) bool {
	if restores <= p.restores {
		return false
	}
	p.restores = restores
	if !now.Before(p.until) {
		p.since = now
	}
	p.until = now.Add(p.Length)
	if latest := p.since.Add(p.Max); p.until.After(latest) {
		p.until = latest
	}
	return true
}

// End ends the period, as the rows are known to be written again after so many restores. It
// reports whether a period was running. A higher number of restores than seen before begins
// none any more.
func (p *Period) End(now time.Time, restores uint64) bool {
	if restores < p.restores {
		return false
	}
	p.restores = restores
	if !now.Before(p.until) {
		return false
	}
	p.until = now
	return true
}

// Covers reports whether a read that was sent at a time is in the period and so proves
// nothing.
func (p *Period) Covers(sent time.Time) bool { return sent.Before(p.until) }

// Left returns for how long the period goes on.
func (p *Period) Left(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }

// Restores returns the highest number of restores seen.
func (p *Period) Restores() uint64 { return p.restores }
