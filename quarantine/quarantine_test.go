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
	ended := func(lives ...string) func(*quarantine.Book) {
		return func(b *quarantine.Book) {
			for _, life := range lives {
				b.Ended(start, sum(1), life)
			}
		}
	}
	answered := func(b *quarantine.Book) { b.Answered(start, sum(1)) }
	told := func(b *quarantine.Book) { b.Tell(start, sum(1)) }
	tests := []struct {
		name  string
		steps []func(*quarantine.Book)
		more  int
		after time.Duration
		want  bool
	}{
		{"nothing", nil, 0, 0, false},
		{"two targets ended", []func(*quarantine.Book){ended("a", "b")}, 0, 0, false},
		{"three did", []func(*quarantine.Book){ended("a", "b", "c")}, 0, 0, true},
		{"one, told of by three boxes", []func(*quarantine.Book){ended("a", "a", "a")}, 0, 0, false},
		{"two, and one more may have", []func(*quarantine.Book){ended("a", "b")}, 1, 0, true},
		{"three may have", nil, 3, 0, true},
		{"answered in between", []func(*quarantine.Book){ended("a", "b"), answered, ended("c")}, 0, 0, false},
		{"answered, and told of again", []func(*quarantine.Book){ended("a", "b", "c"), answered, ended("a", "b", "c")}, 0, 0, false},
		{"answered, and three more ended", []func(*quarantine.Book){ended("a"), answered, ended("b", "c", "d")}, 0, 0, true},
		{"another box refuses it", []func(*quarantine.Book){told}, 0, 0, true},
		{"another box did, until it was answered", []func(*quarantine.Book){told, answered}, 0, 0, false},
		{"just within the time", []func(*quarantine.Book){ended("a", "b", "c")}, 0, quarantine.Keep, true},
		{"forgotten", []func(*quarantine.Book){ended("a", "b", "c")}, 0, quarantine.Keep + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := quarantine.Book{}
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
	b := quarantine.Book{}
	for i, want := range []bool{false, false, true, false} {
		if got := b.Ended(start, sum(1), fmt.Sprint(i)); got != want {
			t.Errorf("life %d: news %v, want %v", i, got, want)
		}
	}
	if b.Tell(start, sum(1)) || !b.Tell(start, sum(2)) {
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
	b.Expire(start.Add(quarantine.Keep + 1))
	if got := b.Refused(); len(got) != 0 {
		t.Errorf("refused after an hour: %v", got)
	}
}

// TestKeptWhileItComes keeps refusing what keeps coming.
func TestKeptWhileItComes(t *testing.T) {
	b := quarantine.Book{}
	for i := range 3 {
		b.Ended(start, sum(1), fmt.Sprint(i))
	}
	now := start
	for range 5 {
		now = now.Add(quarantine.Keep - time.Second)
		b.Expire(now)
		if !b.Refuses(now, sum(1), 0) {
			t.Fatal("forgotten though it came within the time")
		}
	}
}

// TestBounded drowns what is refused in requests that merely ran on targets that ended.
func TestBounded(t *testing.T) {
	b := quarantine.Book{}
	for i := range 3 {
		b.Ended(start, sum(1), fmt.Sprint(i))
	}
	for i := range 5 * quarantine.Most {
		b.Ended(start.Add(time.Duration(i)), sum(2+i), "crowd")
		if b.Len() > quarantine.Most {
			t.Fatalf("%d are remembered", b.Len())
		}
	}
	if !b.Refuses(start, sum(1), 0) {
		t.Error("what took three targets down was forgotten for what took down one")
	}
	if b.Lives(sum(1+5*quarantine.Most)) != 1 {
		t.Error("the newest is not remembered")
	}
}
