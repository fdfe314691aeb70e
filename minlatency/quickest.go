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
	// window is how long a time counts: for one to two of these. Engines that have
	// become quicker are believed at once, slower ones after the second.
	window = 15 * time.Second
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
	// began is when the present window began.
	began       time.Time
	now, before map[string]seen
}

// seen is what one window saw of a kind.
type seen struct {
	count int
	least time.Duration
}

func (s seen) with(o seen) seen {
	switch {
	case s.count == 0:
		return o
	case o.count == 0:
		return s
	}
	return seen{s.count + o.count, min(s.least, o.least)}
}

// Observe notes that a request was served whole in the time given.
func (r *Tracker) Observe(now time.Time, kind string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	r.now[kind] = r.now[kind].with(seen{1, took})
}

// Min returns a time in which no request of a kind can be expected to be served,
// if enough were seen lately.
func (r *Tracker) Min(now time.Time, kind string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	s := r.now[kind].with(r.before[kind])
	return time.Duration(margin * float64(s.least)), s.count >= MinSamples
}

// turn begins another window when the present one is over.
func (r *Tracker) turn(now time.Time) {
	passed := now.Sub(r.began)
	if r.now != nil && passed < window {
		return
	}
	r.before = r.now
	if passed >= 2*window {
		r.before = nil
	}
	r.now = make(map[string]seen)
	r.began = now
}
