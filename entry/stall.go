package entry

import "time"

// maxLoopGap is the longest time between two runs of the loop that is no stall.
const maxLoopGap = 2 * tick

// noteStall gives all targets the whole silence timeout again after a time in which the loop did not
// run, as their answers may wait in this box's sockets.
func (d *Daemon) noteStall(now time.Time, t *tables) {
	stalled := !t.ranAt.IsZero() && now.Sub(t.ranAt) > maxLoopGap
	t.ranAt = now
	if stalled {
		t.fleet.RestartSilence(now)
	}
}
