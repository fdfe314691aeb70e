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

// The bounds of finding and keeping cache.
const (
	findPatience   = 100 * time.Millisecond
	exportPatience = 10 * time.Second
	roomEvery      = 2 * time.Second
	roomLeast      = 0.1
	// roomPage is how many manifests are looked at to make room.
	roomPage = 500
)

// storeFailed tells that a store box did not answer.
type storeFailed struct{ store string }

// exportCache has an engine write a prompt's cache to a store box.
type exportCache struct{ placed route.Placed }

// cacheExported is how that went.
type cacheExported struct {
	placed route.Placed
	run    []kvcache.Manifest
	err    error
}

// makeRoom drops cache from a store box that fills up.
type makeRoom struct {
	store   string
	address netip.AddrPort
}

// roomMade tells that the store box has been looked at.
type roomMade struct {
	store   string
	dropped int
	err     error
}

// findKept looks for kept cache of a prompt that was placed and decides whether
// to import it. It runs on the request's own goroutine.
func (d *Daemon) findKept(ctx context.Context, placed *route.Placed, prompt string) {
	placed.Keys = prefix.Chain(placed.Scope, []byte(prompt), max(placed.PieceBytes, 1))
	if !placed.Store.IsValid() || len(placed.Keys) == 0 {
		return
	}
	asking, cancel := context.WithTimeout(ctx, findPatience)
	defer cancel()
	keys := texts(placed.Keys)
	found, err := d.stores.Find(asking, placed.Store, keys)
	if ctx.Err() != nil {
		return // The caller has left; that says nothing of the store box.
	}
	if err != nil {
		_ = d.send(ctx, storeFailed{placed.StoreName})
		return
	}
	usable := kvcache.Usable(found.Run, placed.Scope.String(), keys)
	if len(usable) < len(found.Run) {
		d.counts.kept.WithLabelValues("wrong").Inc()
	}
	if len(usable) == 0 {
		d.counts.kept.WithLabelValues("missed").Inc()
		return
	}
	d.counts.kept.WithLabelValues("found").Inc()
	placed.KeptPieces = len(usable)
	found.Run = usable
	d.decideImport(placed, prompt, found)
}

func texts(keys []prefix.Key) []string {
	all := make([]string, len(keys))
	for i, key := range keys {
		all[i] = key.String()
	}
	return all
}

// decideImport imports as much of the kept cache found as is predicted to cost
// less than computing it.
func (d *Daemon) decideImport(placed *route.Placed, prompt string, found kvcache.Found) {
	p := d.currentOrEmpty().Pools[placed.Pool]
	n := placed.Estimate.Best(d.now(), p.Policy, reuse.Choice{Tokens: len(prompt) / dispatch.BytesPerToken, Found: found, Wait: placed.Wait})
	placed.Said = reuse.Predicted(found, n)
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

// export has the pieces written and, when all are, their manifests.
func (d *Daemon) export(ctx context.Context, placed route.Placed) message {
	ctx, cancel := context.WithTimeout(ctx, exportPatience)
	defer cancel()
	pieces, err := d.engines.Export(ctx, placed.Address, placed.Request, placed.Scope.String(), placed.Store)
	if err == nil && len(pieces) != len(placed.Keys) {
		err = trace.CompareFailed("%d pieces were written, want %d", len(pieces), len(placed.Keys))
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
		d.counts.kept.WithLabelValues("export failed").Inc()
		d.records.Add(r)
		return
	}
	d.counts.kept.WithLabelValues("exported").Inc()
	t.Exported(m.placed.Pool, m.run)
	d.records.Add(r)
}

// watchRoom has one box look after each store box's room. Two boxes doing so
// at once, while the list lags, do no harm.
func (d *Daemon) watchRoom(now time.Time, t *tables) []effect {
	if now.Before(t.due.room) {
		return nil
	}
	t.due.room = now.Add(d.jitter(roomEvery))
	var effects []effect
	for name, b := range t.Stores.All() {
		if !t.pending[pendingRoom+name] && d.rankedBefore(t, placement.Hash(name)) == 0 {
			t.pending[pendingRoom+name] = true
			effects = append(effects, makeRoom{name, b.Address})
		}
	}
	return effects
}

// makeRoom drops the manifests least worth keeping if the store box is nearly
// full; twice the least room is made, so that it is not done all the time.
func (d *Daemon) makeRoom(ctx context.Context, e makeRoom) message {
	room, size, err := d.stores.Capacity(ctx, e.address)
	if err != nil || float64(room) >= roomLeast*float64(size) {
		return roomMade{store: e.store, err: trace.Wrap(err)}
	}
	manifests, err := d.stores.Oldest(ctx, e.address, roomPage)
	if err != nil {
		return roomMade{store: e.store, err: trace.Wrap(err)}
	}
	keys := retention.Evict(d.now(), manifests, int(2*roomLeast*float64(size))-room)
	for _, key := range keys {
		if err := d.stores.Drop(ctx, e.address, key); err != nil {
			return roomMade{store: e.store, err: trace.Wrap(err)}
		}
	}
	d.records.Add(decision.Record{
		At: d.now(), Kind: decision.Dropped, Rule: "least tokens saved a byte, by use and age", Result: e.store,
		Inputs: fmt.Sprintf("%d of %d bytes free, %d of %d manifests dropped", room, size, len(keys), len(manifests)),
	})
	return roomMade{store: e.store, dropped: len(keys)}
}

func (d *Daemon) roomMade(now time.Time, t *tables, m roomMade) {
	delete(t.pending, pendingRoom+m.store)
	d.counts.kept.WithLabelValues("dropped").Add(float64(m.dropped))
	if m.err != nil {
		t.StoreAvoidUntil[m.store] = now.Add(dispatch.StoreBackoff)
	}
}
