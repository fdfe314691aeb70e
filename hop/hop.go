// Package hop removes the headers that belong to one connection only (RFC 9110,
// 7.6.1), which a relay must not pass on.
//
//	hop.Drop(response.Header)
package hop

import (
	"net/http"
	"strings"
)

// names are those that no Connection header needs to list.
var names = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the connection's own headers, and those that its Connection
// header lists.
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
