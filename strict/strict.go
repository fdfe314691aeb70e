// Package strict is the HTTP transport of this system's calls. It fails for answers that net/http accepts
// although they were cut off or break the protocol.
//
//	client := http.Client{Transport: strict.New(&http.Transport{MaxResponseHeaderBytes: 32 << 10})}
package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/answerhead"
	"github.com/thymewind/thymewind/cleaneof"
)

// Transport is an http.RoundTripper over net/http's. Make it with New.
type Transport struct{ *http.Transport }

// New returns a transport over a base, which it changes.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return cleaneof.New(conn), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. It fails for an answer whose head is none of HTTP/1.1.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { used.Store(&got.Conn) },
		Got1xxResponse: func(status int, fields textproto.MIMEHeader) error {
			return answerhead.Check(status, http.Header(fields))
		},
	})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(request, response); err != nil {
		_ = response.Body.Close() // What it holds is no answer.
		if conn := used.Load(); conn != nil {
			_ = (*conn).Close() // The base keeps the connection of an answer without a body.
		}
		return nil, err
	}
	return response, nil
}

// check returns why what the base read is no answer to a request, or nil.
func check(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") == "" {
		return trace.BadParameter("the server switches protocols, which it was not asked for")
	}
	return answerhead.CheckResponse(response)
}
