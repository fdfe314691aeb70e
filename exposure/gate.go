// Package exposure limits how many requests go to something that may be bad, such as a
// canary, to a share of those that one box sends. As each box keeps to the share of its own
// requests, all boxes together do, even if boxes can't reach each other, restart or join: a
// box that loses its counts also loses the allowance that they had earned.
//
//	g := exposure.New(0.1)
//	if g.Allow("orders") { ...; g.Record("orders", true) } else { ...; g.Record("orders", false) }
package exposure

// safetyFactor is how much of the share is used: requests are counted when they are placed,
// and some of those counted never arrive.
const safetyFactor = 0.85

// Gate counts the requests of one box. It is not safe for concurrent use.
type Gate struct {
	share float64
	// routes are the counts by route, so that each route's requests are exposed.
	routes map[string]*count
}

// count is what one route sent; exposed is at most safetyFactor times the share of all.
type count struct{ all, exposed int }

// New returns a gate for a share between 0 and 1.
func New(share float64) *Gate {
	return &Gate{share: share, routes: make(map[string]*count)}
}

// Allow says whether the next request of a route may be exposed.
func (g *Gate) Allow(route string) bool {
	c := g.routes[route]
	return c != nil && float64(c.exposed+1) <= safetyFactor*g.share*float64(c.all+1)
}

// Record counts a request.
func (g *Gate) Record(route string, exposed bool) {
	c := g.routes[route]
	if c == nil {
		c = &count{}
		g.routes[route] = c
	}
	c.all++
	if exposed {
		c.exposed++
	}
}
