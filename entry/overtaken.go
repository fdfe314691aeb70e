package entry

import (
	"context"
	"sync"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// A hub's list of targets has no proof with an age as the configuration has: a held read that
// says nothing for 3 s is what a sound one and one that was cut off look like alike, and
// shorter holds cost calls at every hub. So hubs tell each other how far the list is known to
// have changed. One that hears of a later change than it has read for longer than a sound
// read takes breaks its read off and reads at once. If that brings nothing either, it is cut
// off from the table service, though other hubs vouch for its configuration: it says that its
// list is behind, and boxes that live on it go to the next hub.

const (
	// behindReadAfter is how long after another hub's word this one reads at once: a sound
	// hub has the change by its own read within targetsEvery.
	behindReadAfter = targetsReadInterval + 50*time.Millisecond
	// behindAfter is how long after it its list is behind: overtakenRead and an answer of a
	// slow table service, a quarter of a second.
	behindAfter = behindReadAfter + 250*time.Millisecond
)

// receiveListRevision takes over how far another hub knows the list to have changed.
func (d *Daemon) receiveListRevision(now time.Time, t *tables, m peer.Message) {
	if t.listVersion == 0 || !m.ListRevision.After(t.listKnown) {
		return
	}
	if t.listBehindSince.IsZero() {
		t.listBehindSince = now
	}
}

// listBehind says that this box's list lacks a change that another hub told of for too long.
func (t *tables) listBehind(now time.Time) bool {
	return !t.listBehindSince.IsZero() && now.Sub(t.listBehindSince) >= behindAfter
}

// noteListRead notes how far the list was read.
func (d *Daemon) noteListRead(now time.Time, t *tables, m targetsRead) {
	t.listKnown = revision.Max(t.listKnown, m.change.Known)
	t.listChanged = revision.Max(t.listChanged, m.change.Changed)
	if t.listBehind(now) {
		d.Log.Info("list of targets is not behind any more", "known", t.listKnown, "behind_for", now.Sub(t.listBehindSince))
	}
	t.listBehindSince, t.listBehindLogged = time.Time{}, false
	d.listReads.answered()
}

// rereadIfStale has the list read at once if it was overtaken.
func (d *Daemon) rereadIfStale(now time.Time, t *tables) []effect {
	if t.listBehindSince.IsZero() || now.Sub(t.listBehindSince) < behindReadAfter {
		return nil
	}
	d.listReads.interrupt()
	if t.listBehind(now) && !t.listBehindLogged {
		t.listBehindLogged = true
		d.Log.Warn("list of targets is behind", "known", t.listKnown, "for", now.Sub(t.listBehindSince), "hub", !d.spoke.Load())
	}
	return nil
}

// listReads breaks a held read of the list off when another hub knows of a later change. It
// is safe for concurrent use.
type listReads struct {
	mu sync.Mutex
	// cancel ends the read under way.
	cancel context.CancelFunc
	// interrupting says that the list was overtaken and not read since.
	interrupting bool
}

// begin returns the next read's context and how long it is held.
func (l *listReads) begin(ctx context.Context) (context.Context, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
	ctx, l.cancel = context.WithCancel(ctx)
	if l.interrupting {
		return ctx, 0
	}
	return ctx, readHold
}

// interrupt breaks the read off, if it is held, and has the next ones not be held.
func (l *listReads) interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.interrupting {
		return
	}
	l.interrupting = true
	if l.cancel != nil {
		l.cancel()
	}
}

// interrupted says that reads are not held.
func (l *listReads) interrupted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupting
}

// answered notes that a read was answered.
func (l *listReads) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interrupting = false
}
