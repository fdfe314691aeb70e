// Package admission decides whether a client account's request may go on now,
// so that a flood of one account leaves the others' share alone.
//
//	var g admission.Gate
//	v := g.Admit(admission.Ask{Account: "menu-app", Weight: 1, Capacity: 64})
//	if !v.OK { refuse(v.Reason, v.After) }
//	defer g.Release("menu-app", "menu")
package admission

import (
	"time"
)

// Busy is the share of a pool's capacity over which accounts are held to their
// weighted shares. Below it anyone may use what is free.
const Busy = 0.7

// Gate counts requests under way by account and pool, on this box. The zero
// value is ready for use; it is not safe for concurrent use.
type Gate struct {
	// inFlight holds only counts above zero.
	inFlight map[holder]int
	pools    map[string]int
	buckets  map[string]*bucket
}

type holder struct{ account, pool string }

// bucket is an account's token throttle, filled as time passes.
type bucket struct {
	tokens float64
	at     time.Time
}

// Request is one request that wants to be admitted.
type Request struct {
	Account string
	Pool    string
	// Weight is the account's own. It is at least 1.
	Weight int
	// WeightOf returns another account's weight.
	WeightOf func(account string) int
	// Capacity is how many requests this box may have under way in the pool;
	// Load how many it is thought to have by now, others' included.
	Capacity, Load float64
	// Concurrency bounds the account's requests on this box; zero is no bound.
	Concurrency int
	// TokensPerMinute throttles the account on this box; zero is no throttle.
	TokensPerMinute float64
	// Tokens is what the request may use.
	Tokens int
	Now    time.Time
}

// Decision is the answer to an Ask.
type Decision struct {
	OK     bool
	Reason string
	// After is when to come back, without jitter.
	After time.Duration
}

// Admit counts the request in if it may go on.
func (g *Gate) Admit(a Request) Decision {
	g.init()
	h := holder{a.Account, a.Pool}
	if a.Concurrency > 0 && g.AccountInFlight(a.Account) >= a.Concurrency {
		return Decision{Reason: "the account's concurrency limit is reached", After: time.Second}
	}
	if float64(g.pools[a.Pool])+1 > a.Capacity {
		return Decision{Reason: "the pool is full", After: time.Second}
	}
	if a.Load > Busy*a.Capacity && float64(g.inFlight[h]+1) > g.share(a) {
		return Decision{Reason: "the pool is crowded and the account has its share", After: time.Second}
	}
	if after := g.throttle(a); after > 0 {
		return Decision{Reason: "the account's tokens per minute are used up", After: after}
	}
	g.inFlight[h]++
	g.pools[a.Pool]++
	return Decision{OK: true}
}

// AddAttempt takes a further attempt of an admitted request in, unconditionally.
func (g *Gate) AddAttempt(account, pool string) {
	g.init()
	g.inFlight[holder{account, pool}]++
	g.pools[pool]++
}

// Release ends one admitted request.
func (g *Gate) Release(account, pool string) {
	h := holder{account, pool}
	if g.inFlight[h] == 0 {
		return
	}
	g.inFlight[h]--
	g.pools[pool]--
	if g.inFlight[h] == 0 {
		delete(g.inFlight, h)
	}
}

// Refund gives the tokens of an admitted request back that was not placed.
func (g *Gate) Refund(account string, tokens int) {
	if b, known := g.buckets[account]; known {
		b.tokens += float64(tokens) // Bounded when the next request asks.
	}
}

// InFlight returns the requests under way in a pool.
func (g *Gate) InFlight(pool string) int { return g.pools[pool] }

// InFlightByAccount returns the requests under way by account.
func (g *Gate) InFlightByAccount() map[string]int {
	counts := make(map[string]int)
	for h, n := range g.inFlight {
		counts[h.account] += n
	}
	return counts
}

func (g *Gate) init() {
	if g.inFlight == nil {
		g.inFlight = make(map[holder]int)
		g.pools = make(map[string]int)
		g.buckets = make(map[string]*bucket)
	}
}

// AccountInFlight returns the requests that an account has under way, in all pools.
func (g *Gate) AccountInFlight(name string) int {
	n := 0
	for h, count := range g.inFlight {
		if h.account == name {
			n += count
		}
	}
	return n
}

// share is the account's part of the capacity, by weight among the accounts
// that have requests under way; at least one request.
func (g *Gate) share(a Request) float64 {
	sum := a.Weight
	for h := range g.inFlight {
		if h.pool == a.Pool && h.account != a.Account {
			sum += a.WeightOf(h.account)
		}
	}
	// One more weight stays free, so that an account that comes anew finds
	// room at once.
	return max(1, a.Capacity*float64(a.Weight)/float64(sum+a.Weight))
}

// throttle takes the tokens or returns how long until they are there.
func (g *Gate) throttle(a Request) time.Duration {
	if a.TokensPerMinute <= 0 {
		return 0
	}
	b, ok := g.buckets[a.Account]
	if !ok {
		b = &bucket{tokens: a.TokensPerMinute, at: a.Now}
		g.buckets[a.Account] = b
	}
	b.tokens = min(a.TokensPerMinute, b.tokens+a.TokensPerMinute*a.Now.Sub(b.at).Minutes())
	b.at = a.Now
	need := min(float64(a.Tokens), a.TokensPerMinute)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / a.TokensPerMinute * float64(time.Minute))
	}
	b.tokens -= need
	return 0
}
