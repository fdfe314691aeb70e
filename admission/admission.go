// Package admission decides whether a client account's request may proceed, so that a
// flood from one account does not take the others' share.
//
//	var g admission.Gate
//	d := g.Admit(admission.Request{Account: "menu-app", Weight: 1, Capacity: 64})
//	if !d.OK { refuse(d.Reason, d.After) }
//	defer g.Release("menu-app", "menu")
package admission

import (
	"time"
)

// Busy is the share of a pool's capacity above which accounts are limited to their
// weighted shares. Below it any account may use what is free.
const Busy = 0.7

// Gate counts requests in flight by account and pool, on this box. The zero value is
// ready for use; it is not safe for concurrent use.
type Gate struct {
	// inFlight holds only counts above zero.
	inFlight map[accountPool]int
	pools    map[string]int
	buckets  map[string]*bucket
}

type accountPool struct{ account, pool string }

// bucket is an account's token bucket, refilled over time.
type bucket struct {
	tokens float64
	at     time.Time
}

// Request is one request to be admitted.
type Request struct {
	Account string
	Pool    string
	// Weight is the account's weight. It is at least 1.
	Weight int
	// WeightOf returns another account's weight.
	WeightOf func(account string) int
	// Capacity is how many requests this box may have in flight in the pool; Load is the
	// estimated number in flight, including other boxes' requests.
	Capacity, Load float64
	// Concurrency limits the account's requests on this box; zero is no limit.
	Concurrency int
	// TokensPerMinute limits the account's token rate on this box; zero is no limit.
	TokensPerMinute float64
	// Tokens is the most that the request may use.
	Tokens int
	Now    time.Time
}

// Decision is the result of Admit.
type Decision struct {
	OK     bool
	Reason string
	// After is when to retry, without jitter.
	After time.Duration
}

// Admit counts the request as in flight if it is admitted.
func (g *Gate) Admit(r Request) Decision {
	g.init()
	key := accountPool{r.Account, r.Pool}
	if r.Concurrency > 0 && g.AccountInFlight(r.Account) >= r.Concurrency {
		return Decision{Reason: "the account's concurrency limit is reached", After: time.Second}
	}
	if float64(g.pools[r.Pool])+1 > r.Capacity {
		return Decision{Reason: "the pool is full", After: time.Second}
	}
	if r.Load > Busy*r.Capacity && float64(g.inFlight[key]+1) > g.share(r) {
		return Decision{Reason: "the pool is crowded and the account has its share", After: time.Second}
	}
	if after := g.throttle(r); after > 0 {
		return Decision{Reason: "the account's tokens per minute are used up", After: after}
	}
	g.inFlight[key]++
	g.pools[r.Pool]++
	return Decision{OK: true}
}

// AddAttempt counts a further attempt of an admitted request, unconditionally.
func (g *Gate) AddAttempt(account, pool string) {
	g.init()
	g.inFlight[accountPool{account, pool}]++
	g.pools[pool]++
}

// Release ends one admitted request or attempt.
func (g *Gate) Release(account, pool string) {
	key := accountPool{account, pool}
	if g.inFlight[key] == 0 {
		return
	}
	g.inFlight[key]--
	g.pools[pool]--
	if g.inFlight[key] == 0 {
		delete(g.inFlight, key)
	}
}

// Refund returns the tokens of an admitted request that was not placed.
func (g *Gate) Refund(account string, tokens int) {
	if b, known := g.buckets[account]; known {
		b.tokens += float64(tokens) // The next Admit cuts it to the bucket's size.
	}
}

// InFlight returns the requests in flight in a pool.
func (g *Gate) InFlight(pool string) int { return g.pools[pool] }

// InFlightByAccount returns the requests in flight by account.
func (g *Gate) InFlightByAccount() map[string]int {
	counts := make(map[string]int)
	for key, n := range g.inFlight {
		counts[key.account] += n
	}
	return counts
}

func (g *Gate) init() {
	if g.inFlight == nil {
		g.inFlight = make(map[accountPool]int)
		g.pools = make(map[string]int)
		g.buckets = make(map[string]*bucket)
	}
}

// AccountInFlight returns the requests that an account has in flight, in all pools.
func (g *Gate) AccountInFlight(name string) int {
	n := 0
	for key, count := range g.inFlight {
		if key.account == name {
			n += count
		}
	}
	return n
}

// share returns the account's part of the capacity, by weight among the accounts with
// requests in flight; at least one request.
func (g *Gate) share(r Request) float64 {
	sum := r.Weight
	for key := range g.inFlight {
		if key.pool == r.Pool && key.account != r.Account {
			sum += r.WeightOf(key.account)
		}
	}
	// The account's weight counts twice, which leaves room so that an account without
	// requests in flight is admitted at once.
	return max(1, r.Capacity*float64(r.Weight)/float64(sum+r.Weight))
}

// throttle takes the tokens or returns how long until there are enough.
func (g *Gate) throttle(r Request) time.Duration {
	if r.TokensPerMinute <= 0 {
		return 0
	}
	b, ok := g.buckets[r.Account]
	if !ok {
		b = &bucket{tokens: r.TokensPerMinute, at: r.Now}
		g.buckets[r.Account] = b
	}
	b.tokens = min(r.TokensPerMinute, b.tokens+r.TokensPerMinute*r.Now.Sub(b.at).Minutes())
	b.at = r.Now
	need := min(float64(r.Tokens), r.TokensPerMinute)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / r.TokensPerMinute * float64(time.Minute))
	}
	b.tokens -= need
	return 0
}
