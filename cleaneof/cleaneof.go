// Package cleaneof tells a peer that has closed its side of a TCP connection from one whose connection
// was cut off.
//
// The kernel reports a reset once, to the read or the write that asks first; afterwards a read returns
// the end of the stream. If a write was told, a reader takes an answer that was cut off for one that
// ends with its connection.
//
//	conn := cleaneof.New(tcp)
//	_, err := io.ReadAll(conn) // nil only if the peer closed its side
package cleaneof

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose Read returns io.EOF only if the peer closed its side.
type Conn struct {
	net.Conn
	// writing is held by a write under way.
	writing sync.Mutex
	// cutOff is what a write learned of how the connection ended.
	cutOff atomic.Pointer[error]
}

// New returns a connection over a TCP connection. Over one of another kind, a read learns of a cut from
// a write that has returned, but not from one under way.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if isCutOff(err) {
		c.cutOff.CompareAndSwap(nil, &err)
	}
	return n, err
}

// isCutOff reports whether the error of a write says that the connection was cut off. A peer that closes
// its side before it resets the connection causes EPIPE: what it had to say has arrived.
func isCutOff(err error) bool {
	var reason syscall.Errno
	return errors.As(err, &reason) && reason != syscall.EPIPE
}

// Read implements net.Conn. At the end of a connection that was cut off the error is an
// io.ErrUnexpectedEOF.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if c.isClosed() {
		c.writing.Lock() // A write under way returns at once, as the connection has ended.
		defer c.writing.Unlock()
	}
	if reason := c.cutOff.Load(); reason != nil {
		return n, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, *reason)
	}
	return n, err
}

// tcpClose is the kernel's TCP_CLOSE, the state of a connection that has ended in both directions.
const tcpClose = 7

// isClosed reports whether the connection has ended in both directions.
func (c *Conn) isClosed() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return err == nil && closed
}
