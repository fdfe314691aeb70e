package thymewind

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/retention"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/route"
)

// Limits on looking up, exporting and evicting cache on store boxes.
const (
	findTimeout           = 100 * time.Millisecond
	exportTimeout         = 10 * time.Second
	capacityCheckInterval = 2 * time.Second
	minFreeShare          = 0.1
	// maxEvictionCandidates is how many manifests an eviction chooses from.
	maxEvictionCandidates = 500
)

// storeFailed reports that a store box did not answer.
type storeFailed struct{ store string }

// exportCache has an engine export a prompt's cache to a store box.
type exportCache struct{ placed route.Placement }

// cacheExported is the result of exportCache.
type cacheExported struct {
	placed route.Placement
	run    []kvcache.Manifest
	err    error
}

// evictCache evicts cache from a store box that is nearly full.
type evictCache struct {
	store   string
	address netip.AddrPort
}

// cacheEvicted is the result of evictCache.
type cacheEvicted struct {
	store   string
	dropped int
	err     error
}

// findCached looks up a placed prompt's cache in the store box and decides whether
// to import it. It runs on the request's goroutine.
func (d *Daemon) findCached(ctx context.Context, placed *route.Placement, prompt string) {
	placed.Keys = prefix.Chain(placed.Scope, []byte(prompt), max(placed.PieceBytes, 1))
	if !placed.Store.IsValid() || len(placed.Keys) == 0 {
		return
	}
	findCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	keys := keyStrings(placed.Keys)
	found, err := d.stores.Find(findCtx, placed.Store, keys)
	if ctx.Err() != nil {
		return // The caller has left, so the error does not show that the store box failed.
	}
	if err != nil {
		_ = d.send(ctx, storeFailed{placed.StoreName})
		return
	}
	usable := kvcache.Usable(found.Run, placed.Scope.String(), keys)
	if len(usable) < len(found.Run) {
		d.metrics.cacheEvents.WithLabelValues("wrong").Inc()
	}
	if len(usable) == 0 {
		d.metrics.cacheEvents.WithLabelValues("missed").Inc()
		return
	}
	d.metrics.cacheEvents.WithLabelValues("found").Inc()
	placed.CachedPieces = len(usable)
	found.Run = usable
	d.decideImport(placed, prompt, found)
}

func keyStrings(keys []prefix.Key) []string {
	all := make([]string, len(keys))
	for i, key := range keys {
		all[i] = key.String()
	}
	return all
}

// decideImport has the engine import as much of the cache found as is predicted to
// cost less than computing it.
func (d *Daemon) decideImport(placed *route.Placement, prompt string, found kvcache.Found) {
	p := d.currentOrEmpty().Pools[placed.Pool]
	n := placed.Estimate.Best(d.now(), p.Policy, reuse.Choice{Tokens: len(prompt) / dispatch.BytesPerToken, Found: found, Wait: placed.Wait})
	placed.PredictedImport = reuse.Predicted(found, n)
	tokens, bytes := kvcache.Size(found.Run)
	record := decision.Record{
		At: d.now(), Kind: decision.Reused, Request: placed.Request, Account: placed.Account, Pool: placed.Pool,
		Rule: "least predicted cost",
		Inputs: fmt.Sprintf("%d tokens kept in %d bytes; prefill %.0f tokens/s, links %+v, slower than said by %.1f",
			tokens, bytes, placed.Estimate.Prefill, found.Links, placed.Estimate.Slowdown),
		Result: fmt.Sprintf("import %d of %d pieces from %s", n, len(found.Run), placed.StoreName),
	}
	if n > 0 {
		placed.Import = &engine.Import{Store: placed.Store, Run: found.Run[:n]}
	}
	d.records.Add(record)
}

// export has the engine write the pieces and then, once all are written, puts their
// manifests.
func (d *Daemon) export(ctx context.Context, placed route.Placement) message {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	pieces, err := d.engines.Export(ctx, placed.Address, placed.Request, placed.Scope.String(), placed.Store)
	if err == nil && len(pieces) != len(placed.Keys) {
		err = trace.CompareFailed("%d pieces were exported, want %d", len(pieces), len(placed.Keys))
	}
	var run []kvcache.Manifest
	for i, piece := range pieces {
		m := kvcache.Manifest{Key: placed.Keys[min(i, len(placed.Keys)-1)].String(), Scope: placed.Scope.String(), Depth: i, Piece: piece}
		run = append(run, kvcache.Seal(m))
	}
	if err == nil {
		err = d.stores.Put(ctx, placed.Store, run)
	}
	return cacheExported{placed, run, trace.Wrap(err)}
}

func (d *Daemon) cacheExported(now time.Time, t *tables, m cacheExported) {
	r := decision.Record{
		At: now, Kind: decision.Kept, Request: m.placed.Request, Account: m.placed.Account, Pool: m.placed.Pool,
		Rule: "its return is expected to save more than moving it", Result: m.placed.StoreName,
	}
	if m.err != nil {
		r.Rule, r.Result = "not kept", trace.Unwrap(m.err).Error()
		d.metrics.cacheEvents.WithLabelValues("export failed").Inc()
		d.records.Add(r)
		return
	}
	d.metrics.cacheEvents.WithLabelValues("exported").Inc()
	t.Exported(m.placed.Pool, m.run)
	d.records.Add(r)
}

// checkCapacity checks the free space of the store boxes for which this box ranks
// first. While the list of boxes lags, two boxes may check the same store box, which
// does no harm.
func (d *Daemon) checkCapacity(now time.Time, t *tables) []effect {
	if now.Before(t.due.capacity) {
		return nil
	}
	t.due.capacity = now.Add(d.jitter(capacityCheckInterval))
	var effects []effect
	for name, b := range t.Stores.All() {
		if !t.pending[pendingEviction+name] && d.rank(t, placement.Hash(name)) == 0 {
			t.pending[pendingEviction+name] = true
			effects = append(effects, evictCache{name, b.Address})
		}
	}
	return effects
}

// evictCache drops the manifests least worth keeping if less than minFreeShare of
// the store box is free. It aims for twice that share, so that evictions are rare.
func (d *Daemon) evictCache(ctx context.Context, e evictCache) message {
	free, size, err := d.stores.Capacity(ctx, e.address)
	if err != nil || float64(free) >= minFreeShare*float64(size) {
		return cacheEvicted{store: e.store, err: trace.Wrap(err)}
	}
	manifests, err := d.stores.Oldest(ctx, e.address, maxEvictionCandidates)
	if err != nil {
		return cacheEvicted{store: e.store, err: trace.Wrap(err)}
	}
	keys := retention.Evict(d.now(), manifests, int(2*minFreeShare*float64(size))-free)
	for _, key := range keys {
		if err := d.stores.Drop(ctx, e.address, key); err != nil {
			return cacheEvicted{store: e.store, err: trace.Wrap(err)}
		}
	}
	d.records.Add(decision.Record{
		At: d.now(), Kind: decision.Dropped, Rule: "least tokens saved a byte, by use and age", Result: e.store,
		Inputs: fmt.Sprintf("%d of %d bytes free, %d of %d manifests dropped", free, size, len(keys), len(manifests)),
	})
	return cacheEvicted{store: e.store, dropped: len(keys)}
}

func (d *Daemon) cacheEvicted(now time.Time, t *tables, m cacheEvicted) {
	delete(t.pending, pendingEviction+m.store)
	d.metrics.cacheEvents.WithLabelValues("dropped").Add(float64(m.dropped))
	if m.err != nil {
		t.StoreAvoidUntil[m.store] = now.Add(dispatch.StoreBackoff)
	}
}
