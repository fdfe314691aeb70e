package outlier_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/thymewind/thymewind/outlier"
)

// TestSlow compares answers with what is usual on the route.
func TestSlow(t *testing.T) {
	dice := rand.New(rand.NewPCG(3, 3))
	draw := func() time.Duration {
		return time.Duration(float64(60*time.Millisecond) * math.Exp(0.4*dice.NormFloat64()))
	}
	var u outlier.Detector
	if u.Slow(time.Hour) {
		t.Error("slow before anything is usual")
	}
	for range 200 {
		u.Observe(draw())
	}
	slow, several := 0, 0
	for range 1000 {
		if u.Slow(draw()) {
			slow++
		}
		if u.Slow(4 * draw()) {
			several++
		}
	}
	if slow > 30 || several < 800 {
		t.Errorf("%d of 1000 usual answers count as slow, %d of those that take four times as long", slow, several)
	}
	for range 100 {
		u.Observe(3 * draw()) // All answers are slow now, under load.
	}
	if u.Slow(180 * time.Millisecond) {
		t.Error("an answer counts as slow that is usual by now")
	}
}
