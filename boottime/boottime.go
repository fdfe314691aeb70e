// Package boottime provides a monotonic clock that includes time in which the machine is
// suspended. The runtime's own monotonic clock stops then: a proof, a lease or a deadline
// from before the suspension looks as young as it was, and might be used long after its
// end.
//
//	began := boottime.Now()
//	...
//	if boottime.Since(began) > bound { ... } // true also if the machine was suspended meanwhile
//
// Times from this package are comparable with each other only. A timer or a context needs
// the remaining time, as the runtime uses its own clock.
//
//	ctx, cancel := context.WithTimeout(ctx, boottime.Until(deadline))
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// step is how far the wall clock may move against the runtime's monotonic clock before
// the kernel is asked for suspensions: it moves that far in 100 s where it is slewed, and
// at once in a suspension of that length. So nearly all calls need no system call.
const step = 50 * time.Millisecond

// noise is the shortest suspension that counts: the kernel's clocks are read one after
// the other.
const noise = 5 * time.Millisecond

// Clock is a monotonic clock that includes suspensions. Set the exported fields before
// first use; it is safe for concurrent use after that.
type Clock struct {
	// Monotonic reads the runtime's monotonic clock, and with it the wall clock in
	// nanoseconds.
	Monotonic func() (now time.Time, wall int64)
	// Boot reads the kernel's clock that includes suspensions; false if it has none.
	Boot func() (time.Duration, bool)

	started atomic.Pointer[reference]
	// suspended is how long the machine was suspended since the first use, in nanoseconds.
	suspended atomic.Int64
	// skew is how far the wall clock had moved against the monotonic clock when the kernel
	// was last asked.
	skew atomic.Int64
}

// reference holds the readings of the clocks at the first use.
type reference struct {
	monotonic time.Time
	wall      int64
	boot      time.Duration
	known     bool
}

// process is the process's clock.
var process = &Clock{Monotonic: runtime, Boot: kernel}

// runtime reads both in one call, without a system call.
func runtime() (time.Time, int64) {
	now := time.Now()
	return now, now.UnixNano()
}

// kernel reads the clock that includes suspensions.
func kernel() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false // Without this clock only the runtime's is left.
	}
	return time.Duration(at.Nano()), true
}

// Now returns the time of the process's clock.
func Now() time.Time { return process.Now() }

// Since returns the time since a time of Now, suspensions included.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a time of Now.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended returns how long the machine was suspended since the process first asked for
// the time. It asks the kernel, so that it also finds a suspension hidden by a step of
// the wall clock.
func Suspended() time.Duration { return process.Suspended() }

// CountsSuspensions reports whether the kernel has a clock that includes suspensions. If
// not, Now is the runtime's monotonic clock.
func CountsSuspensions() bool { return process.first().known }

// Now returns the monotonic clock's time plus the suspensions.
func (c *Clock) Now() time.Time {
	now, wall := c.Monotonic()
	began := c.first()
	skew := wall - began.wall - int64(now.Sub(began.monotonic))
	if moved := time.Duration(skew - c.skew.Load()); moved > step || moved < -step {
		c.skew.Store(skew)
		c.measure(began)
		now, _ = c.Monotonic()
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// Suspended asks the kernel for how long the machine was suspended.
func (c *Clock) Suspended() time.Duration {
	c.measure(c.first())
	return time.Duration(c.suspended.Load())
}

// first returns the reference readings, which it takes on the first call.
func (c *Clock) first() *reference {
	if began := c.started.Load(); began != nil {
		return began
	}
	first := &reference{}
	first.boot, first.known = c.Boot()
	first.monotonic, first.wall = c.Monotonic()
	c.started.CompareAndSwap(nil, first)
	return c.started.Load()
}

// measure updates the suspensions. The monotonic clock is read last, so that a pause
// between the two readings never counts as a suspension.
func (c *Clock) measure(began *reference) {
	boot, known := c.Boot()
	if !known || !began.known {
		return
	}
	now, _ := c.Monotonic()
	stood := int64(boot - began.boot - now.Sub(began.monotonic))
	for {
		before := c.suspended.Load()
		if stood-before < int64(noise) || c.suspended.CompareAndSwap(before, stood) {
			return
		}
	}
}
