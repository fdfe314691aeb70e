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
	// canaryGossipEvery is how often hubs tell each other what boxes saw of versions that are tried
	// out. Boxes tell their hub each spokeEvery.
	canaryGossipEvery = 500 * time.Millisecond
	// inFlightTTL is how long what a box told of requests under way counts.
	inFlightTTL = 2 * time.Second
)

// sampleKey is one route at one box.
type sampleKey struct{ box, route string }

// peerSample is what was told of it, when that was last heard, and when it last changed.
type peerSample struct {
	sample                peer.CanarySample
	receivedAt, changedAt time.Time
}

// countCanarySample counts the end of a request in a pool in which a version is tried out.
func (d *Daemon) countCanarySample(now time.Time, t *tables, x *fleet.Target, m attemptEnded) {
	if m.CallerLeft || m.Verdict == deliver.OtherVersion || m.Verdict == deliver.OtherReplica {
		return
	}
	c := t.canaryOf(x.Pool)
	route, took := m.Job.Route.Name, now.Sub(m.Place.PlacedAt)
	before := t.usualAnswerTime(answerTimeKey(m.Job))
	fresh := c != nil && c.isCanary(x)
	if !fresh && !m.Failed {
		defer before.Observe(took)
	}
	if c == nil || c.state.Ended() || !m.Failed && !before.Known() {
		return
	}
	bad := m.Failed || before.Slow(took)
	counts := c.ownCounts[route]
	switch {
	case fresh && bad:
		counts.Bad++
	case fresh:
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

// usualAnswerTime is how long the older version's answers take, of requests that are alike. It is
// learnt all the time, to be known when a version is tried out.
func (t *tables) usualAnswerTime(alike string) *outlier.Detector {
	took := t.answerTimes[alike]
	if took == nil {
		took = &outlier.Detector{}
		t.answerTimes[alike] = took
	}
	return took
}

// stopIfBad stops what is tried out as soon as what this box knows speaks against it.
func (d *Daemon) stopIfBad(now time.Time, c *canaryRollout) {
	if c.judge.Bad() {
		d.stopCanary(now, c, "its answers are worse than the older version's")
	}
}

// canarySamplesFor lists what to tell a box in a call: a hub tells another one only now and then.
func (d *Daemon) canarySamplesFor(now time.Time, t *tables, m *member) []peer.CanarySample {
	if len(t.canaries) == 0 {
		return nil
	}
	if d.spoke.Load() {
		return d.canarySamples(t, now, false)
	}
	if now.Before(m.seenDue) {
		return nil
	}
	m.seenDue = now.Add(canaryGossipEvery)
	return d.canarySamples(t, now.Add(-2*canaryGossipEvery), true)
}

// canarySamples lists what boxes saw: what this one did and, for another hub, what others told
// this one since a time.
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
		for _, of := range c.peerCounts {
			if !of.changedAt.Before(since) {
				list = append(list, of.sample)
			}
		}
	}
	return list
}

// ownCanarySamples is what this box saw, and under no route how many requests the older version has
// under way for it.
func (d *Daemon) ownCanarySamples(t *tables, pool string, c *canaryRollout) []peer.CanarySample {
	runs := peer.CanarySample{Box: d.Settings.Name, Pool: pool, Order: c.spec.Order}
	for _, x := range t.fleet.Pool(pool) {
		if !c.isCanary(x) {
			runs.BaselineInFlight += x.InFlight
		}
	}
	list := []peer.CanarySample{runs}
	for route, n := range c.ownCounts {
		list = append(list, peer.CanarySample{
			Box: d.Settings.Name, Pool: pool, Route: route, Order: c.spec.Order,
			Good: n.Good, Bad: n.Bad, BaselineGood: n.BaselineGood, BaselineBad: n.BaselineBad,
		})
	}
	return list
}

// receiveCanarySamples takes over what boxes saw.
func (d *Daemon) receiveCanarySamples(now time.Time, t *tables, list []peer.CanarySample) {
	for _, s := range list {
		c := t.canaryOf(s.Pool)
		if c == nil || c.spec.Order != s.Order || s.Box == d.Settings.Name {
			continue
		}
		at := sampleKey{s.Box, s.Route}
		of := c.peerCounts[at]
		if of.sample != s {
			of.changedAt = now
		}
		of.sample, of.receivedAt = s, now
		c.peerCounts[at] = of
		c.judge.Observe(s.Box, s.Route, canary.Counts{Good: s.Good, Bad: s.Bad, BaselineGood: s.BaselineGood, BaselineBad: s.BaselineBad})
		d.stopIfBad(now, c)
	}
}

// baselineInFlight sums up the requests that the older version has under way, as boxes told lately.
func (d *Daemon) baselineInFlight(now time.Time, t *tables, c *canaryRollout) int {
	n := d.ownCanarySamples(t, c.spec.Pool, c)[0].BaselineInFlight
	for at, of := range c.peerCounts {
		if at.route == "" && now.Sub(of.receivedAt) < inFlightTTL {
			n += of.sample.BaselineInFlight
		}
	}
	return n
}
