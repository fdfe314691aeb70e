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
	"github.com/thymewind/thymewind/cleaneof"
	"github.com/thymewind/thymewind/readlimit"
)

// readBuffer is the read buffer's size in bytes: room for an answer's head and some events. A
// larger buffer costs memory per connection without saving reads.
const readBuffer = 2 << 10

// connection is one connection to a target.
type connection struct {
	net.Conn
	at netip.AddrPort
	// stream reads and writes Conn, and reader is buffered over it.
	stream *cleaneof.Conn
	reader *bufio.Reader
	// reused is set once the connection has completed an exchange.
	reused bool
	// readingSince is when the pending read started; zero if no read is waiting for bytes.
	readingSince time.Time
	openedAt     time.Time
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// keepAlive is the target's announced keep-alive timeout; zero if it announced none.
	keepAlive time.Duration
	// receive is the receive buffer in bytes, zero before the first exchange; granted is how much
	// of the budget it takes.
	receive, granted int64
	// headLeft is how many more bytes the head that is being read may have; negative outside of heads
	// or if there is no bound. headRead counts those that came, taken what the exchange takes of the
	// client's budget.
	headLeft, headRead, taken int64
	budget                    *readlimit.Budget
	// headErr says why the head was not read on, which its parser may not tell.
	headErr error
}

func newConnection(conn net.Conn, at netip.AddrPort) *connection {
	c := &connection{Conn: conn, at: at, stream: cleaneof.New(conn), headLeft: -1, openedAt: boottime.Now(), idleSince: boottime.Now()}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) { return c.stream.Write(b) }

// abort resets the connection, even while it is being read or written, so that unsent data is
// discarded. After an ordinary close the kernel keeps sending: a slow target, or one behind a link
// that was down, would receive the whole request long after its caller gave up.
func (c *connection) abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // If this fails, Close closes the connection without a reset.
	}
	_ = c.Close() // The connection is discarded, so the error does not matter.
}

// maxIdle returns how long the connection may stay idle: four fifths of the target's keep-alive
// timeout, so that a request does not race with the target's close, and at most limit.
func (c *connection) maxIdle(limit time.Duration) time.Duration {
	if c.keepAlive > 0 {
		return min(limit, c.keepAlive*4/5)
	}
	return limit
}

// applyKeepAlive records the target's keep-alive timeout from a Keep-Alive header such as
// "timeout=5, max=100".
func (c *connection) applyKeepAlive(keepAlive string) {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keepAlive = max(time.Duration(seconds)*time.Second, time.Nanosecond) // Zero seconds: don't keep it at all.
		}
	}
}

// usable reports whether an idle connection is open, within the target's keep-alive timeout, and
// without unread bytes. Unsolicited bytes, such as a second answer, make it unusable.
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

// openWithoutData peeks at the socket: it neither blocks nor consumes bytes.
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
