package throughput

import "time"

const (
	// firstBase and firstToken are the estimates before any sample: engines begin after some
	// 50 ms, and the first ones measured prefilled 112 tokens a millisecond.
	firstBase  = 50 * time.Millisecond
	firstToken = time.Millisecond / 112
	// decay is the factor by which each sample lowers the weight of earlier ones: about the
	// last fifty count.
	decay = 0.98
	// assumed is how many samples the first guess counts as, at each of two points: zero
	// tokens and assumedAt tokens.
	assumed   = 1
	assumedAt = 4000
	// maxBase, minToken and maxToken bound the line, as samples include waits of other
	// causes: from a fifth of the first guess per token to 30 times it.
	maxBase  = 500 * time.Millisecond
	minToken = firstToken / 5
	maxToken = firstToken * 30
)

// fit is a least-squares line through samples whose weight decays.
type fit struct {
	// n, x, y, xx and xy are the sums over the samples of 1, x, y, x*x and x*y.
	n, x, y, xx, xy float64
}

func (f *fit) add(x, y float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*decay+1, f.x*decay+x, f.y*decay+y, f.xx*decay+x*x, f.xy*decay+x*y
}

// line returns the line's value at zero tokens and its slope per token.
func (f *fit) line() (base, slope time.Duration) {
	const at = float64(assumedAt)
	first := float64(firstBase) + at*float64(firstToken)
	n := f.n + 2*assumed
	x := f.x + assumed*at
	y := f.y + assumed*(float64(firstBase)+first)
	xx := f.xx + assumed*at*at
	xy := f.xy + assumed*at*first
	slope = time.Duration((n*xy - x*y) / (n*xx - x*x)) // The assumed samples keep the divisor above zero.
	slope = min(max(slope, minToken), maxToken)
	base = time.Duration((y - float64(slope)*x) / n)
	return min(max(base, 0), maxBase), slope
}
