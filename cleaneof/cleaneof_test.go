package cleaneof_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/thymewind/thymewind/cleaneof"
)

// rounds is how often each case is played. Which of a read and a write learns of a reset varies.
const rounds = 40

// TestRead guards against the end of a connection that was cut off looking like the end of what the
// peer sent, and against the opposite.
func TestRead(t *testing.T) {
	// unread is more than the kernel holds for a peer that reads nothing.
	unread := make([]byte, 16<<20)
	tests := []struct {
		name string
		// write is what is being written while the peer ends the connection.
		write []byte
		end   func(peer *net.TCPConn) error
		clean bool
	}{
		{"reset in a write", unread, func(peer *net.TCPConn) error { return reset(peer) }, false},
		{"reset after a write", []byte("x"), func(peer *net.TCPConn) error { return reset(peer) }, false},
		{"closed by a peer that has read everything", nil, func(peer *net.TCPConn) error { return peer.Close() }, true},
		{"closed for sending in a write", unread, func(peer *net.TCPConn) error { return peer.CloseWrite() }, true},
		{"closed for sending, then reset in a write", unread, func(peer *net.TCPConn) error {
			if err := peer.CloseWrite(); err != nil {
				return err
			}
			return reset(peer)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range rounds {
				near, far := pair(t)
				conn, wrote := cleaneof.New(near), make(chan struct{})
				go func() {
					defer close(wrote)
					if len(tt.write) > 0 {
						_, _ = conn.Write(tt.write)
					}
				}()
				if _, err := io.WriteString(far, "text"); err != nil {
					t.Fatal(err)
				}
				got := make([]byte, 4)
				if _, err := io.ReadFull(conn, got); err != nil {
					t.Fatal(err)
				}
				if err := tt.end(far); err != nil {
					t.Fatal(err)
				}
				if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
					t.Fatal(err)
				}
				n, err := conn.Read(got)
				if errors.Is(err, io.EOF) != tt.clean || n > 0 || err == nil {
					t.Errorf("read %d bytes, %v", n, err)
				}
				_ = conn.Close()
				_ = far.Close()
				<-wrote
			}
		})
	}
}

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := l.Accept() // Nil if it fails, as Dial does then.
		accepted <- conn
	}()
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return dialled.(*net.TCPConn), (<-accepted).(*net.TCPConn)
}
