package notice

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

var start = time.Unix(1000, 0)

// heard is one answer, a time after start.
type heard struct {
	at   time.Duration
	life fleet.Incarnation
	said Signals
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
		name  string
		heard []heard
		at    time.Duration
		life  fleet.Incarnation
		want  error
	}{
		{"nothing", nil, 0, plain, nil},
		{"nothing was said", []heard{{0, plain, Signals{}}}, 0, plain, nil},
		{"it leaves", []heard{{0, plain, leaving}}, 0, plain, ErrLeaving},
		{"it leaves, and was said to long ago", []heard{{0, plain, leaving}}, keep - time.Second, plain, ErrLeaving},
		{"another leaves", []heard{{0, plain, leaving}}, 0, fleet.Incarnation{ID: "b"}, nil},
		{"a time without requests", []heard{{0, plain, backoff(3 * time.Second)}}, 2999 * time.Millisecond, plain, ErrBackoff},
		{"is over", []heard{{0, plain, backoff(3 * time.Second)}}, 3 * time.Second, plain, nil},
		{"a shorter one after it", []heard{{0, plain, backoff(3 * time.Second)}, {time.Second, plain, backoff(time.Second)}}, 2500 * time.Millisecond, plain, ErrBackoff},
		{"a longer one after it", []heard{{0, plain, backoff(time.Second)}, {500 * time.Millisecond, plain, backoff(2 * time.Second)}}, 2 * time.Second, plain, ErrBackoff},
		{"a negative one", []heard{{0, plain, backoff(-time.Second)}}, 0, plain, nil},
		{"a year", []heard{{0, plain, backoff(365 * 24 * time.Hour)}}, MaxBackoff - 1, plain, ErrBackoff},
		{"a year, bounded", []heard{{0, plain, backoff(365 * 24 * time.Hour)}}, MaxBackoff, plain, nil},
		{"both", []heard{{0, plain, Signals{Leaving: true, Backoff: time.Second}}}, 0, plain, ErrLeaving},
		{"its time is over and it leaves", []heard{{0, plain, Signals{Leaving: true, Backoff: time.Second}}}, time.Minute, plain, ErrLeaving},
		{"a later life", []heard{{0, first, Signals{Leaving: true, Backoff: time.Minute}}}, 0, second, nil},
		{"an earlier life", []heard{{0, second, leaving}}, 0, first, nil},
		{"the later life's word", []heard{{0, first, leaving}, {1, second, backoff(time.Minute)}}, 2, second, ErrBackoff},
		{"an earlier life's word, late", []heard{{0, second, backoff(time.Minute)}, {1, first, leaving}}, 2, second, ErrBackoff},
		{"a life that does not tell its birth", []heard{{0, first, leaving}}, 0, plain, ErrLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Registry
			for _, h := range tt.heard {
				b.Observe(start.Add(h.at), h.life, h.said)
			}
			b.Expire(start.Add(tt.at))
			if got := b.Allow(start.Add(tt.at), tt.life); !errors.Is(got, tt.want) || (tt.want == nil) != (got == nil) {
				t.Errorf("Allow = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestNews says that each change is news once.
func TestNews(t *testing.T) {
	var b Registry
	steps := []struct {
		at         time.Duration
		said, want Signals
	}{
		{0, Signals{Backoff: time.Second}, Signals{Backoff: time.Second}},
		{100 * time.Millisecond, Signals{Backoff: time.Second}, Signals{}},
		{2 * time.Second, Signals{Backoff: time.Second}, Signals{Backoff: time.Second}},
		{3 * time.Second, Signals{Leaving: true}, Signals{Leaving: true}},
		{4 * time.Second, Signals{Leaving: true}, Signals{}},
	}
	for _, s := range steps {
		if got := b.Observe(start.Add(s.at), plain, s.said); got != s.want {
			t.Errorf("after %v: %+v, want %+v", s.at, got, s.want)
		}
	}
}

// TestBounded fills the book, and lets its time pass.
func TestBounded(t *testing.T) {
	var b Registry
	for i := range most + 10 {
		b.Observe(start.Add(time.Duration(i)), fleet.Incarnation{ID: fmt.Sprint(i)}, Signals{Leaving: true})
	}
	if n := len(b.byID); n != most {
		t.Errorf("%d targets are remembered", n)
	}
	if b.Leaving(fleet.Incarnation{ID: "9"}) || !b.Leaving(fleet.Incarnation{ID: "10"}) {
		t.Error("it did not forget the ones heard of longest ago")
	}
	b.Touch(start.Add(keep), fleet.Incarnation{ID: "10"})
	b.Expire(start.Add(keep + time.Second))
	if n := len(b.byID); n != 1 || !b.Leaving(fleet.Incarnation{ID: "10"}) {
		t.Errorf("%d targets are remembered when their time is over", n)
	}
}

// BenchmarkAllow is what each request pays.
func BenchmarkAllow(b *testing.B) {
	for _, size := range []int{0, 1, 600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var book Registry
			for i := range size {
				book.Observe(start, fleet.Incarnation{ID: fmt.Sprint(i)}, Signals{Leaving: true})
			}
			for b.Loop() {
				_ = book.Allow(start, plain)
			}
		})
	}
}
