// Package hangup detects whether the client of an HTTP server's connection has closed it.
// The standard server detects that too and cancels the request's context, but only in the
// background and once the body was read: an overloaded box would forward requests whose
// callers left long ago.
//
//	server := http.Server{ConnContext: hangup.ConnContext}
//	if hangup.Closed(r.Context()) { // nobody waits for the answer
//	}
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// key is the context key of a connection.
type key struct{}

// ConnContext stores a connection in the contexts of its requests. It is for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if raw, ok := conn.(syscall.Conn); ok {
		return context.WithValue(ctx, key{}, raw)
	}
	return ctx
}

// Closed reports whether the client has closed or reset the connection of a request, even
// if data on it is unread. It polls the kernel, which takes about a microsecond, and
// neither blocks nor reads. It is false if the connection is not known.
func Closed(ctx context.Context) bool {
	conn, ok := ctx.Value(key{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control, unlike Read, does not wait for the server's own pending read.
	err = raw.Control(func(fd uintptr) { closed = pollClosed(int32(fd)) })
	return closed || err != nil
}

// pollClosed polls a socket for the peer's close and for errors.
func pollClosed(fd int32) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	list := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(list, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && list[0].Revents&ended != 0
	}
}
