package notice

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

var start = time.Unix(1000, 0)

// observed is one answer, a time after start.
type observed struct {
	at          time.Duration
	incarnation fleet.Incarnation
	signals     Signals
}

var (
	plain  = fleet.Incarnation{ID: "a"}
	first  = fleet.Incarnation{ID: "a", StartedAt: start.Add(-time.Hour)}
	second = fleet.Incarnation{ID: "a", StartedAt: start.Add(-time.Minute)}
)

func TestAllow(t *testing.T) {
	backoff := func(d time.Duration) Signals { return Signals{Backoff: d} }
	leaving := Signals{Leaving: true}
	tests := []struct {
		name        string
		answers     []observed
		at          time.Duration
		incarnation fleet.Incarnation
		want        error
	}{
		{"no answers", nil, 0, plain, nil},
		{"an answer without signals", []observed{{0, plain, Signals{}}}, 0, plain, nil},
		{"leaving", []observed{{0, plain, leaving}}, 0, plain, ErrLeaving},
		{"leaving, signalled long ago", []observed{{0, plain, leaving}}, retention - time.Second, plain, ErrLeaving},
		{"another target is leaving", []observed{{0, plain, leaving}}, 0, fleet.Incarnation{ID: "b"}, nil},
		{"in backoff", []observed{{0, plain, backoff(3 * time.Second)}}, 2999 * time.Millisecond, plain, ErrBackoff},
		{"backoff over", []observed{{0, plain, backoff(3 * time.Second)}}, 3 * time.Second, plain, nil},
		{"a shorter backoff after it", []observed{{0, plain, backoff(3 * time.Second)}, {time.Second, plain, backoff(time.Second)}}, 2500 * time.Millisecond, plain, ErrBackoff},
		{"a longer backoff after it", []observed{{0, plain, backoff(time.Second)}, {500 * time.Millisecond, plain, backoff(2 * time.Second)}}, 2 * time.Second, plain, ErrBackoff},
		{"a negative backoff", []observed{{0, plain, backoff(-time.Second)}}, 0, plain, nil},
		{"a backoff of a year", []observed{{0, plain, backoff(365 * 24 * time.Hour)}}, MaxBackoff - 1, plain, ErrBackoff},
		{"a backoff of a year, bounded", []observed{{0, plain, backoff(365 * 24 * time.Hour)}}, MaxBackoff, plain, nil},
		{"leaving and in backoff", []observed{{0, plain, Signals{Leaving: true, Backoff: time.Second}}}, 0, plain, ErrLeaving},
		{"leaving, backoff over", []observed{{0, plain, Signals{Leaving: true, Backoff: time.Second}}}, time.Minute, plain, ErrLeaving},
		{"a later incarnation", []observed{{0, first, Signals{Leaving: true, Backoff: time.Minute}}}, 0, second, nil},
		{"an earlier incarnation", []observed{{0, second, leaving}}, 0, first, nil},
		{"signals of a later incarnation", []observed{{0, first, leaving}, {1, second, backoff(time.Minute)}}, 2, second, ErrBackoff},
		{"late signals of an earlier incarnation", []observed{{0, second, backoff(time.Minute)}, {1, first, leaving}}, 2, second, ErrBackoff},
		{"an incarnation without a start time", []observed{{0, first, leaving}}, 0, plain, ErrLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reg Registry
			for _, h := range tt.answers {
				reg.Observe(start.Add(h.at), h.incarnation, h.signals)
			}
			reg.Expire(start.Add(tt.at))
			if got := reg.Allow(start.Add(tt.at), tt.incarnation); !errors.Is(got, tt.want) || (tt.want == nil) != (got == nil) {
				t.Errorf("Allow = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestNews checks that each change is news exactly once.
func TestNews(t *testing.T) {
	var reg Registry
	steps := []struct {
		at            time.Duration
		signals, want Signals
	}{
		{0, Signals{Backoff: time.Second}, Signals{Backoff: time.Second}},
		{100 * time.Millisecond, Signals{Backoff: time.Second}, Signals{}},
		{2 * time.Second, Signals{Backoff: time.Second}, Signals{Backoff: time.Second}},
		{3 * time.Second, Signals{Leaving: true}, Signals{Leaving: true}},
		{4 * time.Second, Signals{Leaving: true}, Signals{}},
	}
	for _, s := range steps {
		if got := reg.Observe(start.Add(s.at), plain, s.signals); got != s.want {
			t.Errorf("after %v: %+v, want %+v", s.at, got, s.want)
		}
	}
}

// TestBounded checks that a full registry evicts the records used least recently, and
// that records expire.
func TestBounded(t *testing.T) {
	var reg Registry
	for i := range maxRecords + 10 {
		reg.Observe(start.Add(time.Duration(i)), fleet.Incarnation{ID: fmt.Sprint(i)}, Signals{Leaving: true})
	}
	if n := len(reg.byID); n != maxRecords {
		t.Errorf("%d records", n)
	}
	if reg.Leaving(fleet.Incarnation{ID: "9"}) || !reg.Leaving(fleet.Incarnation{ID: "10"}) {
		t.Error("the records used least recently were not evicted")
	}
	reg.Touch(start.Add(retention), fleet.Incarnation{ID: "10"})
	reg.Expire(start.Add(retention + time.Second))
	if n := len(reg.byID); n != 1 || !reg.Leaving(fleet.Incarnation{ID: "10"}) {
		t.Errorf("%d records after their retention", n)
	}
}

// BenchmarkAllow measures the lookup before each request.
func BenchmarkAllow(b *testing.B) {
	for _, size := range []int{0, 1, 600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var reg Registry
			for i := range size {
				reg.Observe(start, fleet.Incarnation{ID: fmt.Sprint(i)}, Signals{Leaving: true})
			}
			for b.Loop() {
				_ = reg.Allow(start, plain)
			}
		})
	}
}
