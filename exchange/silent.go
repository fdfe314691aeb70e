package exchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

// Read reads and notes since when it waits, if nothing comes.
func (c *connection) Read(b []byte) (int, error) {
	c.readingSince = boottime.Now()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readingSince = time.Time{}
	}
	return n, err
}

// maxAnswerStarts is how many of the last answers' heads from an address are remembered. The
// news of an engine alone brings one in 0.4 s at most.
const maxAnswerStarts = 16

// answerStart is when an answer began, on a connection that was made at a time.
type answerStart struct{ at, openedAt time.Time }

// recordAnswerStart notes that an answer began.
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

// answeredSince says that the target began an answer since a time on a connection
// that was there before.
func (c *Client) answeredSince(at netip.AddrPort, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.answerStarts[at], func(h answerStart) bool { return h.at.After(since) && h.openedAt.Before(since) })
}

// checkSilence looks whether an exchange that was given up shows that its
// connection is silent. Only a kept one shows that: a target may be slow to answer
// on a new one. A busy target that has a request wait shows nothing either, as long
// as it answers on other connections as old: taken for silent, it had all requests
// that waited there run twice once a single caller left. The unused connections on
// which nothing came since either may be silent as well and are closed, as each
// would cost a request: one costs one in all.
func (a *Answer) checkSilence() {
	c, conn := a.client, a.conn
	if c.SilentAfter == 0 || !conn.reused || conn.readingSince.IsZero() {
		return
	}
	waited := boottime.Since(conn.readingSince)
	if waited < c.SilentAfter || c.answeredSince(conn.at, conn.readingSince) {
		return
	}
	c.closeIdleSince(conn.at, conn.readingSince)
	if c.OnSilent != nil {
		c.OnSilent(conn.at, waited)
	}
}

// closeIdleSince closes the unused connections to an address on which nothing came
// since a time.
func (c *Client) closeIdleSince(at netip.AddrPort, since time.Time) {
	c.mu.Lock()
	var doubted []*connection
	c.idle[at] = slices.DeleteFunc(c.idle[at], func(conn *connection) bool {
		unheard := conn.idleSince.Before(since)
		if unheard {
			doubted = append(doubted, conn)
		}
		return unheard
	})
	if len(c.idle[at]) == 0 {
		delete(c.idle, at)
	}
	c.mu.Unlock()
	for _, conn := range doubted {
		c.closeConnection(conn)
	}
}
