package entry

import (
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
)

// A caller that was refused for want of room and returns when told keeps the place in the order
// that its first try had (package returning). The boxes of a domain ask the same first hub, so it
// is known there through whichever of them it returns.

// noteReturn finds out whether a request of this box is of a caller that returns.
func (d *Daemon) noteReturn(now time.Time, t *tables, m *placementRequest) {
	if m.returning || t.returning.Len() == 0 || !d.mayWait(m.ask.Job) {
		return
	}
	if since, ok := t.returning.Return(now, m.ask.Job.Fingerprint()); ok {
		m.since, m.returning = since, true
	}
}

// returnOf returns when the caller of another box's request first asked, and whether it returns.
func (t *tables) returnOf(now time.Time, m peer.Message) (time.Time, bool) {
	sum, ok := fingerprintOf(m)
	if !ok || !m.PlacementRequest.Wait {
		return time.Time{}, false
	}
	return t.returning.Return(now, sum)
}

// fingerprintOf returns the fingerprint that another box sent with its request, if it did.
func fingerprintOf(m peer.Message) (fingerprint.Sum, bool) {
	sum := m.PlacementRequest.Fingerprint
	if len(sum) != len(fingerprint.Sum{}) {
		return fingerprint.Sum{}, false
	}
	return fingerprint.Sum(sum), true
}

// rememberRefused remembers a request that is refused for want of room.
func (t *tables) rememberRefused(now time.Time, x *waiter, retryAfter time.Duration) {
	returnAt := now.Add(retryAfter)
	if x.own() {
		t.returning.Refused(now, x.request.ask.Job.Fingerprint(), x.queued.Since, returnAt)
		return
	}
	if sum, ok := fingerprintOf(x.held.message); ok {
		t.returning.Refused(now, sum, x.queued.Since, returnAt)
	}
}
