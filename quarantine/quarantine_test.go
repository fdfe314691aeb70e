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

// TestRefuses says after which histories a fingerprint is refused.
func TestRefuses(t *testing.T) {
	ended := func(lives ...string) func(*quarantine.List) {
		return func(b *quarantine.List) {
			for _, life := range lives {
				b.Ended(start, sum(1), life)
			}
		}
	}
	answered := func(b *quarantine.List) { b.Answered(start, sum(1)) }
	told := func(b *quarantine.List) { b.AddRemote(start, sum(1)) }
	tests := []struct {
		name  string
		steps []func(*quarantine.List)
		more  int
		after time.Duration
		want  bool
	}{
		{"nothing", nil, 0, 0, false},
		{"two targets ended", []func(*quarantine.List){ended("a", "b")}, 0, 0, false},
		{"three did", []func(*quarantine.List){ended("a", "b", "c")}, 0, 0, true},
		{"one, told of by three boxes", []func(*quarantine.List){ended("a", "a", "a")}, 0, 0, false},
		{"two, and one more may have", []func(*quarantine.List){ended("a", "b")}, 1, 0, true},
		{"three may have", nil, 3, 0, true},
		{"answered in between", []func(*quarantine.List){ended("a", "b"), answered, ended("c")}, 0, 0, false},
		{"answered, and told of again", []func(*quarantine.List){ended("a", "b", "c"), answered, ended("a", "b", "c")}, 0, 0, false},
		{"answered, and three more ended", []func(*quarantine.List){ended("a"), answered, ended("b", "c", "d")}, 0, 0, true},
		{"another box refuses it", []func(*quarantine.List){told}, 0, 0, true},
		{"another box did, until it was answered", []func(*quarantine.List){told, answered}, 0, 0, false},
		{"just within the time", []func(*quarantine.List){ended("a", "b", "c")}, 0, quarantine.Retention, true},
		{"forgotten", []func(*quarantine.List){ended("a", "b", "c")}, 0, quarantine.Retention + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := quarantine.List{}
			for _, step := range tt.steps {
				step(&b)
			}
			b.Expire(start.Add(tt.after))
			if got := b.Refuses(start.Add(tt.after), sum(1), tt.more); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
			if b.Refuses(start, sum(2), 0) {
				t.Error("another one is refused")
			}
		})
	}
}

// TestNews says that each refusal is told once.
func TestNews(t *testing.T) {
	b := quarantine.List{}
	for i, want := range []bool{false, false, true, false} {
		if got := b.Ended(start, sum(1), fmt.Sprint(i)); got != want {
			t.Errorf("life %d: news %v, want %v", i, got, want)
		}
	}
	if b.AddRemote(start, sum(1)) || !b.AddRemote(start, sum(2)) {
		t.Error("what is refused already is no news, what is not is")
	}
	if got := b.Refused(); !slices.Equal(got, []fingerprint.Sum{sum(1), sum(2)}) {
		t.Errorf("refused: %v", got)
	}
	if !b.Answered(start, sum(1)) || b.Answered(start, sum(1)) {
		t.Error("an answer is news while something speaks against the request")
	}
	if got := b.Refused(); !slices.Equal(got, []fingerprint.Sum{sum(2)}) {
		t.Errorf("refused after an answer: %v", got)
	}
	b.Expire(start.Add(quarantine.Retention + 1))
	if got := b.Refused(); len(got) != 0 {
		t.Errorf("refused after an hour: %v", got)
	}
}

// TestKeptWhileItComes keeps refusing what keeps coming.
func TestKeptWhileItComes(t *testing.T) {
	b := quarantine.List{}
	for i := range 3 {
		b.Ended(start, sum(1), fmt.Sprint(i))
	}
	now := start
	for range 5 {
		now = now.Add(quarantine.Retention - time.Second)
		b.Expire(now)
		if !b.Refuses(now, sum(1), 0) {
			t.Fatal("forgotten though it came within the time")
		}
	}
}

// TestBounded drowns what is refused in requests that merely ran on targets that ended.
func TestBounded(t *testing.T) {
	b := quarantine.List{}
	for i := range 3 {
		b.Ended(start, sum(1), fmt.Sprint(i))
	}
	for i := range 5 * quarantine.MaxEntries {
		b.Ended(start.Add(time.Duration(i)), sum(2+i), "crowd")
		if b.Len() > quarantine.MaxEntries {
			t.Fatalf("%d are remembered", b.Len())
		}
	}
	if !b.Refuses(start, sum(1), 0) {
		t.Error("what took three targets down was forgotten for what took down one")
	}
	if b.Crashes(sum(1+5*quarantine.MaxEntries)) != 1 {
		t.Error("the newest is not remembered")
	}
}
