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
		change func(b *overdue.Tracker)
		at     time.Time
		want   int
	}{
		{"no prompts", func(*overdue.Tracker) {}, due.Add(time.Second), 0},
		{"not due yet", func(b *overdue.Tracker) { b.Add(target, start, due, 9) }, due, 0},
		{"due", func(b *overdue.Tracker) { b.Add(target, start, due, 9) }, due.Add(1), 9},
		{"two due", func(b *overdue.Tracker) {
			b.Add(target, start, due, 9)
			b.Add(target, start.Add(1), due, 5)
		}, due.Add(1), 14},
		{"one answered", func(b *overdue.Tracker) {
			b.Add(target, start, due, 9)
			b.Add(target, start.Add(1), due, 5)
			b.Done(target, start)
		}, due.Add(1), 5},
		{"answered twice", func(b *overdue.Tracker) {
			b.Add(target, start, due, 9)
			b.Done(target, start)
			b.Done(target, start)
		}, due.Add(1), 0},
		{"at another target", func(b *overdue.Tracker) { b.Add(target+1, start, due, 9) }, due.Add(1), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b overdue.Tracker
			tt.change(&b)
			if got := b.Tokens(tt.at, target); got != tt.want {
				t.Errorf("%d tokens, want %d", got, tt.want)
			}
		})
	}
}
