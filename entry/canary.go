package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exposure"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// The operator may ask for a pool's requests to move to another version of its software,
// whose targets start beside the older ones. Each box sends that version a share of its own
// requests (exposure), counts how its answers compare with the older version's, and tells
// hubs (canaryseen.go). Every hub judges all that it heard (canary), stops by itself when the
// version is bad, and has the boxes that live on it stop. What has to be agreed, how far the
// version has come, is one row in the table service, which is changed only as it was read
// (canaryrow.go). docs/design/canaries.md weighs the other ways.

// canaryRollout is a version of a pool's software that is tried out, as this box sees it.
type canaryRollout struct {
	spec canary.Rollout
	// state, until and barred are as the row says, of which the revision was read.
	state    canary.State
	revision revision.Revision
	// deadline is when it has to be decided, on the table service's clock; zero if the row does
	// not tell.
	deadline time.Duration
	barred   []string
	// stopped says that nothing goes to the version whatever the row says: it is bad, by
	// what this box or its hub saw, or the operator took the ask back.
	stopped bool
	// specKnownAt is when this box heard of what is asked for, since when of the state.
	specKnownAt, stateSince time.Time
	gate                    *exposure.Gate
	judge                   *canary.Judge
	// ownCounts is what this box saw, by route.
	ownCounts map[string]canary.Counts
	// peerCounts is what other boxes told, with when that last changed.
	peerCounts map[sampleKey]peerSample
	// writing says that the row is being changed, telling that the operator is being told.
	writing, reporting bool
	// reported says that this box told the operator of toldState, rowTold that the row says that
	// the operator was told of the end.
	reported, rowReported bool
	// rowLost says that a restore lost the row.
	rowLost       bool
	reportedState canary.State
	// retryAt is when a change that failed is tried again.
	retryAt time.Time
	// specLostAt is when a restored table service was read that lacks what the operator asked for;
	// zero if it does not.
	specLostAt time.Time
}

// canaryOf returns what is tried out in a pool, or nil.
func (t *tables) canaryOf(pool string) *canaryRollout { return t.canaries[pool] }

// applyCanaryAsks takes over what the operator asks for.
func (d *Daemon) applyCanaryAsks(now time.Time, t *tables, m operatorRead) {
	asked := m.change.Canaries
	for _, pool := range slices.Sorted(maps.Keys(asked)) {
		if ask := asked[pool]; ask != nil {
			d.startCanary(now, t, *ask, "the operator")
		}
	}
	for pool, c := range t.canaries {
		ask, told := asked[pool]
		lost := m.change.Snapshot && asked != nil && !told
		switch {
		case told && ask != nil:
			c.specLostAt = time.Time{}
		case lost && m.change.Known.Restores > t.operatorKnown.Restores:
			d.Log.Warn("a restore lost what version is to be tried out; the operator has the time to ask again", "pool", pool, "version", c.spec.Version, "for", operatorRewriteGrace)
			c.specLostAt = now
		case told || lost && c.specLostAt.IsZero():
			d.stopCanary(now, c, "the operator took it back")
		}
	}
}

// stopLostCanaries stops trying versions for which the operator did not ask again after a restore
// lost that.
func (d *Daemon) stopLostCanaries(now time.Time, t *tables) {
	for _, c := range t.canaries {
		if !c.specLostAt.IsZero() && now.Sub(c.specLostAt) >= operatorRewriteGrace {
			c.specLostAt = time.Time{}
			d.stopCanary(now, c, "the operator did not ask again after a restore")
		}
	}
}

// startCanary begins to try a version out, if that is news. An earlier one that was not
// completed gets nothing any more.
func (d *Daemon) startCanary(now time.Time, t *tables, ask canary.Rollout, from string) *canaryRollout {
	before := t.canaries[ask.Pool]
	if before != nil && ask.Same(before.spec) {
		before.spec.Order, before.spec.Timeout = max(before.spec.Order, ask.Order), max(before.spec.Timeout, ask.Timeout)
		return before
	}
	if before != nil && before.spec.Order >= ask.Order {
		return before
	}
	c := &canaryRollout{
		spec: ask, specKnownAt: now, stateSince: now, gate: exposure.New(d.bounds.Load().TriedShare), judge: canary.NewJudge(),
		ownCounts: make(map[string]canary.Counts), peerCounts: make(map[sampleKey]peerSample),
	}
	if before != nil {
		c.revision, c.barred = before.revision, before.bars()
	}
	t.canaries[ask.Pool] = c
	if ask.Version == "" {
		d.Log.Error("what version is to be tried out can't be read; targets that come now get nothing", "pool", ask.Pool, "order", ask.Order)
	}
	d.Log.Info("a version is tried out", "pool", ask.Pool, "version", ask.Version, "order", ask.Order, "within", ask.Timeout, "older", t.fleet.Software(ask.Pool), "barred", c.barred, "told_by", from)
	d.metrics.canaries.WithLabelValues("tried").Inc()
	return c
}

// bars lists the versions that get nothing once this one is followed by another.
func (c *canaryRollout) bars() []string {
	list := slices.Clone(c.barred)
	if c.state != canary.Completed && c.spec.Version != "" && !slices.Contains(list, c.spec.Version) {
		list = append(list, c.spec.Version)
	}
	return list
}

// stopCanary sends nothing more to the version, unless it was completed before.
func (d *Daemon) stopCanary(now time.Time, c *canaryRollout, why string) {
	if c.stopped || c.state.Ended() {
		return
	}
	c.stopped = true
	d.Log.Warn("a version gets no more requests", "pool", c.spec.Pool, "version", c.spec.Version, "order", c.spec.Order, "why", why, "after", now.Sub(c.stateSince), "answers", c.judge.Total())
	d.metrics.canaries.WithLabelValues("stopped").Inc()
}

// setCanaryState takes over how far the version has come.
func (d *Daemon) setCanaryState(now time.Time, c *canaryRollout, state canary.State, from string) {
	if state <= c.state {
		return
	}
	c.state, c.stateSince = state, now
	d.Log.Info("a version that is tried out", "pool", c.spec.Pool, "version", c.spec.Version, "order", c.spec.Order, "state", state, "told_by", from, "answers", c.judge.Total())
	if state == canary.RolledBack {
		d.metrics.canaries.WithLabelValues("taken_back").Inc()
	}
	if state == canary.Completed {
		d.metrics.canaries.WithLabelValues("completed").Inc()
	}
}

// isCanary says that a target runs the version that is tried out. If that can't be read, it is
// each one that came after that was asked for.
func (c *canaryRollout) isCanary(x *fleet.Target) bool {
	if c.spec.Version == "" {
		return x.ListedAt.After(c.specKnownAt)
	}
	return x.Software == c.spec.Version
}

// olderExcludedFor is how long older targets get nothing after a version was completed: they stop at
// once, and their entries go within seconds. From then on other software is of another ask,
// or of the operator's own doing.
const olderExcludedFor = 30 * time.Second

// receiving says which of the versions get requests at all.
func (c *canaryRollout) receiving(now time.Time) (fresh, older bool) {
	switch {
	case c.state == canary.Completed:
		return true, now.Sub(c.stateSince) > olderExcludedFor
	case c.state == canary.Completing:
		return !c.stopped, c.stopped
	case c.state == canary.RolledBack || c.stopped || c.spec.Version == "":
		return false, true
	}
	return true, true
}

// excludedBySoftware says that a target gets no request because of its software.
func (d *Daemon) excludedBySoftware(now time.Time, t *tables, x *fleet.Target) bool {
	c := t.canaryOf(x.Pool)
	if c == nil {
		return d.mayBeUnknownCanary(t, x)
	}
	fresh, older := c.receiving(now)
	if c.isCanary(x) {
		return !fresh
	}
	return !older || slices.Contains(c.barred, x.Software)
}

// mayBeUnknownCanary says that a target may run a version that is to be tried out, as its pool has
// several, and what the operator asks for was last read before it came. What is asked for
// stands there before such targets start.
func (d *Daemon) mayBeUnknownCanary(t *tables, x *fleet.Target) bool {
	if !t.fleet.MixedSoftware(x.Pool) || x.Software == t.fleet.Software(x.Pool) {
		return false
	}
	proved := d.provedAt.Load()
	return proved == nil || proved.Before(x.ListedAt)
}

// softwareFilters lists what to pass over for a request, in the order in which that is tried: a
// request that may go to the version that is tried out goes there, if any of its targets
// takes it.
func (d *Daemon) softwareFilters(now time.Time, t *tables, ask deliver.PlacementRequest) []func(*fleet.Target) bool {
	closed := func(x *fleet.Target) bool { return d.excludedBySoftware(now, t, x) }
	c := t.canaryOf(ask.Job.Pool.Name)
	if c == nil || c.state != canary.Trying {
		return []func(*fleet.Target) bool{closed}
	}
	older := func(x *fleet.Target) bool { return c.isCanary(x) || closed(x) }
	if fresh, _ := c.receiving(now); !fresh || !c.gate.Allow(ask.Job.Route.Name) {
		return []func(*fleet.Target) bool{older}
	}
	return []func(*fleet.Target) bool{func(x *fleet.Target) bool { return !c.isCanary(x) || closed(x) }, older}
}

// countExposure counts a request that was placed.
func (t *tables) countExposure(ask deliver.PlacementRequest, x *fleet.Target) {
	if c := t.canaryOf(x.Pool); c != nil && c.state == canary.Trying {
		c.gate.Record(ask.Job.Route.Name, c.isCanary(x))
	}
}

// canarySnapshot lists what is tried out for boxes that take this one's view.
func (t *tables) canarySnapshot() []peer.Canary {
	var list []peer.Canary
	for _, pool := range slices.Sorted(maps.Keys(t.canaries)) {
		c := t.canaries[pool]
		list = append(list, peer.Canary{Pool: pool, Version: c.spec.Version, Order: c.spec.Order, State: int(c.state), Stopped: c.stopped, Barred: c.barred})
	}
	return list
}

// applyHubCanaries takes over what is tried out, as a hub sees it.
func (d *Daemon) applyHubCanaries(now time.Time, t *tables, hub string, list []peer.Canary) {
	for _, told := range list {
		c := d.startCanary(now, t, canary.Rollout{Pool: told.Pool, Version: told.Version, Order: told.Order}, hub)
		if !c.spec.Same(canary.Rollout{Pool: told.Pool, Version: told.Version, Order: told.Order}) {
			continue // The hub has not heard of the newer one.
		}
		for _, version := range told.Barred {
			if !slices.Contains(c.barred, version) {
				c.barred = append(c.barred, version)
			}
		}
		d.setCanaryState(now, c, canary.State(told.State), hub)
		if told.Stopped {
			d.stopCanary(now, c, "told by "+hub)
		}
	}
}
