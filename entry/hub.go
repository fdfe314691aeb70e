package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/placement"
)

// In a large fleet most boxes neither read the table service nor follow the
// sources of kept parts: each failure domain has hubs that do, and the others
// ask a hub of their own domain for places and take its view of the platform.
// Nobody elects hubs. Each box ranks the boxes of a domain in the same way, and
// asks the first that answers.
const (
	// maxMeshBoxes is the most boxes that do without hubs: a source serves 12
	// followers, and a box spends about a hundredth of a core on 12 calls each
	// 150 ms.
	maxMeshBoxes = 12
	// hubsPerDomain is how many boxes of a domain follow all along, so that one is
	// warm when another ends.
	hubsPerDomain = 2
	// hubLinger is how long a box that was asked for a place goes on as a hub.
	hubLinger = 5 * time.Second
	// maxOwnHubs is how many boxes of a domain are tried before others.
	maxOwnHubs = 4
	// viewTTL is how old a hub's proof of the configuration may be before this
	// box reads the table service itself. A sound hub's is at most 1.1 s old, and
	// the platform's bound for a change is 2 to 3 s.
	viewTTL = 1600 * time.Millisecond
	// maxHubProofAge is how old a hub's own proof may be before another hub is asked:
	// a sound hub's is at most twice the hold of its reads.
	maxHubProofAge = 3 * hubHold
	// hubMinShare is the share of the strongest box's processor that a hub has at
	// least: following all sources takes a weak box all of its own.
	hubMinShare = 0.5
	// hublessAfter is how long a box may hear no hub before it follows the stores
	// of kept parts itself. Gossip with the next hub takes 0.6 s.
	hublessAfter = time.Second
	// maxHubMisses is how many calls in a row a hub may leave unanswered before
	// another is asked; one may meet a pause.
	maxHubMisses = 2
)

// usesHubs says that the fleet needs hubs.
func (t *tables) usesHubs() bool { return len(t.members) > maxMeshBoxes }

// rankedHubs lists the boxes of a domain that are fit for a hub, the strongest first. The caller
// must not change the list. It is kept, as each call between boxes asks for it, and changes
// only when boxes join.
func (t *tables) rankedHubs(domain string) []string {
	t.refreshRanks()
	list, known := t.hubRanks[domain]
	if !known {
		list = t.rankHubs(domain)
		t.hubRanks[domain] = list
	}
	return list
}

// refreshRanks forgets the ranks of boxes if others joined or went.
func (t *tables) refreshRanks() {
	if t.hubRanks == nil || t.rankedMembers != len(t.members) {
		t.hubRanks, t.topHubs, t.rankedMembers = make(map[string][]string), nil, len(t.members)
	}
}

// rankHubs works the list out.
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

// hub says whether this box follows the sources and the table service.
func (d *Daemon) hub(now time.Time, t *tables) bool {
	if !t.usesHubs() || now.Sub(t.lastHubRequest) < hubLinger && !t.lastHubRequest.IsZero() {
		return true
	}
	first := t.rankedHubs(d.Settings.Domain)
	return slices.Contains(first[:min(hubsPerDomain, len(first))], d.Settings.Name)
}

// surelySpoke says that this box is no hub, whatever boxes are not known yet: more of
// them only put it further behind. A box that joins a large fleet so asks hubs for
// places at once. Without that it places alone for 3 s, knows of nothing kept, and
// reads all prompts whole.
func (d *Daemon) surelySpoke(now time.Time, t *tables) bool {
	return t.usesHubs() && !d.hub(now, t)
}

// viewHub returns the box to tell and to take the view of, or an empty name if
// none answers.
func (d *Daemon) viewHub(now time.Time, t *tables) string {
	return d.firstHub(t, func(_ string, m *member) bool { return !now.Before(m.retryAt) })
}

// placementHub returns the hub to ask for a place, or an empty name if none answers.
// One that did not answer has to answer gossip first: a request can't wait.
func (d *Daemon) placementHub(now time.Time, t *tables, asked []string) string {
	return d.firstHub(t, func(name string, m *member) bool {
		return !m.failed && !now.Before(m.retryAt) && !slices.Contains(asked, name)
	})
}

// firstHub returns the first hub for which fits returns true.
func (d *Daemon) firstHub(t *tables, fits func(name string, m *member) bool) string {
	for _, name := range t.hubOrder(d.Settings.Domain) {
		if name != d.Settings.Name && fits(name, t.members[name]) {
			return name
		}
	}
	return ""
}

// hubless says that this box lives on hubs, and that none answers.
func (d *Daemon) hubless(now time.Time, t *tables) bool {
	return d.spoke.Load() && now.Sub(t.hubHeardAt) > hublessAfter
}

// hubOrder lists the boxes that may be asked: those of the own domain first.
func (t *tables) hubOrder(domain string) []string {
	own := t.rankedHubs(domain)
	order := slices.Clone(own[:min(maxOwnHubs, len(own))])
	var domains []string
	for _, m := range t.members {
		if m.domain != domain && !slices.Contains(domains, m.domain) {
			domains = append(domains, m.domain)
		}
	}
	slices.Sort(domains)
	for _, other := range domains {
		list := t.rankedHubs(other)
		order = append(order, list[:min(hubsPerDomain, len(list))]...)
	}
	return order
}

// hasFreshView says whether this box lives on a hub's view for now, so that it need
// not read the table service.
func (d *Daemon) hasFreshView(now time.Time) bool {
	return d.spoke.Load() && d.provedAgo(now) < viewTTL
}

// updateRole takes this box's role in the fleet over when it changes.
func (d *Daemon) updateRole(now time.Time, t *tables) []effect {
	if !t.membersKnown {
		return nil
	}
	hub := d.hub(now, t)
	if d.roleSince.Load() == nil || hub == d.spoke.Load() {
		d.roleSince.Store(&now)
	}
	d.hasSpokes.Store(hub && t.usesHubs())
	d.peerProofMaxAge.Store(int64(d.peerProofLifetime(t)))
	if hub == !d.spoke.Load() {
		return nil
	}
	d.spoke.Store(!hub)
	t.hubHeardAt = now
	d.Log.Info("role in the fleet", "hub", hub, "boxes", len(t.members), "of_domain", len(t.rankedHubs(d.Settings.Domain)))
	if !hub {
		t.hub, t.hubList, t.hubSeen, t.hubQuarantineVersion = "", changelog.Cursor{}, nil, 0
	}
	return d.reconcileSources(now, t)
}
