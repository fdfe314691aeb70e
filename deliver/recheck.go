package deliver

import (
	"github.com/thymewind/thymewind/refusal"
)

// recheck admits a request again that waited for its placement, as its route or its key may have
// been removed meanwhile, or the proof of the configuration become too old. If it is refused, its
// placement is given up.
func (x *run) recheck(place Placement) *refusal.Refusal {
	if place.Waited == 0 {
		return nil
	}
	_, refused := x.resolve(x.job.Call)
	if refused != nil {
		x.Ended(AttemptResult{Place: place, Job: x.job})
	}
	return refused
}
