package reuse_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/stream"
)

func found(tiers ...int) kvcache.Found {
	f := kvcache.Found{Links: [kvcache.Tiers]kvcache.Link{{Rate: 10000}, {Rate: 1000}}}
	for _, tier := range tiers {
		f.Run = append(f.Run, kvcache.Manifest{Tier: tier, Piece: kvcache.Piece{Bytes: 1000, Tokens: 1000}})
	}
	return f
}

func TestBest(t *testing.T) {
	now := time.Unix(1000, 0)
	firstToken := pool.Policy{FirstToken: 4, Recompute: 1, Link: 1}
	recompute := pool.Policy{FirstToken: 1, Recompute: 4, Link: 1}
	links := pool.Policy{FirstToken: 1, Recompute: 1, Link: 40}
	known := reuse.Estimate{Prefill: 2000}
	queued := found(0, 0)
	queued.Links[0].Queue = 100000
	tests := []struct {
		name     string
		estimate reuse.Estimate
		policy   pool.Policy
		choice   reuse.Choice
		want     int
	}{
		{"no estimate", reuse.Estimate{}, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 1)}, 2},
		{"memory is faster than computing", known, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 0)}, 2},
		{"disk is slower", known, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 0, 1)}, 2},
		{"the engine is busy meanwhile", known, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 0, 1), Wait: 2 * time.Second}, 3},
		{"recomputing has a higher weight", known, recompute, reuse.Choice{Tokens: 3000, Found: found(1)}, 1},
		{"the link has the highest weight", known, links, reuse.Choice{Tokens: 3000, Found: found(0, 0)}, 0},
		{"the link has a queue", known, firstToken, reuse.Choice{Tokens: 3000, Found: queued}, 0},
		{"slower than it reports", reuse.Estimate{Prefill: 2000, Slowdown: 20, SlowdownUntil: now.Add(1)}, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 0)}, 0},
		{"was slower long ago", reuse.Estimate{Prefill: 2000, Slowdown: 20, SlowdownUntil: now}, firstToken, reuse.Choice{Tokens: 3000, Found: found(0, 0)}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.estimate.Best(now, tt.policy, tt.choice); got != tt.want {
				t.Errorf("Best = %d, want %d", got, tt.want)
			}
		})
	}
}

func TestLearn(t *testing.T) {
	now := time.Unix(1000, 0)
	var e reuse.Estimate
	for range 50 {
		e.Learn(now, reuse.Sample{Usage: stream.Usage{Prompt: 3000, Imported: 2000, PrefillMillis: 500, ImportMillis: 100}, Bytes: 5000, Predicted: 0.05})
	}
	near := func(got, want float64) bool { return got > 0.99*want && got < 1.01*want }
	if !near(e.Prefill, 2000) || !near(e.Link, 50000) || !near(e.Slowdown, 2) {
		t.Errorf("learned %+v, want 2000 tokens/s, 50000 bytes/s, twice as slow", e)
	}
	e.Learn(now, reuse.Sample{})
	if !near(e.Prefill, 2000) {
		t.Error("an empty sample was learned from")
	}
}
