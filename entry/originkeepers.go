package entry

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/origin"
	"github.com/thymewind/thymewind/placement"
)

// This file determines which boxes keep the origins of streams, and which are asked for one.

const (
	// originCopies is how many other boxes are told of a stream's origin.
	originCopies = 2
	// originCandidates is how many boxes of a failure domain keep origins, which bounds the
	// connections between the boxes of a large fleet; originAsked is how many of them are asked for
	// one there.
	originCandidates = 12
	originAsked      = 2
)

// originKeepers returns the boxes that are told of a stream's origin: the first by a hash of this
// domain and of another one, which is always the same, so that a box needs few connections.
func (t *tables) originKeepers(now time.Time, key origin.Key, except []string) []string {
	usable := func(name string) bool {
		m := t.members[name]
		down := m.unanswered && now.Before(m.retryAt)
		return !down && !now.Before(m.originsRetryAt) && !slices.Contains(except, name)
	}
	var own, others []string
	for _, domain := range t.originDomains() {
		for _, name := range t.rankedKeepers(domain, key) {
			switch {
			case !usable(name):
			case domain == t.helpers.Domain:
				own = append(own, name)
			default:
				others = append(others, name)
			}
		}
	}
	if len(own) > 0 && len(others) > 0 {
		return []string{own[0], others[0]}
	}
	list := slices.Concat(own, others)
	return list[:min(len(list), originCopies)]
}

// originsKnownAt returns the boxes that may have been told of a stream's origin: all of a small
// fleet, the first of each domain by a hash in a large one.
func (t *tables) originsKnownAt(key origin.Key) map[string]netip.AddrPort {
	boxes := make(map[string]netip.AddrPort)
	for _, domain := range t.originDomains() {
		ranked := t.rankedKeepers(domain, key)
		if t.usesHubs() {
			ranked = ranked[:min(len(ranked), originAsked)]
		}
		for _, name := range ranked {
			boxes[name] = t.members[name].address
		}
	}
	return boxes
}

// rankedKeepers returns the boxes of a domain that keep origins, but for this one, ranked by a hash.
func (t *tables) rankedKeepers(domain string, key origin.Key) []string {
	list := slices.DeleteFunc(slices.Clone(t.keepersOf[domain]), func(name string) bool { return name == t.self })
	slices.SortFunc(list, byWeight(uint64(key)))
	return list
}

// originDomains returns the failure domains, ranked by a hash of this box. It determines the boxes of
// each that keep origins, whenever boxes have come.
func (t *tables) originDomains() []string {
	if t.keepersOf != nil {
		return t.domains
	}
	t.keepersOf = make(map[string][]string)
	for name, m := range t.members {
		if m.address.IsValid() {
			t.keepersOf[m.domain] = append(t.keepersOf[m.domain], name)
		}
	}
	for domain, list := range t.keepersOf {
		slices.SortFunc(list, byWeight(0))
		t.keepersOf[domain] = list[:min(len(list), originCandidates)]
	}
	t.domains = slices.SortedFunc(maps.Keys(t.keepersOf), byWeight(placement.Hash(t.self)))
	return t.domains
}

// byWeight orders names by their hash with a key (rendezvous hashing).
func byWeight(key uint64) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Compare(placement.Weight(key, placement.Hash(b)), placement.Weight(key, placement.Hash(a)))
	}
}
