package measure

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/retention"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/target"
)

// Policy names how a run decides. Ours is the daemon's own decision code. The others are
// baselines that replace either its placement or its handling of cache on store boxes;
// PlainRoundRobin replaces both.
type Policy string

// The policies.
const (
	Ours        Policy = "ours"
	RoundRobin  Policy = "round-robin"
	LeastLoad   Policy = "least-load"
	Affinity    Policy = "pure-affinity"
	KeepAll     Policy = "keep-all-lru"
	NeverImport Policy = "never-import"
	// PlainRoundRobin places by round robin and neither exports nor imports cache.
	PlainRoundRobin Policy = "plain-round-robin"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Ours, RoundRobin, LeastLoad, Affinity, KeepAll, NeverImport, PlainRoundRobin}
}

type chooseFunc func(now time.Time, request placement.Request, targets []*target.Target) (placement.Choice, error)

// chooser returns the policy's function that chooses a target.
func (p Policy) chooser(ours *placement.Chooser, random *rand.Rand) chooseFunc {
	next := 0
	switch p {
	case RoundRobin, PlainRoundRobin:
		return chooseUsable(func(usable []int, _ uint64, _ []*target.Target) int {
			next++
			return usable[next%len(usable)]
		})
	case LeastLoad:
		return chooseUsable(func(usable []int, _ uint64, all []*target.Target) int {
			random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
			return slices.MinFunc(usable, func(i, j int) int { return cmp.Compare(all[i].Load(), all[j].Load()) })
		})
	case Affinity:
		return chooseUsable(func(usable []int, home uint64, all []*target.Target) int {
			return slices.MaxFunc(usable, func(i, j int) int {
				return cmp.Compare(placement.Weight(home, all[i].Hash), placement.Weight(home, all[j].Hash))
			})
		})
	}
	return ours.Choose
}

// chooseUsable returns a chooser that picks one of the usable targets with a function.
func chooseUsable(choose func(usable []int, home uint64, all []*target.Target) int) chooseFunc {
	return func(now time.Time, request placement.Request, targets []*target.Target) (placement.Choice, error) {
		var choice placement.Choice
		var usable []int
		for i, x := range targets {
			if x.Usable(now) && !request.Skip(x) {
				usable = append(usable, i)
			}
		}
		if len(usable) == 0 {
			return choice, trace.NotFound("no target")
		}
		choice.Index = choose(usable, request.Home, targets)
		choice.Home = choice.Index
		choice.Usable = len(usable)
		return choice, nil
	}
}

// keepFunc returns the policy's function that decides what is exported.
func (p Policy) keepFunc() func(*retention.Policy, retention.Candidate) bool {
	switch p {
	case KeepAll:
		return func(*retention.Policy, retention.Candidate) bool { return true }
	case NeverImport, PlainRoundRobin:
		return func(*retention.Policy, retention.Candidate) bool { return false }
	}
	return (*retention.Policy).Keep
}

// importPieces returns how many of the found pieces are imported.
func (p Policy) importPieces(now time.Time, e reuse.Estimate, weights pool.Policy, c reuse.Choice) int {
	switch p {
	case KeepAll:
		return len(c.Found.Run)
	case NeverImport, PlainRoundRobin:
		return 0
	}
	return e.Best(now, weights, c)
}

// evict returns the keys that a full store box evicts.
func (p Policy) evict(now time.Time, all []kvcache.Manifest, need int) []string {
	if p != KeepAll {
		return retention.Evict(now, all, need)
	}
	slices.SortFunc(all, func(a, b kvcache.Manifest) int {
		return cmp.Or(a.Used.Compare(b.Used), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.Key, b.Key))
	})
	var keys []string
	for _, m := range all {
		if need <= 0 {
			break
		}
		keys = append(keys, m.Key)
		need -= m.Piece.Bytes
	}
	return keys
}
