// Package strain learns which share of a pool's answers came late, and says how
// much of the engines' memory the least urgent requests leave free for it.
//
//	var g strain.Gauge
//	g.See(late)                // as each answer ends
//	fill := 0.92 - g.Reserve() // up to where the least urgent are admitted
//
// How many requests an engine carries in time depends on how quickly it reads and
// answers, which no configuration tells. On engines that read at half the usual
// rate a quarter of all answers were late at a fixed limit, those of the urgent
// kinds as well, and each took up memory for longer than one in time.
package strain

const (
	// weight is how much one answer changes the share: about the last fifty
	// count, some seconds of one box's answers.
	weight = 0.04
	// usual is the share of late answers that is not held against the limit: so
	// many are late while weights change or a link is slow, without there being
	// too many requests.
	usual = 0.08
	// gain is the memory left free for each share of late answers beyond that,
	// most the largest part of it.
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
