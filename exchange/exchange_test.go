package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/exchange"
)

// testTarget is a server that handles each connection as a test says.
type testTarget struct {
	at netip.AddrPort
	// requests receives each request read.
	requests chan *http.Request
}

// serve runs do for each connection, with its index from 0.
func serve(t *testing.T, do func(n int, conn *net.TCPConn, requests func() *http.Request)) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	x := &testTarget{netip.MustParseAddrPort(l.Addr().String()), make(chan *http.Request, 100)}
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			go do(n, conn.(*net.TCPConn), func() *http.Request {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return nil
				}
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return nil
				}
				r.Body = io.NopCloser(strings.NewReader(string(body)))
				x.requests <- r
				return r
			})
		}
	}()
	return x
}

func newClient() *exchange.Client {
	return &exchange.Client{Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second, IdleTimeout: time.Minute}
}

// ask does one exchange and reads the whole answer.
func ask(c *exchange.Client, at netip.AddrPort, r *exchange.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	answer, err := c.Do(ctx, at, r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return answer.Status, string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestConnections checks which connections are reused.
func TestConnections(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		// reused is whether the second request comes on the first connection.
		reused bool
	}{
		{"complete answer", okAnswer, true},
		{"chunked answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"informational answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer, true},
		{"the target asks to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"a second, unsolicited answer", okAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false},
		{"keep-alive timeout of zero", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			numbers := make(chan int, 10)
			x := serve(t, func(n int, conn *net.TCPConn, next func() *http.Request) {
				for next() != nil {
					numbers <- n
					_, _ = io.WriteString(conn, tt.answer)
				}
			})
			c := newClient()
			for range 2 {
				if status, body, err := ask(c, x.at, &exchange.Request{Method: "POST", Path: "/a", Host: "h", Body: []byte("b")}); err != nil || status != http.StatusOK || body != "ok" {
					t.Fatalf("got %d %q %v", status, body, err)
				}
			}
			if first, second := <-numbers, <-numbers; (first == second) != tt.reused {
				t.Errorf("connections %d and %d, want reused %v", first, second, tt.reused)
			}
		})
	}
}

// TestNoAutomaticResend has a target drop the connection at different moments: the request is read
// at most once, and the error says whether anything was sent.
func TestNoAutomaticResend(t *testing.T) {
	tests := []struct {
		name string
		// second handles the second request on the connection.
		second func(conn *net.TCPConn, next func() *http.Request)
		reads  int
	}{
		{"closed after the request was read", func(_ *net.TCPConn, next func() *http.Request) { next() }, 2},
		{"partial answer", func(conn *net.TCPConn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		}, 2},
		{"not HTTP", func(conn *net.TCPConn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, "what?\r\n\r\n")
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
				defer func() { _ = conn.Close() }()
				if next() == nil {
					return
				}
				_, _ = io.WriteString(conn, okAnswer)
				tt.second(conn, next)
			})
			c := newClient()
			header := http.Header{"Idempotency-Key": {"k"}}
			if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/a", Host: "h", Header: header}); err != nil {
				t.Fatal(err)
			}
			_, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/b", Host: "h", Header: header})
			if err == nil || errors.Is(err, exchange.ErrNotSent) {
				t.Errorf("err = %v, want an error other than ErrNotSent", err)
			}
			if n := len(x.requests); n != tt.reads {
				t.Errorf("the target read %d requests, want %d", n, tt.reads)
			}
		})
	}
}

// TestIdleClosed has the target close a kept connection: the next request is sent on a new one, as
// nothing was sent on the old one.
func TestIdleClosed(t *testing.T) {
	closed := make(chan struct{})
	x := serve(t, func(n int, conn *net.TCPConn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, okAnswer)
		if n == 0 {
			_ = conn.Close()
			close(closed)
		}
	})
	c := newClient()
	for range 2 {
		if _, body, err := ask(c, x.at, &exchange.Request{Method: "POST", Path: "/a", Host: "h", Body: []byte("b")}); err != nil || body != "ok" {
			t.Fatalf("got %q, %v", body, err)
		}
		<-closed
	}
	if n := len(x.requests); n != 2 {
		t.Errorf("the target read %d requests, want 2", n)
	}
}

// TestNotSent covers requests that never leave this box.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	if _, _, err := ask(newClient(), at, &exchange.Request{Method: "GET", Path: "/", Host: "h"}); !errors.Is(err, exchange.ErrNotSent) {
		t.Errorf("a closed port: %v", err)
	}
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok")
		next()
	})
	c := newClient()
	c.MaxPerTarget = func(netip.AddrPort) int { return 1 }
	first, err := c.Do(context.Background(), x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h"}); !errors.Is(err, exchange.ErrConnectionLimit) || !errors.Is(err, exchange.ErrNotSent) {
		t.Errorf("over the limit: %v", err)
	}
	first.Close()
	if n := len(x.requests); n != 1 {
		t.Errorf("the target read %d requests, want 1", n)
	}
}

// TestBodyWithoutLength checks that a body without a length is complete only if the connection is
// closed without a reset.
func TestBodyWithoutLength(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan struct{})
			x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
				next()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				if tt.reset {
					<-read
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			})
			answer, err := newClient().Do(context.Background(), x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Close()
			if _, err := io.ReadFull(answer, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			close(read)
			_, err = io.ReadAll(answer)
			if (err != nil) != tt.reset {
				t.Errorf("err = %v, want an error: %v", err, tt.reset)
			}
		})
	}
}

// TestEarlyAnswer has a target answer before it has read a long body: the answer arrives, and the
// connection is not reused, as the rest of the body would be taken for the next request.
func TestEarlyAnswer(t *testing.T) {
	x := serve(t, func(n int, conn *net.TCPConn, next func() *http.Request) {
		if n == 0 {
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
			return // The connection stays open, but nothing more is read.
		}
		next()
		_, _ = io.WriteString(conn, okAnswer)
	})
	c := newClient()
	status, _, err := ask(c, x.at, &exchange.Request{Method: "POST", Path: "/a", Host: "h", Body: make([]byte, 32<<20)})
	if err != nil || status != http.StatusRequestEntityTooLarge {
		t.Fatalf("got %d, %v", status, err)
	}
	if _, body, err := ask(c, x.at, &exchange.Request{Method: "POST", Path: "/b", Host: "h", Body: []byte("b")}); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// TestCancel ends an exchange's context while its answer is being read.
func TestCancel(t *testing.T) {
	left := make(chan struct{})
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		_, _ = conn.Read(make([]byte, 1))
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	answer, err := newClient().Do(ctx, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(answer); err == nil {
		t.Error("the body was read to its end after the context had ended")
	}
	answer.Close()
	<-left
}

// TestSweep checks that connections are closed after IdleTimeout.
func TestSweep(t *testing.T) {
	ended := make(chan struct{})
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(conn, okAnswer)
		}
		close(ended)
	})
	c := newClient()
	if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if !c.HasIdle(x.at) {
		t.Error("no idle connection after a request")
	}
	c.Sweep(time.Now().Add(2 * time.Minute))
	<-ended
	if c.HasIdle(x.at) {
		t.Error("a closed connection is listed as idle")
	}
}

// TestNotAfter checks that nothing is sent after NotAfter, and that the connection is kept.
func TestNotAfter(t *testing.T) {
	now := boottime.Now()
	tests := []struct {
		name string
		by   time.Time
		want error
	}{
		{"at any time", time.Time{}, nil},
		{"in time", now.Add(time.Hour), nil},
		{"too late", now.Add(-time.Nanosecond), exchange.ErrLate},
	}
	x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
		for requests() != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := newClient()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", NotAfter: tt.by})
			if !errors.Is(err, tt.want) || tt.want != nil && !errors.Is(err, exchange.ErrNotSent) {
				t.Errorf("%v, want %v", err, tt.want)
			}
			if !c.HasIdle(x.at) {
				t.Error("the connection is not kept")
			}
		})
	}
}

// TestAllow checks that Allow is called right before a request is sent, on a new connection and on
// a kept one, and that a request held back does not cost its connection.
func TestAllow(t *testing.T) {
	x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
		for requests() != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newClient()
	dialed := 0
	c.OnDial = func(netip.AddrPort) { dialed++ }
	errNot := errors.New("not allowed")
	steps := []struct {
		name  string
		allow error
	}{
		{"on a new connection", errNot},
		{"on the kept connection", nil},
		{"on a kept connection", errNot},
		{"allowed again", nil},
	}
	for _, s := range steps {
		_, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Allow: func() error { return s.allow }})
		if s.allow == nil && err != nil {
			t.Errorf("%s: %v", s.name, err)
		}
		if s.allow != nil && (!errors.Is(err, errNot) || !errors.Is(err, exchange.ErrNotSent)) {
			t.Errorf("%s: %v", s.name, err)
		}
	}
	if len(x.requests) != 2 || dialed != 1 {
		t.Errorf("%d requests came over %d connections", len(x.requests), dialed)
	}
}
