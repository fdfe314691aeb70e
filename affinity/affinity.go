// Package affinity chooses the model engine for a prompt by its cost there: the time until
// the first event, and the tokens that would be prefilled although they are cached
// somewhere. Among engines that cost about the same, the best-ranked one by rendezvous
// hashing takes it, so that all boxes send the same prompts to the same engine without
// asking each other.
//
//	c := affinity.Chooser{Directory: d, PrefillPerToken: prefill, Slowdown: slowdown, ...}
//	choice, ok := c.Choose(now, request, fleet.Pool("menu"))
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

// Costs, expressed as time.
const (
	// recomputeTokenCost is the cost of prefilling a cached token again, beyond the time: at
	// the platform's prices 1,000 of them cost a third of a request.
	recomputeTokenCost = 50 * time.Microsecond
	// Slack is the usual difference in cost that is not worth leaving the best-ranked engine
	// for; a request's first event takes some 50 ms.
	Slack = 25 * time.Millisecond
	// otherDomainCost is the cost of an engine in another failure domain than the box:
	// traffic between domains is charged, a box that uses a fifth of the engines opens a
	// fifth of the connections, and the load that other boxes send there is known later. It
	// is above Slack, so that the rank does not outweigh it. With 195 boxes and 99 engines,
	// 13 in 1,000 answers were late with it and 22 with 30 ms, with 9,300 connections in
	// place of 11,600.
	otherDomainCost = 80 * time.Millisecond
	// newConnectionCost is the cost of opening a connection: a round trip and its price. It
	// is above Slack, as otherwise the rank outweighs it.
	newConnectionCost = 30 * time.Millisecond
	// oldWeightsCost is the cost of running on weights older than the newest.
	oldWeightsCost = 80 * time.Millisecond
	// lateCost is the cost of a first event after the goal: callers value such an answer at
	// a fifth of one in time, a loss as large as prefilling 4,000 tokens again. It rises from
	// lateFrom of the goal on, as predictions miss by some tenths of the goal.
	lateCost = 200 * time.Millisecond
	lateFrom = 0.5
	// failureCost is the cost of a target that failed recently.
	failureCost = 2 * time.Second
	// memoryCost is the cost of an engine whose memory is used up; overfullCost is added for
	// each share beyond overfullShare.
	memoryCost    = 100 * time.Millisecond
	overfullCost  = 2 * time.Second
	overfullShare = 0.85
	// engineTransferDelay is the minimum delay of a transfer from another engine.
	engineTransferDelay = 2 * time.Millisecond
	// SilenceTimeout is how long an engine with requests may send nothing. Its events are
	// polled all the time, and it answers that within a second.
	SilenceTimeout = 1200 * time.Millisecond
)

// Source is a store of cached parts, or an engine that has some.
type Source struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// PerToken is the time to transfer one token, Delay how long each transfer waits.
	PerToken, Delay time.Duration
}

// Part is one part of the prompt.
type Part struct {
	Tokens int
}

// Request is the input of a choice.
type Request struct {
	// Domain is the failure domain of the box that sends the prompt.
	Domain string
	// Home ranks the engines.
	Home uint64
	// Parts are the prompt's; the last is unique to the request.
	Parts []Part
	// Tokens is the memory that the request uses, Capacity an engine's memory.
	Tokens, Capacity int
	// Keys returns the parts' keys under a weight version.
	Keys func(version int64) []directory.Key
	// Model is the requested model, NewestVersion its newest weight version, or zero.
	Model         string
	NewestVersion int64
	// MinVersion is the lowest version that may be used, or zero.
	MinVersion int64
	// Full says that an engine with the given tokens in use has no memory left for the
	// prompt; nil takes none for full. A full engine is chosen only if all are.
	Full func(taken int) bool
	// Goal is the goal for the time to the first event, or zero if there is none.
	Goal time.Duration
	// HasIdleConnection says whether the box has an idle connection to an engine; nil
	// assumes one to each.
	HasIdleConnection func(t *fleet.Target) bool
	// DomainAllowed says whether the prompt may be run, cached and transferred in a failure
	// domain; nil allows all.
	DomainAllowed func(domain string) bool
	// Skip excludes engines for which it returns true.
	Skip func(id string) bool
}

// domainAllowed says whether the prompt may be in a failure domain.
func (a Request) domainAllowed(domain string) bool {
	return a.DomainAllowed == nil || a.DomainAllowed(domain)
}

// ownPart is the index of the part that is unique to the request.
func (a Request) ownPart() int { return len(a.Parts) - 1 }

// Choice is the chosen engine and what it does with the prompt.
type Choice struct {
	Target  *fleet.Target
	Version int64
	Keys    []directory.Key
	// CachedParts counts the leading parts that the engine has cached.
	CachedParts int
	// Fetch and Save hold a source for each part, or are nil.
	Fetch, Save []*Source
	// PrefillTokens are the tokens that the engine has to prefill, PrefillBacklog those that
	// it prefills first for other requests.
	PrefillTokens, PrefillBacklog int
	// Transfers are those that the engine needs before it can prefill the rest.
	Transfers []throughput.Transfer
	// Slowdown is by which factor the engine's first events may be later than predicted, 1 or more.
	Slowdown float64
	Rule     string
	// NextBest is the cheapest other engine, or empty: of those that are not full, unless all
	// are. NextBestCost is by how much more it costs; it is negative if the chosen one was
	// preferred by its rank, within the slack.
	NextBest     string
	NextBestCost time.Duration
}

// Chooser chooses engines. Set the exported fields before first use; it is not safe for
// concurrent use.
type Chooser struct {
	Directory *directory.Directory
	// Stores are the stores in reach, in the same order on each box.
	Stores func() []*Source
	// TransferPerToken is the time to transfer one token between two engines.
	TransferPerToken func() time.Duration
	// PrefillPerToken is an engine's time to prefill one prompt token, Slowdown by how much
	// transfers from a source take longer than over an unused link; both are learned.
	PrefillPerToken func() time.Duration
	// FirstEventBase is the time to the first event of a prompt with nothing to prefill; nil
	// means zero.
	FirstEventBase func() time.Duration
	Slowdown       func(now time.Time, source string) float64
	// EngineSlowdown is by which factor an engine's first events are expected to be later than
	// predicted, and by which they may be; both are 1 or more, nil means 1. The first scales the
	// predicted time to the first event, the second the one that is compared with the goal.
	EngineSlowdown func(now time.Time, t *fleet.Target) (expected, possible float64)

	// Slack is the difference in cost within which the best-ranked engine is taken.
	Slack time.Duration
	// AllowSave, AllowStoreFetch and AllowEngineFetch say whether parts may be saved to a
	// store, fetched from a store, or fetched from an engine.
	AllowSave, AllowStoreFetch, AllowEngineFetch func(*Source) bool

	// Load returns the memory that requests of all boxes use at an engine, and the prompt
	// tokens that wait there for prefill.
	Load func(now time.Time, t *fleet.Target) (tokens, backlog int)
}

// candidate is one engine and its cost.
type candidate struct {
	target  *fleet.Target
	version int64
	// cached counts the leading parts that the engine has cached, available those that it
	// has cached or can fetch.
	cached, available int
	// prefillBacklog are the tokens that the engine prefills first for other requests.
	prefillBacklog int
	// slowdown is the engine's, 1 or more.
	slowdown float64
	full     bool
	cost     time.Duration
	rank     uint64
}

// Choose returns the engine for a prompt, or false if none takes new work.
func (c *Chooser) Choose(now time.Time, request Request, targets []*fleet.Target) (Choice, bool) {
	s := search{Chooser: c, now: now, request: request, targets: targets, tokenTime: c.PrefillPerToken()}
	if c.FirstEventBase != nil {
		s.firstEventBase = c.FirstEventBase()
	}
	var all []candidate
	for _, t := range targets {
		if usable(now, request, t) {
			all = append(all, s.evaluate(t))
		}
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	home := slices.MaxFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	eligible := notFull(all)
	best := c.best(eligible)
	choice := s.plan(best)
	choice.NextBest, choice.NextBestCost = nextBest(eligible, best)
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

// best returns the best-ranked of the candidates whose cost is within the slack of the
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

// nextBest returns the cheapest of the candidates other than the chosen one, and by how much more
// it costs; an empty ID if there is no other.
func nextBest(list []candidate, chosen candidate) (string, time.Duration) {
	id, cost := "", time.Duration(0)
	for _, one := range list {
		if one.target != chosen.target && (id == "" || one.cost < cost) {
			id, cost = one.target.ID, one.cost
		}
	}
	if id == "" {
		return "", 0
	}
	return id, cost - chosen.cost
}

// rule names the placement rule, for logs.
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

func usable(now time.Time, request Request, t *fleet.Target) bool {
	if !t.Available(now) || !request.domainAllowed(t.Domain) || t.Loading(now) || t.Silent(now, SilenceTimeout) || (request.Skip != nil && request.Skip(t.ID)) {
		return false
	}
	return t.Versions[request.Model] >= request.MinVersion
}

// lateness is the cost of a first event that is predicted for a time.
func lateness(first, goal time.Duration) time.Duration {
	if goal <= 0 {
		return 0
	}
	share := (float64(first)/float64(goal) - lateFrom) / (1 - lateFrom)
	return time.Duration(min(max(share, 0), 1) * float64(lateCost))
}

// memoryPressure is the cost of memory in use: free memory holds cached parts, and without
// any, requests wait some hundred milliseconds for others to end.
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
