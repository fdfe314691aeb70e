// Package exposure bounds how many requests go to something that may be bad: a share of
// those that one box sends. Each box keeps to the share of its own requests, so that all
// boxes together do, whichever can reach each other, start again or join: a box that forgets
// what it sent forgets what it may send on account of it.
//
//	g := exposure.New(0.1)
//	if g.Room("orders") { ...; g.Take("orders", true) } else { ...; g.Take("orders", false) }
package exposure

// safetyFactor is how much of the share is used: requests are counted when they are placed, and
// some of those counted never arrive.
const safetyFactor = 0.85

// Gate counts the requests of one box. It is not safe for concurrent use.
type Gate struct {
	share float64
	// routes are the counts by route, so that each route's requests are tried.
	routes map[string]*count
}

// count is what one route sent; tried is at most use times the share of all.
type count struct{ all, tried int }

// New returns a gate for a share between 0 and 1.
func New(share float64) *Gate {
	return &Gate{share: share, routes: make(map[string]*count)}
}

// Allow says that the next request of a route may be one that is tried.
func (g *Gate) Allow(route string) bool {
	c := g.routes[route]
	return c != nil && float64(c.tried+1) <= safetyFactor*g.share*float64(c.all+1)
}

// Record counts a request.
func (g *Gate) Record(route string, tried bool) {
	c := g.routes[route]
	if c == nil {
		c = &count{}
		g.routes[route] = c
	}
	c.all++
	if tried {
		c.tried++
	}
}
