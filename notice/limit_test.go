package notice

import (
	"math"
	"testing"
	"time"
)

// TestObserveLimit checks the known limit after answers that overtake each other.
func TestObserveLimit(t *testing.T) {
	limited := func(rate float64) Signals { return Signals{Limited: true, Rate: rate} }
	unlimited := Signals{Unlimited: true}
	// answer is the answer to a request, with when that was sent and when the answer was
	// read, in milliseconds.
	type answer struct {
		sentAt, at int
		signals    Signals
		news       bool
	}
	tests := []struct {
		name    string
		answers []answer
		active  bool
		rate    float64
	}{
		{"no limit", []answer{{0, 1, unlimited, false}}, false, 0},
		{"a rate", []answer{{0, 1, limited(3.6), true}}, true, 3.6},
		{"a rate of zero", []answer{{0, 1, limited(0), true}}, true, 0},
		{"the same again", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(3.6), false}}, true, 3.6},
		{"a little lower", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(3.5), false}}, true, 3.5},
		{"lower in small steps", []answer{{0, 1, limited(10), true}, {2, 3, limited(9), false}, {4, 5, limited(8.1), false}, {6, 7, limited(7.3), true}}, true, 7.3},
		{"far lower", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(1), true}}, true, 1},
		{"lifted", []answer{{0, 1, limited(3.6), true}, {2, 3, unlimited, true}}, false, 0},
		{"an answer that was in flight", []answer{{0, 2, limited(3.6), true}, {1, 3, unlimited, false}}, true, 3.6},
		{"an answer without limit information", []answer{{0, 1, limited(3.6), true}, {2, 3, Signals{}, false}}, true, 3.6},
		{"lifted, and set again", []answer{{0, 1, limited(3.6), true}, {2, 3, unlimited, true}, {4, 5, limited(2), true}}, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reg Registry
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			for i, a := range tt.answers {
				if news := reg.ObserveLimit(at(a.at), at(a.sentAt), plain, a.signals); news != a.news {
					t.Errorf("answer %d is news: %v", i, news)
				}
			}
			reg.Expire(start.Add(time.Second))
			if got := reg.Limit(plain); got.Active != tt.active || got.PerSecond != tt.rate {
				t.Errorf("the limit is %+v", got)
			}
		})
	}
}

// TestLimitOfIncarnations checks that a later incarnation does not inherit a limit.
func TestLimitOfIncarnations(t *testing.T) {
	var reg Registry
	reg.ObserveLimit(start, start, first, Signals{Limited: true, Rate: 2})
	if !reg.Limit(first).Active || reg.Limit(second).Active {
		t.Error("the limit is not that of the incarnation")
	}
	reg.Observe(start, second, Signals{Leaving: true})
	if reg.ObserveLimit(start.Add(1), start, first, Signals{Limited: true, Rate: 2}) || reg.Limit(second).Active {
		t.Error("a late limit of an earlier incarnation counts")
	}
}

// TestOlderLimit checks that another box's older report does not lift a limit.
func TestOlderLimit(t *testing.T) {
	var reg Registry
	later := start.Add(time.Second)
	reg.ObserveLimit(later, start, plain, Signals{Limited: true, Rate: 2})
	reg.SetLimit(later, TargetLimit{Incarnation: plain, Limit: Limit{At: start}})
	if !reg.Limit(plain).Active {
		t.Error("an older report lifted the limit")
	}
	reg.SetLimit(later, TargetLimit{Incarnation: plain, Limit: Limit{At: later.Add(1)}})
	if reg.Limit(plain).Active || len(reg.Limits()) != 1 {
		t.Errorf("known: %+v", reg.Limits())
	}
	reg.Expire(later.Add(liftedRetention + time.Second))
	if len(reg.Limits()) != 0 {
		t.Error("a limit that ended is remembered")
	}
}

func TestParseRate(t *testing.T) {
	tests := []struct {
		value string
		want  float64
		ok    bool
	}{
		{"3.6", 3.6, true},
		{" 0 ", 0, true},
		{"1e300", 1e300, true},
		{"", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"3.6/s", 0, false},
	}
	for _, tt := range tests {
		if got, ok := ParseRate(tt.value); got != tt.want || ok != tt.ok || math.IsNaN(got) {
			t.Errorf("%q is %v, %v", tt.value, got, ok)
		}
	}
}
