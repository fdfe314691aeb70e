// Package fair measures how much work each client account causes and tells
// whether an account is over its fair share of what a pool can do.
//
//	m := fair.Meter{Window: 5 * time.Second}
//	if m.Over(now, "menu-app", 0.8*capacity) { refuse() }
//	m.Add(now, "menu-app", weight, 0.12) // seconds of an engine
package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Meter keeps each account's recent work. Set Window before first use; it is
// not safe for concurrent use.
type Meter struct {
	// Window is the time over which work fades.
	Window time.Duration

	accounts map[string]*work
	swept    time.Time
}

// work is what one account causes.
type work struct {
	// sum fades with time; divided by the window it is a rate.
	sum    float64
	weight float64
	at     time.Time
}

// Add notes work of an account, in engine-seconds.
func (m *Meter) Add(now time.Time, account string, weight int, seconds float64) {
	if m.accounts == nil {
		m.accounts = make(map[string]*work)
	}
	w, known := m.accounts[account]
	if !known {
		w = &work{at: now}
		m.accounts[account] = w
	}
	w.sum = w.faded(now, m.Window) + seconds
	w.at = now
	w.weight = float64(max(weight, 1))
	m.sweep(now)
}

// Rate is the work that an account causes a second.
func (m *Meter) Rate(now time.Time, account string) float64 {
	w, known := m.accounts[account]
	if !known {
		return 0
	}
	return w.faded(now, m.Window) / m.Window.Seconds()
}

// Accounts lists the accounts whose work has not faded, in order.
func (m *Meter) Accounts() []string { return slices.Sorted(maps.Keys(m.accounts)) }

// Sum is the work that all accounts cause a second.
func (m *Meter) Sum(now time.Time) float64 {
	sum := 0.0
	for name := range m.accounts {
		sum += m.Rate(now, name)
	}
	return sum
}

// OverShare says whether an account causes more than its fair share of capacity
// engine-seconds a second: what accounts with less than their share leave over
// goes to the others, by weight. Nobody is over while all fits.
func (m *Meter) OverShare(now time.Time, account string, capacity float64) bool {
	w, known := m.accounts[account]
	if !known {
		return false
	}
	return m.Rate(now, account) > w.weight*m.level(now, capacity)
}

// level is the share for a weight of 1 at which all accounts' work, each cut
// to its share, fills the capacity.
func (m *Meter) level(now time.Time, capacity float64) float64 {
	type demand struct{ rate, weight float64 }
	all := make([]demand, 0, len(m.accounts))
	sum, weights := 0.0, 0.0
	for name, w := range m.accounts {
		d := demand{m.Rate(now, name), w.weight}
		all = append(all, d)
		sum += d.rate
		weights += d.weight
	}
	if sum <= capacity {
		return math.Inf(1)
	}
	slices.SortFunc(all, func(a, b demand) int { return cmp.Compare(a.rate/a.weight, b.rate/b.weight) })
	for _, d := range all {
		if level := capacity / weights; d.rate/d.weight > level {
			return level
		}
		capacity -= d.rate
		weights -= d.weight
	}
	return math.Inf(1)
}

// sweep forgets accounts whose work has faded, once a window.
func (m *Meter) sweep(now time.Time) {
	const faded = 1e-4
	if now.Sub(m.swept) < m.Window {
		return
	}
	m.swept = now
	for name, w := range m.accounts {
		if w.faded(now, m.Window) < faded {
			delete(m.accounts, name)
		}
	}
}

func (w *work) faded(now time.Time, window time.Duration) float64 {
	return w.sum * math.Exp(-now.Sub(w.at).Seconds()/window.Seconds())
}
