package workingset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/workingset"
)

var start = time.Unix(1000, 0)

func pool(n int) []*fleet.Target {
	list := make([]*fleet.Target, n)
	for i := range list {
		list[i] = &fleet.Target{ID: fmt.Sprintf("i-%05d", i)}
	}
	return list
}

func open(t *fleet.Target) bool { return !t.Leaving }

// shared counts the targets that two lists have in common.
func shared(a, b []*fleet.Target) int {
	in := make(map[string]bool, len(a))
	for _, t := range a {
		in[t.ID] = true
	}
	n := 0
	for _, t := range b {
		if in[t.ID] {
			n++
		}
	}
	return n
}

// TestMembers has two boxes with different lists compute the set: they agree on all targets
// that both know, those that close are replaced, and the others stay.
func TestMembers(t *testing.T) {
	var s workingset.Set
	all := pool(10000)
	members := s.Members(all, open)
	if len(members) != s.Size() {
		t.Fatalf("%d members, want %d", len(members), s.Size())
	}
	tests := []struct {
		name   string
		change func(list []*fleet.Target) []*fleet.Target
		// least is how many of the members stay at least.
		least int
	}{
		{"nothing changes", func(list []*fleet.Target) []*fleet.Target { return list }, len(members)},
		{"a tenth is unknown", func(list []*fleet.Target) []*fleet.Target { return list[:9000] }, len(members) * 17 / 20},
		{"a tenth is leaving", func(list []*fleet.Target) []*fleet.Target {
			for _, x := range list[:1000] {
				x.Leaving = true
			}
			return list
		}, len(members) * 17 / 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := s.Members(tt.change(pool(10000)), open)
			if n := shared(members, got); len(got) != len(members) || n < tt.least {
				t.Errorf("%d members, of which %d stay, want %d", len(got), n, tt.least)
			}
			for _, x := range got {
				if x.Leaving {
					t.Fatalf("%s is in use although it is leaving", x.ID)
				}
			}
		})
	}
	if small := pool(100); len(s.Members(small, open)) != 100 {
		t.Error("not all of a small pool is in use")
	}
}

// TestResize has a set grow before it is full, and shrink only after a while with little work.
func TestResize(t *testing.T) {
	var s workingset.Set
	first := s.Size()
	steps := []struct {
		name  string
		after time.Duration
		share float64
		all   bool
		want  int
	}{
		{"little work", 0, 0.01, false, first},
		{"half full", 0, 0.5, false, 2 * first},
		{"still half full", time.Second, 0.5, false, 4 * first},
		{"all targets are in use", time.Second, 0.9, true, 4 * first},
		{"some work", time.Second, 0.2, false, 4 * first},
		{"little work again", time.Second, 0.01, false, 4 * first},
		{"for a while", 30 * time.Second, 0.01, false, 4 * first},
		{"for long", 70 * time.Second, 0.01, false, 2 * first},
		{"then more", 80 * time.Second, 0.2, false, 2 * first},
		{"little for a moment", 150 * time.Second, 0.01, false, 2 * first},
	}
	for _, tt := range steps {
		s.Resize(start.Add(tt.after), tt.share, tt.all)
		if s.Size() != tt.want {
			t.Errorf("%s: %d targets, want %d", tt.name, s.Size(), tt.want)
		}
	}
}
