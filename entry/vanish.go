package entry

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long a caller, or another box, may acknowledge nothing before
// its connection ends: it is probed while nothing is sent, and what is sent has to
// get through. A machine without power or behind a cut says nothing, and without
// this a write to it hangs for minutes and its request goes on. It is twice the
// time in which cuts of the platform are excused, so that a connection outlives
// them. A caller that lives but reads nothing of what waits for it for that long is
// taken for vanished too, as the kernel can't tell the two apart.
const tcpUserTimeout = 6 * time.Second

// keepAliveIdle and probeEach are when a connection without traffic is probed first,
// and then again.
const (
	keepAliveIdle = 3 * time.Second
	keepAliveInterval  = time.Second
)

// listener accepts connections that end when their other side vanished.
type listener struct {
	*net.TCPListener
	// userTimeout is how long the other side may acknowledge nothing.
	userTimeout time.Duration
}

// listenTCP listens on an address.
func listenTCP(address string, vanished time.Duration) (net.Listener, error) {
	probes := net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int((vanished - keepAliveIdle) / keepAliveInterval)}
	config := net.ListenConfig{KeepAliveConfig: probes}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{l.(*net.TCPListener), vanished}, nil
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
	// An option that can't be set leaves the kernel's own bound, of minutes.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.userTimeout.Milliseconds()))
	})
	return conn, nil
}
