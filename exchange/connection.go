package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/boottime"
)

// readBuffer holds an answer's head and some events, in bytes. Larger buffers
// cost memory for each connection without saving reads.
const readBuffer = 2 << 10

// connection is one connection to a target.
type connection struct {
	net.Conn
	at     netip.AddrPort
	reader *bufio.Reader
	// reused says that an exchange was done on it before.
	reused bool
	// readingSince is since when bytes are waited for; zero if they are not.
	readingSince time.Time
	// openedAt is when the connection was made.
	openedAt time.Time
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// keepAlive is how long the target says that it keeps the connection; zero if
	// it says nothing.
	keepAlive time.Duration
}

func newConnection(conn net.Conn, at netip.AddrPort) *connection {
	c := &connection{Conn: conn, at: at, openedAt: boottime.Now(), idleSince: boottime.Now()}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// abort closes the connection with a reset, whatever is being read or written on
// it. What still waits here to be sent is thrown away: after an ordinary close the
// kernel goes on sending, and a target that was slow to read, or behind a link that
// was down, would get the whole request long after its caller gave it up.
func (c *connection) abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // If it fails, the close is an ordinary one.
	}
	_ = c.Close() // Nothing is left to learn from a connection that is given up.
}

// maxIdle is how long the connection may stay unused: four fifths of what the
// target said, so that a request never crosses the target's close, or usual.
func (c *connection) maxIdle(usual time.Duration) time.Duration {
	if c.keepAlive > 0 {
		return min(usual, c.keepAlive*4/5)
	}
	return usual
}

// applyKeepAlive takes over how long the target keeps the connection, from the value of
// a Keep-Alive header such as "timeout=5, max=100".
func (c *connection) applyKeepAlive(keepAlive string) {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keepAlive = max(time.Duration(seconds)*time.Second, time.Nanosecond) // Zero seconds: not at all.
		}
	}
}

// usable says whether an unused connection is open and silent. Bytes that
// nobody asked for, such as a surplus answer, make it unfit.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.keepAlive > 0 && boottime.Since(c.idleSince) >= c.maxIdle(c.keepAlive) {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	return openWithoutData(raw)
}

// openWithoutData looks at the socket without waiting and without taking bytes.
func openWithoutData(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(peeked, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
