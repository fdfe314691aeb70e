// Package flowrate measures how much passes per second, over about the last Window.
//
//	r := flowrate.Meter{Window: time.Second}
//	r.Start(now)
//	r.Add(now, 12000)        // tokens that became free
//	perSecond := r.Rate(now) // also right after the start
package flowrate

import (
	"math"
	"time"
)

// Meter is a rate. Set Window before first use; it is not safe for concurrent use.
type Meter struct {
	// Window is the time constant with which what passed is forgotten.
	Window time.Duration

	// startedAt is when the measurement began, at when sum, which decays, was last computed.
	startedAt, at time.Time
	sum           float64
}

// Start begins the measurement anew.
func (m *Meter) Start(now time.Time) { m.startedAt, m.at, m.sum = now, now, 0 }

// Lasted is how long the measurement has lasted; zero before Start.
func (m *Meter) Lasted(now time.Time) time.Duration {
	if m.startedAt.IsZero() {
		return 0
	}
	return now.Sub(m.startedAt)
}

// Add counts what passed now.
func (m *Meter) Add(now time.Time, amount float64) {
	m.decay(now)
	m.sum += amount
}

// Rate returns how much passes per second; zero at the moment of the start.
func (m *Meter) Rate(now time.Time) float64 {
	lasted := m.Lasted(now)
	if lasted <= 0 {
		return 0
	}
	m.decay(now)
	window := m.Window.Seconds()
	return m.sum / (window * (1 - math.Exp(-lasted.Seconds()/window)))
}

func (m *Meter) decay(now time.Time) {
	m.sum *= math.Exp(-now.Sub(m.at).Seconds() / m.Window.Seconds())
	m.at = now
}
