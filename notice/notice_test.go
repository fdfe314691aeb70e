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
	life fleet.Life
	said Said
}

var (
	plain  = fleet.Life{ID: "a"}
	first  = fleet.Life{ID: "a", Born: start.Add(-time.Hour)}
	second = fleet.Life{ID: "a", Born: start.Add(-time.Minute)}
)

func TestAllow(t *testing.T) {
	backoff := func(d time.Duration) Said { return Said{Backoff: d} }
	leaving := Said{Leaving: true}
	tests := []struct {
		name  string
		heard []heard
		at    time.Duration
		life  fleet.Life
		want  error
	}{
		{"nothing", nil, 0, plain, nil},
		{"nothing was said", []heard{{0, plain, Said{}}}, 0, plain, nil},
		{"it leaves", []heard{{0, plain, leaving}}, 0, plain, ErrLeaving},
		{"it leaves, and was said to long ago", []heard{{0, plain, leaving}}, keep - time.Second, plain, ErrLeaving},
		{"another leaves", []heard{{0, plain, leaving}}, 0, fleet.Life{ID: "b"}, nil},
		{"a time without requests", []heard{{0, plain, backoff(3 * time.Second)}}, 2999 * time.Millisecond, plain, ErrBackoff},
		{"is over", []heard{{0, plain, backoff(3 * time.Second)}}, 3 * time.Second, plain, nil},
		{"a shorter one after it", []heard{{0, plain, backoff(3 * time.Second)}, {time.Second, plain, backoff(time.Second)}}, 2500 * time.Millisecond, plain, ErrBackoff},
		{"a longer one after it", []heard{{0, plain, backoff(time.Second)}, {500 * time.Millisecond, plain, backoff(2 * time.Second)}}, 2 * time.Second, plain, ErrBackoff},
		{"a negative one", []heard{{0, plain, backoff(-time.Second)}}, 0, plain, nil},
		{"a year", []heard{{0, plain, backoff(365 * 24 * time.Hour)}}, Longest - 1, plain, ErrBackoff},
		{"a year, bounded", []heard{{0, plain, backoff(365 * 24 * time.Hour)}}, Longest, plain, nil},
		{"both", []heard{{0, plain, Said{Leaving: true, Backoff: time.Second}}}, 0, plain, ErrLeaving},
		{"its time is over and it leaves", []heard{{0, plain, Said{Leaving: true, Backoff: time.Second}}}, time.Minute, plain, ErrLeaving},
		{"a later life", []heard{{0, first, Said{Leaving: true, Backoff: time.Minute}}}, 0, second, nil},
		{"an earlier life", []heard{{0, second, leaving}}, 0, first, nil},
		{"the later life's word", []heard{{0, first, leaving}, {1, second, backoff(time.Minute)}}, 2, second, ErrBackoff},
		{"an earlier life's word, late", []heard{{0, second, backoff(time.Minute)}, {1, first, leaving}}, 2, second, ErrBackoff},
		{"a life that does not tell its birth", []heard{{0, first, leaving}}, 0, plain, ErrLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Book
			for _, h := range tt.heard {
				b.Hear(start.Add(h.at), h.life, h.said)
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
	var b Book
	steps := []struct {
		at         time.Duration
		said, want Said
	}{
		{0, Said{Backoff: time.Second}, Said{Backoff: time.Second}},
		{100 * time.Millisecond, Said{Backoff: time.Second}, Said{}},
		{2 * time.Second, Said{Backoff: time.Second}, Said{Backoff: time.Second}},
		{3 * time.Second, Said{Leaving: true}, Said{Leaving: true}},
		{4 * time.Second, Said{Leaving: true}, Said{}},
	}
	for _, s := range steps {
		if got := b.Hear(start.Add(s.at), plain, s.said); got != s.want {
			t.Errorf("after %v: %+v, want %+v", s.at, got, s.want)
		}
	}
}

// TestBounded fills the book, and lets its time pass.
func TestBounded(t *testing.T) {
	var b Book
	for i := range most + 10 {
		b.Hear(start.Add(time.Duration(i)), fleet.Life{ID: fmt.Sprint(i)}, Said{Leaving: true})
	}
	if n := len(b.byID); n != most {
		t.Errorf("%d targets are remembered", n)
	}
	if b.Leaves(fleet.Life{ID: "9"}) || !b.Leaves(fleet.Life{ID: "10"}) {
		t.Error("it did not forget the ones heard of longest ago")
	}
	b.Touch(start.Add(keep), fleet.Life{ID: "10"})
	b.Expire(start.Add(keep + time.Second))
	if n := len(b.byID); n != 1 || !b.Leaves(fleet.Life{ID: "10"}) {
		t.Errorf("%d targets are remembered when their time is over", n)
	}
}

// BenchmarkAllow is what each request pays.
func BenchmarkAllow(b *testing.B) {
	for _, size := range []int{0, 1, 600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var book Book
			for i := range size {
				book.Hear(start, fleet.Life{ID: fmt.Sprint(i)}, Said{Leaving: true})
			}
			for b.Loop() {
				_ = book.Allow(start, plain)
			}
		})
	}
}
