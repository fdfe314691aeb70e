package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/workingset"
)

// Where a pool has far more engines than the load needs, hubs use a working set of them
// (package workingset). Only the engines in use are watched, considered for requests, and
// listed for spokes; the others are known to hubs alone. All hubs compute the same set. Weights
// are rolled out to all engines, in use or not.

const (
	// refreshInterval is the least interval between two computations of the engines in use.
	// Each takes some milliseconds, and a list of 10,000 arrives in parts.
	refreshInterval = 250 * time.Millisecond
	// recentEntryFor is how long boxes may not know of an engine that came into use. A hub that
	// places a request there sends its entry along.
	recentEntryFor = 2 * time.Second
	// stableFor is how long a pool must not have grown by more than one in stableGrowth before
	// its engines are watched; after maxUnstable they are watched in any case. While 10,000
	// engines arrive one after the other, those first in the order keep changing, and each
	// change costs every hub a connection.
	stableFor    = 1500 * time.Millisecond
	maxUnstable  = 20 * time.Second
	stableGrowth = 100
)

// inUse is the set of a pool's engines in use.
type inUse struct {
	set workingset.Set
	// members are the engines in use, nil if the whole pool is; since maps their IDs to when
	// each came into use.
	members []*fleet.Target
	since   map[string]time.Time
	// lastSize is the pool's last number of engines, startedAt when it first had any, grewAt
	// when it last grew by more than one in stableGrowth. watched is true once the engines in
	// use of a large pool are watched.
	lastSize          int
	startedAt, grewAt time.Time
	watched           bool
}

// stable reports whether the engines in use may be watched, as the set has mostly settled.
func (u *inUse) stable(now time.Time) bool {
	if u.members == nil && u.lastSize <= u.set.Size()/2 {
		return true // The engines of a small pool stay in use as it grows.
	}
	u.watched = u.watched || now.Sub(u.grewAt) >= stableFor || now.Sub(u.startedAt) >= maxUnstable
	return u.watched
}

// observe notes the number of engines in a pool.
func (u *inUse) observe(now time.Time, engines int) {
	if u.startedAt.IsZero() {
		u.startedAt = now
	}
	if engines > u.lastSize+u.lastSize/stableGrowth {
		u.grewAt = now
	}
	u.lastSize = engines
}

// stable reports whether a pool's engines may be watched.
func (t *tables) stable(now time.Time, pool string) bool {
	u := t.inUse[pool]
	return u == nil || u.stable(now)
}

// unstable reports whether the engines of any pool are not watched yet.
func (t *tables) unstable(now time.Time) bool {
	for pool := range t.inUse {
		if !t.stable(now, pool) {
			return true
		}
	}
	return false
}

// engines returns the engines of a pool that are in use, sorted by ID. The caller must not
// change the list.
func (t *tables) engines(pool string) []*fleet.Target {
	if u := t.inUse[pool]; u != nil && u.members != nil {
		return u.members
	}
	return t.fleet.Pool(pool)
}

// advertises reports whether a target is listed for boxes that use this one's view.
func (t *tables) advertises(x *fleet.Target) bool {
	u := t.inUse[x.Pool]
	if u == nil || u.members == nil {
		return true
	}
	_, used := u.since[x.ID]
	return used
}

// updateInUse recomputes the engines in use if the list changed.
func (d *Daemon) updateInUse(now time.Time, t *tables) []effect {
	if t.refreshedList == t.listVersion {
		return nil
	}
	d.refreshInUse(now, t)
	return d.reconcileSources(now, t)
}

// refreshInUse recomputes the engines in use at most once per refreshInterval, but at once for
// a pool that has grown too large to be used as a whole.
func (d *Daemon) refreshInUse(now time.Time, t *tables) {
	table := d.current.Load()
	if table == nil {
		return
	}
	due := !now.Before(t.due.refresh)
	if due {
		t.refreshedList = t.listVersion
		t.due.refresh = now.Add(refreshInterval)
	}
	for name, pool := range table.Pools {
		if pool.Engine != nil && (due || t.outgrown(name)) {
			d.refreshPool(now, t, name)
		}
	}
}

// outgrown reports whether a pool is used as a whole and is too large for that.
func (t *tables) outgrown(pool string) bool {
	u := t.inUse[pool]
	return u == nil || u.members == nil && len(t.fleet.Pool(pool)) > u.set.Size()
}

func (d *Daemon) refreshPool(now time.Time, t *tables, pool string) {
	u := t.inUse[pool]
	if u == nil {
		u = &inUse{since: make(map[string]time.Time)}
		t.inUse[pool] = u
	}
	all := t.fleet.Pool(pool)
	before := u.since
	u.members, u.since = nil, make(map[string]time.Time)
	if len(all) > u.set.Size() {
		u.members = u.set.Members(all, func(x *fleet.Target) bool { return x.Available(now) })
	}
	u.observe(now, len(all))
	for _, x := range t.engines(pool) {
		at, used := before[x.ID]
		if !used {
			at = now
		}
		u.since[x.ID] = at
		if !used && t.changes != nil && !t.changes.Has(x.ID) {
			t.changes.Touch(x.ID)
		}
	}
	t.withdraw(pool, u)
	if len(before) != len(u.since) {
		d.Log.Info("engines in use", "pool", pool, "in_use", len(u.since), "before", len(before), "of", len(all))
	}
}

// withdraw removes the engines that are not in use from the list for other boxes.
func (t *tables) withdraw(pool string, u *inUse) {
	if t.changes == nil || u.members == nil {
		return
	}
	for _, x := range t.fleet.Pool(pool) {
		if _, used := u.since[x.ID]; !used {
			t.changes.Remove(x.ID)
		}
	}
}

// resizeInUse has pools use more engines before those in use are full, and fewer when the load
// falls.
func (d *Daemon) resizeInUse(now time.Time, t *tables) {
	table := d.current.Load()
	if table == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t.inUse)) {
		pool, u := table.Pools[name], t.inUse[name]
		if pool == nil || pool.Engine == nil || pool.Engine.Capacity <= 0 || u.members == nil {
			continue
		}
		share := d.memoryUse(now, t, u.members, pool.Engine.Capacity)
		if u.set.Resize(now, share, len(u.members) == len(t.fleet.Pool(name))) {
			d.Log.Info("pool uses another number of engines", "pool", name, "now", u.set.Size(), "taken_up", share)
			d.refreshPool(now, t, name)
		}
	}
}

// memoryUse is the share of the engines' memory that all boxes' requests use.
func (d *Daemon) memoryUse(now time.Time, t *tables, engines []*fleet.Target, capacity int) float64 {
	sum := 0
	for _, x := range engines {
		tokens, _ := d.load(now, t, x)
		sum += tokens
	}
	return float64(sum) / float64(capacity*max(len(engines), 1))
}

// markChanged notes that a target was added or changed, for boxes that use this one's view. A list
// that was never read has no number.
func (t *tables) markChanged(id string) {
	if t.listVersion == 0 {
		return
	}
	t.listVersion++
	if x := t.fleet.Target(id); x != nil && t.advertises(x) {
		t.changes.Touch(id)
	}
}

// markRemoved notes that a target was removed.
func (t *tables) markRemoved(id string) {
	if t.listVersion == 0 {
		return
	}
	t.listVersion++
	t.changes.Remove(id)
}

// beginList starts the list that other boxes take from here. It begins at a random number, so
// that a restarted hub never gives another list the same number.
func (t *tables) beginList() {
	t.listVersion = rand.Uint64()>>1 + 1
	t.changes = changelog.New[string](t.listVersion)
	for _, id := range t.fleet.IDs() {
		t.changes.Touch(id)
	}
}

// entryOf is a target's entry for other boxes.
func entryOf(now time.Time, x *fleet.Target) peer.Entry {
	return peer.Entry{
		ID: x.ID, Pool: x.Pool, Address: x.Address.String(), Domain: x.Domain, Slots: x.Slots,
		Leaving: x.Leaving, Software: x.Software, Loading: x.Loading(now), Versions: maps.Clone(x.Versions),
		Unannounced: x.Unannounced,
		StartedMS:   unixMS(x.StartedAt), ColdMS: max(x.ColdUntil.Sub(now), 0).Milliseconds(), Lapsed: !x.LapsedAt.IsZero(),
	}
}

// differs reports whether an entry has to be sent to other boxes again.
func differs(a, b peer.Entry) bool {
	return a.Address != b.Address || a.Domain != b.Domain || a.Slots != b.Slots || a.Leaving != b.Leaving || a.Loading != b.Loading ||
		a.StartedMS != b.StartedMS || a.Software != b.Software || a.Unannounced != b.Unannounced || a.Lapsed != b.Lapsed || (a.ColdMS > 0) != (b.ColdMS > 0) || !maps.Equal(a.Versions, b.Versions)
}
