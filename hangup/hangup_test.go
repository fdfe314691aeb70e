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

// TestSeen has callers leave while the server has not read their bodies.
func TestSeen(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name  string
		sent  string
		leave func(conn *net.TCPConn) error
		want  bool
	}{
		{"stays", head + "body", func(*net.TCPConn) error { return nil }, false},
		{"stays, and has sent the next request", head + "body" + head, func(*net.TCPConn) error { return nil }, false},
		{"closes", head + "body", (*net.TCPConn).Close, true},
		{"closes behind the next request", head + "body" + head, (*net.TCPConn).Close, true},
		{"closes in the body", head + "bo", (*net.TCPConn).Close, true},
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
			asked, left, seen := make(chan struct{}), make(chan struct{}), make(chan bool, 9)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				asked <- struct{}{}
				<-left
				seen <- eventually(r.Context(), tt.want)
				_, _ = io.Copy(io.Discard, r.Body)
				// The server's own pending read does not hold the question up.
				seen <- hangup.Closed(r.Context())
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
			<-asked
			if err := tt.leave(conn.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			close(left)
			for _, when := range []string{"before", "after"} {
				if got := <-seen; got != tt.want {
					t.Errorf("%s the body was read: %v", when, got)
				}
			}
			go func() { // The next request, if there is one.
				for range asked {
					continue
				}
			}()
		})
	}
}

// eventually waits for a close that is on its way, or looks once.
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

// TestUnknown asks about a request without a connection that is known.
func TestUnknown(t *testing.T) {
	if hangup.Closed(context.Background()) {
		t.Error("seen")
	}
	left, right := net.Pipe()
	defer func() { _, _ = left.Close(), right.Close() }()
	if hangup.Closed(hangup.ConnContext(context.Background(), left)) {
		t.Error("seen")
	}
}

// BenchmarkSeen is what the question costs.
func BenchmarkSeen(b *testing.B) {
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
			b.Fatal("seen")
		}
	}
}
