package entry

import (
	"time"

	"github.com/thymewind/thymewind/canary"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/outlier"
	"github.com/thymewind/thymewind/peer"
)

const (
	// canaryGossipEvery is how often hubs exchange the boxes' counts. Boxes send theirs to
	// their hub every spokeGossipInterval.
	canaryGossipEvery = 500 * time.Millisecond
	// inFlightTTL is how long a box's report of requests in flight counts.
	inFlightTTL = 2 * time.Second
)

// sampleKey is a route at a box.
type sampleKey struct{ box, route string }

// peerSample holds the counts received for a route at a box, when they were last received, and
// when they last changed.
type peerSample struct {
	sample                peer.CanarySample
	receivedAt, changedAt time.Time
}

// countCanarySample counts the end of a request in a pool with a canary rollout, and learns the
// older version's answer times in any pool.
func (d *Daemon) countCanarySample(now time.Time, t *tables, x *fleet.Target, m attemptEnded) {
	if m.CallerLeft || m.SlowCaller || m.Verdict == deliver.OtherVersion || m.Verdict == deliver.OtherReplica {
		return
	}
	c := t.canaryOf(x.Pool)
	route, took := m.Job.Route.Name, now.Sub(m.Place.PlacedAt)
	usual := t.usualAnswerTime(answerTimeKey(m.Job))
	onCanary := c != nil && c.isCanary(x)
	if !onCanary && !m.Failed {
		defer usual.Observe(took)
	}
	if c == nil || c.state.Ended() || !m.Failed && !usual.Known() {
		return
	}
	bad := m.Failed || usual.Slow(took)
	counts := c.ownCounts[route]
	switch {
	case onCanary && bad:
		counts.Bad++
	case onCanary:
		counts.Good++
	case bad:
		counts.BaselineBad++
	default:
		counts.BaselineGood++
	}
	c.ownCounts[route] = counts
	c.judge.Observe(d.Settings.Name, route, counts)
	d.stopIfBad(now, c)
}

// usualAnswerTime is how long the older version's answers to similar requests take. It is
// learned at all times, to be known when a canary rollout begins.
func (t *tables) usualAnswerTime(key string) *outlier.Detector {
	detector := t.answerTimes[key]
	if detector == nil {
		detector = &outlier.Detector{}
		t.answerTimes[key] = detector
	}
	return detector
}

// stopIfBad stops a canary version as soon as the counts known to this box show that it is bad.
func (d *Daemon) stopIfBad(now time.Time, c *canaryRollout) {
	if c.judge.Bad() {
		d.stopCanary(now, c, "its answers are worse than the older version's")
	}
}

// canarySamplesForPeer lists the counts to send in a call to a box: a hub sends them to another one
// only every canaryGossipEvery.
func (d *Daemon) canarySamplesForPeer(now time.Time, t *tables, m *member) []peer.CanarySample {
	if len(t.canaries) == 0 {
		return nil
	}
	if d.spoke.Load() {
		return d.canarySamples(t, now, false)
	}
	if now.Before(m.canarySamplesDue) {
		return nil
	}
	m.canarySamplesDue = now.Add(canaryGossipEvery)
	return d.canarySamples(t, now.Add(-2*canaryGossipEvery), true)
}

// canarySamples lists this box's counts and, for another hub, those that others sent since a
// time.
func (d *Daemon) canarySamples(t *tables, since time.Time, others bool) []peer.CanarySample {
	var list []peer.CanarySample
	for pool, c := range t.canaries {
		if c.state.Ended() {
			continue
		}
		list = append(list, d.ownCanarySamples(t, pool, c)...)
		if !others {
			continue
		}
		for _, received := range c.peerCounts {
			if !received.changedAt.Before(since) {
				list = append(list, received.sample)
			}
		}
	}
	return list
}

// ownCanarySamples lists this box's counts and, under an empty route, its number of requests in
// flight on the older version.
func (d *Daemon) ownCanarySamples(t *tables, pool string, c *canaryRollout) []peer.CanarySample {
	inFlight := peer.CanarySample{Box: d.Settings.Name, Pool: pool, Order: c.spec.Order}
	for _, x := range t.fleet.Pool(pool) {
		if !c.isCanary(x) {
			inFlight.BaselineInFlight += x.InFlight
		}
	}
	list := []peer.CanarySample{inFlight}
	for route, n := range c.ownCounts {
		list = append(list, peer.CanarySample{
			Box: d.Settings.Name, Pool: pool, Route: route, Order: c.spec.Order,
			Good: n.Good, Bad: n.Bad, BaselineGood: n.BaselineGood, BaselineBad: n.BaselineBad,
		})
	}
	return list
}

// receiveCanarySamples applies the counts that other boxes sent.
func (d *Daemon) receiveCanarySamples(now time.Time, t *tables, list []peer.CanarySample) {
	for _, s := range list {
		c := t.canaryOf(s.Pool)
		if c == nil || c.spec.Order != s.Order || s.Box == d.Settings.Name {
			continue
		}
		key := sampleKey{s.Box, s.Route}
		received := c.peerCounts[key]
		if received.sample != s {
			received.changedAt = now
		}
		received.sample, received.receivedAt = s, now
		c.peerCounts[key] = received
		c.judge.Observe(s.Box, s.Route, canary.Counts{Good: s.Good, Bad: s.Bad, BaselineGood: s.BaselineGood, BaselineBad: s.BaselineBad})
		d.stopIfBad(now, c)
	}
}

// baselineInFlight is the number of requests in flight on the older version, by the boxes'
// recent reports.
func (d *Daemon) baselineInFlight(now time.Time, t *tables, c *canaryRollout) int {
	n := d.ownCanarySamples(t, c.spec.Pool, c)[0].BaselineInFlight
	for key, received := range c.peerCounts {
		if key.route == "" && now.Sub(received.receivedAt) < inFlightTTL {
			n += received.sample.BaselineInFlight
		}
	}
	return n
}
