package affinity

import (
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

// search is the choice of an engine for one prompt. Where the prompt's parts are cached is
// looked up once, not for each engine: a large fleet has a hundred engines and a hundred
// places to look.
type search struct {
	*Chooser
	now     time.Time
	request Request
	targets []*fleet.Target
	// tokenTime is the time to prefill one token, firstEventBase the rest of the time to a
	// first event.
	tokenTime, firstEventBase time.Duration
	// locations holds the lookups for each weight version in use.
	locations []location
}

// location is where a prompt's parts made on one weight version are cached.
type location struct {
	version int64
	keys    []directory.Key
	parts   []holders
}

// holders are the stores and engines that have one part complete.
type holders struct {
	stores, engines []holder
}

func (h holders) any() bool { return len(h.stores) > 0 || len(h.engines) > 0 }

// holder is where a part can be fetched from.
type holder struct {
	Source
	// slowdown is by how much transfers from there take longer than expected.
	slowdown float64
}

// locate returns where the prompt's parts of a version are cached.
func (s *search) locate(version int64) *location {
	for i := range s.locations {
		if s.locations[i].version == version {
			return &s.locations[i]
		}
	}
	l := location{version: version, keys: s.request.Keys(version)}
	l.parts = make([]holders, len(l.keys))
	for i := range s.request.ownPart() {
		l.parts[i] = s.holders(l.keys[i])
	}
	s.locations = append(s.locations, l)
	return &s.locations[len(s.locations)-1]
}

func (s *search) holders(key directory.Key) holders {
	var h holders
	for _, store := range s.Stores() {
		if s.request.domainAllowed(store.Domain) && s.AllowStoreFetch(store) && s.Directory.Has(store.Name, key) {
			h.stores = append(h.stores, holder{*store, s.Slowdown(s.now, store.Name)})
		}
	}
	for _, t := range s.targets {
		if !s.request.domainAllowed(t.Domain) || !s.Directory.Has(t.ID, key) || t.Leaving || t.Evacuated || t.Ejected(s.now) {
			continue
		}
		engine := Source{Name: t.ID, Address: t.Address, Domain: t.Domain, Delay: engineTransferDelay, PerToken: s.TransferPerToken()}
		if !s.AllowEngineFetch(&engine) {
			continue
		}
		h.engines = append(h.engines, holder{engine, s.Slowdown(s.now, t.ID)})
	}
	return h
}

// evaluate returns the prompt's cost at an engine.
func (s *search) evaluate(t *fleet.Target) candidate {
	version := t.Versions[s.request.Model]
	l := s.locate(version)
	one := candidate{target: t, version: version, rank: placement.Weight(s.request.Home, placement.Hash(t.ID))}
	one.cached = s.Directory.LeadingParts(t.ID, l.keys, s.now)
	running, backlog := s.Load(s.now, t)
	one.prefillBacklog = backlog
	one.full = s.request.Full != nil && s.request.Full(running)
	wait := time.Duration(backlog) * s.tokenTime
	var transfers time.Duration
	one.available, transfers = s.availableParts(l, t, one.cached)
	prefill, recompute := s.prefillCost(l, one.available)
	slowdown, possible := s.engineSlowdown(t)
	one.slowdown = possible
	first := s.firstEventBase + wait + transfers + prefill
	one.cost = time.Duration(float64(first)*slowdown) - s.firstEventBase + recompute
	one.cost += lateness(time.Duration(float64(first)*possible), s.request.Goal)
	one.cost += memoryPressure(running+s.request.Tokens, s.request.Capacity)
	if t.Domain != s.request.Domain {
		one.cost += otherDomainCost
	}
	if s.request.HasIdleConnection != nil && !s.request.HasIdleConnection(t) {
		one.cost += newConnectionCost
	}
	if version < s.request.NewestVersion {
		one.cost += oldWeightsCost
	}
	if t.Grey(s.now) || t.Ejected(s.now) {
		one.cost += failureCost
	}
	return one
}

func (s *search) engineSlowdown(t *fleet.Target) (expected, possible float64) {
	if s.EngineSlowdown == nil {
		return 1, 1
	}
	return s.EngineSlowdown(s.now, t)
}

// availableParts counts the leading parts that an engine has cached or can fetch, and the
// time of the transfers. A part is usable only together with all parts before it.
func (s *search) availableParts(l *location, t *fleet.Target, cached int) (int, time.Duration) {
	var took time.Duration
	for i := cached; i < s.request.ownPart(); i++ {
		from, cost := s.best(l, i, t)
		if from == nil {
			return i, took
		}
		took += cost
	}
	return max(cached, s.request.ownPart()), took
}

// best returns where an engine should fetch a part from and how long that takes, or nil if
// prefilling the part is better.
func (s *search) best(l *location, part int, t *fleet.Target) (*holder, time.Duration) {
	if behind, late := t.StaleVersions[s.request.Model]; late && behind == l.version {
		return nil, 0
	}
	return l.parts[part].best(s.request.Parts[part].Tokens, s.tokenTime, t)
}

// prefillCost is the time to prefill the parts from one on, and the cost beyond that of
// prefilling those that are cached somewhere.
func (s *search) prefillCost(l *location, from int) (took, recompute time.Duration) {
	for i := from; i < len(s.request.Parts); i++ {
		took += time.Duration(s.request.Parts[i].Tokens) * s.tokenTime
		if l.parts[i].any() {
			recompute += time.Duration(s.request.Parts[i].Tokens) * recomputeTokenCost
		}
	}
	return took, recompute
}

// best returns the store or other engine that delivers a part soonest, if that is sooner
// than prefilling it. Engines may evict parts at any time, stores don't, so stores come
// first.
func (h holders) best(tokens int, prefill time.Duration, t *fleet.Target) (*holder, time.Duration) {
	limit := time.Duration(tokens) * (prefill + recomputeTokenCost)
	if from, took := fastest(h.stores, tokens, t, limit); from != nil {
		return from, took
	}
	return fastest(h.engines, tokens, t, limit)
}

// fastest returns the holder that delivers a part soonest and the time that this takes, if that
// is below the given time.
func fastest(list []holder, tokens int, t *fleet.Target, shortest time.Duration) (*holder, time.Duration) {
	var best *holder
	for i := range list {
		h := &list[i]
		if h.Name == t.ID {
			continue
		}
		if took := time.Duration(float64(h.transferTime(tokens, t)) * h.slowdown); took < shortest {
			best, shortest = h, took
		}
	}
	return best, shortest
}
