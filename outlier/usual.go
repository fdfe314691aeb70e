// Package outlier learns how long answers of one kind take, and says which take several times as
// long.
//
//	var t usual.Time
//	t.See(took)
//	if t.Known() && t.Slow(took) { ... }
package outlier

import (
	"math"
	"time"
)

const (
	// slowFactor is by how much an answer takes longer than is usual to count as slow: a usual
	// spread has some hundredths of the answers beyond it.
	slowFactor = 2.5
	// usualLeast is how many answers tell what is usual.
	usualLeast = 8
	// usualWeight is how much an answer changes what is usual: about the last thirty count.
	usualWeight = 1.0 / 30
)

// Detector is how long answers take, at this time. The zero value is ready; it is not safe for
// concurrent use.
type Detector struct {
	// log is the mean of the logarithms of the seconds, of n answers.
	log float64
	n   int
}

// Observe learns from an answer.
func (u *Detector) Observe(took time.Duration) {
	seconds := math.Log(max(took, time.Millisecond).Seconds())
	if u.n == 0 {
		u.log = seconds
	}
	u.n++
	u.log += (seconds - u.log) * max(usualWeight, 1/float64(u.n))
}

// Known says that enough answers tell what is usual.
func (u *Detector) Known() bool { return u.n >= usualLeast }

// Slow says that an answer took several times as long as is usual.
func (u *Detector) Slow(took time.Duration) bool {
	return u.Known() && math.Log(took.Seconds()) > u.log+math.Log(slowFactor)
}
