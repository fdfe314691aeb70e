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

// TestContextEndedBeforeSend sends over a kept connection with a context that has already ended:
// nothing is sent, and the connection stays usable for the next request.
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

// TestAbortDiscardsUnsent abandons a request whose target has not read it yet: bytes still queued
// on this box never arrive, however late the target reads.
func TestAbortDiscardsUnsent(t *testing.T) {
	accepted, abandoned := make(chan struct{}), make(chan struct{})
	read := make(chan error, 1)
	x := serve(t, func(_ int, conn *net.TCPConn, _ func() *http.Request) {
		if err := conn.SetReadBuffer(4 << 10); err != nil {
			t.Error(err)
		}
		close(accepted)
		<-abandoned
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		read <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-accepted
		<-time.After(50 * time.Millisecond) // By then all of it is in this box's kernel.
		cancel()
	}()
	// More than the target's buffer holds, less than both kernels' buffers together.
	_, err := newClient().Do(ctx, x.at, &exchange.Request{Method: "POST", Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 256<<10)})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("err = %v", err)
	}
	close(abandoned)
	if err := <-read; err == nil {
		t.Error("the whole request arrived after it was abandoned")
	}
}

// TestCancelWithoutReader cancels an answer that nothing is reading at that moment: the target
// notices at once.
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
		t.Error("the target did not notice the cancellation")
	}
}
