package thymewind

import "time"

// pauseThreshold is the time without a tick from which a daemon assumes that it did
// not run, for example because its box was paused. What it knows may be stale then.
const pauseThreshold = 2 * time.Second

// refresh holds requests back after a pause, until the list of boxes and the
// configuration were read again. Each read has its own timeout. A failed read ends
// the wait too; requests are then placed by what is known.
type refresh struct {
	// lastTick is when the systems last ran, or when a pause was last detected.
	lastTick time.Time
	// dueSince is when the reads became due. Reads requested before that don't
	// count.
	dueSince time.Time
	// boxesDue and configurationDue are set until these were read again.
	boxesDue, configurationDue bool
	// held are the requests waiting for the reads.
	held []placementRequest
}

// noteTick records that the systems run, and detects a pause before.
func (t *tables) noteTick(now time.Time) {
	t.detectPause(now)
	t.refresh.lastTick = now
}

// detectPause makes both reads due if the last tick was too long ago.
func (t *tables) detectPause(now time.Time) {
	paused := !t.refresh.lastTick.IsZero() && now.Sub(t.refresh.lastTick) > pauseThreshold
	if !paused {
		return
	}
	t.refresh.lastTick, t.refresh.dueSince = now, now
	t.refresh.boxesDue, t.refresh.configurationDue = true, true
	t.due.boxes, t.due.configuration = now, now
	// Reads that were in flight before the pause don't count.
	delete(t.pending, pendingBoxes)
	delete(t.pending, pendingConfiguration)
}

// refreshing reports whether one of the reads is still due.
func (t *tables) refreshing() bool { return t.refresh.boxesDue || t.refresh.configurationDue }

// placeOrHold places a request, or holds it until the reads are done.
func (d *Daemon) placeOrHold(now time.Time, t *tables, m placementRequest) []effect {
	t.detectPause(now)
	if !t.refreshing() {
		placed, err := d.place(now, t, m.request)
		m.reply <- placementAnswer{placed, err}
		return nil
	}
	t.refresh.held = append(t.refresh.held, m)
	return d.pollPlatform(now, t)
}

// refreshed marks one of the reads as done, if it was requested after the pause.
// Once both are done, it places the held requests.
func (d *Daemon) refreshed(now time.Time, t *tables, requestedAt time.Time, due *bool) {
	if requestedAt.Before(t.refresh.dueSince) {
		return
	}
	*due = false
	if t.refreshing() {
		return
	}
	for _, m := range t.refresh.held {
		placed, err := d.place(now, t, m.request)
		m.reply <- placementAnswer{placed, err}
	}
	t.refresh.held = nil
}
