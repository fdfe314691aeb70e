package measure

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/prefix"
)

// store simulates a store box with a memory and a disk tier, each behind a link.
type store struct {
	*simulation
	name    string
	address netip.AddrPort
	// rows are the manifests by key, tiers the tier of each one's piece.
	rows  map[string]kvcache.Manifest
	tiers map[string]int
	size  [2]int
	rate  [2]float64
	// reportedRate are the link rates that the store box reports, whatever the faults.
	reportedRate [2]float64
	// memory holds the keys on the memory tier in LRU order.
	memory *simplelru.LRU[string, struct{}]
	// busyUntil is when each link's queue is empty, busy how long the link was in use.
	busyUntil [2]time.Time
	busy      [2]time.Duration
	dead      bool
}

func newStore(sim *simulation, i int) *store {
	s := &store{
		simulation: sim, name: fmt.Sprintf("store-%d", i), address: addressOf(2, i),
		rows: make(map[string]kvcache.Manifest), tiers: make(map[string]int),
		size: [2]int{storeMemory, storeDisk}, rate: [2]float64{memoryRate, diskRate}, reportedRate: [2]float64{memoryRate, diskRate},
	}
	// Only a size that is not positive is an error.
	s.memory, _ = simplelru.NewLRU(storeMemory, func(key string, _ struct{}) {
		if _, known := s.tiers[key]; known {
			s.tiers[key] = kvcache.TierDisk
		}
	})
	return s
}

// promote moves a piece to the memory tier. The least recently used one there moves to
// disk if the tier is full.
func (s *store) promote(key string) {
	s.tiers[key] = kvcache.TierMemory
	s.memory.Add(key, struct{}{})
}

// find returns the manifests of the leading keys that are stored.
func (s *store) find(keys []string) kvcache.Found {
	var found kvcache.Found
	for tier := range found.Links {
		found.Links[tier].Rate = s.reportedRate[tier]
		if wait := s.busyUntil[tier].Sub(s.now); wait > 0 {
			found.Links[tier].Queue = int(wait.Seconds() * s.reportedRate[tier])
		}
	}
	for _, key := range keys {
		m, ok := s.rows[key]
		if !ok {
			break
		}
		m.Used = s.now
		m.Hits++
		s.rows[key] = m
		m.Tier = s.tiers[key]
		found.Run = append(found.Run, m)
	}
	return found
}

// fetch transfers pieces over the links and returns when the last one arrives.
func (s *store) fetch(run []kvcache.Manifest) (ready time.Time, pieces int) {
	ready = s.now
	if s.dead {
		return s.now.Add(time.Second), 0
	}
	for _, m := range run {
		if _, ok := s.rows[m.Key]; !ok {
			return ready, 0 // Evicted in the meantime; all pieces are recomputed.
		}
		if done := s.transfer(s.tiers[m.Key], m.Piece.Bytes); done.After(ready) {
			ready = done
		}
		s.promote(m.Key)
	}
	return ready, len(run)
}

// transfer queues bytes on a tier's link and returns when they have passed.
func (s *store) transfer(tier, bytes int) time.Time {
	start := s.now
	if s.busyUntil[tier].After(start) {
		start = s.busyUntil[tier]
	}
	took := seconds(float64(bytes) / s.rate[tier])
	s.busyUntil[tier] = start.Add(took)
	s.busy[tier] += took
	return s.busyUntil[tier]
}

// write stores a prompt's pieces with their manifests, until the store box is full.
func (s *store) write(scope prefix.Key, keys []prefix.Key) []kvcache.Manifest {
	if s.dead {
		return nil
	}
	var run []kvcache.Manifest
	for depth, key := range keys {
		text := key.String()
		m, known := s.rows[text]
		if !known {
			if len(s.rows) >= s.size[0]+s.size[1] {
				return run
			}
			s.transfer(kvcache.TierMemory, pieceKV)
			s.promote(text)
			m = kvcache.Seal(kvcache.Manifest{Key: text, Scope: scope.String(), Depth: depth, Piece: kvcache.Piece{Digest: text, Bytes: pieceKV, Tokens: pieceTokens}})
		}
		m.Used = s.now
		s.rows[text] = m
		run = append(run, m)
	}
	return run
}

// evict drops what is least worth keeping from stores that are nearly full.
func (sim *simulation) evict() {
	const minFreeShare = 0.1
	for _, s := range sim.stores {
		size := s.size[0] + s.size[1]
		free := size - len(s.rows)
		if s.dead || float64(free) >= minFreeShare*float64(size) {
			continue
		}
		all := slices.SortedFunc(maps.Values(s.rows), func(a, b kvcache.Manifest) int { return cmp.Compare(a.Key, b.Key) })
		for _, key := range sim.Policy.evict(sim.now, all, int(2*minFreeShare*float64(size)-float64(free))*pieceKV) {
			delete(s.tiers, key)
			delete(s.rows, key)
			s.memory.Remove(key)
		}
	}
}
