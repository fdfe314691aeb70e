// Package fleet is the table of targets as one box sees them: what the platform's list
// says of each, and what this box's own requests show.
//
//	f := fleet.New()
//	f.Upsert(now, fleet.Entry{ID: "i-7f", Pool: "menu", Address: at})
//	for _, t := range f.Pool("menu") { ... }
package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// LapseGrace is how long a target whose entry was lost in an outage of the platform still
// gets work. Entries of live replicas are back within 2 s of the platform's return, and
// work may be sent for 2 s after an entry was removed.
const LapseGrace = 1900 * time.Millisecond

// Entry is a replica's own entry in the platform's list.
type Entry struct {
	ID string
	// StartedAt is when this incarnation of the replica started, by its own clock; zero if
	// it does not report that. An ID with a later one has restarted and lost its state.
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
	// Cold is how much longer the target is slow after its start, as it reported.
	Cold time.Duration
}

// Fleet is not safe for concurrent use.
type Fleet struct {
	byID map[string]*Target
	// pools holds the targets of each pool by ID, so that every box iterates them in the
	// same order.
	pools map[string][]*Target
	// ended holds the incarnations that ended, by ID, as another replica has the address or
	// as the replica restarted. The entry may stay in the list for some more seconds.
	ended map[string]endedIncarnation
	// evacuated holds the failure domains whose targets get no work.
	evacuated map[string]bool
	// ids are the IDs of all targets in order, or nil if they changed since.
	ids []string
	// lapsed are the targets whose LapsedAt is set.
	lapsed map[string]*Target
	// software counts each pool's targets by the version of their software.
	software map[string]map[string]int
}

// Incarnation identifies one incarnation of a replica: its run from one start to its end.
type Incarnation struct {
	ID string
	// StartedAt is as in its entry; zero if it was not reported.
	StartedAt time.Time
}

// endedIncarnation is an incarnation that ended.
type endedIncarnation struct {
	startedAt time.Time
	// knownAt is when this box learned of it.
	knownAt time.Time
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{byID: make(map[string]*Target), pools: make(map[string][]*Target), ended: make(map[string]endedIncarnation), evacuated: make(map[string]bool), software: make(map[string]map[string]int), lapsed: make(map[string]*Target)}
}

// Upsert takes in an entry that was read at a time. It returns the target, nil if that
// incarnation is known to have ended, and whether it is new. A later incarnation, or one with
// other software, replaces the one listed with all its state; a late entry of an earlier one
// changes nothing.
func (f *Fleet) Upsert(now time.Time, e Entry) (*Target, bool) {
	if previous, ended := f.ended[e.ID]; ended && !e.StartedAt.After(previous.startedAt) {
		return nil, false
	}
	t, known := f.byID[e.ID]
	if known && e.StartedAt.Before(t.StartedAt) && !e.StartedAt.IsZero() {
		return t, false
	}
	restarted := known && e.StartedAt.After(t.StartedAt) && !t.StartedAt.IsZero()
	upgraded := known && e.Software != "" && e.Software != t.Software
	if restarted || upgraded {
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

// Lapse records that an entry is missing after an outage.
func (f *Fleet) Lapse(now time.Time, id string) {
	if t := f.byID[id]; t != nil && t.LapsedAt.IsZero() {
		t.LapsedAt = now
		f.lapsed[id] = t
	}
}

// Drop removes a target that is gone.
func (f *Fleet) Drop(id string) {
	t := f.byID[id]
	if t == nil {
		return
	}
	// Requests in flight still hold it.
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

// MarkEnded records that an incarnation ended, as another replica has its address or as
// it restarted, and removes the target. It reports whether that is news; for an
// incarnation before the one listed it is not.
func (f *Fleet) MarkEnded(now time.Time, incarnation Incarnation) bool {
	if previous, known := f.ended[incarnation.ID]; known && !incarnation.StartedAt.After(previous.startedAt) {
		return false
	}
	if t := f.byID[incarnation.ID]; t != nil && !incarnation.StartedAt.IsZero() && incarnation.StartedAt.Before(t.StartedAt) {
		return false
	}
	f.ended[incarnation.ID] = endedIncarnation{incarnation.StartedAt, now}
	f.Drop(incarnation.ID)
	return true
}

// Ended returns the incarnations that are known since a time to have ended, by ID.
func (f *Fleet) Ended(since time.Time) []Incarnation {
	var list []Incarnation
	for id, e := range f.ended {
		if e.knownAt.After(since) {
			list = append(list, Incarnation{id, e.startedAt})
		}
	}
	slices.SortFunc(list, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Expire drops the ended incarnations that were recorded before a time.
func (f *Fleet) Expire(before time.Time) {
	maps.DeleteFunc(f.ended, func(_ string, e endedIncarnation) bool { return e.knownAt.Before(before) })
}

// countSoftware adds n to the number of targets in the pool with the target's software
// version.
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

// MixedSoftware reports whether a pool's targets run more than one software version.
func (f *Fleet) MixedSoftware(pool string) bool { return len(f.software[pool]) > 1 }

// Software returns the software version that most targets of a pool run, the first by
// name if several do; empty if there is no target.
func (f *Fleet) Software(pool string) string {
	common := ""
	for version, n := range f.software[pool] {
		most := f.software[pool][common]
		if n > most || n == most && version < common {
			common = version
		}
	}
	return common
}

// SoftwareVersions returns the software versions that targets of a pool run, in order.
func (f *Fleet) SoftwareVersions(pool string) []string {
	return slices.Sorted(maps.Keys(f.software[pool]))
}

// Target returns a target by its ID, or nil.
func (f *Fleet) Target(id string) *Target { return f.byID[id] }

// Incarnation returns the target of an incarnation, or nil if that is not the one listed.
// An unknown start time matches any.
func (f *Fleet) Incarnation(incarnation Incarnation) *Target {
	t := f.byID[incarnation.ID]
	if t == nil || !incarnation.StartedAt.IsZero() && !t.StartedAt.IsZero() && !incarnation.StartedAt.Equal(t.StartedAt) {
		return nil
	}
	return t
}

// Pool returns a pool's targets in the order of their IDs. The caller must not
// change the list.
func (f *Fleet) Pool(name string) []*Target { return f.pools[name] }

// Len returns the number of targets.
func (f *Fleet) Len() int { return len(f.byID) }

// IDs returns the IDs of all targets, in order. The caller must not change the list.
func (f *Fleet) IDs() []string {
	if f.ids == nil {
		f.ids = slices.Sorted(maps.Keys(f.byID))
	}
	return f.ids
}

// RestartSilence has the silence of all targets count from now on.
func (f *Fleet) RestartSilence(now time.Time) {
	for _, t := range f.byID {
		t.waitingSince = now
	}
}

// Lapsed returns the IDs of the targets whose entries are missing for LapseGrace.
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

// Evacuate closes the targets of a failure domain, also later ones, or opens them again.
// It returns how many there are.
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

// Evacuated returns the evacuated failure domains, in order.
func (f *Fleet) Evacuated() []string { return slices.Sorted(maps.Keys(f.evacuated)) }

// Available reports whether a target may get new work at all.
func (t *Target) Available(now time.Time) bool { return t.Active(now) && !t.Evacuated }

// Active reports whether a target is a member by the list: one in an evacuated domain
// still loads weights. An entry lost in an outage counts for LapseGrace.
func (t *Target) Active(now time.Time) bool {
	if t.Leaving {
		return false
	}
	return t.LapsedAt.IsZero() || now.Sub(t.LapsedAt) < LapseGrace
}
