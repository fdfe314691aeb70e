package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// counted notes whether anything was written to the connection. A write that
// fails may have sent something, so it counts too.
type counted struct {
	net.Conn
	wrote *atomic.Bool
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Send does one exchange and says whether any byte was written to the target.
// It waits no longer than patience for the answer to begin.
func (s *Sender) Send(request *http.Request, at netip.AddrPort, patience time.Duration) (response *http.Response, wrote bool, err error) {
	var written atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: patience,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := s.Dial(ctx, network, at.String())
			if err != nil {
				return nil, err
			}
			return &counted{Conn: conn, wrote: &written}, nil
		},
	}
	request.GetBody = nil
	response, err = transport.RoundTrip(request)
	return response, written.Load(), err
}
