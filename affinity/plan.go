package affinity

import (
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/throughput"
)

// plan decides what the chosen engine does with the prompt's parts.
func (s *search) plan(one candidate) Choice {
	l := s.locate(one.version)
	choice := Choice{Target: one.target, Version: one.version, Keys: l.keys, CachedParts: one.cached, PrefillBacklog: one.prefillBacklog, Slowdown: one.slowdown}
	s.planFetch(l, one, &choice)
	s.planTransfers(&choice, one)
	s.planFallbackFetch(l, &choice)
	if one.version >= s.request.NewestVersion { // Parts of older weights are about to be freed.
		s.planSave(&choice)
	}
	return choice
}

// planFetch sets sources for the parts that the engine lacks and can fetch. The others are
// prefilled.
func (s *search) planFetch(l *location, one candidate, choice *Choice) {
	for i := one.cached; i < one.available; i++ {
		s.fetch(l, i, choice)
	}
	for _, p := range s.request.Parts[one.available:] {
		choice.PrefillTokens += p.Tokens
	}
}

// planFallbackFetch sets sources also for the parts that the engine probably has cached. It
// fetches only what it lacks, so this costs nothing unless it has evicted them meanwhile, as
// it does when its memory is short.
func (s *search) planFallbackFetch(l *location, choice *Choice) {
	for i := range min(choice.CachedParts, s.request.ownPart()) {
		s.fetch(l, i, choice)
	}
}

// fetch sets the source of one part, if there is one.
func (s *search) fetch(l *location, part int, choice *Choice) {
	from, _ := s.best(l, part, choice.Target)
	if from == nil {
		return
	}
	if choice.Fetch == nil {
		choice.Fetch = make([]*Source, len(s.request.Parts))
	}
	choice.Fetch[part] = &from.Source
}

// transferTime is how long the transfer of some tokens to an engine takes.
func (s *Source) transferTime(tokens int, t *fleet.Target) time.Duration {
	took := s.Delay + time.Duration(tokens)*s.PerToken
	if s.Domain != t.Domain {
		took *= 2
	}
	return took
}

// planTransfers lists the transfers that the engine waits for.
func (s *search) planTransfers(choice *Choice, one candidate) {
	for i := one.cached; i < one.available; i++ {
		from := choice.Fetch[i]
		choice.Transfers = append(choice.Transfers, throughput.Transfer{
			Source: placement.Hash(from.Name), Expected: from.transferTime(s.request.Parts[i].Tokens, choice.Target),
		})
	}
}

// minSaveTokens is the size of the smallest part that is worth storing. It is low, as the
// parts after a missing one have to be prefilled as well.
const minSaveTokens = 64

// planSave chooses stores for the parts that no store has yet.
func (s *search) planSave(choice *Choice) {
	for i := range s.request.ownPart() {
		if s.request.Parts[i].Tokens < minSaveTokens {
			continue
		}
		store := s.storeFor(choice.Keys[i], s.request.Parts[i].Tokens)
		if store == nil {
			continue
		}
		if choice.Save == nil {
			choice.Save = make([]*Source, len(s.request.Parts))
		}
		choice.Save[i] = store
	}
}

// maxShortPart is the longest part, in tokens, that goes where the transfer is fastest.
// Longer ones go where the most room is left, as they would fill a small store.
const maxShortPart = 2048

// storeFor returns the best store with room for a part, or nil if a store has it already
// or none has room.
func (s *search) storeFor(key directory.Key, tokens int) *Source {
	var best *Source
	var rank float64
	for _, x := range s.Stores() {
		if s.Directory.HasOrExpects(x.Name, key, s.now) {
			return nil
		}
		free := x.Capacity - s.Directory.Tokens(x.Name)
		if free < tokens*2 || !s.request.domainAllowed(x.Domain) || !s.AllowSave(x) {
			continue
		}
		weight := float64(placement.Weight(uint64(key), placement.Hash(x.Name))>>1 + 1<<62)
		if tokens > maxShortPart {
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
