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

// The operator may request that a pool's requests move to another version of its software, whose
// targets start beside the older ones. Each box sends the canary version a share of its own
// requests (package exposure), compares its answers with the older version's, and reports the
// counts to hubs (canarysamples.go). Every hub judges all counts that it received (package
// canary), stops sending to a bad version without asking the others, and has its spokes do the
// same. Only the stage of the rollout has to be agreed: it is one row in the table service,
// which is changed by compare-and-swap (canaryrow.go). docs/design/canaries.md compares the
// alternatives.

// canaryRollout is the rollout of a canary version as this box sees it.
type canaryRollout struct {
	spec canary.Rollout
	// state, deadline and barred are from the row, revision is the row's.
	state    canary.State
	revision revision.Revision
	// deadline is when the decision is due, on the table service's clock; zero until the row
	// was read.
	deadline time.Duration
	barred   []string
	// stopped means that the version gets no requests whatever the row says: this box or its
	// hub saw that it is bad, or the operator withdrew the rollout.
	stopped bool
	// specKnownAt is when this box learned of the spec, stateSince when of the state.
	specKnownAt, stateSince time.Time
	gate                    *exposure.Gate
	judge                   *canary.Judge
	// ownCounts are this box's counts by route.
	ownCounts map[string]canary.Counts
	// peerCounts are the counts that other boxes sent, with when they last changed.
	peerCounts map[sampleKey]peerSample
	// writing is true while the row is written, reporting while the state is reported to the
	// operator.
	writing, reporting bool
	// reported means that this box reported reportedState to the operator, rowReported that the
	// row says that the final state was reported.
	reported, rowReported bool
	// rowLost means that a restore lost the row.
	rowLost       bool
	reportedState canary.State
	// retryAt is when a failed write or report is retried.
	retryAt time.Time
	// specLostAt is when a restored table service was read that lacks the spec; zero if the
	// spec is there.
	specLostAt time.Time
}

// canaryOf returns the canary rollout in a pool, or nil.
func (t *tables) canaryOf(pool string) *canaryRollout { return t.canaries[pool] }

// startCanaries starts the rollouts that the operator requests. Another box may have told of them
// before, but not how long they may take.
func (d *Daemon) startCanaries(now time.Time, t *tables, m operatorRead) {
	specs := m.change.Canaries
	for _, pool := range slices.Sorted(maps.Keys(specs)) {
		if spec := specs[pool]; spec != nil {
			d.startCanary(now, t, *spec, "the operator")
		}
	}
}

// stopCanaries stops the rollouts that the operator took back.
func (d *Daemon) stopCanaries(now time.Time, t *tables, m operatorRead) {
	specs := m.change.Canaries
	for pool, c := range t.canaries {
		spec, present := specs[pool]
		lost := m.change.Snapshot && specs != nil && !present
		switch {
		case present && spec != nil:
			c.specLostAt = time.Time{}
		case lost && m.change.Known.Restores > t.operatorKnown.Restores:
			d.Log.Warn("a restore lost the spec of a canary version; it is kept until the operator can write it again", "pool", pool, "version", c.spec.Version, "for", operatorRewriteGrace)
			if c.specLostAt.IsZero() {
				c.specLostAt = now
			}
		case present || lost && c.specLostAt.IsZero():
			d.stopCanary(now, c, "the operator took it back")
		}
	}
}

// stopLostCanaries stops the rollouts whose spec a restore lost and the operator did not write
// again in time.
func (d *Daemon) stopLostCanaries(now time.Time, t *tables) {
	for _, c := range t.canaries {
		if !c.specLostAt.IsZero() && now.Sub(c.specLostAt) >= operatorRewriteGrace {
			c.specLostAt = time.Time{}
			d.stopCanary(now, c, "the operator did not ask again after a restore")
		}
	}
}

// startCanary starts a canary rollout if its spec is new. An earlier version that was not
// completed gets no more requests.
func (d *Daemon) startCanary(now time.Time, t *tables, spec canary.Rollout, from string) *canaryRollout {
	before := t.canaries[spec.Pool]
	if before != nil && spec.Same(before.spec) {
		before.spec.Order, before.spec.Timeout = max(before.spec.Order, spec.Order), max(before.spec.Timeout, spec.Timeout)
		return before
	}
	if before != nil && before.spec.Order >= spec.Order {
		return before
	}
	c := &canaryRollout{
		spec: spec, specKnownAt: now, stateSince: now, gate: exposure.New(d.bounds.Load().TriedShare), judge: canary.NewJudge(),
		ownCounts: make(map[string]canary.Counts), peerCounts: make(map[sampleKey]peerSample),
	}
	if before != nil {
		c.revision, c.barred = before.revision, before.nextBarred()
	}
	t.canaries[spec.Pool] = c
	if spec.Version == "" {
		d.Log.Error("the canary version in the operator's spec is invalid; new targets get no requests", "pool", spec.Pool, "order", spec.Order)
	}
	d.Log.Info("a version is tried out", "pool", spec.Pool, "version", spec.Version, "order", spec.Order, "within", spec.Timeout, "older", t.fleet.Software(spec.Pool), "barred", c.barred, "told_by", from)
	d.metrics.canaries.WithLabelValues("tried").Inc()
	return c
}

// nextBarred lists the versions that get no requests once another rollout follows this one.
func (c *canaryRollout) nextBarred() []string {
	list := slices.Clone(c.barred)
	if c.state != canary.Completed && c.spec.Version != "" && !slices.Contains(list, c.spec.Version) {
		list = append(list, c.spec.Version)
	}
	return list
}

// stopCanary sends no more requests to the version, unless the rollout has ended.
func (d *Daemon) stopCanary(now time.Time, c *canaryRollout, why string) {
	if c.stopped || c.state.Ended() {
		return
	}
	c.stopped = true
	d.Log.Warn("a version gets no more requests", "pool", c.spec.Pool, "version", c.spec.Version, "order", c.spec.Order, "why", why, "after", now.Sub(c.stateSince), "answers", c.judge.Total())
	d.metrics.canaries.WithLabelValues("stopped").Inc()
}

// setCanaryState moves the rollout on to a later state.
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

// isCanary reports whether a target runs the canary version. If that version could not be read,
// each target listed after the spec was read counts.
func (c *canaryRollout) isCanary(x *fleet.Target) bool {
	if c.spec.Version == "" {
		return x.ListedAt.After(c.specKnownAt)
	}
	return x.Software == c.spec.Version
}

// olderExcludedFor is how long older targets get no requests after a version was completed:
// they stop at once, and their entries are gone within seconds. Software that differs after
// that belongs to another rollout or was started by the operator.
const olderExcludedFor = 30 * time.Second

// receiving reports which of the versions get requests at all.
func (c *canaryRollout) receiving(now time.Time) (newer, older bool) {
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

// excludedBySoftware reports whether a target gets no requests because of its software.
func (d *Daemon) excludedBySoftware(now time.Time, t *tables, x *fleet.Target) bool {
	c := t.canaryOf(x.Pool)
	if c == nil {
		return d.mayBeUnknownCanary(t, x)
	}
	newer, older := c.receiving(now)
	if c.isCanary(x) {
		return !newer
	}
	return !older || slices.Contains(c.barred, x.Software)
}

// mayBeUnknownCanary reports whether a target may run a canary version that this box has not
// learned of: its pool has several versions, and the last proof of the operator's rows is from
// before the target was listed. The operator writes the spec before such targets start.
func (d *Daemon) mayBeUnknownCanary(t *tables, x *fleet.Target) bool {
	if !t.fleet.MixedSoftware(x.Pool) || x.Software == t.fleet.Software(x.Pool) {
		return false
	}
	proved, ever := d.current.ProvedAt()
	return !ever || proved.Before(x.ListedAt)
}

// barsContinuing reports whether a target gets no requests that continue streams of its software
// version. Unlike others, they may go to the older version while a rollout is being completed, which
// waits for what runs there, and to any version that another box has used.
func (t *tables) barsContinuing(now time.Time, x *fleet.Target) bool {
	c := t.canaryOf(x.Pool)
	if c == nil {
		return false
	}
	newer, older := c.receiving(now)
	if c.isCanary(x) {
		return !newer
	}
	return !older && c.state != canary.Completing || slices.Contains(c.barred, x.Software)
}

// softwareFilters lists the filters to try for a request, in order. A request within the canary
// version's share goes to one of its targets, if any takes it.
func (d *Daemon) softwareFilters(now time.Time, t *tables, request deliver.PlacementRequest) []func(*fleet.Target) bool {
	excluded := func(x *fleet.Target) bool { return d.softwareForbids(now, t, request, x) }
	if d.boundSoftware(request) != nil { // The canary's share is one of the requests that begin.
		return []func(*fleet.Target) bool{excluded}
	}
	c := t.canaryOf(request.Job.Pool.Name)
	if c == nil || c.state != canary.Trying {
		return []func(*fleet.Target) bool{excluded}
	}
	older := func(x *fleet.Target) bool { return c.isCanary(x) || excluded(x) }
	if newer, _ := c.receiving(now); !newer || !c.gate.Allow(request.Job.Route.Name) {
		return []func(*fleet.Target) bool{older}
	}
	return []func(*fleet.Target) bool{func(x *fleet.Target) bool { return !c.isCanary(x) || excluded(x) }, older}
}

// countExposure counts a placed request.
func (t *tables) countExposure(request deliver.PlacementRequest, x *fleet.Target) {
	if c := t.canaryOf(x.Pool); c != nil && c.state == canary.Trying {
		c.gate.Record(request.Job.Route.Name, c.isCanary(x))
	}
}

// canarySnapshot lists the canary rollouts for boxes that use this one's view.
func (t *tables) canarySnapshot() []peer.Canary {
	var list []peer.Canary
	for _, pool := range slices.Sorted(maps.Keys(t.canaries)) {
		c := t.canaries[pool]
		list = append(list, peer.Canary{Pool: pool, Version: c.spec.Version, Order: c.spec.Order, State: int(c.state), Stopped: c.stopped, Barred: c.barred})
	}
	return list
}

// applyHubCanaries applies the canary rollouts in a hub's view.
func (d *Daemon) applyHubCanaries(now time.Time, t *tables, hub string, list []peer.Canary) {
	for _, remote := range list {
		c := d.startCanary(now, t, canary.Rollout{Pool: remote.Pool, Version: remote.Version, Order: remote.Order}, hub)
		if !c.spec.Same(canary.Rollout{Pool: remote.Pool, Version: remote.Version, Order: remote.Order}) {
			continue // The hub has not learned of the newer one.
		}
		for _, version := range remote.Barred {
			if !slices.Contains(c.barred, version) {
				c.barred = append(c.barred, version)
			}
		}
		d.setCanaryState(now, c, canary.State(remote.State), hub)
		if remote.Stopped {
			d.stopCanary(now, c, "told by "+hub)
		}
	}
}
