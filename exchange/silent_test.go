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

// silentAfter is SilentAfter for the clients of these tests.
const silentAfter = 50 * time.Millisecond

// clientBehindProxy returns a client, a proxy in front of its target, and the number of
// connections reported silent.
func clientBehindProxy(t *testing.T) (*exchange.Client, *loopback.Proxy, *atomic.Int64) {
	t.Helper()
	x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
		for requests() != nil {
			_, _ = io.WriteString(conn, okAnswer)
		}
	})
	link := loopback.New(t, x.at)
	reported := &atomic.Int64{}
	c := newClient()
	c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { reported.Add(1) }
	return c, link, reported
}

// openIdle opens n connections and leaves them idle.
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

// doWithTimeout sends a request and abandons it after a time.
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

// TestSilentIdleConnections silences all kept connections: they cost one request in total, not one
// each.
func TestSilentIdleConnections(t *testing.T) {
	c, link, reported := clientBehindProxy(t)
	openIdle(t, c, link.Address, 4)
	if n := link.Silence(anyConnection); n != 4 {
		t.Fatalf("silenced %d", n)
	}
	if err := doWithTimeout(c, link.Address, 2*silentAfter); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("first request: %v", err)
	}
	for range 3 {
		if status, _, err := ask(c, link.Address, &exchange.Request{Method: "GET", Path: "/"}); err != nil || status != http.StatusOK {
			t.Errorf("a later request: %d, %v", status, err)
		}
	}
	if reported.Load() != 1 || link.Accepted() != 5 {
		t.Errorf("%d reported silent, %d connections opened", reported.Load(), link.Accepted())
	}
}

// TestNotSilent abandons requests without evidence that their connection is silent: the kept
// connections stay.
func TestNotSilent(t *testing.T) {
	tests := []struct {
		name string
		// kept is the number of idle connections, after is when the request is abandoned.
		kept  int
		after time.Duration
	}{
		{"abandoned early", 3, silentAfter / 5},
		{"a new connection to a target that hangs", 0, 2 * silentAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, link, reported := clientBehindProxy(t)
			openIdle(t, c, link.Address, tt.kept)
			link.Set(loopback.Delays)
			link.SetDelay(10 * silentAfter)
			if err := doWithTimeout(c, link.Address, tt.after); err == nil {
				t.Fatal("answered")
			}
			link.Set(loopback.Passes)
			openIdle(t, c, link.Address, max(tt.kept-1, 0))
			if want := max(tt.kept, 1); reported.Load() != 0 || link.Accepted() != want {
				t.Errorf("%d reported silent, %d connections opened, want %d", reported.Load(), link.Accepted(), want)
			}
		})
	}
}

// TestSlowReader stops reading an answer for a long time and then abandons it: that is no evidence
// about the connection.
func TestSlowReader(t *testing.T) {
	c, link, reported := clientBehindProxy(t)
	openIdle(t, c, link.Address, 2)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := c.Do(ctx, link.Address, &exchange.Request{Method: "GET", Path: "/", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	<-time.After(2 * silentAfter)
	cancel()
	a.Close()
	if reported.Load() != 0 {
		t.Error("the connection was reported silent")
	}
}

// TestSilentStream silences the connection of a running stream: when its reader gives up, idle
// connections without traffic since are not used any more.
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
	reported := &atomic.Int64{}
	c := newClient()
	c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { reported.Add(1) }
	openIdle(t, c, link.Address, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, err := c.Do(ctx, link.Address, &exchange.Request{Method: "GET", Path: "/stream", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len("first"))
	if _, err := io.ReadFull(a, first); err != nil {
		t.Fatal(err)
	}
	link.Silence(anyConnection)
	timer := time.AfterFunc(2*silentAfter, cancel)
	defer timer.Stop()
	if _, err := a.Read(first); err == nil {
		t.Error("the silenced stream could still be read")
	}
	a.Close()
	if status, _, err := ask(c, link.Address, &exchange.Request{Method: "GET", Path: "/"}); err != nil || status != http.StatusOK || reported.Load() != 1 {
		t.Errorf("next request: %d, %v; %d reported silent", status, err, reported.Load())
	}
}

// TestBusyIsNotSilent has a target leave one request waiting while it answers others on
// connections that are as old: abandoning the request does not mark the connection silent.
func TestBusyIsNotSilent(t *testing.T) {
	tests := []struct {
		name     string
		others   bool // Whether other requests are answered meanwhile.
		reported int64
	}{
		{"others are answered", true, 0},
		{"nothing is answered", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := serve(t, func(_ int, conn *net.TCPConn, requests func() *http.Request) {
				for r := requests(); r != nil; r = requests() {
					if r.URL.Path == "/queued" {
						continue // The request stays queued.
					}
					_, _ = io.WriteString(conn, okAnswer)
				}
			})
			reported := &atomic.Int64{}
			c := newClient()
			c.SilentAfter, c.OnSilent = silentAfter, func(netip.AddrPort, time.Duration) { reported.Add(1) }
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
			if got := reported.Load(); got != tt.reported {
				t.Errorf("%d reported silent, want %d", got, tt.reported)
			}
		})
	}
}
