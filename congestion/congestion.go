// Package congestion says which requests to refuse at once while a pool's targets answer
// late because they have too much to do.
//
//	g := congestion.Gauge{}
//	g.See(now, took)                        // as each answer ends
//	if g.Refuse(goal, rand.Float64()) { ... } // before a request is placed
//
// The load it answers: a service of few targets gets somewhat more than it can do, for
// longer than a moment. Its targets' queues fill and stay full. It does as much as it
// could, but nearly every answer comes just behind its goal, and a third of all requests
// are turned away at the full queues, come back and are turned away again. If a part is
// refused before it queues, the others are answered in time, and as many are answered.
//
// Boxes don't know the queues, as requests take some ten milliseconds and news between
// boxes is older. Each goes by how long its own answers took, the last few, and by how
// quick the quickest were: a service that is slow without a queue is not congested.
package congestion

import "time"

const (
	// weight is how much one answer changes the mean: about the last five count, a second
	// of a box's requests to a service in a fleet of 85.
	weight = 0.2
	// free is the share of the goal up to which nothing is refused, gain the share refused
	// for each share of the goal beyond: a third of the requests, which is what targets
	// with full queues turn away, at four fifths of the goal.
	free = 0.6
	gain = 1.5
	// most is the largest part that is refused, so that the answers to others go on to
	// tell how long they take.
	most = 0.7
	// queued is by how much longer than the quickest answers take where they queue.
	queued = 1.8
	// forget is how much of its distance to the mean the quickest rises in a second, so
	// that a service that has turned slower is not taken for congested for good.
	forget = 0.01
)

// Gauge holds one pool's times as one box sees them. The zero value is ready; it is not
// safe for concurrent use.
type Gauge struct {
	// mean and quickest are in seconds; zero until an answer was seen, at last.
	mean, quickest float64
	last           time.Time
}

// Observe notes how long an answer took, whole and without failure.
func (g *Gauge) Observe(now time.Time, took time.Duration) {
	s := took.Seconds()
	if g.last.IsZero() {
		g.mean, g.quickest, g.last = s, s, now
		return
	}
	g.mean += (s - g.mean) * weight
	g.quickest += (g.mean - g.quickest) * min(forget*now.Sub(g.last).Seconds(), 1)
	g.quickest = min(g.quickest, s)
	g.last = now
}

// ShedShare returns the part of the requests with a goal that is to be refused.
func (g *Gauge) ShedShare(goal time.Duration) float64 {
	if goal <= 0 || g.mean < queued*g.quickest {
		return 0
	}
	return min(max((g.mean/goal.Seconds()-free)*gain, 0), most)
}

// Shed says that a request with a goal is to be refused; draw lies between 0 and 1.
func (g *Gauge) Shed(goal time.Duration, draw float64) bool { return draw < g.ShedShare(goal) }

// Mean returns how long the last answers took.
func (g *Gauge) Mean() time.Duration { return time.Duration(g.mean * float64(time.Second)) }
