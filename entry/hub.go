package entry

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/placement"
)

// In a large fleet most boxes neither read the table service nor watch the cache sources
// (engines and stores that hold cached prompt parts). Each failure domain has hubs that do; the
// other boxes, the spokes, ask a hub of their own domain to place requests and take its view of
// the platform. There is no election: every box ranks the boxes of a domain the same way and
// asks the first that answers.
const (
	// maxMeshBoxes is the largest fleet that works without hubs. A source serves 12 watchers,
	// and 12 calls each 150 ms cost a box about a hundredth of a core.
	maxMeshBoxes = 12
	// hubsPerDomain is how many boxes of a domain act as hubs at all times, so that a second
	// one is warm when the first ends.
	hubsPerDomain = 2
	// hubLinger is how long a box goes on as a hub after another box last used it as one.
	hubLinger = 5 * time.Second
	// maxOwnHubs is how many boxes of the own domain may be asked as hubs. Those after the first
	// hubsPerDomain begin to watch the sources only when they are asked, which takes all of a
	// box's processor for seconds, so hubs of other domains are asked before them.
	maxOwnHubs = 4
	// hubGoneAfter is how long all hubs of a domain have to be silent before other boxes of the
	// domain are asked first: placing across domains costs time and bytes.
	hubGoneAfter = 10 * time.Second
	// hubsGoneAfter is how long the hubs of all domains have to be silent before other boxes are
	// asked at all. Hubs that start, or that are busy for a moment, are silent for less; a box that
	// is asked reads all sources meanwhile and can't place requests well for as long.
	hubsGoneAfter = 3 * time.Second
	// viewTTL is how old a hub's proof of the configuration may be before this box reads the
	// table service itself. A healthy hub's proof is at most 1.1 s old, and the platform's
	// bound for applying a change is 2 to 3 s.
	viewTTL = 1600 * time.Millisecond
	// maxHubProofAge is how old a hub's own proof may be before another hub is asked. A healthy
	// hub's is at most twice the hold of its reads.
	maxHubProofAge = 3 * hubHold
	// hubMinShare is the least share of the strongest box's processor that a hub has. Watching
	// all sources takes all of a weak box's processor.
	hubMinShare = 0.5
	// hublessAfter is how long a spoke may go without an answer from a hub before it watches
	// the stores itself. Gossip with the next hub takes 0.6 s.
	hublessAfter = time.Second
	// maxHubMisses is how many calls in a row a hub may leave unanswered before another is
	// asked. A single miss may be due to a short pause of the hub.
	maxHubMisses = 2
)

// usesHubs reports whether the fleet is large enough to need hubs.
func (t *tables) usesHubs() bool { return len(t.members) > maxMeshBoxes }

// rankedHubs lists the boxes of a domain that are fit to be hubs, the strongest first. The
// caller must not change the list. It is cached, as every call between boxes needs it and it
// changes only when boxes join or leave.
func (t *tables) rankedHubs(domain string) []string {
	t.refreshRanks()
	list, known := t.hubRanks[domain]
	if !known {
		list = t.rankHubs(domain)
		t.hubRanks[domain] = list
	}
	return list
}

// refreshRanks drops the cached rankings if boxes joined or left.
func (t *tables) refreshRanks() {
	if t.hubRanks == nil || t.rankedMembers != len(t.members) {
		t.hubRanks, t.topHubs, t.rankedMembers = make(map[string][]string), nil, len(t.members)
	}
}

// rankHubs computes the ranking of a domain.
func (t *tables) rankHubs(domain string) []string {
	var names []string
	most := 0.0
	for _, m := range t.members {
		if m.domain == domain {
			most = max(most, m.share)
		}
	}
	for name, m := range t.members {
		if m.domain == domain && m.address.IsValid() && m.share >= most*hubMinShare {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.members[a], t.members[b]
		return cmp.Or(
			cmp.Compare(y.share, x.share), cmp.Compare(y.megabits, x.megabits),
			cmp.Compare(placement.Hash(a), placement.Hash(b)),
		)
	})
	return names
}

// hub reports whether this box acts as a hub: it watches the sources and reads the table
// service. In a fleet without hubs every box does so.
func (d *Daemon) hub(now time.Time, t *tables) bool {
	if !t.usesHubs() || now.Sub(t.lastHubRequest) < hubLinger && !t.lastHubRequest.IsZero() {
		return true
	}
	first := t.rankedHubs(d.Settings.Domain)
	return slices.Contains(first[:min(hubsPerDomain, len(first))], d.Settings.Name)
}

// surelySpoke reports whether this box is no hub, whichever boxes are not known yet: more boxes
// can only lower its rank. A box that joins a large fleet then asks hubs for placements at
// once. Without that it would place requests alone for 3 s, knowing nothing of cached parts, so
// that all prompts would be prefilled in full.
func (d *Daemon) surelySpoke(now time.Time, t *tables) bool {
	return t.usesHubs() && !d.hub(now, t)
}

// viewHub returns the hub to gossip with and to take the view of, or an empty name if none
// answers.
func (d *Daemon) viewHub(now time.Time, t *tables) string {
	return d.firstHub(now, t, func(_ string, m *member) bool { return !now.Before(m.retryAt) })
}

// placementHub returns the hub to ask for a placement in a pool, or an empty name if none answers
// and reaches the pool. A hub
// that failed to answer must first answer gossip again, as a request can't wait for it.
func (d *Daemon) placementHub(now time.Time, t *tables, pool string, excluded []string) string {
	return d.firstHub(now, t, func(name string, m *member) bool {
		return !m.unanswered && !now.Before(m.retryAt) && !slices.Contains(excluded, name) && !slices.Contains(m.lostPools, pool)
	})
}

// firstHub returns the first hub for which fits returns true, or an empty name.
func (d *Daemon) firstHub(now time.Time, t *tables, fits func(name string, m *member) bool) string {
	for name := range t.hubOrder(now, d.Settings.Name, d.Settings.Domain) {
		if name != d.Settings.Name && fits(name, t.members[name]) {
			return name
		}
	}
	return ""
}

// hubless reports whether this box is a spoke and no hub has answered for hublessAfter.
func (d *Daemon) hubless(now time.Time, t *tables) bool {
	return d.spoke.Load() && now.Sub(t.hubHeardAt) > hublessAfter
}

// hubOrder lists the hubs that a box of a domain may ask: those of its own domain, those of
// other domains, and, if these have been silent for some time, boxes of its own domain that become
// hubs when they are asked. It is
// computed as far as it is read, as each placement asks for it.
func (t *tables) hubOrder(now time.Time, self, domain string) iter.Seq[string] {
	return func(yield func(string) bool) {
		own := t.rankedHubs(domain)
		first := own[:min(hubsPerDomain, len(own))]
		for _, name := range first {
			if !yield(name) {
				return
			}
		}
		rest, foreign := own[len(first):min(maxOwnHubs, len(own))], t.foreignHubs(self, domain)
		order := foreign
		switch {
		case t.gone(now, first, hubGoneAfter):
			order = slices.Concat(rest, foreign)
		case t.gone(now, first, hubsGoneAfter) && t.gone(now, foreign, hubsGoneAfter):
			order = slices.Concat(foreign, rest)
		}
		for _, name := range order {
			if !yield(name) {
				return
			}
		}
	}
}

// gone reports whether all of some boxes have been silent for a time.
func (t *tables) gone(now time.Time, boxes []string, after time.Duration) bool {
	for _, name := range boxes {
		if m := t.members[name]; !m.unanswered || now.Sub(m.unansweredSince) < after {
			return false
		}
	}
	return true
}

// foreignHubs lists the hubs of all other domains, in an order of each box's own: the boxes of a
// domain that lost its hubs spread over them.
func (t *tables) foreignHubs(self, domain string) []string {
	var list []string
	for _, name := range t.hubs() {
		if t.members[name].domain != domain {
			list = append(list, name)
		}
	}
	hash := placement.Hash(self)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(placement.Weight(hash, placement.Hash(b)), placement.Weight(hash, placement.Hash(a)))
	})
	return list
}

// hasFreshView reports whether this box has a hub's view that is recent enough to go without
// reading the table service.
func (d *Daemon) hasFreshView(now time.Time) bool {
	return d.spoke.Load() && d.readAgo(now) < viewTTL
}

// updateRole switches this box's role in the fleet between hub and spoke when it changes.
func (d *Daemon) updateRole(now time.Time, t *tables) []effect {
	if !t.membersKnown {
		return nil
	}
	hub := d.hub(now, t)
	changed := hub == d.spoke.Load()
	// The watchers read roleSince first and must then find the role that it is of.
	d.spoke.Store(!hub)
	if d.roleSince.Load() == nil || changed {
		d.roleSince.Store(&now)
	}
	d.hasSpokes.Store(hub && t.usesHubs())
	d.peerProofMaxAge.Store(int64(d.peerProofLifetime(t)))
	if !changed {
		return nil
	}
	t.hubHeardAt = now
	d.Log.Info("role in the fleet", "hub", hub, "boxes", len(t.members), "of_domain", len(t.rankedHubs(d.Settings.Domain)))
	if !hub {
		t.hub, t.hubList, t.hubListed, t.hubQuarantineVersion = "", changelog.Cursor{}, nil, 0
	}
	return d.reconcileSources(now, t)
}
