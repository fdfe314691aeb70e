package retry

import (
	"maps"
	"sync"
)

// SharedBudget keeps what many boxes save up together: they pay in what their requests earn, and take
// out one for each retry. So a box with few requests may try again as soon as any has earned it,
// where with a part of its own it saves up for minutes.
//
//	p := retry.Purse{}
//	p.Bound(70)
//	p.Pay("menu", 0.14)
//	if p.Spend("menu") { tryAgain() }
//
// The zero value holds nothing and takes nothing. It is safe for concurrent use.
type SharedBudget struct {
	mu    sync.Mutex
	most  float64
	saved map[string]float64
}

// SetBurst changes how much the purse holds for each pool. What is above it is lost.
func (p *SharedBudget) SetBurst(most float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for pool, saved := range p.saved {
		p.saved[pool] = min(saved, most)
	}
}

// Deposit puts in what requests earned.
func (p *SharedBudget) Deposit(pool string, amount float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved == nil {
		p.saved = make(map[string]float64)
	}
	p.saved[pool] = min(p.most, p.saved[pool]+max(amount, 0))
}

// Spend takes one retry out, or returns false if none is left.
func (p *SharedBudget) Spend(pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved[pool] < 1 {
		return false
	}
	p.saved[pool]--
	return true
}

// Drain takes all out, to be paid in elsewhere; nil if there is nothing.
func (p *SharedBudget) Drain() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.saved, func(_ string, saved float64) bool { return saved <= 0 })
	if len(p.saved) == 0 {
		return nil
	}
	all := p.saved
	p.saved = nil
	return all
}
