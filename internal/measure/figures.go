package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the results of a run. The exported ones are computed from the unexported
// counts at the end.
type Figures struct {
	Requests        int     `json:"requests"`
	P50             float64 `json:"ttft_p50_ms"`
	P95             float64 `json:"ttft_p95_ms"`
	SmallP95        float64 `json:"small_accounts_ttft_p95_ms"`
	RecomputedShare float64 `json:"recomputed_share"`
	MemoryBusy      float64 `json:"link_busy_share_memory"`
	DiskBusy        float64 `json:"link_busy_share_disk"`
	Refused         int     `json:"refused"`
	Retried         int     `json:"retried"`
	Wrong           int     `json:"wrong"`

	requests, refused, retried int
	first, small               *hdrhistogram.Histogram
	prompt, computed           int
}

// answered counts a whole answer. The first fifth of the time is the caches' warm-up and
// is not counted.
func (f *Figures) answered(r *request, now time.Time) {
	const longest = 600_000_000
	if f.first == nil {
		f.first = hdrhistogram.New(1, longest, 3)
		f.small = hdrhistogram.New(1, longest, 3)
	}
	if now.Sub(time.Unix(0, 0)) < LutongBahay.duration()/5 {
		return
	}
	took := min(r.firstTokenAt.Sub(r.arrived).Microseconds(), longest)
	_ = f.first.RecordValue(took)
	if r.account != accountName(0) {
		_ = f.small.RecordValue(took)
	}
	f.prompt += r.usage.Prompt
	f.computed += r.usage.Prompt - r.usage.Reused - r.usage.Imported
}

// finish computes the figures from the counts.
func (sim *simulation) finish() {
	f := sim.figures
	f.Requests, f.Refused, f.Retried = f.requests, f.refused, f.retried
	if f.first != nil {
		f.P50 = float64(f.first.ValueAtPercentile(50)) / 1000
		f.P95 = float64(f.first.ValueAtPercentile(95)) / 1000
		f.SmallP95 = float64(f.small.ValueAtPercentile(95)) / 1000
	}
	if f.prompt > 0 {
		f.RecomputedShare = float64(f.computed) / float64(f.prompt)
	}
	all := sim.Deployment.duration().Seconds() * float64(len(sim.stores))
	for _, s := range sim.stores {
		f.MemoryBusy += s.busy[0].Seconds() / all
		f.DiskBusy += s.busy[1].Seconds() / all
	}
}
