package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/poison"
)

var (
	start = time.Unix(1000, 0)
	part  = fingerprint.Sum{1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

type step func(*poison.List)

// crashes has n engines end under the part, from a time on.
func crashes(ms, n int) step {
	return func(l *poison.List) {
		for i := range n {
			l.Crashed(at(ms+i), part, fmt.Sprintf("i-%d-%d", ms, i))
		}
	}
}

func began(ms int) step { return func(l *poison.List) { l.Began(at(ms), part) } }

func TestRefuses(t *testing.T) {
	tests := []struct {
		name     string
		steps    []step
		suspects int
		// ms is when a request comes.
		ms   int
		want bool
	}{
		{"two ends", []step{crashes(0, 2)}, 0, 100, false},
		{"three ends", []step{crashes(0, 3)}, 0, 100, true},
		{"one incarnation three times", []step{crashes(0, 1), crashes(0, 1), crashes(0, 1)}, 0, 100, false},
		{"two ends and one that may be", []step{crashes(0, 2)}, 1, 100, true},
		{"three that may be", nil, 3, 100, true},
		{"a request began in between", []step{crashes(0, 2), began(10), crashes(20, 2)}, 0, 100, false},
		{"a request began after", []step{crashes(0, 9), began(10)}, 0, 100, false},
		{"an end of before the beginning is told again", []step{crashes(0, 3), began(10), crashes(0, 3)}, 0, 100, false},
		{"it was good before, three ends", []step{began(0), crashes(10, 3)}, 0, 100, false},
		{"it was good before, five ends", []step{began(0), crashes(10, 5)}, 0, 100, true},
		{"another box found it good, three ends", []step{func(l *poison.List) { l.MarkGood(at(0), part) }, crashes(10, 3)}, 0, 100, false},
		{"another box found it good, which lifts nothing", []step{crashes(10, 5), func(l *poison.List) { l.MarkGood(at(20), part) }}, 0, 100, true},
		{"it was good long ago, three ends", []step{began(0), crashes(100000, 3)}, 0, 100010, true},
		{"another box refuses it", []step{func(l *poison.List) { l.AddRemote(at(0), part) }}, 0, 100, true},
		{"another box refuses it, a request began", []step{func(l *poison.List) { l.AddRemote(at(0), part) }, began(10)}, 0, 100, false},
		{"one of three lives", []step{crashes(0, 3), func(l *poison.List) { l.Lives("i-0-1") }}, 0, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.List{}
			for _, step := range tt.steps {
				step(&l)
			}
			if got := l.Refuses(at(tt.ms), part, tt.suspects); got != tt.want {
				t.Errorf("Refuses = %v, want %v", got, tt.want)
			}
			if got := len(l.Refused(at(tt.ms))) > 0; tt.suspects == 0 && got != tt.want {
				t.Errorf("listed as refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestStorm has engines end one after another under one part, each with a request that shares the
// other part, while such requests begin elsewhere, as they did before: only the first part is refused.
func TestStorm(t *testing.T) {
	l, shared := poison.List{}, fingerprint.Sum{2}
	l.Began(at(-1000), shared)
	for i := range 20 {
		incarnation := fmt.Sprint("i-", i)
		l.Crashed(at(150*i), part, incarnation)
		l.Crashed(at(150*i), shared, incarnation)
		if i%4 == 3 {
			l.Began(at(150*i+75), shared)
		}
		if l.Refuses(at(150*i+80), shared, 0) {
			t.Fatalf("the shared part is refused after %d ends", i+1)
		}
		if got := l.Refuses(at(150*i+80), part, 0); got != (i >= 2) {
			t.Fatalf("the part is refused after %d ends: %v", i+1, got)
		}
	}
}

// TestBounded has a caller name ever new parts.
func TestBounded(t *testing.T) {
	l := poison.List{}
	for i := range 20000 {
		sum := fingerprint.OfPart("cafe", "m", fmt.Sprint(i))
		l.Crashed(at(i), sum, "i-1")
		l.Began(at(i), fingerprint.OfPart("cafe", "m", fmt.Sprint("good", i)))
	}
	if l.Len() > 4096 {
		t.Errorf("%d parts are kept", l.Len())
	}
}
