package routing

import "strings"

// host holds the routes of one host. A lookup takes as many steps as the path has slashes,
// however many routes there are.
type host struct {
	// byPrefix holds the routes whose prefix ends with a slash; the first of duplicates counts.
	byPrefix map[string]*Route
	// others are the routes with other prefixes, longest first.
	others []*Route
}

// host returns the routes of a host and creates the entry on first use.
func (t *Table) host(name string) *host {
	h := t.hosts[name]
	if h == nil {
		h = &host{byPrefix: make(map[string]*Route)}
		t.hosts[name] = h
	}
	return h
}

func (h *host) add(r *Route) {
	if !strings.HasSuffix(r.Prefix, "/") {
		h.others = append(h.others, r)
		return
	}
	if h.byPrefix[r.Prefix] == nil {
		h.byPrefix[r.Prefix] = r
	}
}

// route returns the route with the longest prefix of a path, or nil.
func (h *host) route(path string) *Route {
	var found *Route
	for end := len(path); end > 0 && found == nil; {
		end = strings.LastIndexByte(path[:end], '/')
		found = h.byPrefix[path[:end+1]]
	}
	for _, r := range h.others {
		if found != nil && len(r.Prefix) <= len(found.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return found
}
