// Package retry bounds retries to a share of the requests, so that a failing
// pool is not buried under them.
//
//	b := retry.Budget{Share: 0.1, Burst: 10}
//	b.Request("menu")
//	if b.Spend("menu") { tryAgain() }
package retry

import "sync"

// Budget counts for each pool. Set the exported fields before first use; it is
// safe for concurrent use after that.
type Budget struct {
	// Share is how many retries each request earns.
	Share float64
	// Burst is how many retries can be saved up. A pool begins with them.
	Burst float64
	// StartEmpty says that a pool begins with nothing saved up, so that a process
	// that starts again does not get its retries anew.
	StartEmpty bool

	mu sync.Mutex
	// saved lies between 0 and Burst.
	saved map[string]float64
}

// Deposit notes a request, which earns a part of a retry.
func (b *Budget) Deposit(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[b.known(pool)] = min(b.Burst, b.saved[pool]+b.Share)
}

// SetBurst changes how many retries can be saved up, as when more boxes share what
// all of them may spend. What is saved above it is lost.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	for pool, saved := range b.saved {
		b.saved[pool] = min(saved, burst)
	}
}

// Spend takes one retry out of the budget, or returns false if none is left.
func (b *Budget) Spend(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved[b.known(pool)] < 1 {
		return false
	}
	b.saved[pool]--
	return true
}

// Refund gives back a retry that was taken and never made.
func (b *Budget) Refund(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[b.known(pool)] = min(b.Burst, b.saved[pool]+1)
}

func (b *Budget) known(pool string) string {
	if b.saved == nil {
		b.saved = make(map[string]float64)
	}
	if _, ok := b.saved[pool]; !ok && !b.StartEmpty {
		b.saved[pool] = b.Burst
	}
	return pool
}
