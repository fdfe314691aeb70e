package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/heldbytes"
)

// States of a connection.
const (
	// sending connections have a request under way that has not arrived whole, or are new.
	sending int32 = iota
	// served connections have a request that has.
	served
	// idle connections have none.
	idle
	// ended connections are being closed for another one.
	ended
)

const (
	// freeHeadBytes is how much of a head is part of connectionBytes.
	freeHeadBytes = 4 << 10
	// headStep is by how much the count of a longer head grows.
	headStep = 4 << 10
)

// conn is a client's connection.
type conn struct {
	net.Conn
	listener *listener
	state    atomic.Int32
	// since is when the state began, in nanoseconds of the gate's time; received counts the bytes of
	// the request since then.
	since, received atomic.Int64
	// inBody says that the head of the request has been read.
	inBody atomic.Bool
	// body is the account of the request's body; nil before there is one.
	body atomic.Pointer[heldbytes.Account]
	// account counts the head beyond freeHeadBytes; counted is how much of it is.
	account   *heldbytes.Account
	counted   atomic.Int64
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if failed := c.count(int64(n)); failed != nil {
			return 0, failed
		}
	}
	return n, err
}

// count counts bytes of a request. Its error ends the connection, as a deadline does: the server
// answers nothing to a head that did not come in time.
func (c *conn) count(n int64) error {
	if c.state.CompareAndSwap(idle, sending) {
		c.begin()
	}
	switch c.state.Load() {
	case ended:
		return os.ErrDeadlineExceeded
	case served:
		return nil
	}
	total := c.received.Add(n)
	if c.inBody.Load() {
		return nil
	}
	for total-freeHeadBytes > c.counted.Load() {
		if !c.account.Admit(headStep, 0) {
			return os.ErrDeadlineExceeded
		}
		c.counted.Add(headStep)
	}
	return nil
}

// begin starts the count of a request.
func (c *conn) begin() {
	c.since.Store(c.listener.gate.Now().UnixNano())
	c.received.Store(0)
	c.inBody.Store(false)
}

// changed follows the server's states of the connection.
func (c *conn) changed(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.account.Set(0)
		c.counted.Store(0)
		c.body.Store(nil)
		c.move(idle)
	case http.StateActive: // The head may have arrived together with the request before.
		if c.state.CompareAndSwap(idle, sending) {
			c.begin()
		}
	case http.StateHijacked:
		c.move(served)
	}
}

// move changes the state of a connection, or returns false if it has ended.
func (c *conn) move(to int32) bool {
	for {
		state := c.state.Load()
		if state == ended || state == to {
			return state == to
		}
		c.since.Store(c.listener.gate.Now().UnixNano())
		if c.state.CompareAndSwap(state, to) {
			return true
		}
	}
}

// end ends a connection in the given state, or returns false if it has left that. A request that is on
// its way gets an answer if it is read by a handler, as after its deadline.
func (c *conn) end(state int32) bool {
	if !c.state.CompareAndSwap(state, ended) {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // A connection that is closed already needs none.
	return true
}

// SetReadDeadline implements net.Conn. A connection that has ended stays so.
func (c *conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.keepEnded()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetDeadline(t); err != nil {
		return err
	}
	return c.keepEnded()
}

// keepEnded restores the deadline of a connection that has ended.
func (c *conn) keepEnded() error {
	if c.state.Load() == ended {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		c.account.Close()
		c.listener.gate.connections.Add(-1)
	})
	return c.Conn.Close()
}

// ReadFrom implements io.ReaderFrom, by which the HTTP server passes answers on unbuffered.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// CloseWrite lets the HTTP server end a connection without a reset.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// find returns the guarded connection below those that wrap it, such as that of TLS, or nil.
func find(c net.Conn) *conn {
	for c != nil {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}
