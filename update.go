package thymewind

import (
	"time"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/target"
)

// update applies one message to the tables and returns the effects to run.
func (d *Daemon) update(now time.Time, m message) []effect {
	t := &d.tables
	switch m := m.(type) {
	case placementRequest:
		return d.placeOrHold(now, t, m)
	case signalsReceived:
		d.signalsReceived(now, t, m)
	case runResumed:
		d.runResumed(now, t, m)
	case attemptEnded:
		return d.attemptEnded(now, t, m)
	case boxesRead:
		defer d.refreshed(now, t, m.requestedAt, &t.refresh.boxesDue)
		return d.boxesRead(now, t, m)
	case loadRead:
		d.loadRead(now, t, m)
	case peerSnapshotRead:
		return append(d.boxesRead(now, t, m.boxes), d.configurationRead(now, t, m.configuration)...)
	case configurationRead:
		defer d.refreshed(now, t, m.requestedAt, &t.refresh.configurationDue)
		return d.configurationRead(now, t, m)
	case leaseRenewed:
		return d.leaseRenewed(now, t, m)
	case ordersRead:
		return d.ordersRead(now, t, m)
	case chargesProcessed:
		d.chargesProcessed(t, m)
	case storeFailed:
		t.StoreAvoidUntil[m.store] = now.Add(dispatch.StoreBackoff)
	case cacheExported:
		d.cacheExported(now, t, m)
	case cacheEvicted:
		d.cacheEvicted(now, t, m)
	case peerRequest:
		effects := d.receiveGossip(now, t, m.message)
		m.reply <- d.gossipMessage(now, t)
		return effects
	case peerAnswered:
		if m.err == nil && m.message.Error == "" {
			return d.receiveGossip(now, t, m.message)
		}
	case inspection:
		m.read(now, t)
		close(m.done)
	}
	return nil
}

// boxesRead applies a list of boxes. Targets that are not listed get no new requests.
// A target at another address is a new one, without the old one's state.
func (d *Daemon) boxesRead(now time.Time, t *tables, m boxesRead) []effect {
	delete(t.pending, pendingBoxes)
	if m.unchanged {
		t.listUnchanged(now)
		return nil
	}
	if m.err != nil {
		d.metrics.platformErrors.WithLabelValues("boxes").Inc()
		return d.fetchFromKnownPeers(t)
	}
	if m.from != "" && !t.listedAt.IsZero() {
		return nil // The platform's own list takes precedence.
	}
	t.listedAt = now
	t.list = m.list
	listed := make(map[string]bool, len(m.list))
	for _, b := range m.list {
		listed[b.Name] = true
		switch b.Role {
		case boxes.RoleEntry:
			if b.Name != d.Settings.Name {
				d.upsertPeer(t, b)
			}
		case boxes.RoleStore:
			t.Stores.Put(b.Name, b)
		case boxes.RoleEngine, boxes.RoleService:
			d.upsertTarget(now, t, b)
		}
	}
	d.removeUnlisted(now, t, listed)
	t.ExpireLeaving(now)
	t.GroupByPool()
	d.chooseWatched(t)
	d.applyLimits(t)
	t.byID = make(map[uint64]*target.Target, t.Targets.Len())
	for _, x := range t.Targets.All() {
		t.byID[x.ID] = x
	}
	return nil
}

// listUnchanged applies the last list again: targets that it marks as leaving are
// still leaving.
func (t *tables) listUnchanged(now time.Time) {
	t.listedAt = now
	for _, b := range t.list {
		if x, known := t.Targets.Lookup(b.Name); known && b.Leaving {
			t.MarkLeaving(x, now, "list")
		}
	}
	t.ExpireLeaving(now)
}

// fetchFromKnownPeers gets a list of boxes and a configuration for a daemon that starts
// while the platform is down.
func (d *Daemon) fetchFromKnownPeers(t *tables) []effect {
	if !t.listedAt.IsZero() {
		return nil
	}
	var effects []effect
	for _, at := range d.Settings.KnownPeers {
		effects = append(effects, fetchFromPeer{at})
	}
	return effects
}

func (d *Daemon) upsertPeer(t *tables, b boxes.Box) {
	p, _ := t.peers.Lookup(b.Name)
	p.address, p.domain, p.leaving = b.Peer, b.Domain, b.Leaving
	t.peers.Put(b.Name, p)
}

func (d *Daemon) upsertTarget(now time.Time, t *tables, b boxes.Box) {
	x, known := t.Targets.Lookup(b.Name)
	if !known || x.Address != b.Address {
		x = &target.Target{Name: b.Name, Address: b.Address, Hash: placement.Hash(b.Name), ID: target.ID(b.Name, b.Address)}
		was, gone := t.tombstones[b.Name]
		if gone && was.address == b.Address {
			x.Leaving, x.LeavingAt = true, was.leavingAt
		}
		t.Targets.Put(b.Name, x)
	}
	x.Pool, x.Domain, x.Listed = b.Pool, b.Domain, true
	if b.Leaving {
		t.MarkLeaving(x, now, "list")
	}
}

// removeUnlisted removes what the list does not name. A target with requests in flight
// is only marked, and removed by a later list.
func (d *Daemon) removeUnlisted(now time.Time, t *tables, listed map[string]bool) {
	for name, was := range t.tombstones {
		if now.Sub(was.leavingAt) >= dispatch.LeavingFor {
			delete(t.tombstones, name)
		}
	}
	for _, name := range t.Targets.Keys() {
		x, _ := t.Targets.Lookup(name)
		if listed[name] {
			continue
		}
		x.Listed = false
		if x.Leaving {
			t.tombstones[name] = tombstone{x.Address, x.LeavingAt}
		}
		if x.InFlight == 0 {
			t.Targets.Delete(name)
		}
	}
	for _, name := range t.Stores.Keys() {
		if !listed[name] {
			t.Stores.Delete(name)
		}
	}
	for _, name := range t.peers.Keys() {
		if !listed[name] {
			t.peers.Delete(name)
		}
	}
}

// loadRead applies a target's load report, or the failure to read it.
func (d *Daemon) loadRead(now time.Time, t *tables, m loadRead) {
	delete(t.pending, m.target)
	x, known := t.Targets.Lookup(m.target)
	if !known {
		return
	}
	d.livenessFromReport(now, t, m)
	if m.err != nil {
		d.metrics.loadErrors.Inc()
		t.Fail(now, x)
		return
	}
	x.Slots, x.Version, x.Loading = m.load.Slots, m.load.Version, m.load.Loading
	t.Report(now, x, m.load.Running, m.load.Waiting, m.load.QueuedTokens, 0)
	if m.load.Leaving {
		t.MarkLeaving(x, now, "load report")
	}
}

// configurationRead puts a configuration in force if it supersedes the current one.
func (d *Daemon) configurationRead(now time.Time, t *tables, m configurationRead) []effect {
	delete(t.pending, pendingConfiguration)
	if m.err != nil {
		d.metrics.platformErrors.WithLabelValues("configuration").Inc()
		return nil
	}
	if m.configuration == nil || !d.supersedes(m.configuration, t.Configuration) {
		return nil
	}
	t.Configuration = m.configuration
	d.current.Store(m.configuration)
	d.metrics.revision.Set(float64(m.configuration.Revision))
	d.Log.Info("configuration in force", "revision", m.configuration.Revision, "from", m.from)
	return d.gossipTo(now, t, newRevisionFanOut)
}
