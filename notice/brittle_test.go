package notice

import (
	"testing"
	"time"
)

// TestBrittle checks for how long a target counts as brittle, also while other records expire.
func TestBrittle(t *testing.T) {
	var reg Registry
	reg.Observe(start, plain, Signals{Brittle: 6})
	reg.Observe(start.Add(time.Second), plain, Signals{})
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 6}, {BrittleFor - 1, 6}, {BrittleFor, 0}} {
		now := start.Add(tt.after)
		reg.Expire(now)
		got := 0
		for _, x := range reg.BrittleTargets(now) {
			got = x.Bears
		}
		if got != tt.want {
			t.Errorf("%v later %d, want %d", tt.after, got, tt.want)
		}
	}
}

// TestBrittleNews checks when a target's word that it is brittle is news.
func TestBrittleNews(t *testing.T) {
	var reg Registry
	for _, tt := range []struct {
		at   time.Duration
		says int
		want int
	}{{0, 6, 6}, {time.Second, 6, 0}, {2 * time.Second, 0, 0}, {3 * time.Second, 4, 4}, {3*time.Second + BrittleFor, 4, 4}} {
		if got := reg.Observe(start.Add(tt.at), plain, Signals{Brittle: tt.says}).Brittle; got != tt.want {
			t.Errorf("after %v news is %d, want %d", tt.at, got, tt.want)
		}
	}
}
