package measure_test

import (
	"testing"

	"github.com/thymewind/thymewind/internal/measure"
)

// TestRunsAreDeterministic simulates scenarios twice: the figures are the same, and no
// run uses another account's cache scope.
func TestRunsAreDeterministic(t *testing.T) {
	for _, fault := range []string{measure.FaultNone, measure.FaultDomain, measure.FaultStoreDead} {
		t.Run(fault, func(t *testing.T) {
			s := measure.Scenario{Deployment: measure.Sonora, Policy: measure.Ours, Fault: fault, Seed: 7}
			one, two := measure.Run(s), measure.Run(s)
			if one.Requests != two.Requests || one.P95 != two.P95 || one.RecomputedShare != two.RecomputedShare || one.Refused != two.Refused {
				t.Errorf("two runs differ: %+v and %+v", one, two)
			}
			if one.Wrong > 0 || one.Requests == 0 || one.P50 <= 0 {
				t.Errorf("figures %+v", one)
			}
		})
	}
}
