package outlier_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/outlier"
)

// TestSlow checks that answers within the usual spread rarely count as slow, and that the
// typical response time follows a lasting load.
func TestSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	draw := func() time.Duration {
		return time.Duration(float64(60*time.Millisecond) * math.Exp(0.4*random.NormFloat64()))
	}
	var d outlier.Detector
	if d.Slow(time.Hour) {
		t.Error("slow without enough samples")
	}
	for range 200 {
		d.Observe(draw())
	}
	slow, several := 0, 0
	for range 1000 {
		if d.Slow(draw()) {
			slow++
		}
		if d.Slow(4 * draw()) {
			several++
		}
	}
	if slow > 30 || several < 800 {
		t.Errorf("%d of 1000 typical answers count as slow, and %d of those that take four times as long", slow, several)
	}
	for range 100 {
		d.Observe(3 * draw()) // All answers are slow under load.
	}
	if d.Slow(180 * time.Millisecond) {
		t.Error("an answer counts as slow that is typical by now")
	}
}
