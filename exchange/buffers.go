package exchange

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// minReceive is the receive buffer that each exchange gets. It is what a target can still send while
	// this box reads nothing, as its caller doesn't: the kernel takes up to twice that and one segment
	// more. With a budget of 4 MB it held 29 MB for 400 unread answers; with 40 KiB 46 MB, with 48 KiB
	// 43 MB and with 64 KiB 55 MB.
	minReceive = 32 << 10
	// maxReceive is the most that an exchange gets while few are under way, over 400 Mbit/s at a round
	// trip of 20 ms. The kernel's own tuning can't be bounded by connection: it held 181 MB when 200
	// callers read 4 MB before they stopped.
	maxReceive = 32 * minReceive
	// receiveShare is the part of what is left of the budget that one exchange may get, so that
	// those after it get some too.
	receiveShare = 4
	// maxUnsent is how many unsent bytes the kernel takes for a target that does not read.
	maxUnsent = 16 << 10
)

// LimitBuffers bounds what the kernel holds for a connection. It is for net.Dialer.Control. The
// receive buffer is the largest that the connection ever gets, as the kernel does not raise its
// window above the one of the start.
func LimitBuffers(_, _ string, conn syscall.RawConn) error {
	// If an option can't be set, the kernel's own bound applies.
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, maxReceive)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}

// grantReceive sets the receive buffer of a connection whose exchange begins, by what exchanges under
// way leave of the budget.
func (c *Client) grantReceive(conn *connection) {
	if c.ReceiveBudget <= 0 {
		return
	}
	c.mu.Lock()
	left := c.ReceiveBudget - c.receiveGranted
	size := int64(minReceive)
	for size < maxReceive && 2*size <= left/receiveShare {
		size *= 2
	}
	conn.granted = size - minReceive
	c.receiveGranted += conn.granted
	c.mu.Unlock()
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok || conn.receive == size {
		return
	}
	conn.receive = size
	if control, err := raw.SyscallConn(); err == nil {
		// If it can't be set, the buffer of the previous exchange applies.
		_ = control.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(size)) })
	}
}

// returnReceive returns to the budget what an exchange that ends took of it. The lock must be held.
func (c *Client) returnReceive(conn *connection) {
	c.receiveGranted -= conn.granted
	conn.granted = 0
}
