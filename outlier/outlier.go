// Package outlier learns the typical response time of one kind of answer, and detects
// answers that take several times as long.
//
//	var d outlier.Detector
//	d.Observe(took)
//	if d.Known() && d.Slow(took) { ... }
package outlier

import (
	"math"
	"time"
)

const (
	// slowFactor is how many times the typical response time a slow answer takes: with a
	// usual spread some hundredths of the answers are beyond it.
	slowFactor = 2.5
	// minSamples is how many answers determine the typical response time.
	minSamples = 8
	// weight is the weight of one answer in the moving average: about the last thirty count.
	weight = 1.0 / 30
)

// Detector tracks the current response times. The zero value is ready; it is not safe for
// concurrent use.
type Detector struct {
	// log is the mean of the logarithms of the seconds, of n answers.
	log float64
	n   int
}

// Observe records an answer's response time.
func (d *Detector) Observe(took time.Duration) {
	seconds := math.Log(max(took, time.Millisecond).Seconds())
	if d.n == 0 {
		d.log = seconds
	}
	d.n++
	d.log += (seconds - d.log) * max(weight, 1/float64(d.n))
}

// Known reports whether there are enough samples.
func (d *Detector) Known() bool { return d.n >= minSamples }

// Slow reports whether an answer took more than slowFactor times the typical response
// time.
func (d *Detector) Slow(took time.Duration) bool {
	return d.Known() && math.Log(took.Seconds()) > d.log+math.Log(slowFactor)
}
