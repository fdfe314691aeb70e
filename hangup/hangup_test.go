package hangup_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/thymewind/thymewind/hangup"
)

// TestClosed guards against an undetected close: callers leave before the server has read
// their bodies.
func TestClosed(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name  string
		sent  string
		leave func(conn *net.TCPConn) error
		want  bool
	}{
		{"stays", head + "body", func(*net.TCPConn) error { return nil }, false},
		{"stays, with a pipelined request", head + "body" + head, func(*net.TCPConn) error { return nil }, false},
		{"closes", head + "body", (*net.TCPConn).Close, true},
		{"closes after a pipelined request", head + "body" + head, (*net.TCPConn).Close, true},
		{"closes within the body", head + "bo", (*net.TCPConn).Close, true},
		{"closes one direction", head + "body", (*net.TCPConn).CloseWrite, true},
		{"resets", head + "body", func(conn *net.TCPConn) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requested, left, closed := make(chan struct{}), make(chan struct{}), make(chan bool, 9)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				requested <- struct{}{}
				<-left
				closed <- eventually(r.Context(), tt.want)
				_, _ = io.Copy(io.Discard, r.Body)
				// The server's own pending read does not block the check.
				closed <- hangup.Closed(r.Context())
			}))
			server.Config.ConnContext = hangup.ConnContext
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, tt.sent); err != nil {
				t.Fatal(err)
			}
			<-requested
			if err := tt.leave(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			close(left)
			for _, when := range []string{"before", "after"} {
				if got := <-closed; got != tt.want {
					t.Errorf("%s the body was read: %v", when, got)
				}
			}
			go func() { // The pipelined request, if there is one.
				for range requested {
					continue
				}
			}()
		})
	}
}

// eventually waits for an expected close to arrive, or checks once.
func eventually(ctx context.Context, want bool) bool {
	end := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for want && !hangup.Closed(ctx) {
		select {
		case <-tick.C:
		case <-end:
			return false
		}
	}
	return hangup.Closed(ctx)
}

// TestUnknown checks requests without a known connection.
func TestUnknown(t *testing.T) {
	if hangup.Closed(context.Background()) {
		t.Error("an unknown connection counts as closed")
	}
	left, right := net.Pipe()
	defer func() { _, _ = left.Close(), right.Close() }()
	if hangup.Closed(hangup.ConnContext(context.Background(), left)) {
		t.Error("an unknown connection counts as closed")
	}
}

// BenchmarkClosed measures the check of an open connection.
func BenchmarkClosed(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx := hangup.ConnContext(context.Background(), conn)
	b.ReportAllocs()
	for b.Loop() {
		if hangup.Closed(ctx) {
			b.Fatal("an open connection counts as closed")
		}
	}
}
