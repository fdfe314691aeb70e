// Package retention decides which prompts' KV cache is stored on a store box and which is
// evicted when the box fills up.
//
//	p := retention.Policy{LinkShare: 0.3}
//	if p.Keep(retention.Candidate{Account: "menu-app", ...}) { export() }
//	for _, key := range retention.Evict(now, manifests, need) { ... }
package retention

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/pool"
)

// priorReturns is the assumed share of prompts that return, before any was observed, and
// priorWeight how many prompts it counts as.
const (
	priorReturns = 0.5
	priorWeight  = 4
)

// Policy tracks the share of each account's prompts that return. Set the exported fields
// before first use; it is not safe for concurrent use.
type Policy struct {
	// Burst is the most link time that can be saved up for exports, in seconds, and
	// LinkShare the share of the link that exports may use.
	Burst, LinkShare float64

	counts map[string]*counts
	// budget is the link time that exports may use now, in seconds, as of at.
	budget float64
	at     time.Time
}

// counts are those of an account's prompts, with exponential decay.
type counts struct{ all, returned float64 }

// Candidate is a prompt whose cache may be stored.
type Candidate struct {
	At      time.Time
	Account string
	Weights pool.Policy
	// Prefill is the time to recompute it, Link the time to transfer it once, both in
	// seconds.
	Prefill, Link float64
}

// Observe records a prompt of an account and whether it returned, that is, was there
// before. Older prompts decay, so that the share follows changes in the account's use.
func (p *Policy) Observe(account string, returned bool) {
	const decay = 0.995
	if p.counts == nil {
		p.counts = make(map[string]*counts)
	}
	s, known := p.counts[account]
	if !known {
		s = &counts{all: priorWeight, returned: priorWeight * priorReturns}
		p.counts[account] = s
	}
	s.all = s.all*decay + 1
	s.returned *= decay
	if returned {
		s.returned++
	}
}

// Returns is the expected share of the account's prompts that return.
func (p *Policy) Returns(account string) float64 {
	if s, known := p.counts[account]; known {
		return s.returned / s.all
	}
	return priorReturns
}

// Keep reports whether a prompt is worth its export: the expected saving from its return,
// by the pool's weights, exceeds the cost of transferring it out and in, and the link's
// budget suffices. It spends the budget.
func (p *Policy) Keep(c Candidate) bool {
	p.budget = min(p.Burst, p.budget+p.LinkShare*p.passed(c.At))
	p.at = c.At
	w := c.Weights
	gain := p.Returns(c.Account) * ((w.FirstToken+w.Recompute)*c.Prefill - (w.FirstToken+w.Link)*c.Link)
	if gain <= w.Link*c.Link || p.budget < c.Link {
		return false
	}
	p.budget -= c.Link
	return true
}

func (p *Policy) passed(now time.Time) float64 {
	if p.at.IsZero() {
		return math.Inf(1)
	}
	return now.Sub(p.at).Seconds()
}

// Evict returns the keys of manifests to delete so that at least need bytes become free,
// the least valuable first: those that save the fewest tokens per byte, by number of
// requests and age. Of a prompt's pieces the last goes first, so that the rest stays
// usable.
func Evict(now time.Time, manifests []kvcache.Manifest, need int) []string {
	type scored struct {
		key   string
		bytes int
		depth int
		score float64
	}
	all := make([]scored, len(manifests))
	for i, m := range manifests {
		all[i] = scored{m.Key, m.Piece.Bytes, m.Depth, score(now, m)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.depth, a.depth), cmp.Compare(a.key, b.key))
	})
	var keys []string
	for _, s := range all {
		if need <= 0 {
			break
		}
		keys = append(keys, s.key)
		need -= s.bytes
	}
	return keys
}

func score(now time.Time, m kvcache.Manifest) float64 {
	age := max(now.Sub(m.Used).Seconds(), 1)
	perByte := float64(m.Piece.Tokens) / float64(max(m.Piece.Bytes, 1))
	return perByte * float64(m.Hits+1) / age
}
