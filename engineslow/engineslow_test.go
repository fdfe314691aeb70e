package engineslow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/engineslow"
)

var start = time.Unix(1000, 0)

const (
	ms    = time.Millisecond
	usual = 100 * ms
)

// answers observes some answers of an engine, one after the other, that end at a time.
func answers(t *engineslow.Tracker, end time.Time, engine uint64, n int, every, took time.Duration) {
	for i := range n {
		t.Observe(end.Add(-time.Duration(n-1-i)*every), engine, usual, took, false)
	}
}

// amongOthers does so while other engines answer in time, as in a pool where most are normal.
func amongOthers(t *engineslow.Tracker, end time.Time, engine uint64, n int, every, took time.Duration) {
	for i := range n {
		at := end.Add(-time.Duration(n-1-i) * every)
		t.Observe(at, engine, usual, took, false)
		t.Observe(at, 99, usual, usual, false)
	}
}

// normal has other engines answer in time, as in a pool where most are normal.
func normal(t *engineslow.Tracker, end time.Time) {
	for engine := range uint64(20) {
		answers(t, end, 100+engine, 4, 100*ms, usual)
	}
}

// TestRatio guards against a ratio of one late answer, one that comes later than a second after
// the engine became slow, that exceeds its bound, or that stays once answers are normal or none
// come. Engine 7 answers 8 requests a second.
func TestRatio(t *testing.T) {
	tests := []struct {
		name        string
		observe     func(x *engineslow.Tracker)
		after       time.Duration
		least, most float64
	}{
		{"nothing", func(*engineslow.Tracker) {}, 0, 1, 1},
		{"normal answers", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 50, 125*ms, 140*ms) }, 0, 1, 1},
		{"one late answer", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 1, 0, 3*time.Second) }, 0, 1, 1},
		{"one late answer in a second, for long", func(x *engineslow.Tracker) {
			for i := range 60 {
				at := start.Add(time.Duration(i-59) * time.Second)
				amongOthers(x, at, 7, 1, 0, 3*time.Second)
				amongOthers(x, at.Add(900*ms), 7, 7, 125*ms, usual)
			}
		}, time.Second, 1, 1},
		{"several at once", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 4, 0, 400*ms) }, 0, 3.9, 4.01},
		{"late answers of one second", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 8, 125*ms, 400*ms) }, 0, 3.9, 4.01},
		{"late answers after normal ones", func(x *engineslow.Tracker) {
			amongOthers(x, start.Add(-time.Second), 7, 50, 125*ms, usual)
			amongOthers(x, start, 7, 8, 125*ms, 400*ms)
		}, 0, 3.9, 4.01},
		{"bounded", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 50, 125*ms, time.Hour) }, 0, 8, 8},
		{"no requests for a second", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 50, 125*ms, 400*ms) }, time.Second, 2, 4.01},
		{"no requests for five seconds", func(x *engineslow.Tracker) { amongOthers(x, start, 7, 50, 125*ms, 400*ms) }, 5 * time.Second, 1, 1},
		{"normal again for two seconds", func(x *engineslow.Tracker) {
			amongOthers(x, start.Add(-2*time.Second), 7, 50, 125*ms, 400*ms)
			amongOthers(x, start, 7, 15, 125*ms, usual)
		}, 0, 1, 1.3},
		{"normal again for three seconds", func(x *engineslow.Tracker) {
			amongOthers(x, start.Add(-3*time.Second), 7, 50, 125*ms, 400*ms)
			amongOthers(x, start, 7, 23, 125*ms, usual)
		}, 0, 1, 1},
		{"another engine", func(x *engineslow.Tracker) { amongOthers(x, start, 8, 50, 125*ms, 400*ms) }, 0, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var x engineslow.Tracker
			normal(&x, start)
			tt.observe(&x)
			now := start.Add(tt.after)
			if tt.after > 0 {
				normal(&x, now)
			}
			if _, got := x.Of(now, 7).Ratio(); got < tt.least || got > tt.most {
				t.Errorf("ratio %.2f, want %.2f to %.2f", got, tt.least, tt.most)
			}
		})
	}
}

// TestSumOfBoxes guards against ratios that need one box to see several late answers: in a large
// fleet each box sees an engine once in several seconds.
func TestSumOfBoxes(t *testing.T) {
	for boxes, want := range map[int]bool{1: false, 2: false, 4: true, 8: true} {
		var sum engineslow.Evidence
		for range boxes {
			var x engineslow.Tracker
			x.Observe(start, 7, usual, 400*ms, false)
			sum = sum.Add(x.Of(start, 7))
		}
		if _, ratio := sum.Ratio(); (ratio > 2) != want {
			t.Errorf("%d boxes with a late answer each: ratio %.1f, want slow: %v", boxes, ratio, want)
		}
	}
}

// TestOwnFault guards against a box that was paused, or a pool that is slow as a whole, for
// which single engines would be avoided, at once or with the first answers in time that follow, and
// whose speed would not be learned; also if all answers were in time for long before.
func TestOwnFault(t *testing.T) {
	for _, before := range []int{0, 5, 500} {
		t.Run(fmt.Sprint(before, " in time of each"), func(t *testing.T) {
			var x engineslow.Tracker
			for i := range before {
				for engine := range uint64(20) {
					x.Observe(start.Add(time.Duration(i-before)*10*ms), engine, usual, usual, false)
				}
			}
			judged := 0
			for i := range 5 {
				for engine := range uint64(20) {
					if x.Observe(start, engine, usual, time.Second, false) && i >= 2 {
						judged++
					}
				}
			}
			if judged != 0 {
				t.Errorf("%d answers after the first 40 count as late because of their engines", judged)
			}
			for range 2 {
				x.Each(start, func(engine uint64, e engineslow.Evidence) { t.Errorf("reports engine %d: %+v", engine, e) })
				if _, got := x.Of(start, 7).Ratio(); got != 1 {
					t.Errorf("ratio %.1f", got)
				}
				answers(&x, start, 99, 50, 0, usual)
			}
		})
	}
}

// TestState guards against state or reports without late answers, that outlast them, or without
// bound.
func TestState(t *testing.T) {
	reports := func(x *engineslow.Tracker, now time.Time) int {
		n := 0
		x.Each(now, func(uint64, engineslow.Evidence) { n++ })
		return n
	}
	var x engineslow.Tracker
	for engine := range uint64(5000) {
		answers(&x, start, engine, 2, 0, usual)
	}
	if !x.IsEmpty() || reports(&x, start) != 0 {
		t.Error("normal answers leave state")
	}
	for engine := range uint64(2000) {
		amongOthers(&x, start, engine, 1, 0, time.Second)
	}
	if n := reports(&x, start); n != 1024 {
		t.Errorf("reports %d engines, want the bound", n)
	}
	x.Expire(start.Add(8 * time.Second))
	if !x.IsEmpty() {
		t.Error("state is left 8 s after the last late answer")
	}
}
