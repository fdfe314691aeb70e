package deliver_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// delayed is a body that begins after a wait.
type delayed struct {
	wait time.Duration
	text io.Reader
}

func (d *delayed) Read(p []byte) (int, error) {
	time.Sleep(d.wait)
	d.wait = 0
	return d.text.Read(p)
}

// TestLate shows that a stream counts as late if its first event or a gap exceeded the
// route's goals, and only if it is complete.
func TestLate(t *testing.T) {
	const first, second, third = "id: 1\n\n", "id: 2\n\n", "id: 3\n\n"
	after := func(wait time.Duration, text string) io.Reader { return &delayed{wait, strings.NewReader(text)} }
	tests := []struct {
		name        string
		body        io.Reader
		late, whole bool
	}{
		{"in time", io.MultiReader(after(90*time.Millisecond, first), after(40*time.Millisecond, second), after(40*time.Millisecond, third)), false, true},
		{"the first event is late", io.MultiReader(after(110*time.Millisecond, first), after(0, second)), true, true},
		{"a long gap", io.MultiReader(after(0, first), after(60*time.Millisecond, second), after(0, third)), true, true},
		{"a long gap, then cut off", io.MultiReader(after(0, first), after(60*time.Millisecond, second), brokenBody{}), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(false, true, false, 1)
				r.Goal, r.GapGoal = 100*time.Millisecond, 50*time.Millisecond
				s := (&targets{}).server(r)
				s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) { return streamReply(tt.body), nil }
				var ended deliver.AttemptResult
				s.Ended = func(e deliver.AttemptResult) { ended = e }
				ask(s)
				if ended.Completed != tt.whole || (ended.Completed && ended.Late != tt.late) {
					t.Errorf("completed %v, late %v", ended.Completed, ended.Late)
				}
			})
		})
	}
}
