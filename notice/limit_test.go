package notice

import (
	"math"
	"testing"
	"time"
)

// TestHearLimit says what is known of a limit after answers that pass each other.
func TestHearLimit(t *testing.T) {
	limited := func(rate float64) Signals { return Signals{Limited: true, Rate: rate} }
	unlimited := Signals{Unlimited: true}
	// answer is one to a request sent at asked and read at at, in milliseconds.
	type answer struct {
		asked, at int
		said      Signals
		news      bool
	}
	tests := []struct {
		name    string
		answers []answer
		named   bool
		rate    float64
	}{
		{"none", []answer{{0, 1, unlimited, false}}, false, 0},
		{"a rate", []answer{{0, 1, limited(3.6), true}}, true, 3.6},
		{"a rate of nothing", []answer{{0, 1, limited(0), true}}, true, 0},
		{"the same again", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(3.6), false}}, true, 3.6},
		{"a little lower", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(3.5), false}}, true, 3.5},
		{"lower in small steps", []answer{{0, 1, limited(10), true}, {2, 3, limited(9), false}, {4, 5, limited(8.1), false}, {6, 7, limited(7.3), true}}, true, 7.3},
		{"far lower", []answer{{0, 1, limited(3.6), true}, {2, 3, limited(1), true}}, true, 1},
		{"over", []answer{{0, 1, limited(3.6), true}, {2, 3, unlimited, true}}, false, 0},
		{"an answer that was under way", []answer{{0, 2, limited(3.6), true}, {1, 3, unlimited, false}}, true, 3.6},
		{"another call's answer", []answer{{0, 1, limited(3.6), true}, {2, 3, Signals{}, false}}, true, 3.6},
		{"over, and again", []answer{{0, 1, limited(3.6), true}, {2, 3, unlimited, true}, {4, 5, limited(2), true}}, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Registry
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			for i, a := range tt.answers {
				if news := b.ObserveLimit(at(a.at), at(a.asked), plain, a.said); news != a.news {
					t.Errorf("answer %d is news: %v", i, news)
				}
			}
			b.Expire(start.Add(time.Second))
			if got := b.Limit(plain); got.Active != tt.named || got.PerSecond != tt.rate {
				t.Errorf("the limit is %+v", got)
			}
		})
	}
}

// TestLimitOfLives says that a later life has no limit of an earlier one.
func TestLimitOfLives(t *testing.T) {
	var b Registry
	b.ObserveLimit(start, start, first, Signals{Limited: true, Rate: 2})
	if !b.Limit(first).Active || b.Limit(second).Active {
		t.Error("the limit is not the life's")
	}
	b.Observe(start, second, Signals{Leaving: true})
	if b.ObserveLimit(start.Add(1), start, first, Signals{Limited: true, Rate: 2}) || b.Limit(second).Active {
		t.Error("an earlier life's word counts")
	}
}

// TestOlderLimit has another box tell what it heard before this one heard something newer.
func TestOlderLimit(t *testing.T) {
	var b Registry
	later := start.Add(time.Second)
	b.ObserveLimit(later, start, plain, Signals{Limited: true, Rate: 2})
	b.SetLimit(later, TargetLimit{Incarnation: plain, Limit: Limit{At: start}})
	if !b.Limit(plain).Active {
		t.Error("older word lifted the limit")
	}
	b.SetLimit(later, TargetLimit{Incarnation: plain, Limit: Limit{At: later.Add(1)}})
	if b.Limit(plain).Active || len(b.Limits()) != 1 {
		t.Errorf("known: %+v", b.Limits())
	}
	b.Expire(later.Add(liftedFor + time.Second))
	if len(b.Limits()) != 0 {
		t.Error("a limit that ended is remembered")
	}
}

func TestPerSecond(t *testing.T) {
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
