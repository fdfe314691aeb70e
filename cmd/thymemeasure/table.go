package main

import (
	"fmt"
	"io"

	"github.com/thymewind/thymewind/internal/measure"
)

// row sums the runs of one deployment, fault and policy.
type row struct {
	deployment, fault string
	policy            measure.Policy
	runs              float64
	sum               measure.Figures
}

// table prints the means over the seeds as a Markdown table.
func table(w io.Writer, lines []line) error {
	var rows []row
	for _, l := range lines {
		n := len(rows)
		if n == 0 || rows[n-1].deployment != l.Deployment || rows[n-1].fault != l.Fault || rows[n-1].policy != l.Policy {
			rows = append(rows, row{deployment: l.Deployment, fault: l.Fault, policy: l.Policy})
			n++
		}
		rows[n-1].add(l.Figures)
	}
	if _, err := fmt.Fprint(w, "| deployment | fault | policy | first token p50 ms | p95 ms | small accounts p95 ms | recomputed | memory link | disk link | refused | retried | wrong |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range rows {
		f := r.sum
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %.0f | %.0f | %.0f | %.3f | %.3f | %.3f | %.0f | %.0f | %d |\n",
			r.deployment, r.fault, r.policy, f.P50/r.runs, f.P95/r.runs, f.SmallP95/r.runs, f.RecomputedShare/r.runs,
			f.MemoryBusy/r.runs, f.DiskBusy/r.runs, float64(f.Refused)/r.runs, float64(f.Retried)/r.runs, f.Wrong); err != nil {
			return err
		}
	}
	return nil
}

// add adds one run's figures.
func (r *row) add(f measure.Figures) {
	r.runs++
	r.sum.P50 += f.P50
	r.sum.P95 += f.P95
	r.sum.SmallP95 += f.SmallP95
	r.sum.RecomputedShare += f.RecomputedShare
	r.sum.MemoryBusy += f.MemoryBusy
	r.sum.DiskBusy += f.DiskBusy
	r.sum.Refused += f.Refused
	r.sum.Retried += f.Retried
	r.sum.Wrong += f.Wrong
}
