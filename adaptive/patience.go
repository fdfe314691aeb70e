// Package adaptive says how long an answer is waited for before its connection
// counts as silent: some times the slowest answers seen lately, within bounds, so
// that a slow link is not taken for a dead one.
//
//	b := patience.Bound{Least: 500 * time.Millisecond, Most: 1500 * time.Millisecond}
//	ctx, cancel := context.WithTimeout(ctx, b.Wait())
//	b.Answered(took) // or b.Silent()
package adaptive

import (
	"sync"
	"time"
)

const (
	// slack is how many times the slowest answer seen lately is waited for.
	slack = 4
	// fade is how many quicker answers it takes for a slow one to fade to about a
	// third.
	fade = 32
)

// Timeout is safe for concurrent use. Set the exported fields before first use.
type Timeout struct {
	// Min and Most bound the wait. Most is waited until a first answer came.
	Min, Max time.Duration

	mu sync.Mutex
	// slowest is the time of the slowest answers seen lately; zero if none was
	// seen.
	slowest time.Duration
	// silent counts the calls without an answer since the last one that had one.
	silent int
}

// Wait is how long the next answer is waited for. It doubles with each call in
// vain, so that a link that got slow is found out as such.
func (b *Timeout) Wait() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slowest == 0 {
		return b.Max
	}
	wait := max(slack*b.slowest, b.Min)
	for range b.silent {
		if wait >= b.Max {
			break
		}
		wait *= 2
	}
	return min(wait, b.Max)
}

// Observe notes how long an answer took.
func (b *Timeout) Observe(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = 0
	if took > b.slowest {
		b.slowest = took
		return
	}
	b.slowest -= (b.slowest - took) / fade
	b.slowest = max(b.slowest, 1)
}

// TimedOut notes that an answer was waited for in vain, and returns how many were
// since the last one that came.
func (b *Timeout) TimedOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent++
	return b.silent
}
