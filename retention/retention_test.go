package retention_test

import (
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/retention"
)

func TestKeep(t *testing.T) {
	now := time.Unix(1000, 0)
	firstToken := pool.Policy{FirstToken: 4, Recompute: 1, Link: 1}
	links := pool.Policy{FirstToken: 1, Recompute: 1, Link: 4}
	tests := []struct {
		name     string
		weights  pool.Policy
		returned bool
		cost     retention.Candidate
		want     bool
	}{
		{"returns, cheap to transfer", firstToken, true, retention.Candidate{Prefill: 1, Link: 0.1}, true},
		{"never returns", firstToken, false, retention.Candidate{Prefill: 1, Link: 0.5}, false},
		{"expensive to transfer", firstToken, true, retention.Candidate{Prefill: 0.1, Link: 1}, false},
		{"links have a higher weight", links, true, retention.Candidate{Prefill: 1, Link: 0.5}, false},
		{"over the link's budget", firstToken, true, retention.Candidate{Prefill: 100, Link: 10}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := retention.Policy{Burst: 5, LinkShare: 0.3}
			for range 50 {
				p.Observe("a", tt.returned)
			}
			tt.cost.At, tt.cost.Account, tt.cost.Weights = now, "a", tt.weights
			if got := p.Keep(tt.cost); got != tt.want {
				t.Errorf("Keep = %v, want %v (returns %.2f)", got, tt.want, p.Returns("a"))
			}
		})
	}
}

func TestEvictTakesTheEndFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	piece := kvcache.Piece{Bytes: 10, Tokens: 5}
	all := []kvcache.Manifest{
		{Key: "old-0", Depth: 0, Piece: piece, Used: now.Add(-time.Hour)},
		{Key: "old-1", Depth: 1, Piece: piece, Used: now.Add(-time.Hour)},
		{Key: "new-0", Depth: 0, Piece: piece, Used: now.Add(-time.Minute)},
		{Key: "used", Depth: 0, Piece: piece, Used: now.Add(-time.Hour), Hits: 100},
	}
	if got := retention.Evict(now, all, 15); !slices.Equal(got, []string{"old-1", "old-0"}) {
		t.Errorf("Evict = %v", got)
	}
	if got := retention.Evict(now, all, 0); got != nil {
		t.Errorf("Evict of zero bytes = %v", got)
	}
}
