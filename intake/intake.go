// Package intake bounds what the clients of a process have it hold: their connections, the heads and
// bodies that they are still sending, and what the kernel keeps for them. Clients that behave never
// meet the bounds; others lose their connections before those lose their answers.
//
//	gate := intake.Gate{Limits: limits.For(memory, descriptors), Ledger: &ledger, Now: boottime.Now}
//	server := &http.Server{Handler: handler}
//	listener = gate.Guard(server, listener, intake.Callers)
//	go server.Serve(listener)
//
// A connection beyond the limit of its listener takes the place of the one whose request arrives the
// most slowly, else of the one that has been idle for the longest. Connections whose requests are
// being served are never closed. If there is nothing to close, the new connection is.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thymewind/thymewind/heldbytes"
)

// Share says how much of the process's connections a listener may take.
type Share int

// The kinds of listeners.
const (
	// Callers are clients with requests.
	Callers Share = iota
	// Peers are other boxes.
	Peers
	// Operators are clients with few connections, such as a load balancer's probes.
	Operators
)

// Gate bounds what clients have this process hold, over all its listeners. Set the exported fields
// before first use; it is safe for concurrent use after that.
type Gate struct {
	// Limits are those of Limits.For.
	Limits Limits
	// Ledger counts the bytes of heads and bodies.
	Ledger *heldbytes.Ledger
	// Now returns the time.
	Now func() time.Time

	mu        sync.Mutex
	listeners []*listener

	connections, refused, endedSlow, endedIdle atomic.Int64
	// reported are the counts of the last line of Report, which was written at reportedAt.
	reported   Counts
	reportedAt time.Time
}

// Guard bounds what the clients of a server have it hold. It returns the listener to serve on, and
// sets the server's Handler and ConnContext, which it calls on, and its ConnState.
func (g *Gate) Guard(server *http.Server, l net.Listener, share Share) net.Listener {
	if raw, ok := l.(syscall.Conn); ok && g.Limits.ReceiveBytes > 0 {
		limitReceive(raw, g.Limits.ReceiveBytes)
	}
	guarded := &listener{Listener: l, gate: g, most: g.Limits.of(share), open: make(map[*conn]struct{})}
	g.mu.Lock()
	g.listeners = append(g.listeners, guarded)
	g.mu.Unlock()
	next := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return withConn(ctx, find(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own := find(c); own != nil {
			own.changed(state)
		}
	}
	server.Handler = g.handler(server.Handler)
	return guarded
}

// makeRoom ends the request that arrives the most slowly of those whose bodies hold memory, which is
// free soon after that. It returns false if all such requests are young.
func (g *Gate) makeRoom() bool {
	return g.endSlowest(func(c *conn) bool { return c.body.Load().Held() > 0 })
}

// endSlowest ends the slowest request of the first listener that has one which may be ended, or returns
// false if there is none.
func (g *Gate) endSlowest(mayEnd func(*conn) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		l.mu.Lock()
		ended := l.endSlowest(mayEnd)
		l.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// limitReceive bounds the kernel's receive buffers of the connections that a listener accepts. They
// take it over before they are accepted.
func limitReceive(l syscall.Conn, bytes int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	// If the option can't be set, the kernel's own bound applies.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2) }) // The kernel doubles it.
}

// closingPart is the part of a listener's limit that connections may take which have ended and are
// not closed yet.
const closingPart = 8

// listener accepts connections up to a limit.
type listener struct {
	net.Listener
	gate *Gate
	// most is the limit; zero means none.
	most int

	mu   sync.Mutex
	open map[*conn]struct{}
	// closing is how many of the open connections have ended.
	closing int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, account: l.gate.Ledger.Open()}
		c.since.Store(l.gate.Now().UnixNano())
		if l.add(c) {
			l.gate.connections.Add(1)
			return c, nil
		}
		l.gate.refused.Add(1)
		discard(accepted)
	}
}

// discard closes a connection at once and has the kernel keep nothing of it.
func discard(c net.Conn) {
	if lingers, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingers.SetLinger(0) // It is closed in any case.
	}
	_ = c.Close()
}

// add keeps a connection, and ends another one for it if need be. It reports false if there is none,
// or if too many that have ended are not closed yet.
func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > 0 && len(l.open)-l.closing >= l.most {
		if len(l.open) > l.most+l.most/closingPart || !l.endSlowest(anyConn) && !l.endIdle() {
			return false
		}
	}
	l.open[c] = struct{}{}
	return true
}

// anyConn allows every connection to be ended.
func anyConn(*conn) bool { return true }

// endSlowest ends the connection whose request arrives the most slowly, of those that may be ended, or
// returns false if all requests under way are young.
func (l *listener) endSlowest(mayEnd func(*conn) bool) bool {
	now := l.gate.Now().UnixNano()
	var slowest *conn
	least := 0.0
	for c := range l.open {
		age := now - c.since.Load()
		if c.state.Load() != sending || age < int64(l.gate.Limits.SlowAfter) || !mayEnd(c) {
			continue
		}
		if rate := float64(c.received.Load()) / float64(age); slowest == nil || rate < least {
			slowest, least = c, rate
		}
	}
	if slowest == nil || !slowest.end(sending) {
		return false
	}
	l.closing++
	l.gate.endedSlow.Add(1)
	return true
}

// endIdle ends the connection that has been idle for the longest, or returns false if none is.
func (l *listener) endIdle() bool {
	var longest *conn
	for c := range l.open {
		if c.state.Load() == idle && (longest == nil || c.since.Load() < longest.since.Load()) {
			longest = c
		}
	}
	if longest == nil || !longest.end(idle) {
		return false
	}
	l.closing++
	l.gate.endedIdle.Add(1)
	return true
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if c.state.Load() == ended {
		l.closing--
	}
}

// drainCheck is how often Drain looks for requests that have not arrived.
const drainCheck = 100 * time.Millisecond

// Drain ends requests that are on their way for SlowAfter, until ctx ends. At a stop nothing else ends
// those whose clients send no more.
func (g *Gate) Drain(ctx context.Context) {
	ticks := time.NewTicker(drainCheck)
	defer ticks.Stop()
	for {
		for g.endSlowest(anyConn) {
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}
