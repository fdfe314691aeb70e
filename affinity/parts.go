package affinity

import (
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/throughput"
)

// plan says what the engine chosen does with the prompt's parts.
func (s *search) plan(one candidate) Choice {
	l := s.locate(one.version)
	choice := Choice{Target: one.target, Version: one.version, Keys: l.keys, CachedParts: one.kept, PrefillBacklog: one.ahead}
	s.planFetch(l, one, &choice)
	s.planMoves(&choice, one)
	s.planSpare(l, &choice)
	if one.version >= s.ask.NewestVersion { // Parts of older weights are about to be freed.
		s.planSave(&choice)
	}
	return choice
}

// planFetch names sources for the parts that the engine lacks and can fetch.
// The others are read.
func (s *search) planFetch(l *located, one candidate, choice *Choice) {
	for i := one.kept; i < one.reached; i++ {
		s.fetch(l, i, choice)
	}
	for _, p := range s.ask.Parts[one.reached:] {
		choice.PrefillTokens += p.Tokens
	}
}

// planSpare names sources for the parts that the engine is thought to keep as
// well. It takes only what it lacks, so this costs nothing unless it dropped
// them meanwhile, as it does when its memory is short.
func (s *search) planSpare(l *located, choice *Choice) {
	for i := range min(choice.CachedParts, s.ask.last()) {
		s.fetch(l, i, choice)
	}
}

// fetch names the source of one part, if there is one.
func (s *search) fetch(l *located, part int, choice *Choice) {
	from, _ := s.best(l, part, choice.Target)
	if from == nil {
		return
	}
	if choice.Fetch == nil {
		choice.Fetch = make([]*Source, len(s.ask.Parts))
	}
	choice.Fetch[part] = &from.Source
}

// move is how long moving some tokens to an engine takes.
func (s *Source) move(tokens int, t *fleet.Target) time.Duration {
	took := s.Delay + time.Duration(tokens)*s.PerToken
	if s.Domain != t.Domain {
		took *= 2
	}
	return took
}

// planMoves lists the moves that the engine waits for.
func (s *search) planMoves(choice *Choice, one candidate) {
	for i := one.kept; i < one.reached; i++ {
		from := choice.Fetch[i]
		choice.Transfers = append(choice.Transfers, throughput.Transfer{
			Source: placement.Hash(from.Name), Expected: from.move(s.ask.Parts[i].Tokens, choice.Target),
		})
	}
}

// saveTokens is the smallest part that is worth a place in a store. Even short
// ones count, as the parts behind one that is missing are read as well.
const saveTokens = 64

// planSave chooses stores for the parts that will be read and that no store
// keeps.
func (s *search) planSave(choice *Choice) {
	for i := range s.ask.last() {
		if s.ask.Parts[i].Tokens < saveTokens {
			continue
		}
		store := s.room(choice.Keys[i], s.ask.Parts[i].Tokens)
		if store == nil {
			continue
		}
		if choice.Save == nil {
			choice.Save = make([]*Source, len(s.ask.Parts))
		}
		choice.Save[i] = store
	}
}

// shortPart is the longest part, in tokens, that goes where a move begins
// soonest. Longer ones go where most room is left, as they fill a small store.
const shortPart = 2048

// room returns the store with room for a part that suits it best, or nil if a
// store keeps it already or none has room.
func (s *search) room(key directory.Key, tokens int) *Source {
	var best *Source
	var rank float64
	for _, x := range s.Stores() {
		if s.Directory.HasOrExpects(x.Name, key, s.now) {
			return nil
		}
		free := x.Capacity - s.Directory.Tokens(x.Name)
		if free < tokens*2 || !s.ask.within(x.Domain) || !s.AllowSave(x) {
			continue
		}
		weight := float64(placement.Weight(uint64(key), placement.Hash(x.Name))>>1 + 1<<62)
		if tokens > shortPart {
			weight *= float64(free)
		} else {
			weight /= float64(x.Delay + time.Duration(tokens)*x.PerToken)
		}
		if best == nil || weight > rank {
			best, rank = x, weight
		}
	}
	return best
}
