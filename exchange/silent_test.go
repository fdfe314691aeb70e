package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/internal/loopback"
)

// silentAfter is what these tests' clients wait at least.
const silentAfter = 50 * time.Millisecond

// clientBehindProxy is a client of a target behind a proxy, and how often it said that a
// connection is silent.
func clientBehindProxy(t *testing.T) (*exchange.Client, *loopback.Proxy, *atomic.Int64) {
	t.Helper()
	x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
		for requests() != nil {
			_, _ = io.WriteString(conn, okAnswer)
		}
	})
	link := loopback.New(t, x.at)
	said := &atomic.Int64{}
	c := newClient()
	c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { said.Add(1) }
	return c, link, said
}

// openIdle opens connections and leaves them unused.
func openIdle(t *testing.T, c *exchange.Client, at netip.AddrPort, n int) {
	t.Helper()
	var answers []*exchange.Answer
	for range n {
		a, err := c.Do(context.Background(), at, &exchange.Request{Method: "GET", Path: "/", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, a)
	}
	for _, a := range answers {
		if _, err := io.Copy(io.Discard, a); err != nil {
			t.Fatal(err)
		}
		a.Close()
	}
}

// doWithTimeout sends a request and gives it up after a time.
func doWithTimeout(c *exchange.Client, at netip.AddrPort, after time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	a, err := c.Do(ctx, at, &exchange.Request{Method: "GET", Path: "/", Header: http.Header{}})
	if err == nil {
		a.Close()
	}
	return err
}

func anyConnection(string) bool { return true }

// TestSilentIdleConnections silences kept connections: they cost one request, not one each.
func TestSilentIdleConnections(t *testing.T) {
	c, link, said := clientBehindProxy(t)
	openIdle(t, c, link.At, 4)
	if n := link.Hush(anyConnection); n != 4 {
		t.Fatalf("silenced %d", n)
	}
	if err := doWithTimeout(c, link.At, 2*silentAfter); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the first request: %v", err)
	}
	for range 3 {
		if status, _, err := ask(c, link.At, &exchange.Request{Method: "GET", Path: "/"}); err != nil || status != http.StatusOK {
			t.Errorf("a request behind it: %d, %v", status, err)
		}
	}
	if said.Load() != 1 || link.Came() != 5 {
		t.Errorf("said %d times, %d connections came", said.Load(), link.Came())
	}
}

// TestNotSilent gives requests up without any sign that their connection is
// silent: the kept ones stay.
func TestNotSilent(t *testing.T) {
	tests := []struct {
		name string
		// kept is how many connections are left unused, after is when the request
		// is given up.
		kept  int
		after time.Duration
	}{
		{"given up early", 3, silentAfter / 5},
		{"a new connection to a target that hangs", 0, 2 * silentAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, link, said := clientBehindProxy(t)
			openIdle(t, c, link.At, tt.kept)
			link.Set(loopback.Delays)
			link.SetDelay(10 * silentAfter)
			if err := doWithTimeout(c, link.At, tt.after); err == nil {
				t.Fatal("answered")
			}
			link.Set(loopback.Passes)
			openIdle(t, c, link.At, max(tt.kept-1, 0))
			if want := max(tt.kept, 1); said.Load() != 0 || link.Came() != want {
				t.Errorf("said %d times, %d connections came, want %d", said.Load(), link.Came(), want)
			}
		})
	}
}

// TestSlowReader has whoever reads an answer stop for long and then give it up:
// that says nothing of the connection.
func TestSlowReader(t *testing.T) {
	c, link, said := clientBehindProxy(t)
	openIdle(t, c, link.At, 2)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := c.Do(ctx, link.At, &exchange.Request{Method: "GET", Path: "/", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	<-time.After(2 * silentAfter)
	cancel()
	a.Close()
	if said.Load() != 0 {
		t.Error("taken for silent")
	}
}

// TestSilentStream silences a stream under way: whoever reads it gives it up, and
// the unused connections that were not heard of since are not used any more.
func TestSilentStream(t *testing.T) {
	x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
		for r := requests(); r != nil; r = requests() {
			if r.URL.Path != "/stream" {
				_, _ = io.WriteString(conn, okAnswer)
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst")
		}
	})
	link := loopback.New(t, x.at)
	said := &atomic.Int64{}
	c := newClient()
	c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { said.Add(1) }
	openIdle(t, c, link.At, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, err := c.Do(ctx, link.At, &exchange.Request{Method: "GET", Path: "/stream", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len("first"))
	if _, err := io.ReadFull(a, first); err != nil {
		t.Fatal(err)
	}
	link.Hush(anyConnection)
	timer := time.AfterFunc(2*silentAfter, cancel)
	defer timer.Stop()
	if _, err := a.Read(first); err == nil {
		t.Error("read on")
	}
	a.Close()
	if status, _, err := ask(c, link.At, &exchange.Request{Method: "GET", Path: "/"}); err != nil || status != http.StatusOK || said.Load() != 1 {
		t.Errorf("the next request: %d, %v; said %d times", status, err, said.Load())
	}
}

// TestBusyIsNotSilent has a target let one request wait while it answers others, on
// connections as old: it is not taken for silent when that one is given up.
func TestBusyIsNotSilent(t *testing.T) {
	tests := []struct {
		name   string
		others bool // Whether other requests are answered meanwhile.
		said   int64
	}{
		{"others are answered", true, 0},
		{"nothing is answered", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
				for r := requests(); r != nil; r = requests() {
					if r.URL.Path == "/queued" {
						continue // It waits for its turn.
					}
					_, _ = io.WriteString(conn, okAnswer)
				}
			})
			said := &atomic.Int64{}
			c := newClient()
			c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { said.Add(1) }
			openIdle(t, c, x.at, 5)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := c.Do(ctx, x.at, &exchange.Request{Method: "GET", Path: "/queued", Header: http.Header{}})
				done <- err
			}()
			for end := time.After(3 * silentAfter); ; {
				select {
				case <-end:
				case <-time.After(silentAfter / 10):
					if tt.others {
						_, _, _ = ask(c, x.at, &exchange.Request{Method: "GET", Path: "/"})
					}
					continue
				}
				break
			}
			cancel()
			if err := <-done; !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			if got := said.Load(); got != tt.said {
				t.Errorf("said silent %d times, want %d", got, tt.said)
			}
		})
	}
}
