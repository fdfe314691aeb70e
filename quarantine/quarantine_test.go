package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/quarantine"
)

var start = time.Unix(1000, 0)

// sum returns the n-th of some fingerprints.
func sum(n int) fingerprint.Sum {
	var s fingerprint.Sum
	binary.BigEndian.PutUint64(s[:], uint64(n))
	return s
}

// TestRefuses checks which histories lead to a refusal.
func TestRefuses(t *testing.T) {
	ended := func(incarnations ...string) func(*quarantine.List) {
		return func(l *quarantine.List) {
			for _, incarnation := range incarnations {
				l.Ended(start, sum(1), incarnation)
			}
		}
	}
	answered := func(l *quarantine.List) { l.Answered(start, sum(1)) }
	remote := func(l *quarantine.List) { l.AddRemote(start, sum(1)) }
	tests := []struct {
		name     string
		steps    []func(*quarantine.List)
		suspects int
		after    time.Duration
		want     bool
	}{
		{"no crashes", nil, 0, 0, false},
		{"two crashes", []func(*quarantine.List){ended("a", "b")}, 0, 0, false},
		{"three crashes", []func(*quarantine.List){ended("a", "b", "c")}, 0, 0, true},
		{"one, reported by three boxes", []func(*quarantine.List){ended("a", "a", "a")}, 0, 0, false},
		{"two crashes and one suspect", []func(*quarantine.List){ended("a", "b")}, 1, 0, true},
		{"three suspects", nil, 3, 0, true},
		{"answered in between", []func(*quarantine.List){ended("a", "b"), answered, ended("c")}, 0, 0, false},
		{"answered, then reported again", []func(*quarantine.List){ended("a", "b", "c"), answered, ended("a", "b", "c")}, 0, 0, false},
		{"answered, then three more crashes", []func(*quarantine.List){ended("a"), answered, ended("b", "c", "d")}, 0, 0, true},
		{"another box refuses it", []func(*quarantine.List){remote}, 0, 0, true},
		{"another box refuses it, then answered", []func(*quarantine.List){remote, answered}, 0, 0, false},
		{"just within the retention", []func(*quarantine.List){ended("a", "b", "c")}, 0, quarantine.Retention, true},
		{"expired", []func(*quarantine.List){ended("a", "b", "c")}, 0, quarantine.Retention + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := quarantine.List{}
			for _, step := range tt.steps {
				step(&l)
			}
			l.Expire(start.Add(tt.after))
			if got := l.Refuses(start.Add(tt.after), sum(1), tt.suspects); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
			if l.Refuses(start, sum(2), 0) {
				t.Error("another fingerprint is refused")
			}
		})
	}
}

// TestNews checks that each refusal is news exactly once.
func TestNews(t *testing.T) {
	l := quarantine.List{}
	for i, want := range []bool{false, false, true, false} {
		if got := l.Ended(start, sum(1), fmt.Sprint(i)); got != want {
			t.Errorf("crash %d: news %v, want %v", i, got, want)
		}
	}
	if l.AddRemote(start, sum(1)) || !l.AddRemote(start, sum(2)) {
		t.Error("another box's refusal is news unless the fingerprint is refused already")
	}
	if got := l.Refused(); !slices.Equal(got, []fingerprint.Sum{sum(1), sum(2)}) {
		t.Errorf("refused: %v", got)
	}
	if !l.Answered(start, sum(1)) || l.Answered(start, sum(1)) {
		t.Error("an answer is news while a crash counts")
	}
	if got := l.Refused(); !slices.Equal(got, []fingerprint.Sum{sum(2)}) {
		t.Errorf("refused after an answer: %v", got)
	}
	l.Expire(start.Add(quarantine.Retention + 1))
	if got := l.Refused(); len(got) != 0 {
		t.Errorf("refused after an hour: %v", got)
	}
}

// TestKeptWhileRequested checks that a refused fingerprint does not expire while it is
// requested.
func TestKeptWhileRequested(t *testing.T) {
	l := quarantine.List{}
	for i := range 3 {
		l.Ended(start, sum(1), fmt.Sprint(i))
	}
	now := start
	for range 5 {
		now = now.Add(quarantine.Retention - time.Second)
		l.Expire(now)
		if !l.Refuses(now, sum(1), 0) {
			t.Fatal("expired though it was refused within the retention")
		}
	}
}

// TestBounded fills the list with requests that merely ran on a crashed target: those
// that are refused must stay.
func TestBounded(t *testing.T) {
	l := quarantine.List{}
	for i := range 3 {
		l.Ended(start, sum(1), fmt.Sprint(i))
	}
	for i := range 5 * quarantine.MaxEntries {
		l.Ended(start.Add(time.Duration(i)), sum(2+i), "crowd")
		if l.Len() > quarantine.MaxEntries {
			t.Fatalf("%d entries", l.Len())
		}
	}
	if !l.Refuses(start, sum(1), 0) {
		t.Error("a fingerprint with three crashes was evicted for some with one")
	}
	if l.Crashes(sum(1+5*quarantine.MaxEntries)) != 1 {
		t.Error("the newest fingerprint is missing")
	}
}
