// Package exchange sends HTTP/1.1 requests to targets over kept connections
// and never sends one twice: a request that may have reached its target is
// reported so, and a connection in doubt is closed instead of kept.
//
//	c := exchange.Client{Dial: dialer.DialContext, Idle: 10 * time.Second, PerTarget: 32}
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
)

// ErrNotSent says that no byte of the request left this box.
var ErrNotSent = errors.New("the request was not sent")

// ErrConnectionLimit says that all connections to a target that this box may have are in
// use. It comes with ErrNotSent.
var ErrConnectionLimit = errors.New("all connections to the target are in use")

// ErrLate says that the request's NotAfter was over. It comes with ErrNotSent.
var ErrLate = errors.New("it is too late to send the request")

// Client keeps connections to targets. Set the exported fields before first
// use; it is safe for concurrent use after that.
type Client struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds how long a new connection may take.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if its target says nothing
	// of that; it is shorter than any target's own limit.
	IdleTimeout time.Duration
	// PerTarget bounds the connections to one address; zero is no bound.
	PerTarget func(at netip.AddrPort) int
	// SilentAfter is how long a kept connection may say nothing before an exchange
	// that is given up shows that it is silent; zero never takes one for that.
	SilentAfter time.Duration
	// OnSilent hears of each such connection; nil hears nothing.
	OnSilent func(at netip.AddrPort, waited time.Duration)
	// Dialed hears of each new connection; nil hears nothing.
	Dialed func(at netip.AddrPort)

	mu sync.Mutex
	// idle holds unused connections, the last used at the end.
	idle map[netip.AddrPort][]*connection
	// heard holds the last answers' heads, by address.
	heard map[netip.AddrPort][]head
	// open counts connections, used or not.
	open map[netip.AddrPort]int
}

// Request is what goes out. Header holds end-to-end headers only; the length
// and the connection's own headers are added.
type Request struct {
	Method string
	// Path is the request target as it goes on the wire: escaped, with query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// NotAfter is when the request must not leave this box any more, by the clock of
	// package boottime; zero lets it leave at any time. A context tells that late if
	// the machine was suspended while a connection was made.
	NotAfter time.Time
	// Allow is asked right before the first byte leaves this box, when a connection
	// stands, however long that took; its error, which comes with ErrNotSent, keeps the
	// request here. Nil allows it.
	Allow func() error
}

// barred returns why the request must not leave this box, or nil.
func (r *Request) barred() error {
	if r.late() {
		return ErrLate
	}
	if r.Allow != nil {
		return r.Allow()
	}
	return nil
}

// late says that the request must not leave this box any more.
func (r *Request) late() bool { return !r.NotAfter.IsZero() && !boottime.Now().Before(r.NotAfter) }

// take returns a kept connection that looks sound, or a new one.
func (c *Client) take(ctx context.Context, at netip.AddrPort) (*connection, error) {
	for {
		kept := c.pop(at)
		if kept == nil {
			break
		}
		if kept.sound() {
			return kept, nil
		}
		c.drop(kept)
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
	if c.Dialed != nil {
		c.Dialed(at)
	}
	return newConnection(conn, at), nil
}

func (c *Client) reserve(at netip.AddrPort) bool {
	most := 0
	if c.PerTarget != nil {
		most = c.PerTarget(at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if most > 0 && c.open[at] >= most {
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

// drop closes a connection for good.
func (c *Client) drop(conn *connection) {
	_ = conn.Close() // Nothing is left to learn from a connection in doubt.
	c.release(conn.at)
}

// HasIdle says that an unused connection to a target is kept.
func (c *Client) HasIdle(at netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[at]) > 0
}

func (c *Client) pop(at netip.AddrPort) *connection {
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

// keep puts a connection back for the next request.
func (c *Client) keep(conn *connection) {
	conn.unused = boottime.Now()
	c.shelve(conn)
}

// shelve makes a connection that can be used ready for the next request.
func (c *Client) shelve(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[netip.AddrPort][]*connection)
	}
	c.idle[conn.at] = append(c.idle[conn.at], conn)
}

// Sweep closes connections that were unused for too long or that their targets
// closed. Call it about once a second.
func (c *Client) Sweep(now time.Time) {
	for _, conn := range c.overdue(now) {
		c.drop(conn)
	}
}

func (c *Client) overdue(now time.Time) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []*connection
	for at, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.unused) >= conn.idleFor(c.IdleTimeout) {
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
	maps.DeleteFunc(c.heard, func(_ netip.AddrPort, list []head) bool { return now.Sub(list[len(list)-1].at) >= c.IdleTimeout })
	return old
}

// CloseIdle closes the unused connections to an address that is gone.
func (c *Client) CloseIdle(at netip.AddrPort) {
	for conn := c.pop(at); conn != nil; conn = c.pop(at) {
		c.drop(conn)
	}
}
