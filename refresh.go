package thymewind

import "time"

// pauseThreshold is the time without a tick from which a daemon takes itself to have
// been frozen, such as by a pause of its box. What it knows is old then.
const pauseThreshold = 2 * time.Second

// refresh keeps requests back while a daemon that was frozen looks at the list of
// boxes and the configuration again. Neither look is waited for longer than
// its own bound, and a look that fails ends the wait too: then what is known
// is all there is.
type refresh struct {
	// lastTick is when the systems last ran.
	lastTick time.Time
	// dueSince is when the looks became due; what was asked before tells nothing
	// new.
	dueSince time.Time
	// boxesDue and configuration are set while these are still to be read.
	boxesDue, configurationDue bool
	// held are the requests that wait.
	held []placementRequest
}

// noteTick notes that the systems run. After a long gap the looks are due.
func (t *tables) noteTick(now time.Time) {
	t.detectPause(now)
	t.refresh.lastTick = now
}

// detectPause begins the looks if the daemon was frozen.
func (t *tables) detectPause(now time.Time) {
	frozen := !t.refresh.lastTick.IsZero() && now.Sub(t.refresh.lastTick) > pauseThreshold
	if !frozen {
		return
	}
	t.refresh.lastTick, t.refresh.dueSince = now, now
	t.refresh.boxesDue, t.refresh.configurationDue = true, true
	t.due.boxes, t.due.configuration = now, now
	// Looks that were under way when it froze don't count.
	delete(t.pending, pendingBoxes)
	delete(t.pending, pendingConfiguration)
}

// refreshing says whether the looks are still under way.
func (t *tables) refreshing() bool { return t.refresh.boxesDue || t.refresh.configurationDue }

// placeOrHold places a request, or keeps it until the looks are through.
func (d *Daemon) placeOrHold(now time.Time, t *tables, m placementRequest) []effect {
	t.detectPause(now)
	if !t.refreshing() {
		placed, err := d.place(now, t, m.ask)
		m.reply <- placementAnswer{placed, err}
		return nil
	}
	t.refresh.held = append(t.refresh.held, m)
	return d.pollPlatform(now, t)
}

// refreshed ends one of the looks, if it was asked for since the daemon thawed,
// and with the last places what was kept.
func (d *Daemon) refreshed(now time.Time, t *tables, asked time.Time, look *bool) {
	if asked.Before(t.refresh.dueSince) {
		return
	}
	*look = false
	if t.refreshing() {
		return
	}
	for _, m := range t.refresh.held {
		placed, err := d.place(now, t, m.ask)
		m.reply <- placementAnswer{placed, err}
	}
	t.refresh.held = nil
}
