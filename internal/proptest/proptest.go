// Package proptest runs property tests with a fixed seed. Each has a counterpart in which
// the safeguard under test is removed and the property must be violated.
//
//	proptest.Holds(t, property(withSafeguard))
//	proptest.Violated(t, property(withoutSafeguard))
package proptest

import (
	"testing"

	"github.com/leanovate/gopter"
)

// The fixed seed and the number of samples of each property.
const (
	seed    = 20261202
	samples = 200
)

// Holds fails the test if the property is violated by any sample.
func Holds(t *testing.T, property gopter.Prop) {
	t.Helper()
	result := property.Check(parameters())
	if !result.Passed() {
		t.Fatalf("violated: %v %v, arguments %v", result.Status, result.Error, result.Args)
	}
	t.Logf("held for %d samples", result.Succeeded)
}

// Violated fails the test unless some sample violates the property.
func Violated(t *testing.T, property gopter.Prop) {
	t.Helper()
	result := property.Check(parameters())
	if result.Passed() {
		t.Fatal("no sample violated the property without the safeguard, so the property proves nothing")
	}
	t.Logf("violated as expected after %d samples: %v", result.Succeeded, result.Labels)
}

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = samples
	p.MaxShrinkCount = 0
	p.Workers = 1
	return p
}
