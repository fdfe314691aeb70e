// Package congestion sheds requests while a pool's targets answer late because their
// queues are full.
//
//	g := congestion.Gauge{}
//	g.Observe(now, took, goal)              // as each answer ends
//	if g.Shed(goal, rand.Float64()) { ... } // before a request is placed
//
// It guards against a sustained overload of a service with few targets, by slightly more
// requests than it can serve. The targets' queues fill and stay full: throughput stays
// the same, but nearly every answer just misses its goal, and a third of all requests are
// rejected at the full queues, retried and rejected again. If a part is shed before it
// queues, the others are answered in time, and as many are answered.
//
// Boxes do not know the queues, as requests take some ten milliseconds and gossip is
// older. Each box uses its own recent response times and the fastest ones it saw: a
// service that is slow without a queue is not congested.
package congestion

import "time"

const (
	// weight is the weight of one answer in the moving average: about the last five count, a
	// second of a box's requests to a service in a fleet of 85.
	weight = 0.2
	// free is the share of the goal up to which nothing is shed, gain the share shed for
	// each share of the goal beyond: a third of the requests, which is what targets with
	// full queues reject, at four fifths of the goal.
	free = 0.6
	gain = 1.5
	// maxShed is the largest share that is shed, so that the remaining answers still measure
	// the response time.
	maxShed = 0.7
	// queued is the ratio of the mean to the fastest response time at which requests count as
	// queueing.
	queued = 1.8
	// maxSample is the longest that one answer counts as, in goals. A machine that is late for a
	// second delays single answers without any queue.
	maxSample = 1.5
	// minDrift is how much of its distance to the mean the minimum rises in a second, so
	// that a service that became slower does not count as congested forever.
	minDrift = 0.01
)

// Gauge tracks one pool's response times as one box sees them. The zero value is ready;
// it is not safe for concurrent use.
type Gauge struct {
	// mean, fastest and clipped are in seconds, last is when an answer was last observed; all
	// are zero before the first. clipped is the mean with each answer counted as at most
	// maxSample.
	mean, fastest, clipped float64
	last                   time.Time
}

// Observe records how long a successful, complete answer took, of a goal or zero for none.
func (g *Gauge) Observe(now time.Time, took, goal time.Duration) {
	s := took.Seconds()
	clipped := s
	if goal > 0 {
		clipped = min(s, maxSample*goal.Seconds())
	}
	if g.last.IsZero() {
		g.mean, g.fastest, g.clipped, g.last = s, s, clipped, now
		return
	}
	g.mean += (s - g.mean) * weight
	g.clipped += (clipped - g.clipped) * weight
	g.fastest += (g.mean - g.fastest) * min(minDrift*now.Sub(g.last).Seconds(), 1)
	g.fastest = min(g.fastest, s)
	g.last = now
}

// ShedShare returns the share of the requests with a goal that is to be shed.
func (g *Gauge) ShedShare(goal time.Duration) float64 {
	if goal <= 0 || g.mean < queued*g.fastest {
		return 0
	}
	return min(max((g.clipped/goal.Seconds()-free)*gain, 0), maxShed)
}

// Shed reports whether to shed a request with a goal; draw is a random number from 0 to
// 1.
func (g *Gauge) Shed(goal time.Duration, draw float64) bool { return draw < g.ShedShare(goal) }

// Mean returns the moving average of the response times.
func (g *Gauge) Mean() time.Duration { return time.Duration(g.mean * float64(time.Second)) }
