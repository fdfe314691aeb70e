package entry

import "time"

// minLoggedSuspension is the shortest suspension of the machine that is logged. Shorter ones
// hardly age a proof, as proofs are trusted for seconds.
const minLoggedSuspension = 100 * time.Millisecond

// noteSuspension logs that the machine was suspended. All ages include that time anyway; the
// kernel is asked here so that a step of the wall clock can't hide it for longer than the
// interval between two checks.
func (d *Daemon) noteSuspension(now time.Time, t *tables) []effect {
	if now.Before(t.due.suspension) {
		return nil
	}
	t.due.suspension = now.Add(reapInterval)
	all := d.suspended()
	if slept := all - t.suspended; slept >= minLoggedSuspension {
		t.suspended = all
		d.metrics.suspended.Add(slept.Seconds())
		d.Log.Warn("this box was suspended", "for", slept, "proved_ago", d.provedAgo(d.now()), "configuration", d.version())
	}
	return nil
}
