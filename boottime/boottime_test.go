package boottime_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

// machine simulates the clocks of a machine.
type machine struct {
	// awake is the reading of the monotonic clock, asleep how long the machine was
	// suspended, and set how far its wall clock was changed.
	awake, asleep, set time.Duration
	// without is set if the kernel has no clock that includes suspensions.
	without bool
	// kernelCalls counts the readings of the kernel's clock.
	kernelCalls int
}

var origin = time.Now()

// monotonic reads the runtime's clock, which stops during a suspension, and the wall
// clock, which does not.
func (m *machine) monotonic() (time.Time, int64) {
	now := origin.Add(m.awake)
	return now, now.Add(m.asleep + m.set).UnixNano()
}

// boot reads the kernel's clock that includes suspensions.
func (m *machine) boot() (time.Duration, bool) {
	m.kernelCalls++
	return 99*time.Hour + m.awake + m.asleep, !m.without
}

// TestNow checks the time that passes through suspensions and changes of the wall clock,
// alone and together.
func TestNow(t *testing.T) {
	tests := []struct {
		name               string
		awake, asleep, set time.Duration
		without            bool
		// measure calls Suspended first, which asks the kernel.
		measure bool
		want    time.Duration
	}{
		{name: "awake", awake: time.Minute, want: time.Minute},
		{name: "suspended", awake: time.Second, asleep: 4 * time.Second, want: 5 * time.Second},
		{name: "a long suspension", awake: time.Second, asleep: 9 * time.Hour, want: 9*time.Hour + time.Second},
		{name: "wall clock set ahead", awake: time.Second, set: 2 * time.Second, want: time.Second},
		{name: "wall clock set back", awake: time.Second, set: -2 * time.Second, want: time.Second},
		{name: "suspended, wall clock set ahead", awake: time.Second, asleep: 4 * time.Second, set: 2 * time.Second, want: 5 * time.Second},
		{name: "suspended, wall clock set back", awake: time.Second, asleep: 4 * time.Second, set: -2 * time.Second, want: 5 * time.Second},
		{name: "suspended, wall clock set back by as much", awake: time.Second, asleep: 4 * time.Second, set: -4 * time.Second, measure: true, want: 5 * time.Second},
		{name: "a kernel without that clock", awake: time.Second, asleep: 4 * time.Second, without: true, want: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &machine{without: tt.without}
			c := boottime.Clock{Monotonic: m.monotonic, Boot: m.boot}
			first := c.Now()
			m.awake, m.asleep, m.set = tt.awake, tt.asleep, tt.set
			if tt.measure {
				c.Suspended()
			}
			if got := c.Now().Sub(first); got != tt.want {
				t.Errorf("%v passed, want %v", got, tt.want)
			}
			if got, want := c.Suspended(), tt.want-tt.awake; got != want {
				t.Errorf("suspended for %v, want %v", got, want)
			}
		})
	}
}

// TestMonotonic checks that the time never goes back over repeated suspensions, and that
// each of them counts.
func TestMonotonic(t *testing.T) {
	m := &machine{}
	c := boottime.Clock{Monotonic: m.monotonic, Boot: m.boot}
	first := c.Now()
	last := first
	for i := range 50 {
		m.awake += time.Second
		m.asleep += time.Duration(i%3) * time.Second
		m.set = time.Duration(i%5-2) * time.Second
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("step %d: time went back by %v", i, last.Sub(now))
		}
		last = now
	}
	if got, want := last.Sub(first), m.awake+m.asleep; got != want {
		t.Errorf("%v passed, want %v", got, want)
	}
}

// TestFewSystemCalls checks that a machine that is never suspended asks its kernel once.
func TestFewSystemCalls(t *testing.T) {
	m := &machine{}
	c := boottime.Clock{Monotonic: m.monotonic, Boot: m.boot}
	for range 1000 {
		m.awake += time.Second
		c.Now()
	}
	if m.kernelCalls != 1 {
		t.Errorf("the kernel was asked %d times", m.kernelCalls)
	}
}

// TestKernel reads this machine's clock.
func TestKernel(t *testing.T) {
	first := boottime.Now()
	if passed := boottime.Since(first); passed < 0 || passed > time.Minute {
		t.Errorf("%v passed", passed)
	}
	if left := boottime.Until(first.Add(time.Hour)); left > time.Hour || left < 59*time.Minute {
		t.Errorf("%v are left", left)
	}
	if !boottime.CountsSuspensions() {
		t.Error("this kernel has no clock that includes suspensions")
	}
	if boottime.Suspended() < 0 {
		t.Error("negative suspension")
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		boottime.Now()
	}
}
