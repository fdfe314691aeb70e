// Package fleet is the table of targets as one box sees them: what the
// platform's list says of each, and what this box's own requests tell.
//
//	f := fleet.New()
//	f.List(now, fleet.Entry{ID: "i-7f", Pool: "menu", Address: at})
//	for _, t := range f.Pool("menu") { ... }
package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// LapseGrace is how long a target whose entry was lost in an outage of the
// platform still takes work. Entries of live replicas are back within 2 s of
// the platform's return, and work may be sent for 2 s after an entry was gone.
const LapseGrace = 1900 * time.Millisecond

// Entry is a replica's own entry in the platform's list.
type Entry struct {
	ID string
	// StartedAt is when this life of the replica began, by its own clock; zero if it does
	// not tell. An ID with a later one has started again and knows nothing of before.
	StartedAt time.Time
	Pool      string
	Address   netip.AddrPort
	Domain    string
	Slots     int
	Leaving   bool
	// Software is the version of the replica's software, not of weights.
	Software string
	Versions map[string]int64
	Orders   uint64
	// Cold is for how long yet the target is slow from its start, as it said.
	Cold time.Duration
}

// Fleet is not safe for concurrent use.
type Fleet struct {
	byID map[string]*Target
	// pools holds the targets of each pool by ID, so that every box walks them
	// in the same order.
	pools map[string][]*Target
	// replaced holds IDs whose life is over, as another replica has the address or as
	// it started again. Its entry may stand in the list for some more seconds.
	replaced map[string]ended
	// evacuated holds the failure domains whose targets get no work.
	evacuated map[string]bool
	// ids are the IDs of all targets in order, or nil if they changed since.
	ids []string
	// lapsed are the targets whose LapsedAt is set.
	lapsed map[string]*Target
	// software counts each pool's targets by the version of their software.
	software map[string]map[string]int
}

// Incarnation names one life of a replica.
type Incarnation struct {
	ID string
	// StartedAt is as in its entry; zero if it did not tell.
	StartedAt time.Time
}

// ended is a life that is over.
type ended struct {
	born time.Time
	// known is since when that is known.
	known time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{byID: make(map[string]*Target), pools: make(map[string][]*Target), replaced: make(map[string]ended), evacuated: make(map[string]bool), software: make(map[string]map[string]int), lapsed: make(map[string]*Target)}
}

// Upsert takes over an entry that was read at a time. It returns the target, nil if that
// life is known to be over, and whether it is new. A later life takes the place of the
// one listed, of which nothing is believed any more; what an earlier one said, and is
// read late, changes nothing.
func (f *Fleet) Upsert(now time.Time, e Entry) (*Target, bool) {
	if last, over := f.replaced[e.ID]; over && !e.StartedAt.After(last.born) {
		return nil, false
	}
	t, known := f.byID[e.ID]
	if known && e.StartedAt.Before(t.StartedAt) && !e.StartedAt.IsZero() {
		return t, false
	}
	if known && e.StartedAt.After(t.StartedAt) && !t.StartedAt.IsZero() {
		f.Drop(e.ID)
		known = false
	}
	if !known {
		t = &Target{ID: e.ID, Pool: e.Pool, Software: e.Software, ListedAt: now, Versions: make(map[string]int64), StaleVersions: make(map[string]int64)}
		f.byID[e.ID] = t
		f.ids = nil
		f.countSoftware(t, 1)
		f.pools[e.Pool] = insert(f.pools[e.Pool], t)
	}
	if !e.StartedAt.IsZero() {
		t.StartedAt = e.StartedAt
	}
	t.Address, t.Domain, t.Slots, t.Orders = e.Address, e.Domain, e.Slots, e.Orders
	t.Leaving = t.Leaving || e.Leaving
	t.Evacuated = f.evacuated[e.Domain]
	t.ColdUntil = now.Add(e.Cold)
	t.LapsedAt = time.Time{}
	delete(f.lapsed, e.ID)
	for model, version := range e.Versions {
		t.Versions[model] = max(t.Versions[model], version)
	}
	return t, !known
}

func insert(list []*Target, t *Target) []*Target {
	at, _ := slices.BinarySearchFunc(list, t.ID, func(x *Target, id string) int { return strings.Compare(x.ID, id) })
	return slices.Insert(list, at, t)
}

// Lapse notes that an entry is missing after an outage.
func (f *Fleet) Lapse(now time.Time, id string) {
	if t := f.byID[id]; t != nil && t.LapsedAt.IsZero() {
		t.LapsedAt = now
		f.lapsed[id] = t
	}
}

// Drop forgets a target that is gone.
func (f *Fleet) Drop(id string) {
	t := f.byID[id]
	if t == nil {
		return
	}
	// Requests under way still hold it.
	t.Leaving = true
	delete(f.byID, id)
	delete(f.lapsed, id)
	f.ids = nil
	f.countSoftware(t, -1)
	f.pools[t.Pool] = slices.DeleteFunc(f.pools[t.Pool], func(x *Target) bool { return x == t })
	if len(f.pools[t.Pool]) == 0 {
		delete(f.pools, t.Pool)
	}
}

// MarkEnded notes that a life is over, as another replica has its address or as it
// started again, and forgets the target. It says whether that is news; of a life before
// the one listed it is not.
func (f *Fleet) MarkEnded(now time.Time, life Incarnation) bool {
	if last, known := f.replaced[life.ID]; known && !life.StartedAt.After(last.born) {
		return false
	}
	if t := f.byID[life.ID]; t != nil && !life.StartedAt.IsZero() && life.StartedAt.Before(t.StartedAt) {
		return false
	}
	f.replaced[life.ID] = ended{life.StartedAt, now}
	f.Drop(life.ID)
	return true
}

// Ended returns the lives that were found to be over since a time, by their IDs.
func (f *Fleet) Ended(since time.Time) []Incarnation {
	var list []Incarnation
	for id, e := range f.replaced {
		if e.known.After(since) {
			list = append(list, Incarnation{id, e.born})
		}
	}
	slices.SortFunc(list, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Expire forgets which targets were replaced before a time.
func (f *Fleet) Expire(before time.Time) {
	maps.DeleteFunc(f.replaced, func(_ string, e ended) bool { return e.known.Before(before) })
}

// countSoftware adds to how many of a pool's targets run a target's software.
func (f *Fleet) countSoftware(t *Target, n int) {
	counts := f.software[t.Pool]
	if counts == nil {
		counts = make(map[string]int)
		f.software[t.Pool] = counts
	}
	if counts[t.Software] += n; counts[t.Software] == 0 {
		delete(counts, t.Software)
	}
}

// MixedSoftware says that a pool's targets run more than one version of its software.
func (f *Fleet) MixedSoftware(pool string) bool { return len(f.software[pool]) > 1 }

// Software returns the version of its software that most targets of a pool run, the first by
// name of several; empty if there is no target.
func (f *Fleet) Software(pool string) string {
	usual := ""
	for version, n := range f.software[pool] {
		most := f.software[pool][usual]
		if n > most || n == most && version < usual {
			usual = version
		}
	}
	return usual
}

// Target returns a target by its ID, or nil.
func (f *Fleet) Target(id string) *Target { return f.byID[id] }

// Incarnation returns the target of a life, or nil if that is not the one listed. A life that
// is not told is taken for it.
func (f *Fleet) Incarnation(life Incarnation) *Target {
	t := f.byID[life.ID]
	if t == nil || !life.StartedAt.IsZero() && !t.StartedAt.IsZero() && !life.StartedAt.Equal(t.StartedAt) {
		return nil
	}
	return t
}

// Pool returns a pool's targets in the order of their IDs. The caller must not
// change the list.
func (f *Fleet) Pool(name string) []*Target { return f.pools[name] }

// Len counts the targets.
func (f *Fleet) Len() int { return len(f.byID) }

// IDs returns the IDs of all targets, in order. The caller must not change the list.
func (f *Fleet) IDs() []string {
	if f.ids == nil {
		f.ids = slices.Sorted(maps.Keys(f.byID))
	}
	return f.ids
}

// Lapsed returns the targets whose entries stayed missing for too long.
func (f *Fleet) Lapsed(now time.Time) []string {
	var ids []string
	for id, t := range f.lapsed {
		if now.Sub(t.LapsedAt) >= LapseGrace {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Evacuate closes the targets of a failure domain, also those that come into
// the list later, or opens them again. It returns how many there are.
func (f *Fleet) Evacuate(domain string, closed bool) int {
	f.evacuated[domain] = closed
	if !closed {
		delete(f.evacuated, domain)
	}
	n := 0
	for _, t := range f.byID {
		if t.Domain == domain {
			t.Evacuated = closed
			n++
		}
	}
	return n
}

// Evacuated returns the failure domains that are closed, in order.
func (f *Fleet) Evacuated() []string { return slices.Sorted(maps.Keys(f.evacuated)) }

// Available says whether a target may get new work at all.
func (t *Target) Available(now time.Time) bool { return t.Active(now) && !t.Evacuated }

// Active says whether a target takes part, by what the list says: one whose domain
// is evacuated still loads weights. An entry lost in an outage counts for LapsedFor.
func (t *Target) Active(now time.Time) bool {
	if t.Leaving {
		return false
	}
	return t.LapsedAt.IsZero() || now.Sub(t.LapsedAt) < LapseGrace
}
