// Package exchange sends HTTP/1.1 requests to targets over persistent connections and never
// resends one: the error says whether a request may have reached its target, and a connection in
// an uncertain state is closed instead of kept.
//
//	c := exchange.Client{Dial: dialer.DialContext, DialTimeout: time.Second, IdleTimeout: 10 * time.Second}
//	answer, err := c.Do(ctx, at, &exchange.Request{Method: "GET", Path: "/x", Header: h})
//	if errors.Is(err, exchange.ErrNotSent) { // no byte left this box
//	}
//	defer answer.Close()
package exchange

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/readlimit"
)

// ErrNotSent says that no byte of the request left this box.
var ErrNotSent = errors.New("the request was not sent")

// ErrConnectionLimit says that this box has reached its limit of connections to the target, and
// all are in use. It is wrapped together with ErrNotSent.
var ErrConnectionLimit = errors.New("the limit of connections to the target is reached")

// ErrLate says that the request's NotAfter has passed. It is wrapped together with ErrNotSent.
var ErrLate = errors.New("the request's deadline for sending has passed")

// Client keeps connections to targets. Set the exported fields before first use; it is safe for
// concurrent use after that.
type Client struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds how long connecting may take.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless its target announces a shorter
	// keep-alive timeout. It should be shorter than any target's own limit.
	IdleTimeout time.Duration
	// MaxPerTarget returns the limit of connections to an address; nil or zero means no limit.
	MaxPerTarget func(at netip.AddrPort) int
	// SilentAfter is how long an abandoned exchange must have waited for bytes on a kept
	// connection before that counts as silent; zero turns the detection off.
	SilentAfter time.Duration
	// OnSilent is called for each connection found silent; may be nil.
	OnSilent func(at netip.AddrPort, waited time.Duration)
	// OnDial is called for each new connection; may be nil.
	OnDial func(at netip.AddrPort)
	// ReceiveBudget is how many bytes the receive buffers of all exchanges under way may have
	// beyond 32 KiB each; zero leaves all buffers as they were dialled. Unread answers fill them.
	ReceiveBudget int64
	// MaxHead bounds an answer's head in bytes, with the informational ones before it, MaxBody its
	// body, and MaxWhole a body that ReadAll reads; zero means no bound. What is longer is no answer.
	MaxHead, MaxBody, MaxWhole int64
	// ReadBudget bounds the bytes of all heads that are longer than usual, and of all bodies that
	// ReadAll reads, until their exchanges end.
	ReadBudget readlimit.Budget
	// OnOverlong is called for each answer a part of which is too long, with the bytes that came or
	// that its head stated; may be nil.
	OnOverlong func(at netip.AddrPort, part string, bytes int64)

	mu sync.Mutex
	// idle holds idle connections, the most recently used last.
	idle map[netip.AddrPort][]*connection
	// answerStarts holds when the latest answers began, by address.
	answerStarts map[netip.AddrPort][]answerStart
	// open counts connections, idle and in use.
	open map[netip.AddrPort]int
	// receiveGranted is what exchanges under way take of ReceiveBudget.
	receiveGranted int64
}

// Request is a request to send. Header holds end-to-end headers only; Host and Content-Length are
// added.
type Request struct {
	Method string
	// Path is the request target as sent: escaped, with the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// NotAfter is when the request may no longer leave this box, by the clock of package boottime;
	// zero means no limit. A context would notice too late if the machine was suspended while
	// connecting.
	NotAfter time.Time
	// Allow is called right before the first byte leaves this box, when the connection is
	// established, however long that took. An error keeps the request from being sent and is
	// wrapped together with ErrNotSent. Nil allows it.
	Allow func() error
}

// blockedBy returns why the request may not leave this box, or nil.
func (r *Request) blockedBy() error {
	if r.expired() {
		return ErrLate
	}
	if r.Allow != nil {
		return r.Allow()
	}
	return nil
}

// expired reports whether NotAfter has passed.
func (r *Request) expired() bool { return !r.NotAfter.IsZero() && !boottime.Now().Before(r.NotAfter) }

// acquire returns a usable idle connection, or a new one.
func (c *Client) acquire(ctx context.Context, at netip.AddrPort) (*connection, error) {
	for {
		kept := c.takeIdle(at)
		if kept == nil {
			break
		}
		if kept.usable() {
			return kept, nil
		}
		c.closeConnection(kept)
	}
	return c.dial(ctx, at)
}

func (c *Client) dial(ctx context.Context, at netip.AddrPort) (*connection, error) {
	if !c.reserve(at) {
		return nil, ErrConnectionLimit
	}
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, "tcp", at.String())
	if err != nil {
		c.release(at)
		return nil, err
	}
	if c.OnDial != nil {
		c.OnDial(at)
	}
	opened := newConnection(conn, at)
	opened.budget = &c.ReadBudget
	return opened, nil
}

func (c *Client) reserve(at netip.AddrPort) bool {
	limit := 0
	if c.MaxPerTarget != nil {
		limit = c.MaxPerTarget(at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.open[at] >= limit {
		return false
	}
	if c.open == nil {
		c.open = make(map[netip.AddrPort]int)
	}
	c.open[at]++
	return true
}

func (c *Client) release(at netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[at]--
	if c.open[at] <= 0 {
		delete(c.open, at)
	}
}

// closeConnection closes a connection and frees its place under the limit.
func (c *Client) closeConnection(conn *connection) {
	_ = conn.Close() // The connection is discarded, so the error does not matter.
	conn.returnTaken()
	c.mu.Lock()
	c.returnReceive(conn)
	c.mu.Unlock()
	c.release(conn.at)
}

// HasIdle reports whether there is an idle connection to a target.
func (c *Client) HasIdle(at netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[at]) > 0
}

func (c *Client) takeIdle(at netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[at]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[at] = list[:len(list)-1]
	return last
}

// putIdle makes a connection available after its exchange.
func (c *Client) putIdle(conn *connection) {
	conn.idleSince = boottime.Now()
	c.addIdle(conn)
}

// addIdle makes a usable connection available for the next request.
func (c *Client) addIdle(conn *connection) {
	conn.returnTaken()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[netip.AddrPort][]*connection)
	}
	c.returnReceive(conn)
	c.idle[conn.at] = append(c.idle[conn.at], conn)
}

// Sweep closes connections that have been idle for too long, that their targets closed, or on which
// surplus bytes came, which the kernel would hold. Call it about once a second.
func (c *Client) Sweep(now time.Time) {
	for _, conn := range c.removeExpired(now) {
		c.closeConnection(conn)
	}
}

func (c *Client) removeExpired(now time.Time) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []*connection
	for at, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleSince) >= conn.maxIdle(c.IdleTimeout) || !conn.usable() {
				old = append(old, conn)
				continue
			}
			kept = append(kept, conn)
		}
		clear(list[len(kept):])
		c.idle[at] = kept
		if len(kept) == 0 {
			delete(c.idle, at)
		}
	}
	maps.DeleteFunc(c.answerStarts, func(_ netip.AddrPort, list []answerStart) bool { return now.Sub(list[len(list)-1].at) >= c.IdleTimeout })
	return old
}

// CloseIdle closes the idle connections to an address that is gone.
func (c *Client) CloseIdle(at netip.AddrPort) {
	for conn := c.takeIdle(at); conn != nil; conn = c.takeIdle(at) {
		c.closeConnection(conn)
	}
}
