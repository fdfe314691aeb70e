// Package minlatency learns the shortest time in which requests of each kind were recently
// answered, so that a request with a shorter deadline can be refused at once.
//
//	var r minlatency.Tracker
//	r.Observe(now, "menu", 180*time.Millisecond) // as each complete answer ends
//	if least, known := r.Min(now, "menu"); known && left < least { ... }
package minlatency

import (
	"sync"
	"time"
)

const (
	// windowLength is the length of a window. A sample counts for one to two windows:
	// engines that became faster lower the minimum at once, slower ones raise it after the
	// second window.
	windowLength = 15 * time.Second
	// MinSamples is how many samples are needed. If times are distributed like those of
	// services, 3 in 1,000 requests are faster than margin times the minimum of this many.
	MinSamples = 50
	// margin is the share of the observed minimum that Min returns, as a request may be
	// answered faster than any observed one.
	margin = 0.7
)

// Tracker is safe for concurrent use. The zero value is ready.
type Tracker struct {
	mu sync.Mutex
	// windowStart is when the current window began.
	windowStart       time.Time
	current, previous map[string]window
}

// window holds what one window saw of a kind.
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

// Observe records that a request was answered completely in the given time.
func (r *Tracker) Observe(now time.Time, kind string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current[kind] = r.current[kind].merge(window{1, took})
}

// Min returns a time in which no request of a kind can be expected to be answered, if
// there are enough recent samples.
func (r *Tracker) Min(now time.Time, kind string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	s := r.current[kind].merge(r.previous[kind])
	return time.Duration(margin * float64(s.least)), s.count >= MinSamples
}

// rotate begins a new window when the current one is over.
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
