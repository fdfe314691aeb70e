// Package report holds the answer to an operator's statement: a table of rows, or the
// revision that a change created.
//
//	r := report.Report{Columns: []string{"name", "load"}}
//	r.Add("engine-1", 3)
//	r.Filter("load", ">", "2")
package report

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Report is the answer to one statement.
type Report struct {
	Columns []string `json:"columns,omitempty"`
	// Rows have one value for each column.
	Rows [][]string `json:"rows,omitempty"`
	// Missing names the boxes that did not answer.
	Missing []string `json:"missing,omitempty"`
	// Revision is the configuration revision that a change created.
	Revision uint64 `json:"revision,omitempty"`
	// Change is the ID of a change. Its outcome can be read back by it.
	Change string `json:"change,omitempty"`
	// Text is an answer in plain text.
	Text string `json:"text,omitempty"`
	// Error is the reason of a refusal; empty if the statement was accepted.
	Error string `json:"error,omitempty"`
}

// FromError returns the report of a refused statement.
func FromError(err error) Report { return Report{Error: trace.Unwrap(err).Error()} }

// Add appends a row.
func (r *Report) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = fmt.Sprint(v)
	}
	r.Rows = append(r.Rows, row)
}

// Filter keeps the rows whose column satisfies a comparison. Two numbers are compared by
// value, anything else as text. It fails with trace.NotFound for an unknown column.
func (r *Report) Filter(column, sign, value string) error {
	at := slices.Index(r.Columns, column)
	if at < 0 {
		return trace.NotFound("there is no column %q; there are %s", column, strings.Join(r.Columns, ", "))
	}
	r.Rows = slices.DeleteFunc(r.Rows, func(row []string) bool {
		return !matches(compare(row[at], value), sign)
	})
	return nil
}

// Last keeps the last n rows; zero keeps all.
func (r *Report) Last(n int) {
	if n > 0 && len(r.Rows) > n {
		r.Rows = r.Rows[len(r.Rows)-n:]
	}
}

func matches(order int, sign string) bool {
	switch sign {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	}
	return false
}

func compare(a, b string) int {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	switch {
	case errA != nil || errB != nil:
		return strings.Compare(a, b)
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
