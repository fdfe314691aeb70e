package exchange

import (
	"net/netip"
	"slices"
	"time"
)

// Read reads and notes since when it waits, if nothing comes.
func (c *connection) Read(b []byte) (int, error) {
	c.waiting = time.Now()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waiting = time.Time{}
	}
	return n, err
}

// noteSilence looks whether an exchange that was given up shows that its
// connection is silent. Only a kept one shows that: a target may be slow to answer
// on a new one. The unused connections on which nothing came since either may be
// silent as well and are closed, as each would cost a request: one costs one in
// all.
func (a *Answer) noteSilence() {
	c, conn := a.client, a.conn
	if c.SilentAfter == 0 || !conn.used || conn.waiting.IsZero() {
		return
	}
	waited := time.Since(conn.waiting)
	if waited < c.SilentAfter {
		return
	}
	c.forgetUnheard(conn.at, conn.waiting)
	if c.Silent != nil {
		c.Silent(conn.at, waited)
	}
}

// forgetUnheard closes the unused connections to an address on which nothing came
// since a time.
func (c *Client) forgetUnheard(at netip.AddrPort, since time.Time) {
	c.mu.Lock()
	var doubted []*connection
	c.idle[at] = slices.DeleteFunc(c.idle[at], func(conn *connection) bool {
		unheard := conn.unused.Before(since)
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
		c.drop(conn)
	}
}
