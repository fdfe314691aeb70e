// Package clockbound bounds what another machine's steady clock shows, by answers
// that tell it. An answer's clock was read some time between the call and the
// answer; of many answers the quickest says most.
//
//	var c clockbound.Clock
//	c.See(asked, answered, told)
//	at, ok := c.Earliest(told) // the earliest local time at which it showed that
package clockbound

import "time"

// drift is how far two steady clocks may run apart, as a share of the time that
// passes: kernels slew a clock by at most 500 parts in a million.
const drift = 500e-6

// resolution is how much less than its time the other clock may tell: clocks are
// told in whole milliseconds.
const resolution = time.Millisecond

// Clock is another machine's clock as seen from here. The zero value is ready; it
// is not safe for concurrent use.
type Clock struct {
	// origin is when the first answer was asked for; all else is counted from it.
	origin, seen time.Time
	// low and high bound the other clock less the time since origin. Low is never
	// above high.
	low, high time.Duration
}

// Observe notes what the other clock showed between two local times. It returns false
// if that contradicts what was seen before, which it then replaces: the other
// clock was set or began anew.
func (c *Clock) Observe(asked, answered time.Time, told time.Duration) bool {
	if !c.Seen() {
		c.origin = asked
		c.begin(asked, answered, told)
		return true
	}
	aged := time.Duration(drift * float64(answered.Sub(c.seen)))
	low := max(c.low-aged, told-answered.Sub(c.origin))
	high := min(c.high+aged, told+resolution-asked.Sub(c.origin))
	if low > high {
		c.begin(asked, answered, told)
		return false
	}
	c.low, c.high, c.seen = low, high, answered
	return true
}

func (c *Clock) begin(asked, answered time.Time, told time.Duration) {
	c.low, c.high, c.seen = told-answered.Sub(c.origin), told+resolution-asked.Sub(c.origin), answered
}

// Seen says that there was an answer.
func (c *Clock) Seen() bool { return !c.origin.IsZero() }

// Earliest returns the earliest local time at which the other clock can have
// shown a time, or false if the clock was never seen.
func (c *Clock) Earliest(told time.Duration) (time.Time, bool) {
	return c.origin.Add(told - c.high), c.Seen()
}

// Min returns the least that the other clock can have shown at a local time, or
// false if the clock was never seen.
func (c *Clock) Min(at time.Time) (time.Duration, bool) {
	return at.Sub(c.origin) + c.low, c.Seen()
}

// Max returns the most that the other clock can have shown at a local time, or
// false if the clock was never seen.
func (c *Clock) Max(at time.Time) (time.Duration, bool) {
	return at.Sub(c.origin) + c.high, c.Seen()
}
