package exchange

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// receiveBytes is the receive buffer of a connection to a target; the kernel takes up to twice
	// that. It is what a target can still send while this box reads nothing, as its caller doesn't.
	// At the platform's round trip of 2 ms it allows 260 Mbit/s for each connection, above any
	// box's link. With 128 KiB the kernel held 88 MB for 400 unread answers, and with this 36 MB;
	// 32 KiB made long answers take half as much processor time again. Left alone, the kernel lets
	// it grow to 32 MB.
	receiveBytes = 64 << 10
	// maxUnsent is how many unsent bytes the kernel takes for a target that does not read.
	maxUnsent = 16 << 10
)

// LimitBuffers bounds what the kernel holds for a connection. It is for net.Dialer.Control.
func LimitBuffers(_, _ string, conn syscall.RawConn) error {
	// If an option can't be set, the kernel's own bound applies.
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
}
