// Package retry limits retries to a share of the requests, so that retries do not
// overload a pool that is already failing.
//
//	b := retry.Budget{Share: 0.1, Burst: 10}
//	b.Deposit("menu")
//	if b.Spend("menu") { retryRequest() }
package retry

import "sync"

// Budget is a retry budget with a balance per pool. Set the exported fields before first
// use; it is safe for concurrent use after that.
type Budget struct {
	// Share is the part of a retry that each request earns.
	Share float64
	// Burst is the largest balance. A pool starts with it.
	Burst float64
	// StartEmpty makes a pool start with a balance of zero, so that a restart of the process
	// does not grant a full burst again.
	StartEmpty bool

	mu sync.Mutex
	// balance of each pool lies between 0 and Burst.
	balance map[string]float64
}

// Deposit records a request, which adds Share to the pool's balance.
func (b *Budget) Deposit(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[b.ensure(pool)] = min(b.Burst, b.balance[pool]+b.Share)
}

// SetBurst changes the largest balance, as when more boxes share one budget. Balances
// above it are cut to it.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	for pool, balance := range b.balance {
		b.balance[pool] = min(balance, burst)
	}
}

// Spend takes one retry out of the budget, or returns false if less than one is left.
func (b *Budget) Spend(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance[b.ensure(pool)] < 1 {
		return false
	}
	b.balance[pool]--
	return true
}

// Refund returns a retry that was spent but not sent.
func (b *Budget) Refund(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[b.ensure(pool)] = min(b.Burst, b.balance[pool]+1)
}

func (b *Budget) ensure(pool string) string {
	if b.balance == nil {
		b.balance = make(map[string]float64)
	}
	if _, ok := b.balance[pool]; !ok && !b.StartEmpty {
		b.balance[pool] = b.Burst
	}
	return pool
}
