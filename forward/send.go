package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/strict"
)

// maxHeadBytes bounds an answer's head, maxAnswerBytes its body, in bytes.
const (
	maxHeadBytes   = 32 << 10
	maxAnswerBytes = 64 << 20
)

// writeRecorder records whether anything was written to the connection. A failed
// write counts too, as it may have sent something.
type writeRecorder struct {
	net.Conn
	wrote *atomic.Bool
}

// Write implements net.Conn.
func (c *writeRecorder) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// SyscallConn implements syscall.Conn.
func (c *writeRecorder) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// Send makes one attempt and reports whether any byte was written to the target.
// It waits up to timeout for the answer's headers.
func (s *Sender) Send(request *http.Request, at netip.AddrPort, timeout time.Duration) (response *http.Response, wrote bool, err error) {
	var written atomic.Bool
	transport := strict.New(&http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ResponseHeaderTimeout:  timeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := s.Dial(ctx, network, at.String())
			if err != nil {
				return nil, err
			}
			return &writeRecorder{Conn: conn, wrote: &written}, nil
		},
	})
	request.GetBody = nil
	response, err = transport.RoundTrip(request)
	return response, written.Load(), err
}
