// Package strain learns which share of a pool's answers came late, and says how
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
package strain

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
)

// Gauge holds one pool's share. The zero value is ready; it is not safe for
// concurrent use.
type Gauge struct {
	// late lies between 0 and 1.
	late float64
}

// See notes an answer that ended whole, and whether its first event or a pause
// came later than its route's goals.
func (g *Gauge) See(late bool) {
	now := 0.0
	if late {
		now = 1
	}
	g.late += (now - g.late) * weight
}

// Late returns the share of late answers, from 0 to 1.
func (g *Gauge) Late() float64 { return g.late }

// Reserve returns the share of the engines' memory that the least urgent
// requests leave free beyond their usual limit.
func (g *Gauge) Reserve() float64 { return min(max((g.late-usual)*gain, 0), most) }
