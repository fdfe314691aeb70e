// Package fair measures how much work each client account causes and detects accounts
// over their fair share of a pool's capacity.
//
//	m := fair.Meter{Window: 5 * time.Second}
//	if m.OverShare(now, "menu-app", 0.8*capacity) { refuse() }
//	m.Add(now, "menu-app", weight, 0.12) // engine-seconds
package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Meter tracks each account's recent work. Set Window before first use; it is not safe
// for concurrent use.
type Meter struct {
	// Window is the time constant of the exponential decay of work.
	Window time.Duration

	accounts map[string]*work
	swept    time.Time
}

type work struct {
	// sum decays with time; divided by the window it is a rate.
	sum    float64
	weight float64
	at     time.Time
}

// Add records work of an account, in engine-seconds.
func (m *Meter) Add(now time.Time, account string, weight int, seconds float64) {
	if m.accounts == nil {
		m.accounts = make(map[string]*work)
	}
	w, known := m.accounts[account]
	if !known {
		w = &work{at: now}
		m.accounts[account] = w
	}
	w.sum = w.decayed(now, m.Window) + seconds
	w.at = now
	w.weight = float64(max(weight, 1))
	m.sweep(now)
}

// Rate returns the engine-seconds a second that an account causes.
func (m *Meter) Rate(now time.Time, account string) float64 {
	w, known := m.accounts[account]
	if !known {
		return 0
	}
	return w.decayed(now, m.Window) / m.Window.Seconds()
}

// Accounts lists the accounts with work that has not decayed, in order.
func (m *Meter) Accounts() []string { return slices.Sorted(maps.Keys(m.accounts)) }

// Sum returns the engine-seconds a second that all accounts cause.
func (m *Meter) Sum(now time.Time) float64 {
	sum := 0.0
	for name := range m.accounts {
		sum += m.Rate(now, name)
	}
	return sum
}

// OverShare reports whether an account causes more than its fair share of capacity
// engine-seconds a second: what accounts leave of their shares goes to the others, by
// weight (max-min fairness). No account is over while the sum is within the capacity.
func (m *Meter) OverShare(now time.Time, account string, capacity float64) bool {
	w, known := m.accounts[account]
	if !known {
		return false
	}
	return m.Rate(now, account) > w.weight*m.level(now, capacity)
}

// level returns the share for a weight of 1 at which all accounts' work, each capped at
// its share, fills the capacity.
func (m *Meter) level(now time.Time, capacity float64) float64 {
	all := make([]Demand, 0, len(m.accounts))
	for name, w := range m.accounts {
		all = append(all, Demand{m.Rate(now, name), w.weight})
	}
	return Level(capacity, all)
}

// Demand is what an account asks for, and the weight of its share.
type Demand struct{ Amount, Weight float64 }

// Level returns the max-min share for a weight of 1: the level at which all demands, each capped
// at its share, fill the capacity. It is infinite if all demands fit. An amount may be infinite.
// Level sorts the list.
func Level(capacity float64, all []Demand) float64 {
	sum, weights := 0.0, 0.0
	for _, d := range all {
		sum += d.Amount
		weights += d.Weight
	}
	if sum <= capacity {
		return math.Inf(1)
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Amount/a.Weight, b.Amount/b.Weight) })
	for _, d := range all {
		if level := capacity / weights; d.Amount/d.Weight > level {
			return level
		}
		capacity -= d.Amount
		weights -= d.Weight
	}
	return math.Inf(1)
}

// sweep drops accounts whose work has decayed, once a window.
func (m *Meter) sweep(now time.Time) {
	const negligible = 1e-4
	if now.Sub(m.swept) < m.Window {
		return
	}
	m.swept = now
	for name, w := range m.accounts {
		if w.decayed(now, m.Window) < negligible {
			delete(m.accounts, name)
		}
	}
}

func (w *work) decayed(now time.Time, window time.Duration) float64 {
	return w.sum * math.Exp(-now.Sub(w.at).Seconds()/window.Seconds())
}
