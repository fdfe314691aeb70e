// Package minlatency learns the least time in which requests of each kind were
// served lately, so that one whose caller waits for less can be refused at once.
//
//	var r quickest.Record
//	r.See(now, "menu", 180*time.Millisecond) // as each whole answer ends
//	if least, known := r.Least(now, "menu"); known && left < least { ... }
package minlatency

import (
	"sync"
	"time"
)

const (
	// windowLength is how long a time counts: for one to two of these. Engines that have
	// become quicker are believed at once, slower ones after the second.
	windowLength = 15 * time.Second
	// MinSamples is how many requests have to be seen within that. Of requests whose
	// times spread as those of services do, 3 in 1,000 are quicker than margin of
	// the quickest of so many.
	MinSamples = 50
	// margin is the part of the least time seen that is told, as no request was
	// proved to need the whole.
	margin = 0.7
)

// Tracker is safe for concurrent use. The zero value is ready.
type Tracker struct {
	mu sync.Mutex
	// windowStart is when the present window began.
	windowStart       time.Time
	current, previous map[string]window
}

// window is what one window saw of a kind.
type window struct {
	count int
	least time.Duration
}

func (s window) merge(o window) window {
	switch {
	case s.count == 0:
		return o
	case o.count == 0:
		return s
	}
	return window{s.count + o.count, min(s.least, o.least)}
}

// Observe notes that a request was served whole in the time given.
func (r *Tracker) Observe(now time.Time, kind string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current[kind] = r.current[kind].merge(window{1, took})
}

// Min returns a time in which no request of a kind can be expected to be served,
// if enough were seen lately.
func (r *Tracker) Min(now time.Time, kind string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	s := r.current[kind].merge(r.previous[kind])
	return time.Duration(margin * float64(s.least)), s.count >= MinSamples
}

// rotate begins another window when the present one is over.
func (r *Tracker) rotate(now time.Time) {
	passed := now.Sub(r.windowStart)
	if r.current != nil && passed < windowLength {
		return
	}
	r.previous = r.current
	if passed >= 2*windowLength {
		r.previous = nil
	}
	r.current = make(map[string]window)
	r.windowStart = now
}
