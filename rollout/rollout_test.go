package rollout_test

import (
	"slices"
	"testing"

	"github.com/thymewind/thymewind/rollout"
)

// TestLargePool checks that a fifth of a large pool loads at the same time.
func TestLargePool(t *testing.T) {
	replicas := make([]rollout.Replica, 112)
	if got := len(rollout.Plan{MinConcurrent: 2, ConcurrentShare: 0.2}.Next(2, replicas)); got != 22 {
		t.Errorf("%d at once, want 22", got)
	}
}

func TestNext(t *testing.T) {
	tests := []struct {
		name     string
		replicas []rollout.Replica
		want     []string
		behind   int
	}{
		{"the least busy first", []rollout.Replica{{ID: "a", Busy: 5}, {ID: "b"}, {ID: "c", Busy: 1}}, []string{"b", "c"}, 3},
		{"the oldest first", []rollout.Replica{{ID: "a", Version: 1}, {ID: "b", Busy: 5}, {ID: "c", Version: 1}}, []string{"b", "a"}, 3},
		{"one is loading", []rollout.Replica{{ID: "a", Loading: true}, {ID: "b"}, {ID: "c"}}, []string{"b"}, 3},
		{"two are loading", []rollout.Replica{{ID: "a", Loading: true}, {ID: "b", Loading: true}, {ID: "c"}}, nil, 3},
		{"current ones get no order", []rollout.Replica{{ID: "a", Version: 2}, {ID: "b", Version: 3}}, nil, 0},
		{"barred ones wait", []rollout.Replica{{ID: "a", Barred: true}, {ID: "b"}}, []string{"b"}, 2},
		{"none", nil, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := (rollout.Plan{MinConcurrent: 2, ConcurrentShare: 0.2}).Next(2, tt.replicas); !slices.Equal(got, tt.want) {
				t.Errorf("Next = %v, want %v", got, tt.want)
			}
			if got := rollout.Behind(2, tt.replicas); got != tt.behind {
				t.Errorf("Behind = %d, want %d", got, tt.behind)
			}
		})
	}
}

func TestMinVersion(t *testing.T) {
	tests := []struct {
		name     string
		replicas []rollout.Replica
		want     int64
	}{
		{"none", nil, 0},
		{"one behind", []rollout.Replica{{Version: 3}, {Version: 2}, {Version: 3}}, 2},
		{"one that has none yet", []rollout.Replica{{Version: 3}, {}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := rollout.MinVersion(tt.replicas); got != tt.want {
				t.Errorf("MinVersion = %d, want %d", got, tt.want)
			}
		})
	}
}
