// Package runcopy decides which runs on model engines are copied to another engine while they
// go on, and to which one, so that a run can continue there if its engine is lost.
//
//	chance := losses.Chance(now, pool)
//	to, ok := runcopy.Choose(run, engines) // ok is false if the run gets no copy
//
// The load that it answers: engines that crash or go silent under load. When 42 of 140 engines
// crashed, 461 streams broke in 10 s; the long ones among them could not be resumed, and 303 to
// 413 answers a day were lost that way. Copies cost link time and memory, so a run gets one
// only while engines are observed to be lost, and only if what its caller would lose, times the
// chance of that, exceeds the cost of the copy.
package runcopy

import "time"

const (
	// memoryCost is the cost of all memory of an engine, the same as for the choice of the
	// engine that runs a request: memory in use evicts cached parts that others read again.
	memoryCost = 100 * time.Millisecond
	// fullShare is the share of an engine's memory from which its requests wait for others
	// to end. A copy leaves room below it for one more run of its size, so that no caller's
	// first event is later because of a copy.
	fullShare = 0.85
	// otherDomainFactor is how much longer a transfer between failure domains takes.
	otherDomainFactor = 2
)

// Run is a run that may get a copy.
type Run struct {
	// Domain is the failure domain of the engine that runs it.
	Domain string
	// Tokens is the memory that it uses, Capacity that of an engine.
	Tokens, Capacity int
	// Loss is the time that the caller loses if the run is lost: its whole deadline, if the
	// answer can't be resumed and so has to begin again.
	Loss time.Duration
	// Chance is the share of runs that are lost.
	Chance float64
	// PerToken is the time to transfer one token's memory within a domain.
	PerToken time.Duration
}

// Engine is an engine that may hold the copy.
type Engine struct {
	ID, Domain string
	// Used is the memory in use, in tokens.
	Used int
}

// Choose returns the engine that is to hold a run's copy, or false if it gets none. It is the one
// for which a copy costs least, the first in order if several do.
func Choose(r Run, engines []Engine) (Engine, bool) {
	if r.Capacity <= 0 || r.Tokens <= 0 {
		return Engine{}, false
	}
	limit := time.Duration(r.Chance * float64(r.Loss))
	var best Engine
	var least time.Duration
	found := false
	for _, e := range engines {
		if float64(e.Used+2*r.Tokens) > fullShare*float64(r.Capacity) {
			continue
		}
		cost := r.cost(e)
		if cost >= limit {
			continue
		}
		// Memory in use does not count as a cost of the copy itself, but decides between
		// engines.
		cost += memoryTime(e.Used, r.Capacity)
		if !found || cost < least {
			best, least, found = e, cost, true
		}
	}
	return best, found
}

// cost is what a run's copy at an engine costs: the time on the links, and the memory.
func (r Run) cost(e Engine) time.Duration {
	link := time.Duration(r.Tokens) * r.PerToken
	if e.Domain != r.Domain {
		link *= otherDomainFactor
	}
	return link + memoryTime(r.Tokens, r.Capacity)
}

func memoryTime(tokens, capacity int) time.Duration {
	return time.Duration(float64(memoryCost) * float64(tokens) / float64(capacity))
}
