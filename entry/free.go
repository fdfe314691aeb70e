package entry

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// freeTimeout is how long a store may take to act on the order.
	freeTimeout = time.Second
	// freeBatch bounds the parts in one order.
	freeBatch = 200
	// maxFreeAttempts is the maximum number of attempts to clear the stores for one version,
	// freeRetryDelay the time between them. A store that is down comes back empty.
	maxFreeAttempts = 3
	freeRetryDelay  = time.Second
)

// Part names a cached prompt part within its scope.
type Part struct {
	Scope, ID string
}

// hasStaleParts reports whether stores may still hold parts computed with older weights.
func (w *modelRollout) hasStaleParts(t *tables) bool {
	return t.ownRowsKnown && len(t.stores) > 0 && w.reclaim.Floor() > 1 && w.freed < w.reclaim.Floor()
}

// freeStale clears the stores of parts computed with older weights, once no fetch of them can
// be in flight. Only the lease's holder does so.
func (d *Daemon) freeStale(now time.Time, t *tables, model string, w *modelRollout) []effect {
	if w.freeing || !w.hasStaleParts(t) || !t.clockKnown || t.tableServiceDown || now.Before(w.freeRetryAt) {
		return nil
	}
	version := d.freeableBelow(now, w)
	if version <= w.freed {
		return nil
	}
	w.freeing = true
	var stores []netip.AddrPort
	for _, s := range t.stores {
		stores = append(stores, s.Address)
	}
	return []effect{freeParts{model, version, stores, d.uptime(now) + t.clock + freeTimeout}}
}

// freeStores clears all stores and returns the errors of those that could not be cleared.
func (d *Daemon) freeStores(ctx context.Context, e freeParts) error {
	var failed []error
	for _, at := range e.stores {
		if err := d.freeStore(ctx, e, at); err != nil {
			failed = append(failed, trace.Wrap(err, "store at %v", at))
		}
	}
	return trace.NewAggregate(failed...)
}

func (d *Daemon) freeStore(ctx context.Context, e freeParts, at netip.AddrPort) error {
	cached, err := d.Platform.ListCache(ctx, at)
	if err != nil {
		return err
	}
	var old []Part
	for _, c := range slices.Concat(cached.Changes, cached.Partial) {
		if isStaleScope(c.Scope, e.model, e.version) {
			old = append(old, Part{c.Scope, c.Part})
		}
	}
	for batch := range slices.Chunk(old, freeBatch) {
		if _, _, held := d.lease.Held(); !held {
			return errLeaseNotHeld
		}
		if err := d.Platform.FreeCache(ctx, at, cached.Epoch, e.until, batch); err != nil {
			return err
		}
	}
	d.Log.Info("store cleared of parts computed with older weights", "store", at, "model", e.model, "version", e.version, "freed", len(old), "kept", len(cached.Changes))
	return nil
}

// isStaleScope reports whether a scope belongs to the model at a version below the given one.
func isStaleScope(scope, model string, version int64) bool {
	rest, ok := strings.CutPrefix(scope, model+"@")
	if !ok {
		return false
	}
	text, _, _ := strings.Cut(rest, "/")
	made, err := strconv.ParseInt(text, 10, 64)
	return err == nil && made < version
}

func (d *Daemon) staleFreed(now time.Time, t *tables, m staleFreed) []effect {
	w := t.rolloutOf(m.model)
	w.freeing = false
	if m.err != nil {
		w.freeAttempts++
		w.freeRetryAt = now.Add(freeRetryDelay)
		d.Log.Warn("a store was not cleared of parts computed with older weights", "model", m.model, "version", m.version, "tries", w.freeAttempts, "err", m.err)
		if w.freeAttempts < maxFreeAttempts {
			return nil
		}
	}
	w.freeAttempts = 0
	w.freed = max(w.freed, m.version)
	epoch, _, held := d.lease.Held()
	if !held || w.announcing || !t.mayOrder(epoch) {
		return nil
	}
	return []effect{d.announceRollout(now, t, m.model, w, epoch)}
}
