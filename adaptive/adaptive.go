// Package adaptive provides a time-out that adapts to the peer: a multiple of the slowest
// recent answers, within bounds, so that a slow link does not count as dead.
//
//	t := adaptive.Timeout{Min: 500 * time.Millisecond, Max: 1500 * time.Millisecond}
//	ctx, cancel := context.WithTimeout(ctx, t.Wait())
//	t.Observe(took) // or t.TimedOut()
package adaptive

import (
	"sync"
	"time"
)

const (
	// slack is the multiple of the slowest recent answer.
	slack = 4
	// decay is how many faster answers it takes for the excess of a slow one to fall to
	// about a third.
	decay = 32
)

// Timeout is safe for concurrent use. Set the exported fields before first use.
type Timeout struct {
	// Min and Max bound the time-out. It is Max until a first answer came.
	Min, Max time.Duration

	mu sync.Mutex
	// slowest is the decaying maximum of the answer times; zero before the first answer.
	slowest time.Duration
	// timeouts counts the time-outs since the last answer.
	timeouts int
}

// Wait returns the time-out of the next call. It doubles with each time-out in a row, so
// that a link that became slow gets an answer through.
func (t *Timeout) Wait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slowest == 0 {
		return t.Max
	}
	wait := max(slack*t.slowest, t.Min)
	for range t.timeouts {
		if wait >= t.Max {
			break
		}
		wait *= 2
	}
	return min(wait, t.Max)
}

// Observe records how long an answer took.
func (t *Timeout) Observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts = 0
	if took > t.slowest {
		t.slowest = took
		return
	}
	t.slowest -= (t.slowest - took) / decay
	t.slowest = max(t.slowest, 1)
}

// TimedOut records a time-out, and returns how many there were since the last answer.
func (t *Timeout) TimedOut() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
	return t.timeouts
}
