// Package affinity chooses the model engine for a prompt by what it would cost
// there: the time until its first event, and the tokens that would be read
// although they are kept somewhere. Among engines that cost about the same the
// best-ranked one by rendezvous hash takes it, so that all boxes send the same
// prompts to the same engine without asking each other.
//
//	c := affinity.Chooser{Directory: d, Reading: reading, Stretch: stretch, ...}
//	choice, ok := c.Choose(now, ask, fleet.Pool("menu"))
package affinity

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/throughput"
)

// What things cost, as time.
const (
	// recomputeTokenCost is what reading a token again is worth avoiding, beyond the
	// time: at the platform's prices 1,000 of them cost a third of a request.
	recomputeTokenCost = 50 * time.Microsecond
	// Slack is the usual difference in cost that is not worth leaving the
	// best-ranked engine for; a request's first event takes some 50 ms.
	Slack = 25 * time.Millisecond
	// otherDomainCost is the cost of an engine in another failure domain than the box:
	// the bytes between domains have their price, a box that uses a fifth of the
	// engines opens a fifth of the connections, and what other boxes send there is
	// known later. It is above Slack, so that the rank does not outweigh it. On 195
	// boxes before 99 engines 13 in 1,000 answers were late with it and 22 with 30 ms,
	// for 9,300 connections in place of 11,600.
	otherDomainCost = 80 * time.Millisecond
	// newConnectionCost is the cost of a connection that has to be made: a round trip, and its
	// price. It is above Slack, as otherwise the rank outweighs it.
	newConnectionCost = 30 * time.Millisecond
	// oldWeightsCost is the cost of running on weights older than the newest.
	oldWeightsCost = 80 * time.Millisecond
	// lateCost is the cost of a first event behind the goal: callers count such an answer
	// for a fifth, which is as much as reading 4,000 tokens again. It rises from
	// nearly of the goal on, as what is reckoned misses by some tenths of it.
	lateCost = 200 * time.Millisecond
	lateFrom = 0.5
	// failureCost is the cost of a target that failed lately.
	failureCost = 2 * time.Second
	// memoryCost is the cost of an engine whose memory is taken up, waiting what
	// comes on top of it for each share beyond full.
	memoryCost    = 100 * time.Millisecond
	overfullCost  = 2 * time.Second
	overfullShare = 0.85
	// engineTransferDelay is what a move from another engine waits at least.
	engineTransferDelay = 2 * time.Millisecond
	// SilenceTimeout is how long an engine with requests may say nothing. Its
	// events are asked for all the time, which it answers within a second.
	SilenceTimeout = 1200 * time.Millisecond
)

// Source is a store of kept parts.
type Source struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// PerToken is the time to move one token, First what each move waits.
	PerToken, Delay time.Duration
}

// Part is one part of the prompt.
type Part struct {
	Tokens int
}

// Request is what an engine is chosen by.
type Request struct {
	// Domain is the failure domain of the box that sends the prompt.
	Domain string
	// Home ranks the engines.
	Home uint64
	// Parts are the prompt's; the last is the request's own.
	Parts []Part
	// Tokens is the memory that the request takes up, Capacity that of an
	// engine.
	Tokens, Capacity int
	// Keys names the parts for engines of a weight version.
	Keys func(version int64) []directory.Key
	// Model is the one asked for, Wanted its newest version, or zero.
	Model         string
	NewestVersion int64
	// MinVersion is the lowest version that may be used, or zero.
	MinVersion int64
	// Full says that an engine has no memory left for the prompt, of which so many
	// tokens are taken up; nil takes none for full. A full one is chosen only if all
	// are.
	Full func(taken int) bool
	// Goal is when the first event should have come, or zero if there is no such time.
	Goal time.Duration
	// HasIdleConnection says that the box has a connection to an engine that rests; nil takes it to
	// have one to each.
	HasIdleConnection func(t *fleet.Target) bool
	// DomainAllowed says whether the prompt may be run, kept and moved in a failure domain; nil
	// allows all.
	DomainAllowed func(domain string) bool
	// Skip passes over engines for which it returns true.
	Skip func(id string) bool
}

// domainAllowed says whether the prompt may be in a failure domain.
func (a Request) domainAllowed(domain string) bool {
	return a.DomainAllowed == nil || a.DomainAllowed(domain)
}

// ownPart is the number of the part that is the request's own.
func (a Request) ownPart() int { return len(a.Parts) - 1 }

// Choice is the engine and what it does with the prompt.
type Choice struct {
	Target  *fleet.Target
	Version int64
	Keys    []directory.Key
	// CachedParts counts the leading parts that the engine keeps.
	CachedParts int
	// Fetch and Save hold a source for each part, or nil.
	Fetch, Save []*Source
	// PrefillTokens are the tokens that the engine has to read, Ahead those that other
	// requests have it read before.
	PrefillTokens, PrefillBacklog int
	// Transfers are those that the engine needs before it can read the rest.
	Transfers []throughput.Transfer
	Rule      string
}

// Chooser chooses engines. Set the exported fields before first use; it is not
// safe for concurrent use.
type Chooser struct {
	Directory *directory.Directory
	// Stores are the stores in reach, in the same order on each box.
	Stores func() []*Source
	// TransferPerToken is the time to move one token between two engines.
	TransferPerToken func() time.Duration
	// PrefillPerToken is the time that an engine takes to read one prompt token, Stretch
	// by how much moves from a source take longer than over an unused link; both
	// as learnt.
	PrefillPerToken func() time.Duration
	// FirstEventBase is the time to the first event of a prompt without anything to read; nil
	// takes it for nothing.
	FirstEventBase func() time.Duration
	Slowdown       func(now time.Time, source string) float64

	// Slack is the difference in cost within which the best-ranked engine is taken.
	Slack time.Duration
	// Saves, FromStores and FromEngines say whether parts may be saved to a
	// source, or fetched from it.
	AllowSave, AllowStoreFetch, AllowEngineFetch func(*Source) bool

	// Load returns the memory that requests of all boxes take up at an engine,
	// and the prompt tokens that wait there to be read.
	Load func(now time.Time, t *fleet.Target) (tokens, unread int)
}

// candidate is one engine and its cost.
type candidate struct {
	target  *fleet.Target
	version int64
	// cached counts the leading parts that the engine keeps, reached those that it
	// keeps or can fetch.
	cached, available int
	// prefillBacklog are the tokens that the engine has to read for other requests.
	prefillBacklog int
	full           bool
	cost           time.Duration
	rank           uint64
}

// Choose returns the engine for a prompt, or false if none takes new work.
func (c *Chooser) Choose(now time.Time, ask Request, targets []*fleet.Target) (Choice, bool) {
	s := search{Chooser: c, now: now, ask: ask, targets: targets, tokenTime: c.PrefillPerToken()}
	if c.FirstEventBase != nil {
		s.firstEventBase = c.FirstEventBase()
	}
	var all []candidate
	for _, t := range targets {
		if usable(now, ask, t) {
			all = append(all, s.evaluate(t))
		}
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	home := slices.MaxFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	best := c.best(notFull(all))
	choice := s.plan(best)
	choice.Rule = rule(best.target == home.target, best.available > best.cached)
	return choice, true
}

// notFull returns the candidates that are not full, or all if each is.
func notFull(all []candidate) []candidate {
	var list []candidate
	for _, one := range all {
		if !one.full {
			list = append(list, one)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// best returns the best-ranked of the candidates that cost about as little as the
// cheapest.
func (c *Chooser) best(list []candidate) candidate {
	cheapest := slices.MinFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	best := cheapest
	for _, one := range list {
		if one.cost <= cheapest.cost+c.Slack && one.rank > best.rank {
			best = one
		}
	}
	return best
}

// rule says in words why an engine was chosen, for logs.
func rule(home, fetched bool) string {
	text := "cheaper than home"
	if home {
		text = "home"
	}
	if fetched {
		text += ", fetched"
	}
	return text
}

func usable(now time.Time, ask Request, t *fleet.Target) bool {
	if !t.Available(now) || !ask.domainAllowed(t.Domain) || t.Loading(now) || t.Silent(now, SilenceTimeout) || (ask.Skip != nil && ask.Skip(t.ID)) {
		return false
	}
	return t.Versions[ask.Model] >= ask.MinVersion
}

// lateness is the cost of a first event that is reckoned for a time.
func lateness(first, goal time.Duration) time.Duration {
	if goal <= 0 {
		return 0
	}
	share := (float64(first)/float64(goal) - lateFrom) / (1 - lateFrom)
	return time.Duration(min(max(share, 0), 1) * float64(lateCost))
}

// memoryPressure is the cost of memory that requests take up: what is left keeps
// parts, and when none is left requests wait for others to end, for some
// hundred milliseconds.
func memoryPressure(tokens, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	share := float64(tokens) / float64(capacity)
	cost := time.Duration(share * float64(memoryCost))
	if share > overfullShare {
		cost += time.Duration((share - overfullShare) * float64(overfullCost))
	}
	return cost
}
