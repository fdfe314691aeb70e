package runcopy_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/runcopy"
)

// draft is a long run as on the timetable deployment: 12,030 tokens of 35 KB over links of
// 1,500 Gbit/s, its prompt read at 125 tokens/ms, with a deadline of 10 s.
func draft() runcopy.Run {
	return runcopy.Run{
		Domain: "a", Tokens: 12030, Capacity: 96895, Loss: 10 * time.Second, Chance: 0.05, PerToken: 187 * time.Nanosecond,
	}
}

// TestChoose guards against copies that cost more than they save, that delay other callers, or
// that lie with an engine far away while a near one has room.
func TestChoose(t *testing.T) {
	near, far := runcopy.Engine{ID: "near", Domain: "a"}, runcopy.Engine{ID: "far", Domain: "b"}
	used := func(e runcopy.Engine, tokens int) runcopy.Engine { e.Used = tokens; return e }
	tests := []struct {
		name    string
		change  func(*runcopy.Run)
		engines []runcopy.Engine
		want    string
	}{
		{"a long run while runs are lost", func(*runcopy.Run) {}, []runcopy.Engine{far, near}, "near"},
		{"no run is lost", func(r *runcopy.Run) { r.Chance = 0 }, []runcopy.Engine{near}, ""},
		{"hardly any is lost", func(r *runcopy.Run) { r.Chance = 0.001 }, []runcopy.Engine{near}, ""},
		{"one in a hundred is lost", func(r *runcopy.Run) { r.Chance = 0.01 }, []runcopy.Engine{near}, "near"},
		{"a short prompt, whose caller loses the answer as well", func(r *runcopy.Run) { r.Tokens = 859 }, []runcopy.Engine{used(near, 80000)}, "near"},
		{"a caller that loses little", func(r *runcopy.Run) { r.Loss = 200 * time.Millisecond }, []runcopy.Engine{near}, ""},
		{"slow links", func(r *runcopy.Run) { r.PerToken = 50 * time.Microsecond }, []runcopy.Engine{near}, ""},
		{"links too slow between domains only", func(r *runcopy.Run) { r.PerToken = 30 * time.Microsecond }, []runcopy.Engine{far, used(near, 50000)}, "near"},
		{"no other engine", func(*runcopy.Run) {}, nil, ""},
		{"no engine keeps its reserve", func(*runcopy.Run) {}, []runcopy.Engine{used(near, 60000), used(far, 60000)}, ""},
		{"room for the copy and one more run", func(*runcopy.Run) {}, []runcopy.Engine{used(near, 58000)}, "near"},
		{"the near one is full", func(*runcopy.Run) {}, []runcopy.Engine{used(near, 60000), far}, "far"},
		{"the emptier of two", func(*runcopy.Run) {}, []runcopy.Engine{used(near, 30000), {ID: "empty", Domain: "a"}}, "empty"},
		{"unknown capacity", func(r *runcopy.Run) { r.Capacity = 0 }, []runcopy.Engine{near}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := draft()
			tt.change(&r)
			got, ok := runcopy.Choose(r, tt.engines)
			if got.ID != tt.want || ok != (tt.want != "") {
				t.Errorf("got %q, %v, want %q", got.ID, ok, tt.want)
			}
		})
	}
}

const pool = 7

func everyBox(string) bool { return true }

// TestLosses guards against copies while no engine is lost, and against losses that other boxes
// saw and that are forgotten too early or too late.
func TestLosses(t *testing.T) {
	start := time.Unix(1000, 0)
	end := func(l *runcopy.Losses, n, lost int) {
		for i := range n {
			l.End(start, pool, i < lost)
		}
	}
	tests := []struct {
		name   string
		record func(*runcopy.Losses)
		after  time.Duration
		want   float64
	}{
		{"nothing known", func(*runcopy.Losses) {}, 0, 0},
		{"no run lost", func(l *runcopy.Losses) { end(l, 500, 0) }, 0, 0},
		{"own losses", func(l *runcopy.Losses) { end(l, 500, 50) }, 0, 0.1},
		{"one of a few", func(l *runcopy.Losses) { end(l, 3, 1) }, 0, 0.01},
		{"within the window", func(l *runcopy.Losses) { end(l, 500, 50) }, 9 * time.Second, 0.1},
		{"after the window", func(l *runcopy.Losses) { end(l, 500, 50) }, 10 * time.Second, 0},
		{"with another box's", func(l *runcopy.Losses) {
			end(l, 100, 0)
			l.Set(start, "b", []runcopy.Count{{Pool: pool, Ended: 100, Lost: 20}, {Pool: 8, Ended: 5, Lost: 5}})
		}, time.Second, 0.1},
		{"a report is replaced", func(l *runcopy.Losses) {
			l.Set(start, "b", []runcopy.Count{{Pool: pool, Ended: 100, Lost: 20}})
			l.Set(start, "b", nil)
		}, 0, 0},
		{"a box that reports no more", func(l *runcopy.Losses) {
			l.Set(start, "b", []runcopy.Count{{Pool: pool, Ended: 100, Lost: 20}})
		}, 2 * time.Second, 0},
		{"another pool's", func(l *runcopy.Losses) { l.Set(start, "b", []runcopy.Count{{Pool: 8, Ended: 100, Lost: 20}}) }, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l runcopy.Losses
			tt.record(&l)
			if got := l.Chance(start.Add(tt.after), pool); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSum guards against reports while no run is lost, and against counts that are sent back to
// where they came from and so never end.
func TestSum(t *testing.T) {
	now := time.Unix(1000, 0)
	var l runcopy.Losses
	for range 40 {
		l.End(now, pool, false)
	}
	if got := l.Sum(now, everyBox); len(got) != 0 {
		t.Fatalf("reported %v while no run was lost", got)
	}
	l.Set(now, "spoke", []runcopy.Count{{Pool: pool, Ended: 10, Lost: 2}})
	l.Set(now, "hub", []runcopy.Count{{Pool: pool, Ended: 100, Lost: 5}})
	if got := l.Sum(now, func(box string) bool { return box != "hub" }); len(got) != 1 || got[0] != (runcopy.Count{Pool: pool, Ended: 50, Lost: 2}) {
		t.Errorf("reported %v to another hub", got)
	}
	if got := l.Sum(now, everyBox); len(got) != 1 || got[0] != (runcopy.Count{Pool: pool, Ended: 150, Lost: 7}) {
		t.Errorf("reported %v to a spoke", got)
	}
	if got := l.Sum(now.Add(2*time.Second), everyBox); len(got) != 0 {
		t.Errorf("reported %v after the other boxes fell silent", got)
	}
}
