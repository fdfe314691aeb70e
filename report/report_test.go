package report_test

import (
	"testing"

	"github.com/thymewind/thymewind/report"
)

func TestFilter(t *testing.T) {
	tests := []struct {
		column, sign, value string
		left                int
		err                 bool
	}{
		{"name", "=", "b", 1, false},
		{"name", "!=", "b", 2, false},
		{"load", ">", "9", 1, false},
		{"load", "<", "10", 2, false},
		{"size", "=", "1", 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.column+tt.sign+tt.value, func(t *testing.T) {
			r := report.Report{Columns: []string{"name", "load"}}
			r.Add("a", 2)
			r.Add("b", 9)
			r.Add("c", 10)
			err := r.Filter(tt.column, tt.sign, tt.value)
			if (err != nil) != tt.err || len(r.Rows) != tt.left {
				t.Errorf("%d rows left, error %v", len(r.Rows), err)
			}
		})
	}
}
