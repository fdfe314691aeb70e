// Package hop removes the hop-by-hop headers (RFC 9110, 7.6.1), which a proxy must not
// forward.
//
//	hop.Strip(response.Header)
package hop

import (
	"net/http"
	"strings"
)

// names are the headers that are removed even if no Connection header lists them.
var names = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the hop-by-hop headers, and those that the Connection header lists.
func Strip(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}
