package affinity

import (
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

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
