package entry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/routing"
)

// Timing of the calls that watch the cache sources.
const (
	// eventsHold is how long a source holds a call while nothing changes. Calls held for less
	// than 200 ms are billed; a longer hold detects a dead source later.
	eventsHold = 400 * time.Millisecond
	// eventsInterval is the least time between two calls to one source. With some 14 sources,
	// 70 calls a second cost about a hundredth of a core.
	eventsInterval = 200 * time.Millisecond
	// hublessInterval is the time between two calls to one store by a spoke that no hub
	// answers. These are not held and so are billed.
	hublessInterval = time.Second
	// eventsRetryDelay is the pause after a failed call. maxEventsBackoff is the longest pause
	// if the source rejected the call and asked for more; targets were seen to ask for 3 s.
	// Without its cache events, the parts that it holds are prefilled again elsewhere.
	eventsRetryDelay = 300 * time.Millisecond
	maxEventsBackoff = 3 * time.Second
	// maxWholeReads is how many sources are read whole at once. A box that becomes a hub reads all
	// of them; without a bound these fill its link for seconds, and its reads of the operator's
	// rows and its calls to other boxes time out.
	maxWholeReads = 4
	// wholeReadBytes is the size of the answer of a source with some thousand cached parts.
	wholeReadBytes = 64 << 10
	// minWholeReadSlot is the least time after which the next source is read although one has not
	// answered: a source without changes holds the call.
	minWholeReadSlot = 50 * time.Millisecond
)

// configureStores takes the stores of cached parts from the configuration.
func (d *Daemon) configureStores(t *tables, table *routing.Table) {
	t.stores = t.stores[:0]
	for _, p := range table.Pools {
		if p.Store == nil {
			continue
		}
		t.stores = append(t.stores, &affinity.Source{
			Name: p.Name, Address: p.Store.Address, Domain: p.Store.Domain, Capacity: p.Store.Capacity,
			Delay: p.Store.TransferDelay, PerToken: transferTime(tokenBytes(table), p.Store.Megabits),
		})
	}
	t.engineTransferPerToken = transferTime(tokenBytes(table), engineMegabits(table))
	slices.SortFunc(t.stores, func(a, b *affinity.Source) int { return strings.Compare(a.Name, b.Name) })
}

// defaultTokenBytes is the size of one token's cache entry if no pool of engines sets it.
const defaultTokenBytes = 35136

func tokenBytes(table *routing.Table) int {
	for _, p := range table.Pools {
		if p.Engine != nil && p.Engine.TokenBytes > 0 {
			return p.Engine.TokenBytes
		}
	}
	return defaultTokenBytes
}

func engineMegabits(table *routing.Table) float64 {
	for _, p := range table.Pools {
		if p.Engine != nil && p.Engine.Megabits > 0 {
			return p.Engine.Megabits
		}
	}
	return 0
}

// transferTime is the time to transfer a number of bytes over a link.
func transferTime(bytes int, megabits float64) time.Duration {
	if megabits <= 0 {
		return time.Millisecond
	}
	return time.Duration(float64(bytes) * 8 / megabits * float64(time.Microsecond))
}

// reconcileSources starts and stops the watchers of cache sources. A hub watches the stores and
// the listed engines. A spoke that no hub answers watches only the stores, without held calls,
// as each source accepts few of those.
func (d *Daemon) reconcileSources(now time.Time, t *tables) []effect {
	wanted := make(map[string]netip.AddrPort)
	hubless := d.hubless(now, t)
	if !t.membersKnown || d.spoke.Load() && !hubless {
		return d.watchOnly(t, wanted, false)
	}
	for _, s := range t.stores {
		wanted[s.Name] = s.Address
	}
	if hubless {
		return d.watchOnly(t, wanted, true)
	}
	if table := d.current.Load(); table != nil {
		for name, p := range table.Pools {
			if p.Engine == nil || !t.stable(now, name) {
				continue
			}
			for _, x := range t.engines(name) {
				wanted[x.ID] = x.Address
			}
		}
	}
	return d.watchOnly(t, wanted, false)
}

// watchOnly watches exactly the wanted sources. The cached parts of the others are no longer
// used, as they may change unnoticed.
func (d *Daemon) watchOnly(t *tables, wanted map[string]netip.AddrPort, hubless bool) []effect {
	for name, stop := range t.watched {
		if _, still := wanted[name]; !still || hubless != t.watchesHubless {
			stop()
			delete(t.watched, name)
			t.directory.Disconnected(name)
		}
	}
	t.watchesHubless = hubless
	t.hubWarm = t.hubWarm && !hubless && len(wanted) > 0
	var effects []effect
	for name, at := range wanted {
		if t.watched[name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		t.watched[name] = stop
		effect := watchSource{ctx: ctx, name: name, address: at, hold: eventsHold, interval: eventsInterval}
		if hubless {
			effect.hold, effect.interval = 0, hublessInterval
		}
		effects = append(effects, effect)
	}
	return effects
}

// wholeReads bounds the reads of whole sources, from the call until the loop has applied the answer.
type wholeReads struct {
	slots chan struct{}
	// slot is the longest time for which a read takes up a slot.
	slot time.Duration
}

// newWholeReads returns the bound for a box's link: reads without an answer leave half of it free.
// The link's bandwidth is zero if it is not known.
func newWholeReads(megabits float64) wholeReads {
	slot := max(minWholeReadSlot, maxWholeReads*transferTime(wholeReadBytes, megabits/2))
	return wholeReads{make(chan struct{}, maxWholeReads), slot}
}

// begin waits for a slot and returns the function that frees it.
func (w wholeReads) begin(ctx context.Context) func() {
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	free := sync.OnceFunc(func() { <-w.slots })
	time.AfterFunc(w.slot, free)
	return free
}

// watchSource reads one source's cache events until either context ends.
func (d *Daemon) watchSource(ctx context.Context, e watchSource) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(e.ctx, cancel)
	defer stop()
	var since uint64
	for ctx.Err() == nil {
		m := cacheEventsRead{source: e.name}
		if since == 0 {
			m.applied = d.wholeReads.begin(ctx)
		}
		began := d.now()
		m.requestedAt = began
		m.events, m.err = d.Platform.CacheEvents(ctx, e.address, since, e.hold)
		if m.err == nil && m.events.Gap && since > 0 {
			m.applied = d.wholeReads.begin(ctx)
			m.events, m.err = d.Platform.ListCache(ctx, e.address)
			m.listed = true
		}
		if ctx.Err() != nil {
			m.end()
			return
		}
		d.postContext(ctx, m)
		if m.err != nil {
			d.sleep(ctx, max(eventsRetryDelay, min(m.events.Signals.Backoff, maxEventsBackoff)))
			continue
		}
		since = m.events.Next
		d.sleep(ctx, e.interval-d.now().Sub(began))
	}
}
