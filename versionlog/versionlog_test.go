package versionlog_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/clockbound"
	"github.com/thymewind/thymewind/versionlog"
)

var start = time.Unix(1000, 0)

// clock returns one that is an hour ahead of this box's, known to 2 ms.
func clock() *clockbound.Clock {
	c := &clockbound.Clock{}
	c.Observe(start, start.Add(time.Millisecond), time.Hour)
	return c
}

// TestRows passes versions from one box to another by rows.
func TestRows(t *testing.T) {
	const near = 5 * time.Millisecond
	tests := []struct {
		name    string
		record  func(l *versionlog.Log)
		want    time.Duration // When version 5 was named, from start on.
		assumed bool
	}{
		{"proved, with a reading of the common clock", func(l *versionlog.Log) { l.Prove(5, start, time.Hour+3*time.Second) }, 3 * time.Second, false},
		{"proved by this box's clock only", func(l *versionlog.Log) { l.Prove(5, start.Add(3*time.Second), 0) }, 3 * time.Second, false},
		{"assumed", func(l *versionlog.Log) { l.Assume(5, start.Add(3*time.Second)) }, 3 * time.Second, true},
		{"the later of two proofs", func(l *versionlog.Log) {
			l.Prove(5, start, time.Hour+3*time.Second)
			l.Prove(5, start, time.Hour+2*time.Second)
		}, 3 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a, b versionlog.Log
			tt.record(&a)
			a.Date(start.Add(time.Minute), clock())
			rows := a.Rows(start, clock())
			b.Read(start.Add(time.Minute), clock(), rows)
			got := b.Since(start)
			if len(got) != 1 || got[0].Assumed != tt.assumed {
				t.Fatalf("read versions %+v", got)
			}
			if early := start.Add(tt.want).Sub(got[0].At); early < 0 || early > near {
				t.Errorf("dated %v too early", early)
			}
		})
	}
}

// TestReadBeforeClock reads rows before the common clock is known.
func TestReadBeforeClock(t *testing.T) {
	var l versionlog.Log
	l.Read(start, &clockbound.Clock{}, []versionlog.Row{{Version: 5, AtMS: time.Hour.Milliseconds()}})
	if got := l.Since(start.Add(-time.Hour)); len(got) != 0 {
		t.Fatalf("dated without a clock: %+v", got)
	}
	l.Date(start.Add(time.Second), clock())
	if got := l.Since(start.Add(-time.Hour)); len(got) != 1 {
		t.Errorf("not dated with the clock: %+v", got)
	}
}

// TestMissing checks when a version has to be written.
func TestMissing(t *testing.T) {
	c := clock()
	var l versionlog.Log
	l.Prove(5, start, time.Hour)
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"not written", func() {}, true},
		{"being written", func() { l.Rows(start, c) }, true},
		{"written", l.Written, false},
		{"read rows without it", func() { l.Read(start, c, nil) }, true},
		{"read rows with it", func() { l.Read(start, c, []versionlog.Row{{Version: 5, AtMS: 1}}) }, false},
		{"the clock restarted", l.ForgetClock, true},
	}
	for _, s := range steps {
		s.do()
		if got := l.Missing(5, c); got != s.want {
			t.Errorf("%s: missing %v", s.name, got)
		}
	}
	if l.Missing(5, &clockbound.Clock{}) {
		t.Error("missing although no clock dates it")
	}
}

// TestFuture checks that a time in the future is ignored.
func TestFuture(t *testing.T) {
	var l versionlog.Log
	l.Read(start, clock(), []versionlog.Row{{Version: 5, AtMS: (2 * time.Hour).Milliseconds()}})
	if got := l.Since(start); len(got) != 0 {
		t.Errorf("read versions %+v", got)
	}
}
