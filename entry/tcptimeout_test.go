package entry

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// accepted connects a caller to a listener and returns the accepted connection.
func accepted(t *testing.T, userTimeout time.Duration) *net.TCPConn {
	t.Helper()
	l, err := listenTCP("127.0.0.1:0", userTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestUnresponsiveCaller has a caller stop reading, as one that is gone does: a write to it
// fails.
func TestUnresponsiveCaller(t *testing.T) {
	conn := accepted(t, 4*time.Second)
	if err := conn.SetWriteDeadline(time.Now().Add(time.Minute)); err != nil { // Far beyond the user timeout.
		t.Fatal(err)
	}
	began := time.Now()
	var err error
	for chunk := make([]byte, 1<<20); err == nil; {
		_, err = conn.Write(chunk)
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the write hung for %v: %v", took, err)
	}
}

// TestKeepAliveOptions checks the kernel's keep-alive options of a connection.
func TestKeepAliveOptions(t *testing.T) {
	raw, err := accepted(t, tcpUserTimeout).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		option int
		want   int
	}{
		{"user timeout, in ms", unix.TCP_USER_TIMEOUT, 6000},
		{"first probe, in s", unix.TCP_KEEPIDLE, 3},
		{"between probes, in s", unix.TCP_KEEPINTVL, 1},
		{"probes", unix.TCP_KEEPCNT, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := 0
			var optionErr error
			if err := raw.Control(func(fd uintptr) { got, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, tt.option) }); err != nil || optionErr != nil {
				t.Fatal(err, optionErr)
			}
			if got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
