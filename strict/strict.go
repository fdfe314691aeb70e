// Package strict is the HTTP transport of this system's calls: it fails where net/http takes for an
// answer what is none.
//
//	client := http.Client{Transport: strict.New(&http.Transport{MaxResponseHeaderBytes: 32 << 10})}
package strict

import (
	"context"
	"net"
	"net/http"

	"github.com/thymewind/thymewind/cleaneof"
)

// Transport is an http.RoundTripper.
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
