// Package affinity chooses the model engine for a prompt by what it would cost
// there: the time until its first event, and the tokens that would be read
// although they are kept somewhere. Among engines that cost about the same the
// best-ranked one by rendezvous hash takes it, so that all boxes send the same
// prompts to the same engine without asking each other.
//
//	c := affinity.Chooser{Directory: d, Boxes: 6}
//	choice, ok := c.Choose(now, ask, fleet.Pool("menu"))
package affinity

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

// What things cost, as time.
const (
	// readToken is the time to read one prompt token: the platform's engines
	// read 112 in a millisecond.
	readToken = time.Millisecond / 112
	// againToken is what reading a token again is worth avoiding, beyond the
	// time: at the platform's prices 1,000 of them cost a third of a request.
	againToken = 50 * time.Microsecond
	// slack is the difference in cost that is not worth leaving the
	// best-ranked engine for; a request's first event takes some 50 ms.
	slack = 25 * time.Millisecond
	// oldWeights is the cost of running on weights older than the newest.
	oldWeights = 80 * time.Millisecond
	// doubt is the cost of a target that failed lately.
	doubt = 2 * time.Second
	// crowded is the cost of an engine whose memory is taken up, waiting what
	// comes on top of it for each share beyond full.
	crowded = 100 * time.Millisecond
	waiting = 2 * time.Second
	full    = 0.85
	// peerFirst is what a move from another engine waits at least.
	peerFirst = 2 * time.Millisecond
	// silentAfter is how long an engine with requests may say nothing. Its
	// events are asked for all the time, which it answers within a second.
	silentAfter = 1200 * time.Millisecond
)

// Source is a store of kept parts.
type Source struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// Token is the time to move one token, First what each move waits.
	Token, First time.Duration
}

// Part is one part of the prompt.
type Part struct {
	Tokens int
}

// Ask is what an engine is chosen by.
type Ask struct {
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
	Model  string
	Wanted int64
	// Overdue says that older versions must not be used any more.
	Overdue bool
	// Skip passes over engines for which it returns true.
	Skip func(id string) bool
}

// Choice is the engine and what it does with the prompt.
type Choice struct {
	Target  *fleet.Target
	Version int64
	Keys    []directory.Key
	// Kept counts the leading parts that the engine keeps.
	Kept int
	// Fetch and Save hold a source for each part, or nil.
	Fetch, Save []*Source
	// Unread are the tokens that the engine has to read.
	Unread int
	Rule   string
}

// Chooser chooses engines. Set the exported fields before first use; it is not
// safe for concurrent use.
type Chooser struct {
	Directory *directory.Directory
	// Stores are the stores in reach, in the same order on each box.
	Stores func() []*Source
	// Token is the time to move one token between two engines.
	Token func() time.Duration
	// Boxes is how many boxes send requests of about the same kind.
	Boxes func() int

	// Load returns the memory that requests of all boxes take up at an engine,
	// and the prompt tokens that wait there to be read.
	Load func(t *fleet.Target) (tokens, unread int)

	links Links
}

// candidate is one engine's cost.
type candidate struct {
	choice Choice
	cost   time.Duration
	rank   uint64
}

// Choose returns the engine for a prompt, or false if none takes new work.
func (c *Chooser) Choose(now time.Time, ask Ask, targets []*fleet.Target) (Choice, bool) {
	var all []candidate
	least := time.Duration(-1)
	for _, t := range targets {
		if !usable(now, ask, t) {
			continue
		}
		one := c.weigh(now, ask, t, targets)
		all = append(all, one)
		if least < 0 || one.cost < least {
			least = one.cost
		}
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	best := -1
	for i, one := range all {
		if one.cost <= least+slack && (best < 0 || one.rank > all[best].rank) {
			best = i
		}
	}
	choice := all[best].choice
	c.noteMoves(now, ask, &choice)
	c.planSpare(now, ask, &choice, targets)
	c.planSave(now, ask, &choice)
	return choice, true
}

func usable(now time.Time, ask Ask, t *fleet.Target) bool {
	if !t.Open(now) || t.Loading(now) || t.Silent(now, silentAfter) || (ask.Skip != nil && ask.Skip(t.ID)) {
		return false
	}
	return !ask.Overdue || t.Versions[ask.Model] >= ask.Wanted
}

func (c *Chooser) weigh(now time.Time, ask Ask, t *fleet.Target, peers []*fleet.Target) candidate {
	version := t.Versions[ask.Model]
	choice := Choice{Target: t, Version: version, Keys: ask.Keys(version), Rule: "home"}
	choice.Kept = c.Directory.Run(t.ID, choice.Keys, now)
	running, unread := c.Load(t)
	cost := time.Duration(unread) * readToken
	cost += crowding(running+ask.Tokens, ask.Capacity)
	cost += c.planFetch(now, ask, t, peers, &choice)
	cost += time.Duration(choice.Unread) * readToken
	if version < ask.Wanted {
		cost += oldWeights
	}
	if t.Grey(now) || t.Avoided(now) {
		cost += doubt
	}
	return candidate{choice: choice, cost: cost, rank: placement.Weight(ask.Home, placement.Hash(t.ID))}
}

// crowding is the cost of memory that requests take up: what is left keeps
// parts, and when none is left requests wait for others to end, for some
// hundred milliseconds.
func crowding(tokens, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	share := float64(tokens) / float64(capacity)
	cost := time.Duration(share * float64(crowded))
	if share > full {
		cost += time.Duration((share - full) * float64(waiting))
	}
	return cost
}

// kept says whether any engine or store in reach keeps a part.
func (c *Chooser) kept(key directory.Key, peers []*fleet.Target) bool {
	for _, s := range c.Stores() {
		if c.Directory.Whole(s.Name, key) {
			return true
		}
	}
	for _, p := range peers {
		if c.Directory.Whole(p.ID, key) {
			return true
		}
	}
	return false
}

// planFetch finds sources for the parts that the engine lacks, counts what is
// left to read, and returns the time that the moves take.
func (c *Chooser) planFetch(now time.Time, ask Ask, t *fleet.Target, peers []*fleet.Target, choice *Choice) time.Duration {
	var took time.Duration
	reading := false
	for i := choice.Kept; i < len(ask.Parts); i++ {
		source, cost := (*Source)(nil), time.Duration(0)
		if !reading && i < len(ask.Parts)-1 {
			source, cost = c.source(now, choice.Keys[i], ask.Parts[i].Tokens, t, peers)
		}
		if source == nil {
			reading = true
			choice.Unread += ask.Parts[i].Tokens
			if i < len(ask.Parts)-1 && c.kept(choice.Keys[i], peers) {
				took += time.Duration(ask.Parts[i].Tokens) * againToken
			}
			continue
		}
		if choice.Fetch == nil {
			choice.Fetch = make([]*Source, len(ask.Parts))
			choice.Rule = "home, fetched"
		}
		choice.Fetch[i] = source
		took += cost
	}
	return took
}

// planSpare names sources for the parts that the engine is thought to keep as
// well. It takes only what it lacks, so this costs nothing unless it dropped
// them meanwhile, as it does when its memory is short.
func (c *Chooser) planSpare(now time.Time, ask Ask, choice *Choice, peers []*fleet.Target) {
	for i := range min(choice.Kept, len(ask.Parts)-1) {
		source, _ := c.source(now, choice.Keys[i], ask.Parts[i].Tokens, choice.Target, peers)
		if source == nil {
			continue
		}
		if choice.Fetch == nil {
			choice.Fetch = make([]*Source, len(ask.Parts))
		}
		choice.Fetch[i] = source
	}
}

// move is how long moving some tokens to an engine takes.
func (s *Source) move(tokens int, t *fleet.Target) time.Duration {
	took := s.First + time.Duration(tokens)*s.Token
	if s.Domain != t.Domain {
		took *= 2
	}
	return took
}

// noteMoves counts the moves of a choice on the sources' links.
func (c *Chooser) noteMoves(now time.Time, ask Ask, choice *Choice) {
	for i, s := range choice.Fetch {
		if s != nil {
			c.links.Note(now, s.Name, s.move(ask.Parts[i].Tokens, choice.Target), c.Boxes())
		}
	}
}

// source returns the store or other engine that brings a part soonest, if that
// is sooner than reading it.
func (c *Chooser) source(now time.Time, key directory.Key, tokens int, t *fleet.Target, peers []*fleet.Target) (*Source, time.Duration) {
	var best *Source
	least := time.Duration(tokens) * (readToken + againToken)
	for _, s := range c.Stores() {
		if !c.Directory.Whole(s.Name, key) {
			continue
		}
		if took := c.links.Wait(now, s.Name, s.move(tokens, t)); took < least {
			best, least = s, took
		}
	}
	if best != nil {
		return best, least // Engines drop parts at any time, stores don't.
	}
	for _, p := range peers {
		if p == t || p.Leaving || p.Avoided(now) || !c.Directory.Whole(p.ID, key) {
			continue
		}
		peer := &Source{Name: p.ID, Address: p.Address, Domain: p.Domain, First: peerFirst, Token: c.Token()}
		if took := c.links.Wait(now, p.ID, peer.move(tokens, t)); took < least {
			best, least = peer, took
		}
	}
	return best, least
}

// saveTokens is the smallest part that is worth a place in a store. Even short
// ones count, as the parts behind one that is missing are read as well.
const saveTokens = 64

// planSave chooses stores for the parts that will be read and that no store
// keeps.
func (c *Chooser) planSave(now time.Time, ask Ask, choice *Choice) {
	for i := range len(ask.Parts) - 1 {
		if ask.Parts[i].Tokens < saveTokens {
			continue
		}
		store := c.room(now, choice.Keys[i], ask.Parts[i].Tokens)
		if store == nil {
			continue
		}
		if choice.Save == nil {
			choice.Save = make([]*Source, len(ask.Parts))
		}
		choice.Save[i] = store
	}
}

// shortPart is the longest part, in tokens, that goes where a move begins
// soonest. Longer ones go where most room is left, as they fill a small store.
const shortPart = 2048

// room returns the store with room for a part that suits it best, or nil if a
// store keeps it already or none has room.
func (c *Chooser) room(now time.Time, key directory.Key, tokens int) *Source {
	var best *Source
	var rank float64
	for _, s := range c.Stores() {
		if c.Directory.Likely(s.Name, key, now) {
			return nil
		}
		free := s.Capacity - c.Directory.Tokens(s.Name)
		if free < tokens*2 {
			continue
		}
		weight := float64(placement.Weight(uint64(key), placement.Hash(s.Name))>>1 + 1<<62)
		if tokens > shortPart {
			weight *= float64(free)
		} else {
			weight /= float64(s.First + time.Duration(tokens)*s.Token)
		}
		if best == nil || weight > rank {
			best, rank = s, weight
		}
	}
	return best
}
