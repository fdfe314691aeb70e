// Package boottime tells the time by a steady clock that counts while the machine is
// suspended, too. The runtime's own steady clock stands still then: to it, a proof, a
// lease or a deadline of before is as young as it was, and may be used when it is long
// over.
//
//	began := boottime.Now()
//	...
//	if boottime.Since(began) > bound { ... } // true also if the machine slept meanwhile
//
// Times from here may be compared with each other. A timer or a context needs what is
// left, not the time itself: the runtime counts by its own clock.
//
//	ctx, cancel := context.WithTimeout(ctx, boottime.Until(deadline))
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// step is by how much the time of day may move against the runtime's steady clock before
// the kernel is asked whether the machine was suspended: it moves by that much in 100 s
// where it is slewed, and at once in a suspension of that length. So nearly all calls cost
// no system call.
const step = 50 * time.Millisecond

// noise is the least suspension that is believed: the kernel's clocks are read one after
// the other.
const noise = 5 * time.Millisecond

// Clock is such a clock. Set the exported fields before first use; it is safe for
// concurrent use after that.
type Clock struct {
	// Steady is the runtime's steady clock, and the time of day beside it in
	// nanoseconds.
	Steady func() (now time.Time, day int64)
	// Boot is the kernel's clock that counts suspensions; false if it has none.
	Boot func() (time.Duration, bool)

	started atomic.Pointer[beginning]
	// suspended is for how long the machine was suspended since the first use.
	suspended atomic.Int64
	// skew is by how much the time of day had moved against the steady clock when the
	// kernel was last asked.
	skew atomic.Int64
}

// beginning is what the clocks showed at the first use.
type beginning struct {
	steady time.Time
	day    int64
	boot   time.Duration
	known  bool
}

// usual is the process's clock.
var usual = &Clock{Steady: runtime, Boot: kernel}

// runtime reads both in one call, without a system call.
func runtime() (time.Time, int64) {
	now := time.Now()
	return now, now.UnixNano()
}

// kernel reads the clock that counts suspensions.
func kernel() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false // A kernel without it; only the steady clock is left.
	}
	return time.Duration(at.Nano()), true
}

// Now is the time by the process's clock.
func Now() time.Time { return usual.Now() }

// Since returns the time that passed since a time of Now's, suspensions included.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time that is left until a time of Now's.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended returns for how long the machine was suspended since the process first asked
// for the time. It asks the kernel, so that it also finds a suspension that a step of the
// time of day hides.
func Suspended() time.Duration { return usual.Suspended() }

// CountsSuspensions says whether the kernel tells of suspensions. Where it does not, Now is the
// runtime's steady clock.
func CountsSuspensions() bool { return usual.began().known }

// Now returns the steady clock's time and that for which it stood still.
func (c *Clock) Now() time.Time {
	now, day := c.Steady()
	began := c.began()
	skew := day - began.day - int64(now.Sub(began.steady))
	if moved := time.Duration(skew - c.skew.Load()); moved > step || moved < -step {
		c.skew.Store(skew)
		c.look(began)
		now, _ = c.Steady()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// Suspended asks the kernel for how long the machine was suspended.
func (c *Clock) Suspended() time.Duration {
	c.look(c.began())
	return time.Duration(c.suspended.Load())
}

// began returns what the clocks showed first.
func (c *Clock) began() *beginning {
	if began := c.started.Load(); began != nil {
		return began
	}
	first := &beginning{}
	first.boot, first.known = c.Boot()
	first.steady, first.day = c.Steady()
	c.started.CompareAndSwap(nil, first)
	return c.started.Load()
}

// look measures the suspensions. The steady clock is read last, so that a pause between
// the two readings never counts as a suspension.
func (c *Clock) look(began *beginning) {
	boot, known := c.Boot()
	if !known || !began.known {
		return
	}
	now, _ := c.Steady()
	stood := int64(boot - began.boot - now.Sub(began.steady))
	for {
		before := c.suspended.Load()
		if stood-before < int64(noise) || c.suspended.CompareAndSwap(before, stood) {
			return
		}
	}
}
