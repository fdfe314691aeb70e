// Package finding collects the errors of an input, each with its position, so that they
// are reported together.
//
//	var l finding.List
//	l.Add("settings.yaml:3:9", "address %q has no port", text)
//	return l.Err()
package finding

import (
	"errors"

	"github.com/gravitational/trace"
)

// List collects findings. The zero value is ready for use.
type List struct {
	errors []error
}

// Add adds a finding at a place such as file:line:column or a field name.
func (l *List) Add(place, format string, args ...any) {
	l.errors = append(l.errors, trace.BadParameter(place+": "+format, args...))
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.errors) }

// Err returns all findings as one error, or nil when there are none.
func (l *List) Err() error { return trace.NewAggregate(l.errors...) }

// Each returns the findings in the error of a List. Any other error is the only finding.
func Each(err error) []error {
	var all trace.Aggregate
	if errors.As(err, &all) {
		return all.Errors()
	}
	return []error{err}
}
