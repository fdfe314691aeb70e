// Package helper chooses the box that serves a request for a box that does not reach the targets
// itself. The requests are spread over the boxes by their size, a little more over those of the own
// failure domain, so that neither one box nor one domain gets all of them.
//
//	c := helper.Chooser{Domain: "quezon"}
//	box, ok := c.Choose(now, "menu", candidates, asked)
//	c.Begin(box)
//	c.End(box)
package helper

import (
	"maps"
	"slices"
	"time"
)

const (
	// otherDomainFactor is by how much more a request costs at a box of another failure domain.
	otherDomainFactor = 1.25
	// pause is how long a box gets no requests after it did not take one.
	pause = time.Second
)

// Candidate is a box that may serve requests.
type Candidate struct {
	Name   string
	Domain string
	// Share is the box's share of a processor core.
	Share float64
}

// Chooser counts the requests that other boxes serve for this one. Set the exported fields before
// first use; it is not safe for concurrent use.
type Chooser struct {
	// Domain is this box's failure domain.
	Domain string
	// Max bounds the requests that others serve at a time.
	Max int

	inFlight map[string]int
	total    int
	// paused is until when a box gets no requests, by the pool; those for any pool are under
	// anyPool.
	paused map[pausedBox]time.Time
}

// pausedBox is a box that did not take a request to a pool.
type pausedBox struct{ box, pool string }

// anyPool stands for all pools of a box that could not be reached.
const anyPool = ""

// Choose returns the box that serves a request to a pool, or false if none of the candidates does.
// The first of equal candidates is taken.
func (c *Chooser) Choose(now time.Time, pool string, candidates []Candidate, excluded []string) (string, bool) {
	if c.total >= c.Max {
		return "", false
	}
	best, least := "", 0.0
	for _, x := range candidates {
		if slices.Contains(excluded, x.Name) || c.isPaused(now, x.Name, pool) || c.isPaused(now, x.Name, anyPool) {
			continue
		}
		if cost := c.cost(x); best == "" || cost < least {
			best, least = x.Name, cost
		}
	}
	return best, best != ""
}

func (c *Chooser) cost(x Candidate) float64 {
	cost := float64(c.inFlight[x.Name]+1) / max(x.Share, 0.01)
	if x.Domain != c.Domain {
		cost *= otherDomainFactor
	}
	return cost
}

func (c *Chooser) isPaused(now time.Time, box, pool string) bool {
	return now.Before(c.paused[pausedBox{box, pool}])
}

// Begin counts a request that a box serves, End that it no longer does.
func (c *Chooser) Begin(box string) {
	if c.inFlight == nil {
		c.inFlight = make(map[string]int)
	}
	c.inFlight[box]++
	c.total++
}

// End is the reverse of Begin.
func (c *Chooser) End(box string) {
	c.total--
	if c.inFlight[box]--; c.inFlight[box] <= 0 {
		delete(c.inFlight, box)
	}
}

// Unreachable records that a box could not be reached, Declined that it did not take a request to a
// pool for a reason of its own.
func (c *Chooser) Unreachable(now time.Time, box string) { c.pauseBox(now, pausedBox{box, anyPool}) }

// Declined is described with Unreachable.
func (c *Chooser) Declined(now time.Time, box, pool string) { c.pauseBox(now, pausedBox{box, pool}) }

func (c *Chooser) pauseBox(now time.Time, x pausedBox) {
	maps.DeleteFunc(c.paused, func(_ pausedBox, until time.Time) bool { return !now.Before(until) })
	if c.paused == nil {
		c.paused = make(map[pausedBox]time.Time)
	}
	c.paused[x] = now.Add(pause)
}

// InFlight returns how many requests other boxes serve now.
func (c *Chooser) InFlight() int { return c.total }
