package reuse_test

import (
	"testing"

	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/stream"
)

func TestBetter(t *testing.T) {
	firstToken := pool.Policy{FirstToken: 4, Recompute: 1, Link: 1}
	recompute := pool.Policy{FirstToken: 1, Recompute: 4, Link: 1}
	links := pool.Policy{FirstToken: 1, Recompute: 1, Link: 8}
	c := reuse.Choice{Tokens: 3000, Kept: 2000, Bytes: 1000}
	tests := []struct {
		name     string
		estimate reuse.Estimate
		policy   pool.Policy
		want     bool
	}{
		{"nothing known", reuse.Estimate{}, firstToken, true},
		{"fast link", reuse.Estimate{Prefill: 1000, Link: 10000}, firstToken, true},
		{"slow link", reuse.Estimate{Prefill: 1000, Link: 100}, firstToken, false},
		{"a little slower than computing", reuse.Estimate{Prefill: 1000, Link: 450}, firstToken, false},
		{"the same, but recomputing weighs more", reuse.Estimate{Prefill: 1000, Link: 450}, recompute, true},
		{"fast enough, but the link weighs more", reuse.Estimate{Prefill: 1000, Link: 1000}, links, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.estimate.Better(tt.policy, c); got != tt.want {
				t.Errorf("Better = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLearn(t *testing.T) {
	var e reuse.Estimate
	for range 50 {
		e.Learn(stream.Usage{Prompt: 3000, Imported: 2000, PrefillMillis: 500, ImportMillis: 100}, 5000)
	}
	if e.Prefill < 1999 || e.Prefill > 2001 || e.Link < 49999 || e.Link > 50001 {
		t.Errorf("learned %+v, want 2000 tokens/s and 50000 bytes/s", e)
	}
	e.Learn(stream.Usage{}, 0)
	if e.Prefill < 1999 {
		t.Error("an empty sample was learned from")
	}
}
