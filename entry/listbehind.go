package entry

import (
	"context"
	"sync"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// A hub's target list has no proof with an age as the configuration has: a held read that
// returns nothing for 3 s looks the same whether the hub is healthy or cut off, and shorter
// holds would cost calls at every hub. So hubs report to each other the newest change of the
// list that they have read. A hub that has not read a reported change within the time of a
// healthy read cancels its held read and reads at once. If that brings nothing, it is cut off
// from the table service, though other hubs prove its configuration: it reports its list as
// behind, and its spokes move to the next hub.

const (
	// behindReadAfter is the delay between another hub's report and the immediate read. A
	// healthy hub has the change by its own read within targetsReadInterval.
	behindReadAfter = targetsReadInterval + 50*time.Millisecond
	// behindAfter is the delay after which the list is behind: behindReadAfter and a quarter of
	// a second for the answer of a slow table service.
	behindAfter = behindReadAfter + 250*time.Millisecond
)

// receiveListRevision compares the newest list change that another hub has read with this box's
// own.
func (d *Daemon) receiveListRevision(now time.Time, t *tables, m peer.Message) {
	if t.listVersion == 0 || !m.ListRevision.After(t.listKnown) {
		return
	}
	if t.listBehindSince.IsZero() {
		t.listBehindSince = now
	}
}

// listBehind reports whether this box's list has lacked a change that another hub reported for
// too long.
func (t *tables) listBehind(now time.Time) bool {
	return !t.listBehindSince.IsZero() && now.Sub(t.listBehindSince) >= behindAfter
}

// noteListRead records up to which revision the list was read.
func (d *Daemon) noteListRead(now time.Time, t *tables, m targetsRead) {
	t.listKnown = revision.Max(t.listKnown, m.change.Known)
	t.listChanged = revision.Max(t.listChanged, m.change.Changed)
	if t.listBehind(now) {
		d.Log.Info("list of targets is no longer behind", "known", t.listKnown, "behind_for", now.Sub(t.listBehindSince))
	}
	t.listBehindSince, t.listBehindLogged = time.Time{}, false
	d.listReads.answered()
}

// rereadIfBehind has the list read at once if another hub has read a later change.
func (d *Daemon) rereadIfBehind(now time.Time, t *tables) []effect {
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

// listReads cancels a held read of the target list when another hub knows of a later change. It
// is safe for concurrent use.
type listReads struct {
	mu sync.Mutex
	// cancel ends the read in flight.
	cancel context.CancelFunc
	// interrupting means that another hub has read a later change and no read was answered
	// since.
	interrupting bool
}

// begin returns the next read's context and hold.
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

// interrupt cancels the read in flight and makes further reads unheld until answered.
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

// interrupted reports whether reads are not held.
func (l *listReads) interrupted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupting
}

// answered records that a read was answered.
func (l *listReads) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interrupting = false
}
