package overdue_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/overdue"
)

var start = time.Unix(1000, 0)

func TestTokens(t *testing.T) {
	const target = 7
	due := start.Add(100 * time.Millisecond)
	tests := []struct {
		name   string
		change func(tracker *overdue.Tracker)
		at     time.Time
		want   int
	}{
		{"no prompts", func(*overdue.Tracker) {}, due.Add(time.Second), 0},
		{"not due yet", func(tracker *overdue.Tracker) { tracker.Add(target, start, due, 9) }, due, 0},
		{"due", func(tracker *overdue.Tracker) { tracker.Add(target, start, due, 9) }, due.Add(1), 9},
		{"two due", func(tracker *overdue.Tracker) {
			tracker.Add(target, start, due, 9)
			tracker.Add(target, start.Add(1), due, 5)
		}, due.Add(1), 14},
		{"one answered", func(tracker *overdue.Tracker) {
			tracker.Add(target, start, due, 9)
			tracker.Add(target, start.Add(1), due, 5)
			tracker.Done(target, start)
		}, due.Add(1), 5},
		{"answered twice", func(tracker *overdue.Tracker) {
			tracker.Add(target, start, due, 9)
			tracker.Done(target, start)
			tracker.Done(target, start)
		}, due.Add(1), 0},
		{"at another target", func(tracker *overdue.Tracker) { tracker.Add(target+1, start, due, 9) }, due.Add(1), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker overdue.Tracker
			tt.change(&tracker)
			if got := tracker.Tokens(tt.at, target); got != tt.want {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
		})
	}
}
