// Package routing resolves the route of a request by host and path, its pool by weight,
// and its client account by key. A Table is one version of the operator's configuration
// and immutable once built:
//
//	t := routing.New(7, routes, pools, accounts)
//	route := t.Route("shop.example", "/orders/1")
//	account, known := t.Account(key)
package routing

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration. It is read only.
type Table struct {
	// Version grows with each change; a daemon never goes back to a lower one.
	Version int64
	Pools   map[string]*Pool
	// MaxBody and MaxHeader limit what callers may send, in bytes.
	MaxBody   int64
	MaxHeader int

	// hosts holds each host's routes.
	hosts map[string]*host
	// keys maps API keys to accounts.
	keys map[string]*Account
	// lowestPriorities is the largest priority number of each pool's routes, goals their
	// shortest goal.
	lowestPriorities map[string]int
	goals            map[string]time.Duration
	// streamPools are the pools that serve streams, in order.
	streamPools []string
	// keyed says that requests need a key, unless their route is open.
	keyed bool
}

// Proved is a configuration and when it was last known to be the newest. It is read only, so that
// whoever has it judges by a configuration and the proof of that one.
type Proved struct {
	// Table is nil before the first configuration.
	*Table
	// At is zero if the configuration was never known to be the newest.
	At time.Time
	// SupersededAt is since when a later configuration is known to exist; zero if none is.
	SupersededAt time.Time
}

// Route is the configuration of the requests under one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Stream routes answer with events; Resumable streams can be continued.
	Stream, Resumable bool
	// Timeout is the longest deadline of a request.
	Timeout time.Duration
	// Goal is the latency goal of an answer, or of its first event.
	Goal time.Duration
	// GapGoal is the goal for the longest gap between events.
	GapGoal time.Duration
	// Priority orders requests; lower goes first.
	Priority int
	// Attempts limits the targets that one request is sent to.
	Attempts int
	// Open requests need no key.
	Open bool
	// Regions limits where the route's requests may be run, cached and stored.
	Regions Regions
	// Shares are the pools that serve the route; at least one.
	Shares []Share
}

// Share is a pool's share of a route's requests.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a group of targets, or a store of cached prompt parts.
type Pool struct {
	Name string
	// HealthPath answers 200 while a target is healthy.
	HealthPath string
	// MaxConnections is a target's limit on connections from all callers together.
	MaxConnections int
	// ColdFor is how long a target is cold after a start. A cold target bears ColdRate
	// requests a second; without a rate, cold targets are not treated differently.
	ColdFor  time.Duration
	ColdRate float64
	// Engine is set for pools of model engines.
	Engine *Engine
	// Store is set for a store of cached parts.
	Store *Store
}

// Engine is the configuration of the targets of a model pool.
type Engine struct {
	Models []string
	// Slots is how many requests run at once.
	Slots int
	// Capacity is the memory of a target, in tokens.
	Capacity int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// Megabits is the speed of a target's link, per second.
	Megabits float64
	// MaxWatchers is how many callers may wait for a target's events at once.
	MaxWatchers int
	// RunCopies says that the memory of a run can be copied to another target as it grows,
	// RunMoves that runs can be moved to another target. A copy that nobody uses is dropped
	// CopyTTL after its last part.
	RunCopies, RunMoves bool
	CopyTTL             time.Duration
}

// Store is a box that stores prompt parts for engines.
type Store struct {
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	Megabits float64
	// TransferDelay is how long each transfer waits before it begins.
	TransferDelay time.Duration
	// Managed stores evict nothing on their own.
	Managed     bool
	MaxWatchers int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions limits where the account's requests may be run, cached and stored.
	Regions Regions
	// Isolated accounts share no cached part with another.
	Isolated bool
}

// New builds the version's table. The caller sets MaxBody and MaxHeader afterwards.
func New(version int64, routes []*Route, pools []*Pool, accounts []*Account) *Table {
	t := &Table{
		Version:          version,
		Pools:            make(map[string]*Pool, len(pools)),
		hosts:            make(map[string]*host),
		keys:             make(map[string]*Account),
		lowestPriorities: make(map[string]int),
		goals:            make(map[string]time.Duration),
		keyed:            len(accounts) > 0,
	}
	for _, p := range pools {
		t.Pools[p.Name] = p
	}
	for _, r := range routes {
		t.host(canonical(r.Host)).add(r)
		for _, s := range r.Shares {
			t.lowestPriorities[s.Pool] = max(t.lowestPriorities[s.Pool], r.Priority)
			if goal, known := t.goals[s.Pool]; r.Goal > 0 && (!known || r.Goal < goal) {
				t.goals[s.Pool] = r.Goal
			}
			if r.Stream {
				t.streamPools = append(t.streamPools, s.Pool)
			}
		}
	}
	slices.Sort(t.streamPools)
	t.streamPools = slices.Compact(t.streamPools)
	for _, h := range t.hosts {
		slices.SortStableFunc(h.others, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			t.keys[key] = a
		}
	}
	return t
}

// StreamPools returns the names of the pools that serve streams, in order. The caller must not
// change them.
func (t *Table) StreamPools() []string { return t.streamPools }

// Route returns the route with the longest matching prefix, or nil.
func (t *Table) Route(host, path string) *Route {
	h := t.hosts[canonical(host)]
	if h == nil {
		return nil
	}
	return h.route(path)
}

// Account returns the account that holds the key.
func (t *Table) Account(key string) (*Account, bool) {
	a, known := t.keys[key]
	return a, known
}

// AccountNames lists the accounts that have a key, in order.
func (t *Table) AccountNames() []string {
	names := make([]string, 0, len(t.keys))
	for _, a := range t.keys {
		names = append(names, a.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// NeedsKey says whether requests on a route need a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keyed && !r.Open }

// Pick returns the pool for a request, given a random number.
func (r *Route) Pick(drawn uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool
	}
	at := int(drawn % uint64(total))
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Uses reports whether Pick may return a pool.
func (r *Route) Uses(pool string) bool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool == pool
	}
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == pool && s.Weight > 0 })
}

// Goal returns the shortest goal of a pool's routes, or zero if none has one.
func (t *Table) Goal(pool string) time.Duration { return t.goals[pool] }

// LowestPriority returns the largest priority number among a pool's routes.
func (t *Table) LowestPriority(pool string) int { return t.lowestPriorities[pool] }

// Priority returns the priority of an account's requests on a route; lower goes first. The
// account is nil on open routes.
func Priority(r *Route, a *Account) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// canonical returns a host without port, in lower case.
func canonical(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
