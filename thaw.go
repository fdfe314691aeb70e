package thymewind

import "time"

// frozenFor is the time without a tick from which a daemon takes itself to have
// been frozen, such as by a pause of its box. What it knows is old then.
const frozenFor = 2 * time.Second

// thaw keeps requests back while a daemon that was frozen looks at the list of
// boxes and the configuration again. Neither look is waited for longer than
// its own bound, and a look that fails ends the wait too: then what is known
// is all there is.
type thaw struct {
	// ticked is when the systems last ran.
	ticked time.Time
	// since is when the looks became due; what was asked before tells nothing
	// new.
	since time.Time
	// boxes and configuration are set while these are still to be read.
	boxes, configuration bool
	// kept are the requests that wait.
	kept []placeAsked
}

// noteTick notes that the systems run. After a long gap the looks are due.
func (t *tables) noteTick(now time.Time) {
	t.notice(now)
	t.thaw.ticked = now
}

// notice begins the looks if the daemon was frozen.
func (t *tables) notice(now time.Time) {
	frozen := !t.thaw.ticked.IsZero() && now.Sub(t.thaw.ticked) > frozenFor
	if !frozen {
		return
	}
	t.thaw.ticked, t.thaw.since = now, now
	t.thaw.boxes, t.thaw.configuration = true, true
	t.due.boxes, t.due.configuration = now, now
	// Looks that were under way when it froze don't count.
	delete(t.pending, pendingBoxes)
	delete(t.pending, pendingConfiguration)
}

// looking says whether the looks are still under way.
func (t *tables) looking() bool { return t.thaw.boxes || t.thaw.configuration }

// placeOrKeep places a request, or keeps it until the looks are through.
func (d *Daemon) placeOrKeep(now time.Time, t *tables, m placeAsked) []effect {
	t.notice(now)
	if !t.looking() {
		placed, err := d.place(now, t, m.ask)
		m.reply <- placeAnswer{placed, err}
		return nil
	}
	t.thaw.kept = append(t.thaw.kept, m)
	return d.pollPlatform(now, t)
}

// looked ends one of the looks, if it was asked for since the daemon thawed,
// and with the last places what was kept.
func (d *Daemon) looked(now time.Time, t *tables, asked time.Time, look *bool) {
	if asked.Before(t.thaw.since) {
		return
	}
	*look = false
	if t.looking() {
		return
	}
	for _, m := range t.thaw.kept {
		placed, err := d.place(now, t, m.ask)
		m.reply <- placeAnswer{placed, err}
	}
	t.thaw.kept = nil
}
