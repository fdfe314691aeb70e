// Package hangup says whether the other end of an HTTP server's connection has
// closed it. The standard server tells so too, by ending the request's context,
// but looks only in the background and only once the body was read: a box that is
// behind with its work would pass on requests whose callers left long ago.
//
//	server := http.Server{ConnContext: hangup.Keep}
//	if hangup.Seen(r.Context()) { // nobody waits for the answer
//	}
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// key is where Keep puts a connection.
type key struct{}

// ConnContext notes a connection in the contexts of its requests, as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if raw, ok := conn.(syscall.Conn); ok {
		return context.WithValue(ctx, key{}, raw)
	}
	return ctx
}

// Closed says whether the other end has closed or reset the connection of a
// request, whatever of it is still unread. It asks the kernel, which takes about
// a microsecond, and neither waits nor takes bytes. It is false if the connection
// is not known.
func Closed(ctx context.Context) bool {
	conn, ok := ctx.Value(key{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	seen := false
	// Control, unlike Read, does not wait for the server's own pending read.
	err = raw.Control(func(fd uintptr) { seen = closed(int32(fd)) })
	return seen || err != nil
}

// closed polls a socket for the other end's close and for errors.
func closed(fd int32) bool {
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
