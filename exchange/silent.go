package exchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/readlimit"
)

// Read records how long it has been waiting while no bytes arrive, and bounds heads.
func (c *connection) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		c.headErr = readlimit.Overlong(c.headRead, c.headRead)
		return 0, c.headErr
	}
	if c.headLeft > 0 {
		b = b[:min(int64(len(b)), c.headLeft)]
	}
	c.readingSince = boottime.Now()
	n, err := c.stream.Read(b)
	if n > 0 {
		c.readingSince = time.Time{}
	}
	if c.headLeft > 0 && !c.countHead(int64(n)) {
		c.headErr = readlimit.ErrBudget
		return n, c.headErr
	}
	return n, err
}

// maxAnswerStarts is how many answers per address are remembered. The feed of cache events from an
// engine alone brings one at least every 0.4 s.
const maxAnswerStarts = 16

// answerStart is when an answer began, on a connection opened at openedAt.
type answerStart struct{ at, openedAt time.Time }

// recordAnswerStart records that an answer began.
func (c *Client) recordAnswerStart(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.SilentAfter == 0 {
		return
	}
	if c.answerStarts == nil {
		c.answerStarts = make(map[netip.AddrPort][]answerStart)
	}
	list := c.answerStarts[conn.at]
	if len(list) == maxAnswerStarts {
		list = slices.Delete(list, 0, 1)
	}
	c.answerStarts[conn.at] = append(list, answerStart{boottime.Now(), conn.openedAt})
}

// answeredSince reports whether the target began an answer after since on a connection that was
// open before.
func (c *Client) answeredSince(at netip.AddrPort, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.answerStarts[at], func(h answerStart) bool { return h.at.After(since) && h.openedAt.Before(since) })
}

// checkSilence reports the connection of an abandoned exchange as silent if no bytes came for
// SilentAfter. Only a reused connection can be found silent: a target may be slow to answer on a
// new one. Neither is a connection silent while the target answers on others that were open before
// the wait began: the target is busy and has queued this request. Treating that as silence made
// all requests queued at a target run twice as soon as one caller left.
//
// Idle connections on which nothing has arrived since may be silent too. They are closed, so that
// they cost one request in total instead of one each.
func (a *Answer) checkSilence() {
	c, conn := a.client, a.conn
	if c.SilentAfter == 0 || !conn.reused || conn.readingSince.IsZero() {
		return
	}
	waited := boottime.Since(conn.readingSince)
	if waited < c.SilentAfter || c.answeredSince(conn.at, conn.readingSince) {
		return
	}
	c.closeIdleBefore(conn.at, conn.readingSince)
	if c.OnSilent != nil {
		c.OnSilent(conn.at, waited)
	}
}

// closeIdleBefore closes the idle connections to an address that were last used before since.
func (c *Client) closeIdleBefore(at netip.AddrPort, since time.Time) {
	c.mu.Lock()
	var suspects []*connection
	c.idle[at] = slices.DeleteFunc(c.idle[at], func(conn *connection) bool {
		stale := conn.idleSince.Before(since)
		if stale {
			suspects = append(suspects, conn)
		}
		return stale
	})
	if len(c.idle[at]) == 0 {
		delete(c.idle, at)
	}
	c.mu.Unlock()
	for _, conn := range suspects {
		c.closeConnection(conn)
	}
}
