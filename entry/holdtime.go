package entry

import (
	"time"

	"github.com/thymewind/thymewind/waitqueue"
)

const (
	// defaultHoldTime is how long a request is assumed to hold engine memory until one has ended.
	defaultHoldTime = time.Second
	// holdTimeWeight is the weight of what the last request tells: about the last fifty count,
	// some seconds of one box's requests.
	holdTimeWeight = 0.02
	// minFreeRateAge is how long a computed FreeRate is used. Computing it reads the load of all
	// engines of the pool.
	minFreeRateAge = 50 * time.Millisecond
	// serveRateAfter is how long a queue must have lasted before the rate at which it was served
	// is used.
	serveRateAfter = waitqueue.RateWindow / 2
)

// holdTime is how long requests hold engine memory, weighted by their tokens.
type holdTime struct {
	// tokens and tokenSeconds are moving averages over requests.
	tokens, tokenSeconds float64
}

// learnHoldTime learns from an attempt that ran.
func (t *tables) learnHoldTime(now time.Time, m attemptEnded) {
	if !m.Began || m.Place.Tokens == 0 || m.Place.PlacedAt.IsZero() {
		return
	}
	h := t.holdTimes[m.Job.Pool.Name]
	if h == nil {
		h = &holdTime{}
		t.holdTimes[m.Job.Pool.Name] = h
	}
	tokens := float64(m.Place.Tokens)
	h.tokens += (tokens - h.tokens) * holdTimeWeight
	h.tokenSeconds += (tokens*now.Sub(m.Place.PlacedAt).Seconds() - h.tokenSeconds) * holdTimeWeight
}

// holdTime returns how long requests of a pool hold engine memory.
func (t *tables) holdTime(pool string) time.Duration {
	h := t.holdTimes[pool]
	if h == nil || h.tokenSeconds <= 0 {
		return defaultHoldTime
	}
	return time.Duration(h.tokenSeconds / h.tokens * float64(time.Second))
}

// freeRate is how many tokens of engine memory per second become free for the requests that wait
// here. Once a queue has lasted for a while, that is what it was served lately: requests that need
// not wait, and other boxes, take their part before it. Until then it is the memory in use, divided
// by how long requests hold it, and this box's part of that.
func (d *Daemon) freeRate(now time.Time, t *tables, w *waitingPool) float64 {
	if !w.ratedAt.IsZero() && now.Sub(w.ratedAt) < minFreeRateAge {
		return w.rate
	}
	if w.served.Lasted(now) >= serveRateAfter {
		w.ratedAt, w.rate = now, w.served.Rate(now)
		return w.rate
	}
	used := 0
	targets := t.engines(w.pool.Name)
	t.presumedLoad = t.presumedOthers(now, targets)
	for _, x := range targets {
		tokens, _ := d.load(now, t, x)
		used += tokens
	}
	w.ratedAt, w.rate = now, float64(used)/t.holdTime(w.pool.Name).Seconds()*d.placingShare(now, t, w, used)
	return w.rate
}

// placingShare is the part of the freed memory that this box's placements get: that of the memory
// in use which they hold now, but at least an equal part among the boxes that place for the pool.
// In a domain with two hubs, the first is asked by nearly all spokes.
func (d *Daemon) placingShare(now time.Time, t *tables, w *waitingPool, used int) float64 {
	equal := 1 / float64(max(len(t.placing(now, w.pool)), 1))
	if used <= 0 {
		return equal
	}
	return min(max(equal, float64(t.placed.of(now, w.pool.Name))/float64(used)), 1)
}
