package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thymewind/thymewind/exchange"
)

// TestReceiveBuffers guards against long answers at a distance being slowed down by a small receive
// buffer while few exchanges are under way, and against the buffers of many unread answers taking a
// box's memory.
func TestReceiveBuffers(t *testing.T) {
	const budget, least = 4 << 20, 32 << 10
	release := make(chan struct{})
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
			<-release
			_, _ = io.WriteString(conn, "k")
		}
	})
	var mu sync.Mutex
	var conns []*net.TCPConn
	dialer := net.Dialer{Control: exchange.LimitBuffers}
	c := &exchange.Client{DialTimeout: time.Second, IdleTimeout: time.Minute, ReceiveBudget: budget}
	c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn.(*net.TCPConn))
		}
		return conn, err
	}
	begin := func() *exchange.Answer {
		answer, err := c.Do(context.Background(), x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	var answers []*exchange.Answer
	for range 40 {
		answers = append(answers, begin())
	}
	first, beyond := receiveBuffer(t, conns[0]), 0
	for _, conn := range conns {
		beyond += receiveBuffer(t, conn) - least
	}
	if first < 3*least {
		t.Errorf("the only exchange has a receive buffer of %d bytes", first)
	}
	if beyond > budget {
		t.Errorf("the buffers of 40 exchanges have %d bytes beyond the least, of %d", beyond, budget)
	}
	if got := receiveBuffer(t, conns[39]); got != least {
		t.Errorf("the last of 40 exchanges has a receive buffer of %d bytes, want %d", got, least)
	}
	close(release)
	for _, answer := range answers {
		if _, err := io.ReadAll(answer); err != nil {
			t.Fatal(err)
		}
		answer.Close()
	}
	last := begin() // It is on the connection that was kept last.
	if _, err := io.ReadAll(last); err != nil {
		t.Fatal(err)
	}
	last.Close()
	if again := receiveBuffer(t, conns[39]); again != first {
		t.Errorf("a kept connection has a receive buffer of %d bytes after the others' exchanges have ended, want %d", again, first)
	}
}

// receiveBuffer returns the receive buffer that was asked for; the kernel doubles it.
func receiveBuffer(t *testing.T, conn syscall.Conn) int {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	err = raw.Control(func(fd uintptr) { size, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	if err != nil {
		t.Fatal(err)
	}
	return size / 2
}
