// Package headroom learns which share of a pool's answers came late, and says how
// much of the engines' memory the least urgent requests leave free for it.
//
//	var g strain.Gauge
//	g.See(late)                // as each answer ends
//	fill := 0.92 - g.Reserve() // up to where the least urgent are admitted
//
// How many requests an engine carries in time depends on how quickly it reads and
// answers, which no configuration tells. On engines that read at half the usual
// rate more than a fifth of all streams were late at a fixed limit, those of the
// urgent kinds as well.
package headroom

const (
	// weight is how much one answer changes the share: about the last fifty
	// count, some seconds of one box's answers.
	weight = 0.04
	// usual is the share of late answers that is not held against the limit. It
	// lies between 0.05 and 0.1, which were tried and differed by noise only.
	usual = 0.08
	// gain is the memory left free for each share of late answers beyond that;
	// other gains were not tried. most is the largest part of it: slow engines
	// gained less from a fixed limit of 0.6 than from one of 0.75.
	gain = 2
	most = 0.35
	// light is the share of late answers below which the least urgent get memory beyond
	// their usual limit, up to spare of it while none is late. On 71 boxes before 60
	// engines, of which a quarter are silent for half of a day, 2 in 100 answers are late
	// at the usual limit and 12 in 100 long prompts refused; where 6 in 100 are late, a
	// higher limit has more shared parts read again than it serves.
	light = 0.05
	spare = 0.12
	// enough answers must have been seen for that: about as many as count.
	enough = 50
)

// Gauge holds one pool's share. The zero value is ready; it is not safe for
// concurrent use.
type Gauge struct {
	// late lies between 0 and 1.
	late float64
	// seen counts answers, up to enough.
	seen int
}

// Observe notes an answer that ended whole, and whether its first event or a pause
// came later than its route's goals.
func (g *Gauge) Observe(late bool) {
	now := 0.0
	if late {
		now = 1
	}
	g.seen = min(g.seen+1, enough)
	g.late += (now - g.late) * weight
}

// LateShare returns the share of late answers, from 0 to 1.
func (g *Gauge) LateShare() float64 { return g.late }

// Reserve returns the share of the engines' memory that the least urgent requests leave
// free beyond their usual limit. It is negative while few answers are late: they then get
// that much more.
func (g *Gauge) Reserve() float64 {
	if g.seen == enough && g.late < light {
		return -spare * (light - g.late) / light
	}
	return min(max((g.late-usual)*gain, 0), most)
}
