package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/thymewind/thymewind/exchange"
)

// TestContextEndedBeforeSend asks over a kept connection with a context that has ended:
// nothing goes out, and the connection is there for the next request.
func TestContextEndedBeforeSend(t *testing.T) {
	numbers := make(chan int, 10)
	x := serve(t, func(n int, conn *net.TCPConn, next func() *http.Request) {
		for next() != nil {
			numbers <- n
			_, _ = io.WriteString(conn, okAnswer)
		}
	})
	c := newClient()
	if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/first", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, err := c.Do(ctx, x.at, &exchange.Request{Method: "GET", Path: "/ended", Host: "h", Header: http.Header{}})
		if !errors.Is(err, exchange.ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Fatalf("err = %v", err)
		}
	}
	if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/last", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if first, last := <-numbers, <-numbers; first != last {
		t.Errorf("connections %d and %d", first, last)
	}
	if n := len(x.requests); n != 2 {
		t.Errorf("the target read %d requests, want 2", n)
	}
}

// TestAbortDiscardsUnsent gives a request up whose target reads nothing yet: what
// waited on this box never arrives, however late the target reads.
func TestAbortDiscardsUnsent(t *testing.T) {
	accepted, given := make(chan struct{}), make(chan struct{})
	read := make(chan error, 1)
	x := serve(t, func(_ int, conn *net.TCPConn, _ func() *http.Request) {
		if err := conn.SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		close(accepted)
		<-given
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		read <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-accepted
		<-time.After(50 * time.Millisecond) // By then this box's kernel has it all.
		cancel()
	}()
	// More than the target's buffer takes, less than the two kernels' together.
	_, err := newClient().Do(ctx, x.at, &exchange.Request{Method: "POST", Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 256<<10)})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("err = %v", err)
	}
	close(given)
	if err := <-read; err == nil {
		t.Error("the whole request arrived after it was given up")
	}
}

// TestCancelWithoutReader gives up an answer that nobody reads at that moment: its
// target sees it at once.
func TestCancelWithoutReader(t *testing.T) {
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
	defer answer.Close()
	cancel()
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("the target waits on")
	}
}
