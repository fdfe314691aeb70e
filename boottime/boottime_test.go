package boottime_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

// machine is one whose clocks a test sets.
type machine struct {
	// awake is what the steady clock shows, asleep for how long the machine was
	// suspended, and set by how much its time of day was changed.
	awake, asleep, set time.Duration
	// without says that the kernel has no clock that counts suspensions.
	without bool
	// asked counts how often the kernel was asked.
	asked int
}

var origin = time.Now()

// steady is the runtime's clock, which stands still while the machine sleeps, beside the
// time of day, which does not.
func (m *machine) steady() (time.Time, int64) {
	now := origin.Add(m.awake)
	return now, now.Add(m.asleep + m.set).UnixNano()
}

// boot is the kernel's clock that counts suspensions.
func (m *machine) boot() (time.Duration, bool) {
	m.asked++
	return 99*time.Hour + m.awake + m.asleep, !m.without
}

// TestNow has a machine sleep, its time of day be set, and both at once: what passed is
// told as it was, however the clocks beside it stand.
func TestNow(t *testing.T) {
	tests := []struct {
		name               string
		awake, asleep, set time.Duration
		without            bool
		// look has the kernel be asked, as is done now and then.
		look bool
		want time.Duration
	}{
		{name: "awake", awake: time.Minute, want: time.Minute},
		{name: "asleep", awake: time.Second, asleep: 4 * time.Second, want: 5 * time.Second},
		{name: "asleep for long", awake: time.Second, asleep: 9 * time.Hour, want: 9*time.Hour + time.Second},
		{name: "the time of day is set ahead", awake: time.Second, set: 2 * time.Second, want: time.Second},
		{name: "the time of day is set back", awake: time.Second, set: -2 * time.Second, want: time.Second},
		{name: "asleep, and set ahead", awake: time.Second, asleep: 4 * time.Second, set: 2 * time.Second, want: 5 * time.Second},
		{name: "asleep, and set back", awake: time.Second, asleep: 4 * time.Second, set: -2 * time.Second, want: 5 * time.Second},
		{name: "asleep, and set back by as much", awake: time.Second, asleep: 4 * time.Second, set: -4 * time.Second, look: true, want: 5 * time.Second},
		{name: "a kernel without that clock", awake: time.Second, asleep: 4 * time.Second, without: true, want: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &machine{without: tt.without}
			c := boottime.Clock{Steady: m.steady, Boot: m.boot}
			first := c.Now()
			m.awake, m.asleep, m.set = tt.awake, tt.asleep, tt.set
			if tt.look {
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

// TestNeverBack has a machine sleep again and again: its time never goes back, and each
// sleep counts.
func TestNeverBack(t *testing.T) {
	m := &machine{}
	c := boottime.Clock{Steady: m.steady, Boot: m.boot}
	first := c.Now()
	last := first
	for i := range 50 {
		m.awake += time.Second
		m.asleep += time.Duration(i%3) * time.Second
		m.set = time.Duration(i%5-2) * time.Second
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("step %d goes back by %v", i, last.Sub(now))
		}
		last = now
	}
	if got, want := last.Sub(first), m.awake+m.asleep; got != want {
		t.Errorf("%v passed, want %v", got, want)
	}
}

// TestRarelyAsked shows that a machine that stays awake asks its kernel once.
func TestRarelyAsked(t *testing.T) {
	m := &machine{}
	c := boottime.Clock{Steady: m.steady, Boot: m.boot}
	for range 1000 {
		m.awake += time.Second
		c.Now()
	}
	if m.asked != 1 {
		t.Errorf("the kernel was asked %d times", m.asked)
	}
}

// TestKernel reads this machine's own clock.
func TestKernel(t *testing.T) {
	first := boottime.Now()
	if passed := boottime.Since(first); passed < 0 || passed > time.Minute {
		t.Errorf("%v passed", passed)
	}
	if left := boottime.Until(first.Add(time.Hour)); left > time.Hour || left < 59*time.Minute {
		t.Errorf("%v are left", left)
	}
	if !boottime.CountsSuspensions() {
		t.Error("this kernel does not tell of suspensions")
	}
	if boottime.Suspended() < 0 {
		t.Error("suspended for less than nothing")
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		boottime.Now()
	}
}
