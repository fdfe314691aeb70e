package entry

import (
	"maps"
	"slices"
	"time"
)

// burstBoxes is the least number of boxes among which saved-up retries are divided, as boxes
// may join before the others know of them.
const burstBoxes = 10

// retryBurst is how many retries this box may save up, so that all boxes together stay within
// the platform's bound whatever each has saved. It is an equal share of the bound. Where that
// is less than one, as many boxes as the bound allows get one each and the others none. A box
// that does not know the others yet gets one.
func (d *Daemon) retryBurst(now time.Time, t *tables) float64 {
	all := d.bounds.Load().RetryExtra * retryUtilization
	boxes := t.boxCount(now)
	switch {
	case d.unlisted.Load() && t.hubBoxes == 0:
		return 0 // Other boxes may have saved up the whole bound.
	case len(t.members) == 0:
		return min(1, all)
	}
	if float64(boxes) <= all {
		return max(1, all/float64(max(boxes, burstBoxes)))
	}
	if t.hasUnlisted(now) {
		return sampledBurst(d.Settings.Name, boxes, all)
	}
	rank := slices.Index(slices.Sorted(maps.Keys(t.members)), d.Settings.Name)
	if rank >= 0 && float64(rank+1) <= all {
		return 1
	}
	return 0
}
