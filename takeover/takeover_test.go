package takeover

import (
	"slices"
	"testing"
	"time"
)

const apart = 3 * time.Second

var start = time.Unix(0, 0)

func newLog() *Log { return &Log{Apart: func() time.Duration { return apart }} }

// TestRecent checks for how long a target is named: from before its first order until the bound has
// passed since its last one, however long its orders went on.
func TestRecent(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		do    func(l *Log, now time.Time)
		want  bool
	}{
		{"never ordered", 0, func(*Log, time.Time) {}, false},
		{"before its first order", 0, func(l *Log, _ time.Time) { l.Begin("a") }, true},
		{"orders go on for longer than the bound", 3 * apart, func(l *Log, _ time.Time) { l.Begin("a") }, true},
		{"no order was sent", 0, func(l *Log, _ time.Time) { l.Begin("a"); l.Cancel("a") }, false},
		{"just within the bound of the last order", apart - 1, func(l *Log, now time.Time) { l.Begin("a"); l.End(now, "a") }, true},
		{"the bound has passed", apart, func(l *Log, now time.Time) { l.Begin("a"); l.End(now, "a") }, false},
		{"one of two series goes on", apart, func(l *Log, now time.Time) { l.Begin("a"); l.Begin("a"); l.End(now, "a") }, true},
		{"cancelled after an earlier series", apart - 1, func(l *Log, now time.Time) { l.Begin("a"); l.End(now, "a"); l.Begin("a"); l.Cancel("a") }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLog()
			tt.do(l, start)
			if got := slices.ContainsFunc(l.Recent(start.Add(tt.after)), func(r Recent) bool { return r.Target == "a" }); got != tt.want {
				t.Errorf("named: %v, want %v", got, tt.want)
			}
		})
	}
}
