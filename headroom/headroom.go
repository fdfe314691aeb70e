// Package headroom tracks the share of a pool's answers that came late, and how much of
// the engines' memory requests of the lowest priority must leave free because of it.
//
//	var g headroom.Gauge
//	g.Observe(late)            // as each answer ends
//	fill := 0.92 - g.Reserve() // up to where the lowest priority is admitted
//
// How many requests an engine serves in time depends on its speed, which no configuration
// states. On engines at half the usual speed more than a fifth of all streams were late
// at a fixed limit, those of higher priority as well.
package headroom

const (
	// weight is the weight of one answer in the moving average: about the last fifty count,
	// some seconds of one box's answers.
	weight = 0.04
	// tolerated is the share of late answers that does not lower the limit. Values from 0.05
	// to 0.1 differ by noise only.
	tolerated = 0.08
	// gain is the memory left free for each share of late answers beyond that, maxReserve
	// the upper bound: slow engines did worse with a fixed limit of 0.6 than with 0.75.
	gain       = 2
	maxReserve = 0.35
	// lowLateness is the share of late answers below which the lowest priority gets memory
	// beyond its usual limit, up to extra while none is late. With 71 boxes and 60 engines,
	// of which a quarter are silent for half of a day, 2 in 100 answers are late at the
	// usual limit and 12 in 100 long prompts are refused; where 6 in 100 are late, a higher
	// limit recomputes more shared parts than it serves.
	lowLateness = 0.05
	extra       = 0.12
	// minSamples is how many answers that needs: about as many as the average covers.
	minSamples = 50
)

// Gauge tracks one pool. The zero value is ready; it is not safe for concurrent use.
type Gauge struct {
	// late lies between 0 and 1.
	late float64
	// seen counts answers, up to minSamples.
	seen int
}

// Observe records a completed answer, and whether its first event or a gap between events
// exceeded its route's goals.
func (g *Gauge) Observe(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	g.seen = min(g.seen+1, minSamples)
	g.late += (sample - g.late) * weight
}

// LateShare returns the share of late answers, from 0 to 1.
func (g *Gauge) LateShare() float64 { return g.late }

// Reserve returns the share of the engines' memory that the lowest priority leaves free
// beyond its usual limit. It is negative while few answers are late: the lowest priority
// then gets that much more.
func (g *Gauge) Reserve() float64 {
	if g.seen == minSamples && g.late < lowLateness {
		return -extra * (lowLateness - g.late) / lowLateness
	}
	return min(max((g.late-tolerated)*gain, 0), maxReserve)
}
