package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/reach"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failed records that the first n targets of a pool fail from a time on.
func failed(pool string, ms, n int) func(*reach.Tracker) {
	return func(r *reach.Tracker) {
		for i := range n {
			r.Failed(at(ms+i), pool, fmt.Sprint("i-", i))
		}
	}
}

func heard(pool string, ms int) func(*reach.Tracker) {
	return func(r *reach.Tracker) { r.Heard(at(ms), pool) }
}

func TestLost(t *testing.T) {
	tests := []struct {
		name    string
		steps   []func(*reach.Tracker)
		targets int
		want    bool
	}{
		{"nothing known", nil, 9, false},
		{"an empty pool", []func(*reach.Tracker){failed("menu", 0, 4)}, 0, false},
		{"one of nine", []func(*reach.Tracker){failed("menu", 0, 1)}, 9, false},
		{"four of nine", []func(*reach.Tracker){failed("menu", 0, 4)}, 9, true},
		{"the only one", []func(*reach.Tracker){failed("menu", 0, 1)}, 1, true},
		{"one of two", []func(*reach.Tracker){failed("menu", 0, 1)}, 2, false},
		{"two of three", []func(*reach.Tracker){failed("menu", 0, 2)}, 3, true},
		{"four of six hundred", []func(*reach.Tracker){failed("menu", 0, 4)}, 600, true},
		{"the same one again", []func(*reach.Tracker){failed("menu", 0, 1), failed("menu", 5, 1)}, 3, false},
		{"another heard in between", []func(*reach.Tracker){failed("menu", 0, 3), heard("menu", 10), failed("menu", 20, 3)}, 9, false},
		{"heard afterwards", []func(*reach.Tracker){failed("menu", 0, 9), heard("menu", 10)}, 9, false},
		{"heard just before", []func(*reach.Tracker){heard("menu", 800), failed("menu", 900, 9)}, 9, false},
		{"left since", []func(*reach.Tracker){failed("menu", 0, 2), func(r *reach.Tracker) { r.Forget("menu", "i-0") }}, 3, false},
		{"another pool lost since it was heard", []func(*reach.Tracker){heard("menu", 0), failed("orders", 10, 4)}, 9, true},
		{"heard after the other pool was lost", []func(*reach.Tracker){failed("orders", 10, 4), heard("menu", 20)}, 9, false},
		{"another pool with few failures", []func(*reach.Tracker){heard("menu", 0), failed("orders", 10, 3)}, 9, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reach.Tracker{}
			for _, step := range tt.steps {
				step(&r)
			}
			if got := r.Lost(at(1000), "menu", tt.targets); got != tt.want {
				t.Errorf("Lost = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFailedTargets(t *testing.T) {
	r := reach.Tracker{}
	if targets, heardAt := r.FailedTargets("menu"); targets != nil || !heardAt.IsZero() {
		t.Errorf("%v, %v before anything was known", targets, heardAt)
	}
	r.Heard(at(0), "menu")
	r.Failed(at(10), "menu", "b")
	r.Failed(at(20), "menu", "a")
	targets, heardAt := r.FailedTargets("menu")
	if len(targets) != 2 || targets[0] != "a" || !heardAt.Equal(at(0)) {
		t.Errorf("%v, heard at %v", targets, heardAt)
	}
}
