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
	// MaxPerTarget bounds the connections to one address; zero is no bound.
	MaxPerTarget func(at netip.AddrPort) int
	// SilentAfter is how long a kept connection may say nothing before an exchange
	// that is given up shows that it is silent; zero never takes one for that.
	SilentAfter time.Duration
	// OnSilent hears of each such connection; nil hears nothing.
	OnSilent func(at netip.AddrPort, waited time.Duration)
	// OnDial hears of each new connection; nil hears nothing.
	OnDial func(at netip.AddrPort)

	mu sync.Mutex
	// idle holds unused connections, the last used at the end.
	idle map[netip.AddrPort][]*connection
	// answerStarts holds the last answers' heads, by address.
	answerStarts map[netip.AddrPort][]answerStart
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

// blockedBy returns why the request must not leave this box, or nil.
func (r *Request) blockedBy() error {
	if r.expired() {
		return ErrLate
	}
	if r.Allow != nil {
		return r.Allow()
	}
	return nil
}

// expired says that the request must not leave this box any more.
func (r *Request) expired() bool { return !r.NotAfter.IsZero() && !boottime.Now().Before(r.NotAfter) }

// acquire returns a kept connection that looks sound, or a new one.
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
	return newConnection(conn, at), nil
}

func (c *Client) reserve(at netip.AddrPort) bool {
	most := 0
	if c.MaxPerTarget != nil {
		most = c.MaxPerTarget(at)
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

// closeConnection closes a connection for good.
func (c *Client) closeConnection(conn *connection) {
	_ = conn.Close() // Nothing is left to learn from a connection in doubt.
	c.release(conn.at)
}

// HasIdle says that an unused connection to a target is kept.
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

// putIdle puts a connection back for the next request.
func (c *Client) putIdle(conn *connection) {
	conn.idleSince = boottime.Now()
	c.addIdle(conn)
}

// addIdle makes a connection that can be used ready for the next request.
func (c *Client) addIdle(conn *connection) {
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
			if now.Sub(conn.idleSince) >= conn.maxIdle(c.IdleTimeout) {
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

// CloseIdle closes the unused connections to an address that is gone.
func (c *Client) CloseIdle(at netip.AddrPort) {
	for conn := c.takeIdle(at); conn != nil; conn = c.takeIdle(at) {
		c.closeConnection(conn)
	}
}
