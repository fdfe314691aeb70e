package target_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/target"
)

var start = time.Unix(1000, 0)

func TestWait(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name   string
		events func(x *target.Target)
		after  time.Duration
		want   time.Duration
	}{
		{"nothing", func(*target.Target) {}, 0, 0},
		{"sent", func(x *target.Target) { x.RecordSent(start, second) }, 0, second},
		{"sent twice", func(x *target.Target) { x.RecordSent(start, second); x.RecordSent(start, second) }, 0, 2 * second},
		{"time passes", func(x *target.Target) { x.RecordSent(start, 3*second) }, second, 2 * second},
		{"queue is empty again", func(x *target.Target) { x.RecordSent(start, second) }, 5 * second, 0},
		{"reported", func(x *target.Target) { x.ApplyReport(start, 0, 0, 2*second) }, second, second},
		{"report from before the dispatch", func(x *target.Target) {
			x.RecordSent(start, second)
			x.ApplyReport(start.Add(-second), 0, 0, 0)
		}, 0, second},
		{"report from after the dispatch", func(x *target.Target) {
			x.RecordSent(start, 3*second)
			x.ApplyReport(start.Add(second), 0, 0, 0)
		}, second, 0},
		{"no slot is free", func(x *target.Target) { x.ApplyReport(start, 8, 0, 0) }, 0, 2 * second / 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &target.Target{Slots: 8}
			tt.events(x)
			if got := x.Wait(start.Add(tt.after), 2*second); got != tt.want {
				t.Errorf("Wait = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSlowdownDecays(t *testing.T) {
	x := &target.Target{}
	if x.Slowdown(start) != 1 {
		t.Error("a target without samples counts as slow")
	}
	for range 40 {
		x.ObservePrefill(start, 5)
	}
	if got := x.Slowdown(start); got < 4.9 || got > 5 {
		t.Errorf("Slowdown = %v, want 5", got)
	}
	if got := x.Slowdown(start.Add(30 * time.Second)); got < 2.9 || got > 3.1 {
		t.Errorf("Slowdown after its half-life = %v, want 3", got)
	}
}
