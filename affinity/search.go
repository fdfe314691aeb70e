package affinity

import (
	"time"

	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
)

// search is the choice of an engine for one prompt. Where the prompt's parts
// are kept is looked up once, not for each engine: a large fleet has a hundred
// engines and a hundred places to look.
type search struct {
	*Chooser
	now     time.Time
	ask     Request
	targets []*fleet.Target
	// read is the time to read one token, base that to a first event beside it.
	read, base time.Duration
	// found holds what was looked up, for each weight version in use.
	found []located
}

// located tells where a prompt's parts are kept that were made on one version.
type located struct {
	version int64
	keys    []directory.Key
	parts   []holders
}

// holders are those who keep one part whole.
type holders struct {
	stores, engines []holder
}

func (h holders) any() bool { return len(h.stores) > 0 || len(h.engines) > 0 }

// holder is where a part can be fetched from.
type holder struct {
	Source
	// stretch is by how much moves from there take longer than they should.
	stretch float64
}

// locate returns where the prompt's parts of a version are kept.
func (s *search) locate(version int64) *located {
	for i := range s.found {
		if s.found[i].version == version {
			return &s.found[i]
		}
	}
	l := located{version: version, keys: s.ask.Keys(version)}
	l.parts = make([]holders, len(l.keys))
	for i := range s.ask.last() {
		l.parts[i] = s.holders(l.keys[i])
	}
	s.found = append(s.found, l)
	return &s.found[len(s.found)-1]
}

func (s *search) holders(key directory.Key) holders {
	var h holders
	for _, store := range s.Stores() {
		if s.ask.within(store.Domain) && s.AllowStoreFetch(store) && s.Directory.Has(store.Name, key) {
			h.stores = append(h.stores, holder{*store, s.Slowdown(s.now, store.Name)})
		}
	}
	for _, t := range s.targets {
		if !s.ask.within(t.Domain) || !s.Directory.Has(t.ID, key) || t.Leaving || t.Evacuated || t.Ejected(s.now) {
			continue
		}
		peer := Source{Name: t.ID, Address: t.Address, Domain: t.Domain, Delay: peerFirst, PerToken: s.TransferPerToken()}
		if !s.AllowEngineFetch(&peer) {
			continue
		}
		h.engines = append(h.engines, holder{peer, s.Slowdown(s.now, t.ID)})
	}
	return h
}

// weigh returns what the prompt would cost at an engine.
func (s *search) weigh(t *fleet.Target) candidate {
	version := t.Versions[s.ask.Model]
	l := s.locate(version)
	one := candidate{target: t, version: version, rank: placement.Weight(s.ask.Home, placement.Hash(t.ID))}
	one.kept = s.Directory.LeadingParts(t.ID, l.keys, s.now)
	running, unread := s.Load(s.now, t)
	one.ahead = unread
	one.full = s.ask.Full != nil && s.ask.Full(running)
	wait := time.Duration(unread) * s.read
	var moves time.Duration
	one.reached, moves = s.reach(l, t, one.kept)
	read, again := s.reading(l, one.reached)
	one.cost = wait + moves + read + again
	one.cost += lateness(s.base+wait+moves+read, s.ask.Goal)
	one.cost += crowding(running+s.ask.Tokens, s.ask.Capacity)
	if t.Domain != s.ask.Domain {
		one.cost += elsewhere
	}
	if s.ask.HasIdleConnection != nil && !s.ask.HasIdleConnection(t) {
		one.cost += unlinked
	}
	if version < s.ask.NewestVersion {
		one.cost += oldWeights
	}
	if t.Grey(s.now) || t.Ejected(s.now) {
		one.cost += doubt
	}
	return one
}

// reach counts the leading parts that an engine keeps or can fetch, and the time
// that the moves take. It uses a part only together with all parts before it.
func (s *search) reach(l *located, t *fleet.Target, kept int) (int, time.Duration) {
	var took time.Duration
	for i := kept; i < s.ask.last(); i++ {
		from, cost := s.best(l, i, t)
		if from == nil {
			return i, took
		}
		took += cost
	}
	return max(kept, s.ask.last()), took
}

// best returns where an engine should fetch a part from and how long that takes,
// or nil if it had better read the part.
func (s *search) best(l *located, part int, t *fleet.Target) (*holder, time.Duration) {
	if behind, late := t.StaleVersions[s.ask.Model]; late && behind == l.version {
		return nil, 0
	}
	return l.parts[part].best(s.ask.Parts[part].Tokens, s.read, t)
}

// reading is the time to read the parts from one on, and what it costs beyond that
// to read those again that are kept somewhere.
func (s *search) reading(l *located, from int) (took, again time.Duration) {
	for i := from; i < len(s.ask.Parts); i++ {
		took += time.Duration(s.ask.Parts[i].Tokens) * s.read
		if l.parts[i].any() {
			again += time.Duration(s.ask.Parts[i].Tokens) * againToken
		}
	}
	return took, again
}

// best returns the store or other engine that brings a part soonest, if that is
// sooner than reading it. Engines drop parts at any time, stores don't, so a
// store is taken if there is one.
func (h holders) best(tokens int, read time.Duration, t *fleet.Target) (*holder, time.Duration) {
	least := time.Duration(tokens) * (read + againToken)
	if from, took := quickest(h.stores, tokens, t, least); from != nil {
		return from, took
	}
	return quickest(h.engines, tokens, t, least)
}

// quickest returns the holder that brings a part soonest, if that is within a
// time.
func quickest(list []holder, tokens int, t *fleet.Target, least time.Duration) (*holder, time.Duration) {
	var best *holder
	for i := range list {
		h := &list[i]
		if h.Name == t.ID {
			continue
		}
		if took := time.Duration(float64(h.move(tokens, t)) * h.stretch); took < least {
			best, least = h, took
		}
	}
	return best, least
}
