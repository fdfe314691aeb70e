package reclaim

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestBelow has version 2 named at the start and all engines on it 10 s later.
func TestBelow(t *testing.T) {
	const done = 10 * time.Second
	tests := []struct {
		name   string
		change func(w *Tracker)
		after  time.Duration
		want   int64
	}{
		{"a fetch may still run", func(*Tracker) {}, done + propagation + shortFetch - time.Millisecond, 0},
		{"no fetch can run", func(*Tracker) {}, done + propagation + shortFetch, 2},
		{"an engine with older weights is listed again", func(w *Tracker) { w.SetFloor(start.Add(done+time.Second), 1) }, time.Minute, 1},
		{"an engine with older weights is listed, then loads the newer ones", func(w *Tracker) {
			w.SetFloor(start.Add(done+time.Second), 1)
			w.SetFloor(start.Add(done+2*time.Second), 2)
		}, done + 2*time.Second + propagation + shortFetch - time.Millisecond, 0},
		{"no engine is listed", func(w *Tracker) { w.SetFloor(start.Add(done), 0) }, time.Minute, 0},
		{"the list was incomplete", func(w *Tracker) { w.MarkIncomplete(start.Add(done)) }, done + relistTime + propagation + shortFetch - time.Millisecond, 0},
		{"the list was incomplete, and is complete again", func(w *Tracker) { w.MarkIncomplete(start.Add(done)) }, done + relistTime + propagation + shortFetch, 2},
		{"a newer version was named meanwhile", func(w *Tracker) { w.AddVersion(start.Add(done), 3) }, done + propagation + shortFetch, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w Tracker
			w.AddVersion(start, 2)
			w.SetFloor(start, 1)
			w.SetFloor(start.Add(done), 2)
			tt.change(&w)
			if got := w.Below(start.Add(tt.after)); got != tt.want {
				t.Errorf("parts below %d may be freed, want %d", got, tt.want)
			}
		})
	}
}

// TestFastRollout has all engines on a version right after it was named, when boxes that
// did not know of it placed fetches with the longer time-out.
func TestFastRollout(t *testing.T) {
	var w Tracker
	w.SetFloor(start, 1)
	w.AddVersion(start, 2)
	w.SetFloor(start, 2)
	if got := w.Below(start.Add(maxProofAge + longFetch - time.Millisecond)); got != 0 {
		t.Errorf("below %d too early", got)
	}
	if got := w.Below(start.Add(maxProofAge + longFetch)); got != 2 {
		t.Errorf("below %d, want 2", got)
	}
}

// TestAddVersionOnce checks that a version counts from when it was first known.
func TestAddVersionOnce(t *testing.T) {
	var w Tracker
	w.AddVersion(start, 2)
	w.AddVersion(start.Add(time.Minute), 2)
	w.SetFloor(start, 2)
	if got := w.Below(start.Add(maxProofAge + longFetch)); got != 2 {
		t.Errorf("below %d, want 2", got)
	}
}

// TestUnnamed checks that nothing is freed below weights that nobody named.
func TestUnnamed(t *testing.T) {
	var w Tracker
	w.SetFloor(start, 3)
	if got := w.Below(start.Add(time.Hour)); got != 0 {
		t.Errorf("below %d", got)
	}
}

func TestFetchTimeout(t *testing.T) {
	tests := []struct {
		name      string
		newest    bool
		provedAgo time.Duration
		want      time.Duration
	}{
		{"the newest weights", true, 3 * time.Second, longFetch},
		{"older weights", false, 0, shortFetch},
		{"a box with an old proof", true, maxProofAge + time.Millisecond, shortFetch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := FetchTimeout(tt.newest, tt.provedAgo); got != tt.want {
				t.Errorf("FetchTimeout = %v, want %v", got, tt.want)
			}
		})
	}
}
