package throughput

import "time"

const (
	// firstBase and firstToken are taken for true until requests tell: engines
	// begin after some 50 ms, and those met first read 112 tokens a millisecond.
	firstBase  = 50 * time.Millisecond
	firstToken = time.Millisecond / 112
	// keep is how much a sample counts after the next one: some fifty count.
	keep = 0.98
	// assumed is how many samples the first guess counts as, at each of two
	// points: no token and assumedAt tokens.
	assumed   = 1
	assumedAt = 4000
	// longestBase, least and most bound the line, as samples hold waits of other
	// causes: a fifth of the first guess to the 30-fold.
	longestBase = 500 * time.Millisecond
	least       = firstToken / 5
	most        = firstToken * 30
)

// fit is a straight line through samples that fade, by least squares.
type fit struct {
	// n, x, y, xx and xy are the sums over the samples of 1, x, y, x*x and x*y.
	n, x, y, xx, xy float64
}

func (f *fit) add(x, y float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*keep+1, f.x*keep+x, f.y*keep+y, f.xx*keep+x*x, f.xy*keep+x*y
}

// line returns the line's value at zero and its slope.
func (f *fit) line() (base, slope time.Duration) {
	const at = float64(assumedAt)
	first := float64(firstBase) + at*float64(firstToken)
	n := f.n + 2*assumed
	x := f.x + assumed*at
	y := f.y + assumed*(float64(firstBase)+first)
	xx := f.xx + assumed*at*at
	xy := f.xy + assumed*at*first
	slope = time.Duration((n*xy - x*y) / (n*xx - x*x)) // The assumed points keep the divisor above zero.
	slope = min(max(slope, least), most)
	base = time.Duration((y - float64(slope)*x) / n)
	return min(max(base, 0), longestBase), slope
}
