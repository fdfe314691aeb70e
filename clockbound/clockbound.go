// Package clockbound bounds the reading of another machine's monotonic clock, from
// answers that contain it. The clock was read between the request and the answer, so the
// fastest answers give the closest bounds.
//
//	var c clockbound.Clock
//	c.Observe(sent, received, reading)
//	at, ok := c.Earliest(reading) // the earliest local time at which it showed that
package clockbound

import "time"

// drift is the largest difference in rate of two monotonic clocks: kernels slew a clock
// by at most 500 parts in a million.
const drift = 500e-6

// resolution is how much the reported reading may be too low: it is in whole
// milliseconds.
const resolution = time.Millisecond

// Clock is another machine's clock as seen from here. The zero value is ready; it is not
// safe for concurrent use.
type Clock struct {
	// origin is when the first answer was requested, the reference for all offsets; seen is
	// when the last answer came.
	origin, seen time.Time
	// low and high bound the other clock minus the time since origin. low is never above
	// high.
	low, high time.Duration
}

// Observe records a reading of the other clock between two local times. It returns false
// if it contradicts the earlier ones, which it then replaces: the other clock was set or
// restarted.
func (c *Clock) Observe(sent, received time.Time, reading time.Duration) bool {
	if !c.Seen() {
		c.origin = sent
		c.begin(sent, received, reading)
		return true
	}
	aged := time.Duration(drift * float64(received.Sub(c.seen)))
	low := max(c.low-aged, reading-received.Sub(c.origin))
	high := min(c.high+aged, reading+resolution-sent.Sub(c.origin))
	if low > high {
		c.begin(sent, received, reading)
		return false
	}
	c.low, c.high, c.seen = low, high, received
	return true
}

func (c *Clock) begin(sent, received time.Time, reading time.Duration) {
	c.low, c.high, c.seen = reading-received.Sub(c.origin), reading+resolution-sent.Sub(c.origin), received
}

// Seen reports whether there was an answer.
func (c *Clock) Seen() bool { return !c.origin.IsZero() }

// Earliest returns the earliest local time at which the other clock can have had a
// reading, or false if the clock was never observed.
func (c *Clock) Earliest(reading time.Duration) (time.Time, bool) {
	return c.origin.Add(reading - c.high), c.Seen()
}

// Min returns the lowest reading that the other clock can have had at a local time, or
// false if the clock was never observed.
func (c *Clock) Min(at time.Time) (time.Duration, bool) {
	return at.Sub(c.origin) + c.low, c.Seen()
}

// Max returns the highest reading that the other clock can have had at a local time, or
// false if the clock was never observed.
func (c *Clock) Max(at time.Time) (time.Duration, bool) {
	return at.Sub(c.origin) + c.high, c.Seen()
}
