package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

var start = time.Unix(1000, 0)

func entry(id string) fleet.Entry {
	return fleet.Entry{ID: id, Pool: "p", Versions: map[string]int64{"m": 2}}
}

func TestOpen(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fleet.Fleet)
		after  time.Duration
		want   bool
	}{
		{"listed", func(*fleet.Fleet) {}, 0, true},
		{"leaving", func(f *fleet.Fleet) { e := entry("a"); e.Leaving = true; f.Upsert(start, e) }, 0, false},
		{"leaving is never taken back", func(f *fleet.Fleet) {
			e := entry("a")
			e.Leaving = true
			f.Upsert(start, e)
			f.Upsert(start, entry("a"))
		}, 0, false},
		{"lapsed a moment ago", func(f *fleet.Fleet) { f.Lapse(start, "a") }, time.Second, true},
		{"lapsed for too long", func(f *fleet.Fleet) { f.Lapse(start, "a") }, fleet.LapseGrace, false},
		{"lapsed and back", func(f *fleet.Fleet) { f.Lapse(start, "a"); f.Upsert(start, entry("a")) }, time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet.New()
			x, _ := f.Upsert(start, entry("a"))
			tt.change(f)
			if got := x.Available(start.Add(tt.after)); got != tt.want {
				t.Errorf("Open = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestDrop(t *testing.T) {
	f := fleet.New()
	x, _ := f.Upsert(start, entry("b"))
	f.Upsert(start, entry("a"))
	if pool := f.Pool("p"); len(pool) != 2 || pool[0].ID != "a" {
		t.Fatalf("pool %v", pool)
	}
	f.Drop("b")
	if len(f.Pool("p")) != 1 || f.Target("b") != nil || x.Available(start) {
		t.Error("a dropped target still takes work")
	}
	f.Drop("b")
}

// TestVersionsRise shows that an entry that lags does not take a version back.
func TestVersionsRise(t *testing.T) {
	f := fleet.New()
	x, _ := f.Upsert(start, entry("a"))
	x.Versions["m"] = 3
	f.Upsert(start, entry("a"))
	if x.Versions["m"] != 3 {
		t.Errorf("version %d, want 3", x.Versions["m"])
	}
}

func TestEvidence(t *testing.T) {
	tests := []struct {
		name                  string
		happen                func(x *fleet.Target)
		after                 time.Duration
		avoided, silent, grey bool
	}{
		{"nothing", func(*fleet.Target) {}, time.Second, false, false, false},
		{"failed once, just now", func(x *fleet.Target) { x.Fail(start) }, 100 * time.Millisecond, true, false, false},
		{"failed once, a while ago", func(x *fleet.Target) { x.Fail(start) }, 300 * time.Millisecond, false, false, false},
		{"failed often", func(x *fleet.Target) {
			for range 20 {
				x.Fail(start)
			}
		}, 1900 * time.Millisecond, true, false, false},
		{"waits and says nothing", func(x *fleet.Target) { x.Sent(start, 5, 9) }, 500 * time.Millisecond, false, true, false},
		{"waits and was heard", func(x *fleet.Target) { x.Sent(start, 5, 9); x.Heard(start.Add(400 * time.Millisecond)) }, 500 * time.Millisecond, false, false, false},
		{"answered", func(x *fleet.Target) { x.Sent(start, 5, 9); x.Began(start, 5) }, time.Second, false, false, false},
		{"fails half", func(x *fleet.Target) {
			for i := range 8 {
				x.Sent(start, 0, 0)
				x.Ended(start, false, 0, 0, i%2 == 0)
			}
		}, 0, false, false, true},
		{"fails a few", func(x *fleet.Target) {
			for i := range 20 {
				x.Sent(start, 0, 0)
				x.Ended(start, false, 0, 0, i%7 == 0)
			}
		}, 0, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &fleet.Target{}
			tt.happen(x)
			now := start.Add(tt.after)
			if got := x.Ejected(now); got != tt.avoided {
				t.Errorf("Avoided = %v", got)
			}
			if got := x.Silent(now, 300*time.Millisecond); got != tt.silent {
				t.Errorf("Silent = %v", got)
			}
			if got := x.Grey(now); got != tt.grey {
				t.Errorf("Grey = %v", got)
			}
		})
	}
}

// TestCounts shows that what was sent is taken off again, however it ends.
func TestCounts(t *testing.T) {
	x := &fleet.Target{}
	x.Sent(start, 7, 100)
	x.Sent(start, 5, 50)
	x.Began(start, 7)
	x.Ended(start, true, 7, 100, false)
	x.Ended(start, false, 5, 50, true)
	if x.InFlight != 0 || x.PrefillBacklog != 0 || x.Tokens != 0 || x.Silent(start.Add(time.Hour), time.Second) {
		t.Errorf("left over: %+v", x)
	}
}

// TestReplace shows that a target whose address another replica has stays away,
// whatever the list says.
func TestReplace(t *testing.T) {
	f := fleet.New()
	f.Upsert(start, fleet.Entry{ID: "a", Pool: "p"})
	if !f.MarkEnded(start, fleet.Incarnation{ID: "a"}) || f.MarkEnded(start.Add(time.Second), fleet.Incarnation{ID: "a"}) {
		t.Error("news only once")
	}
	if x, fresh := f.Upsert(start, fleet.Entry{ID: "a", Pool: "p"}); x != nil || fresh || len(f.Pool("p")) != 0 {
		t.Errorf("listed again: %+v", x)
	}
	if got := f.Ended(start.Add(-time.Second)); !slices.Equal(got, []fleet.Incarnation{{ID: "a"}}) {
		t.Errorf("replaced %v", got)
	}
	if got := f.Ended(start); len(got) != 0 {
		t.Errorf("replaced since then %v", got)
	}
	f.Expire(start.Add(time.Second))
	if x, fresh := f.Upsert(start, fleet.Entry{ID: "a", Pool: "p"}); x == nil || !fresh {
		t.Error("remembered for ever")
	}
}

// TestLives has entries, and news that lives are over, come in any order: the latest
// life that was heard of stands, and nothing of an earlier one is believed.
func TestLives(t *testing.T) {
	born := func(n int) time.Time { return start.Add(time.Duration(n) * time.Hour) }
	said := func(life int, version int64) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) {
			e := entry("a")
			e.StartedAt, e.Versions, e.Leaving = born(life), map[string]int64{"m": version}, version == 9
			f.Upsert(start, e)
		}
	}
	over := func(life int) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) { f.MarkEnded(start, fleet.Incarnation{ID: "a", StartedAt: born(life)}) }
	}
	tests := []struct {
		name  string
		steps []func(*fleet.Fleet)
		// life is the one listed, or zero for none; version its weights'.
		life    int
		version int64
	}{
		{"one", []func(*fleet.Fleet){said(1, 5)}, 1, 5},
		{"a later one has older weights", []func(*fleet.Fleet){said(1, 5), said(2, 3)}, 2, 3},
		{"a later one does not leave", []func(*fleet.Fleet){said(1, 9), said(2, 3)}, 2, 3},
		{"an earlier one is heard late", []func(*fleet.Fleet){said(2, 3), said(1, 9)}, 2, 3},
		{"over", []func(*fleet.Fleet){said(1, 5), over(1)}, 0, 0},
		{"over, and heard again", []func(*fleet.Fleet){said(1, 5), over(1), said(1, 5)}, 0, 0},
		{"over, and started again", []func(*fleet.Fleet){said(1, 5), over(1), said(2, 4)}, 2, 4},
		{"an earlier one is over", []func(*fleet.Fleet){said(2, 4), over(1)}, 2, 4},
		{"over before it is listed", []func(*fleet.Fleet){over(2), said(1, 5), said(2, 5)}, 0, 0},
		{"over twice", []func(*fleet.Fleet){said(1, 5), over(1), said(2, 4), over(2), said(1, 5), said(2, 4), said(3, 1)}, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleet.New()
			for _, step := range tt.steps {
				step(f)
			}
			x := f.Target("a")
			if x == nil || tt.life == 0 {
				if (x == nil) != (tt.life == 0) {
					t.Fatalf("listed %+v", x)
				}
				return
			}
			if !x.StartedAt.Equal(born(tt.life)) || x.Versions["m"] != tt.version || x.Leaving || len(f.Pool("p")) != 1 {
				t.Errorf("listed %+v", x)
			}
			if f.Incarnation(fleet.Incarnation{ID: "a", StartedAt: born(tt.life)}) != x || f.Incarnation(fleet.Incarnation{ID: "a"}) != x || f.Incarnation(fleet.Incarnation{ID: "a", StartedAt: born(7)}) != nil {
				t.Error("a life is taken for another")
			}
		})
	}
}
