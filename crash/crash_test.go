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

// TestEnded checks which requests are reported when a target ends.
func TestEnded(t *testing.T) {
	one, two := fingerprint.Sum{1}, fingerprint.Sum{2}
	cut := func(ms int, incarnation string, sum fingerprint.Sum) func(*crash.Tracker) {
		return func(tracker *crash.Tracker) { tracker.CutOff(at(ms), incarnation, sum) }
	}
	alive := func(sentAt int) func(*crash.Tracker) {
		return func(tracker *crash.Tracker) { tracker.Alive("a", at(sentAt)) }
	}
	tests := []struct {
		name  string
		steps []func(*crash.Tracker)
		want  []fingerprint.Sum
	}{
		{"no requests", nil, nil},
		{"two cut off", []func(*crash.Tracker){cut(0, "a", two), cut(5, "a", one)}, []fingerprint.Sum{one, two}},
		{"at another target", []func(*crash.Tracker){cut(0, "b", one)}, nil},
		{"alive afterwards", []func(*crash.Tracker){cut(0, "a", one), alive(1)}, nil},
		{"answer to an earlier request", []func(*crash.Tracker){cut(10, "a", one), alive(9)}, []fingerprint.Sum{one}},
		{"alive between two", []func(*crash.Tracker){cut(0, "a", one), alive(5), cut(10, "a", two)}, []fingerprint.Sum{two}},
		{"a caller left", []func(*crash.Tracker){func(tracker *crash.Tracker) { tracker.CallerLeft(at(0), "a", one) }}, []fingerprint.Sum{one}},
		{"expired without confirmation", []func(*crash.Tracker){cut(0, "a", one), func(tracker *crash.Tracker) { tracker.Expire(at(0).Add(crash.SuspectFor + 1)) }}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := crash.Tracker{}
			for _, step := range tt.steps {
				step(&tracker)
			}
			if got := tracker.Ended(at(100), "a"); !slices.Equal(got, tt.want) {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// TestLate checks requests whose end is reported after that of their target.
func TestLate(t *testing.T) {
	tracker := crash.Tracker{}
	tracker.Ended(at(0), "a")
	if !tracker.CutOff(at(10), "a", fingerprint.Sum{1}) || !tracker.CallerLeft(at(10), "a", fingerprint.Sum{1}) {
		t.Error("the target is known to have ended")
	}
	tracker.Alive("a", at(20))
	if tracker.CutOff(at(30), "a", fingerprint.Sum{1}) {
		t.Error("it has answered since")
	}
}

// TestSuspects counts the targets that may have crashed under a request: those that cut
// it off and have not answered since.
func TestSuspects(t *testing.T) {
	tracker := crash.Tracker{}
	sum := fingerprint.Sum{1}
	tracker.CutOff(at(0), "a", sum)
	tracker.CutOff(at(0), "b", sum)
	tracker.CallerLeft(at(0), "c", sum)
	if got := tracker.Suspects(sum); got != 2 {
		t.Errorf("%d suspects, want 2", got)
	}
	tracker.Alive("a", at(1))
	tracker.Ended(at(1), "b")
	if got := tracker.Suspects(sum); got != 0 {
		t.Errorf("%d suspects, want none", got)
	}
}

// TestDue checks that a target that cut requests off is probed at intervals, and one that
// callers merely left is not.
func TestDue(t *testing.T) {
	tracker := crash.Tracker{}
	tracker.CutOff(at(0), "a", fingerprint.Sum{1})
	tracker.CallerLeft(at(0), "b", fingerprint.Sum{1})
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
		if got := tracker.Due(at(tt.ms)); !slices.Equal(got, tt.want) {
			t.Errorf("after %d ms %v, want %v", tt.ms, got, tt.want)
		}
	}
}

// TestBounded checks the bounds on suspects and requests.
func TestBounded(t *testing.T) {
	tracker := crash.Tracker{}
	for i := range 1000 {
		for j := range 1000 {
			tracker.CutOff(at(0), fmt.Sprint(i), fingerprint.Sum{byte(j), byte(j >> 8)})
		}
	}
	if tracker.Len() > 256 || len(tracker.Ended(at(1), "0")) > 256 {
		t.Errorf("%d suspects", tracker.Len())
	}
}
