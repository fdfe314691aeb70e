// Package retention decides which prompts' cache is kept on a store box and
// which is dropped when the box fills up.
//
//	p := retention.Policy{LinkShare: 0.3}
//	if p.Keep(retention.Candidate{Account: "menu-app", ...}) { export() }
//	for _, key := range retention.Drop(manifests, need) { ... }
package retention

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/pool"
)

// returnsGuess is the share of prompts thought to return before any was seen
// to, and guessWeight how many prompts that guess counts for.
const (
	returnsGuess = 0.5
	guessWeight  = 4
)

// Policy keeps the share of each account's prompts that returned. Set the
// exported fields before first use; it is not safe for concurrent use.
type Policy struct {
	// Burst is how many seconds of the link can be saved up for exports, and
	// LinkShare the share of the link that exports may use.
	Burst, LinkShare float64

	seen map[string]*seen
	// saved is the link time that exports may use now, in seconds.
	saved float64
	at    time.Time
}

// seen counts an account's prompts.
type seen struct{ all, returned float64 }

// Candidate is a prompt whose cache may be kept.
type Candidate struct {
	At      time.Time
	Account string
	Weights pool.Policy
	// Prefill is what computing it again takes, Link what moving it once takes,
	// both in seconds.
	Prefill, Link float64
}

// Observe notes a prompt of an account and whether it has been there before. Old
// prompts fade, so that an account's habits may change.
func (p *Policy) Observe(account string, returned bool) {
	const fade = 0.995
	if p.seen == nil {
		p.seen = make(map[string]*seen)
	}
	s, known := p.seen[account]
	if !known {
		s = &seen{all: guessWeight, returned: guessWeight * returnsGuess}
		p.seen[account] = s
	}
	s.all = s.all*fade + 1
	s.returned *= fade
	if returned {
		s.returned++
	}
}

// Returns is the share of the account's prompts that are thought to return.
func (p *Policy) Returns(account string) float64 {
	if s, known := p.seen[account]; known {
		return s.returned / s.all
	}
	return returnsGuess
}

// Keep says whether a prompt is worth its export: what its return is expected
// to save, by the pool's weights, is more than moving it out and in costs, and
// the link's budget has room. It takes the room.
func (p *Policy) Keep(c Candidate) bool {
	p.saved = min(p.Burst, p.saved+p.LinkShare*p.passed(c.At))
	p.at = c.At
	w := c.Weights
	gain := p.Returns(c.Account) * ((w.FirstToken+w.Recompute)*c.Prefill - (w.FirstToken+w.Link)*c.Link)
	if gain <= w.Link*c.Link || p.saved < c.Link {
		return false
	}
	p.saved -= c.Link
	return true
}

func (p *Policy) passed(now time.Time) float64 {
	if p.at.IsZero() {
		return math.Inf(1)
	}
	return now.Sub(p.at).Seconds()
}

// Evict returns the keys of manifests to delete so that at least need bytes
// come free, the least worth keeping first: those that save the fewest tokens
// a byte, by how often and how lately they were asked for. Of a prompt's pieces
// the last goes first, so that what stays can be used.
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
