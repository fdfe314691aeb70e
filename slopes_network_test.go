package thymewind

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/boxes"
)

// callCounted reads an unchanged list of boxes n times and returns the bytes on the wire,
// both ways.
func callCounted(b *testing.B, n int) float64 {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"a95ca96b4b9ea84d"`)
		w.WriteHeader(http.StatusNotModified)
	}))
	defer server.Close()
	var moved atomic.Int64
	dialer := net.Dialer{}
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, at string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, at)
		return &meteredConn{conn, &moved}, err
	}}}
	list := boxes.List{Base: server.URL, HTTP: client}
	for range n {
		if _, _, err := list.Read(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	return float64(moved.Load())
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.bytes.Add(int64(n))
	return n, err
}

func callBytes(b *testing.B, n int) float64 { return callCounted(b, n) }

// callCost is the processor time of n calls, of client and server together.
func callCost(b *testing.B, n int) float64 {
	before := processorTime(b)
	callCounted(b, n)
	return float64((processorTime(b) - before).Microseconds())
}

func processorTime(b *testing.B) time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
