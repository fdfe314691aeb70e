package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/fingerprint"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestEnded says which requests ran on a target when it ended.
func TestEnded(t *testing.T) {
	one, two := fingerprint.Sum{1}, fingerprint.Sum{2}
	cut := func(ms int, life string, sum fingerprint.Sum) func(*crash.Tracker) {
		return func(w *crash.Tracker) { w.CutOff(at(ms), life, sum) }
	}
	alive := func(asked int) func(*crash.Tracker) {
		return func(w *crash.Tracker) { w.Alive("a", at(asked)) }
	}
	tests := []struct {
		name  string
		steps []func(*crash.Tracker)
		want  []fingerprint.Sum
	}{
		{"nothing was cut off", nil, nil},
		{"two were", []func(*crash.Tracker){cut(0, "a", two), cut(5, "a", one)}, []fingerprint.Sum{one, two}},
		{"elsewhere", []func(*crash.Tracker){cut(0, "b", one)}, nil},
		{"it answered since", []func(*crash.Tracker){cut(0, "a", one), alive(1)}, nil},
		{"it answered what was asked before", []func(*crash.Tracker){cut(10, "a", one), alive(9)}, []fingerprint.Sum{one}},
		{"it answered between two", []func(*crash.Tracker){cut(0, "a", one), alive(5), cut(10, "a", two)}, []fingerprint.Sum{two}},
		{"a caller left", []func(*crash.Tracker){func(w *crash.Tracker) { w.CallerLeft(at(0), "a", one) }}, []fingerprint.Sum{one}},
		{"nothing bore it out for long", []func(*crash.Tracker){cut(0, "a", one), func(w *crash.Tracker) { w.Expire(at(0).Add(crash.SuspectFor + 1)) }}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := crash.Tracker{}
			for _, step := range tt.steps {
				step(&w)
			}
			if got := w.Ended(at(100), "a"); !slices.Equal(got, tt.want) {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// TestLate has the end of a request be told after that of its target.
func TestLate(t *testing.T) {
	w := crash.Tracker{}
	w.Ended(at(0), "a")
	if !w.CutOff(at(10), "a", fingerprint.Sum{1}) || !w.CallerLeft(at(10), "a", fingerprint.Sum{1}) {
		t.Error("the target is known to have ended")
	}
	w.Alive("a", at(20))
	if w.CutOff(at(30), "a", fingerprint.Sum{1}) {
		t.Error("it answered since")
	}
}

// TestLives counts the targets that may have ended under a request: those that cut it off
// and nothing was heard of since.
func TestLives(t *testing.T) {
	w := crash.Tracker{}
	sum := fingerprint.Sum{1}
	w.CutOff(at(0), "a", sum)
	w.CutOff(at(0), "b", sum)
	w.CallerLeft(at(0), "c", sum)
	if got := w.Suspects(sum); got != 2 {
		t.Errorf("%d lives, want 2", got)
	}
	w.Alive("a", at(1))
	w.Ended(at(1), "b")
	if got := w.Suspects(sum); got != 0 {
		t.Errorf("%d lives, want none", got)
	}
}

// TestDue asks a target that cut requests off, once in a while, and none that callers
// merely left.
func TestDue(t *testing.T) {
	w := crash.Tracker{}
	w.CutOff(at(0), "a", fingerprint.Sum{1})
	w.CallerLeft(at(0), "b", fingerprint.Sum{1})
	tests := []struct {
		ms   int
		want []string
	}{
		{0, nil},
		{300, []string{"a"}},
		{400, nil},
		{1300, []string{"a"}},
	}
	for _, tt := range tests {
		if got := w.Due(at(tt.ms)); !slices.Equal(got, tt.want) {
			t.Errorf("after %d ms %v, want %v", tt.ms, got, tt.want)
		}
	}
}

// TestBounded has many requests be cut off at many targets.
func TestBounded(t *testing.T) {
	w := crash.Tracker{}
	for i := range 1000 {
		for j := range 1000 {
			w.CutOff(at(0), fmt.Sprint(i), fingerprint.Sum{byte(j), byte(j >> 8)})
		}
	}
	if w.Len() > 256 || len(w.Ended(at(1), "0")) > 256 {
		t.Errorf("%d lives are doubted", w.Len())
	}
}
