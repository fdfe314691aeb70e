package retry

import (
	"maps"
	"sync"
)

// SharedBudget is a retry budget that many boxes share: they deposit the credit that
// their requests earn and spend one for each retry. A box with few requests can then
// retry as soon as any box has earned it; with a share of its own it would save up for
// minutes.
//
//	b := retry.SharedBudget{}
//	b.SetBurst(70)
//	b.Deposit("menu", 0.14)
//	if b.Spend("menu") { retryRequest() }
//
// The zero value holds no credit and accepts none until SetBurst. It is safe for
// concurrent use.
type SharedBudget struct {
	mu      sync.Mutex
	burst   float64
	balance map[string]float64
}

// SetBurst changes the largest balance of each pool. Balances above it are cut to it.
func (b *SharedBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	for pool, balance := range b.balance {
		b.balance[pool] = min(balance, burst)
	}
}

// Deposit adds credit that requests earned. Negative amounts count as zero.
func (b *SharedBudget) Deposit(pool string, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance == nil {
		b.balance = make(map[string]float64)
	}
	b.balance[pool] = min(b.burst, b.balance[pool]+max(amount, 0))
}

// Spend takes one retry out, or returns false if less than one is left.
func (b *SharedBudget) Spend(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance[pool] < 1 {
		return false
	}
	b.balance[pool]--
	return true
}

// Drain removes and returns all credit, to be deposited elsewhere; nil if there is none.
func (b *SharedBudget) Drain() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.balance, func(_ string, balance float64) bool { return balance <= 0 })
	if len(b.balance) == 0 {
		return nil
	}
	all := b.balance
	b.balance = nil
	return all
}
