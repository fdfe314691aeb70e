package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// maxViewTargets is the most targets in one view: 60 kB, 50 ms on a 10 Mbit/s link.
const maxViewTargets = 400

// view is this box's view of the platform for a box that has the target list up to have.
func (d *Daemon) view(now time.Time, t *tables, have changelog.Cursor) *peer.View {
	v := d.operatorView(now, t)
	v.ListBehind, v.Boxes, v.Unlisted = t.listBehind(now), t.boxCount(now), t.unlistedTotal(now)
	if t.changes == nil {
		return v
	}
	part := t.changes.Since(have, maxViewTargets)
	v.ListVersion, v.ListStartVersion, v.Delta, v.More, v.Removed = part.Next.Number, part.Next.SnapshotAt, !part.Snapshot, part.More, part.Removed
	for _, id := range part.Changed {
		v.Entries = append(v.Entries, entryOf(now, t.fleet.Target(id)))
	}
	return v
}

// operatorView is what this box knows of the operator's rows, except for the configuration itself.
func (d *Daemon) operatorView(now time.Time, t *tables) *peer.View {
	v := &peer.View{
		ConfigurationVersion: d.version(), ProofAgeMS: d.proofAge(now).Milliseconds(),
		WeightVersions: make(map[string][]peer.WeightVersion, len(t.weights)), Evacuated: t.fleet.Evacuated(), Canaries: t.canarySnapshot(),
	}
	v.OperatorRestores = t.operatorKnown.Restores
	if unproved, age := d.unproved(now); unproved {
		v.RewritePending, v.ReadAgeMS = true, age.Milliseconds()
	}
	for model, w := range t.weights {
		if w.newestVersion == 0 {
			continue // Only callers have named it, not the operator.
		}
		v.WeightVersions[model] = w.versionsSnapshot(now, d.bounds.Load().WeightsWithin)
	}
	return v
}

// applyView applies a hub's view that was requested at requestedAt.
func (d *Daemon) applyView(now time.Time, t *tables, hub string, requestedAt time.Time, v *peer.View) []effect {
	if v == nil {
		return nil
	}
	age := d.receiveReadAge(now, t, requestedAt, v)
	if age > maxHubProofAge {
		d.Log.Warn("hub's proof of the configuration is too old", "hub", hub, "proved_ago", age)
		t.members[hub].retryAt = now.Add(gossipRetryDelay)
	}
	if v.ListBehind {
		d.Log.Warn("hub's list is behind", "hub", hub, "proved_ago", age)
		t.members[hub].retryAt = now.Add(gossipRetryDelay)
		return nil
	}
	if v.WeightVersions == nil {
		d.Log.Warn("hub's view ignored, as it names no weights", "hub", hub)
		return nil
	}
	proof := proofTime(requestedAt, v.ProofAgeMS)
	effects := d.receiveRestored(now, t, v.Restores, v.RowLost)
	switch {
	case v.ConfigurationVersion > d.version():
		if at := t.members[hub].address; !t.loadingConfiguration {
			t.loadingConfiguration = true
			effects = append(effects, fetchConfiguration{at, proof})
		}
	case v.ConfigurationVersion == d.version():
		d.noteProof(proof)
		if !v.RewritePending && !proof.IsZero() { // What this box knows was read since that restore.
			t.operatorKnown = revision.Max(t.operatorKnown, revision.Revision{Restores: v.OperatorRestores})
		}
	}
	d.applyHubQuarantine(now, t, hub, v)
	d.applyHubCanaries(now, t, hub, v.Canaries)
	t.hubBoxes, t.hubUnlisted = v.Boxes, v.Unlisted
	d.applyHubVersions(now, t, hub, requestedAt, v)
	d.applyHubEvacuations(now, t, hub, proof, v.Evacuated)
	// A hub that is cut off still lists targets that are gone, and work would be sent to them
	// for as long as that hub is asked. Its list is ignored if this box has another hub's list
	// or read a newer one itself.
	if age > maxHubProofAge && (t.hubList.Number != 0 && t.hub != hub || proof.Before(t.listRead)) {
		return effects
	}
	d.applyHubList(now, t, hub, v)
	return effects
}

// proofTime returns when another box's state was last proved, by the age that it told; the zero
// time if it never was.
func proofTime(requestedAt time.Time, ageMS int64) time.Time {
	age := time.Duration(ageMS) * time.Millisecond
	if age >= neverProved {
		return time.Time{}
	}
	return requestedAt.Add(-age)
}

// receiveReadAge returns the age of a hub's knowledge of the operator's rows: that of its proof,
// or of its last read if it waits for the same lost changes to be written again as this box.
func (d *Daemon) receiveReadAge(now time.Time, t *tables, requestedAt time.Time, v *peer.View) time.Duration {
	if !t.awaitsSameRewrite(now, v) {
		if !v.RewritePending {
			t.rewriteGrace.End(now, v.OperatorRestores)
		}
		return time.Duration(v.ProofAgeMS) * time.Millisecond
	}
	age := time.Duration(v.ReadAgeMS) * time.Millisecond
	d.noteUnprovedRead(requestedAt.Add(-age))
	return age
}

// applyHubList applies one part of a hub's target list.
func (d *Daemon) applyHubList(now time.Time, t *tables, hub string, v *peer.View) {
	next := changelog.Cursor{Number: v.ListVersion, SnapshotAt: v.ListStartVersion}
	if v.ListVersion == 0 || t.hub == hub && t.hubList == next || v.Delta && t.hub != hub {
		return
	}
	if !v.Delta {
		t.hubListed = make(map[string]bool)
	}
	t.listRestores = max(t.listRestores, v.Restores)
	t.hub, t.hubList = hub, next
	d.applyHubEntries(now, t, v.Entries)
	for _, id := range v.Removed {
		delete(t.hubListed, id)
		d.unlist(now, t, id, false)
	}
	if v.More {
		t.due.gossip = now // The rest is requested at once.
		return
	}
	if t.hubListed != nil {
		d.removeUnseen(now, t)
	}
}

// removeUnseen drops the targets that were missing from a hub's whole list.
func (d *Daemon) removeUnseen(now time.Time, t *tables) {
	for _, id := range t.fleet.IDs() {
		if !t.hubListed[id] {
			d.unlist(now, t, id, false)
		}
	}
	t.hubListed = nil
	d.Log.Info("hub's list applied", "hub", t.hub, "targets", t.fleet.Len())
}

// noteProof records when the configuration in force was known to be the newest; the zero time is
// never.
func (d *Daemon) noteProof(at time.Time) {
	if at.IsZero() {
		return
	}
	d.current.Prove(at)
	d.logAdmitting(d.now())
}

// applyHubEntries applies the targets of a hub's list.
func (d *Daemon) applyHubEntries(now time.Time, t *tables, entries []peer.Entry) {
	for _, e := range entries {
		d.applyHubEntry(now, t, e)
	}
}

func (d *Daemon) applyHubEntry(now time.Time, t *tables, e peer.Entry) {
	at, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		d.Log.Error("hub sent an entry with an invalid address", "target", e.ID, "err", err)
		return
	}
	if t.hubListed != nil {
		t.hubListed[e.ID] = true
	}
	if e.Lapsed && t.fleet.Target(e.ID) == nil {
		return // Another hub's list had it removed; a hub that was cut off can't tell that from an outage.
	}
	x := d.listTarget(now, t, fleet.Entry{
		ID: e.ID, Pool: e.Pool, Address: at, Domain: e.Domain, Slots: e.Slots, Leaving: e.Leaving, Software: e.Software, Versions: e.Versions,
		StartedAt: fromUnixMS(e.StartedMS), Cold: time.Duration(e.ColdMS) * time.Millisecond,
	})
	if x == nil {
		return
	}
	x.Unannounced = e.Unannounced
	x.LoadingUntil = time.Time{}
	if e.Loading {
		x.LoadingUntil = now.Add(maxLoadTime)
	}
}

// fetchConfiguration reads the configuration from a hub that has a newer one. proof is when
// that was known to be the newest.
type fetchConfiguration struct {
	address netip.AddrPort
	proof   time.Time
}

// configurationFromHub is the result of fetchConfiguration.
type configurationFromHub struct {
	proof  time.Time
	change Operator
	err    error
}

func (d *Daemon) fetchConfiguration(ctx context.Context, e fetchConfiguration) configurationFromHub {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := d.peers.Call(ctx, e.address, peer.Message{Kind: peer.KindConfiguration, From: d.Settings.Name})
	if err != nil || len(answer.Body) == 0 {
		return configurationFromHub{err: err}
	}
	table, err := d.Platform.Decode(answer.Body)
	return configurationFromHub{e.proof, Operator{Table: table, Raw: answer.Body}, err}
}

func (d *Daemon) configurationFromHub(now time.Time, t *tables, m configurationFromHub) []effect {
	t.loadingConfiguration = false
	if m.err != nil || m.change.Table == nil {
		d.Log.Warn("fetching the configuration from the hub failed", "err", m.err)
		return nil
	}
	return d.operatorRead(now, t, operatorRead{m.proof, m.change})
}
