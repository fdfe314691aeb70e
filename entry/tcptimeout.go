package entry

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long a caller or another box may acknowledge nothing before its
// connection is closed. It covers both probes of an idle connection and data that was sent. A
// machine that lost power or is cut off sends no reset; without this timeout a write to it
// hangs for minutes while its request goes on. It is twice the time for which network cuts of
// the platform are excused, so that connections outlive these. A live caller that reads none of
// the data waiting for it for that long is closed as well, as the kernel can't tell the two
// apart.
const tcpUserTimeout = 6 * time.Second

// keepAliveIdle is when an idle connection is first probed, keepAliveInterval the interval of
// further probes.
const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
)

// listener accepts connections that are closed once their other side is unreachable.
type listener struct {
	*net.TCPListener
	// userTimeout is how long the other side may acknowledge nothing.
	userTimeout time.Duration
}

// listenTCP listens on an address for connections with the given user timeout.
func listenTCP(address string, userTimeout time.Duration) (net.Listener, error) {
	probes := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int((userTimeout - keepAliveIdle) / keepAliveInterval)}
	config := net.ListenConfig{KeepAliveConfig: probes}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{l.(*net.TCPListener), userTimeout}, nil
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	// If the option can't be set, the kernel's own bound of minutes applies.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.userTimeout.Milliseconds()))
	})
	return conn, nil
}
