package canary

import "math"

// How the versions are compared. The shares of bad answers on a route are compared with two
// alternatives, a little and a lot more than the older version's, each by a sum of
// log-likelihoods that never falls below zero: what was good for long does not hide what
// turns bad. TestErrorRates states what these give.
const (
	// alarm is the sum from which a version counts as bad: that of 1 to e^11, some 60,000.
	alarm = 11.0
	// doubtful is the sum from which it does not count as good.
	doubtful = alarm / 2
	// little and lot are by how much the share of bad answers is higher in the alternatives,
	// the second of what is left to 1.
	little = 0.03
	lot    = 0.3
	// guessed is the older version's share of bad answers before any was seen, which counts
	// as guessedWeight answers.
	guessed       = 0.2
	guessedWeight = 10
	// leastBad bounds that share from below: no service is without any.
	leastBad = 0.01
	// tolerable is by how much the share of bad answers may be higher, of what is left to 1,
	// for the version to count as good: all answers together have to speak against more by 1
	// to e^6.9, some 1,000, those of each route with a part of the older version's answers of
	// routePart or more by 1 to e^3, some 20.
	tolerable  = 0.1
	acceptAll  = -6.9
	acceptEach = -3.0
	routePart  = 0.05
)

// Counts are answers that one box saw on one route since what was asked for was known to
// it. They only rise; a box that starts again begins anew.
type Counts struct {
	Good, Bad int
	// BaselineGood and OldBad are the older version's.
	BaselineGood, BaselineBad int
}

// all is how many answers are counted.
func (c Counts) all() int { return c.Good + c.Bad + c.BaselineGood + c.BaselineBad }

// plus adds counts.
func (c Counts) plus(b Counts) Counts {
	return Counts{c.Good + b.Good, c.Bad + b.Bad, c.BaselineGood + b.BaselineGood, c.BaselineBad + b.BaselineBad}
}

// since returns what came after an earlier count. One with less than that is of a box that
// started again: all of it came after.
func (c Counts) since(before Counts) Counts {
	if c.Good < before.Good || c.Bad < before.Bad || c.BaselineGood < before.BaselineGood || c.BaselineBad < before.BaselineBad {
		return c
	}
	return Counts{c.Good - before.Good, c.Bad - before.Bad, c.BaselineGood - before.BaselineGood, c.BaselineBad - before.BaselineBad}
}

// Judge compares a version with the older one. It is not safe for concurrent use.
type Judge struct {
	// seen is what each box last told, by route.
	seen map[source]Counts
	// routes are the sums by route; the empty name is all of them.
	routes map[string]*route
}

// source is where counts come from.
type source struct{ box, route string }

// route is what is known of one route.
type route struct {
	Counts
	// little and lot are the sums of the two alternatives; none is below zero.
	little, lot float64
	// more is the sum for a share that is higher than tolerable, which may fall.
	more float64
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{seen: make(map[source]Counts), routes: make(map[string]*route)}
}

// Observe takes what a box counted on a route in place of what it told before.
func (j *Judge) Observe(box, name string, c Counts) {
	at := source{box, name}
	more := c.since(j.seen[at])
	if more.all() == 0 {
		return
	}
	j.seen[at] = c
	for _, key := range []string{name, ""} {
		r := j.routes[key]
		if r == nil {
			r = &route{}
			j.routes[key] = r
		}
		r.take(more)
	}
}

// take adds answers.
func (r *route) take(more Counts) {
	r.Counts = r.plus(more)
	base := r.base()
	r.little = weigh(max(0, r.little+passed(little, more)), base, little, more)
	r.lot = weigh(max(0, r.lot+passed(lot, more)), base, lot, more)
	r.more = weigh(r.more+passed(tolerable, more), base, tolerable, more)
}

// base is the older version's share of bad answers.
func (r *route) base() float64 {
	share := (float64(r.BaselineBad) + guessed*guessedWeight) / (float64(r.BaselineBad+r.BaselineGood) + guessedWeight)
	return min(max(share, leastBad), 1-leastBad)
}

// passed is what good answers say for a share of bad ones that is higher by a part of what
// is left to 1; it is below zero.
func passed(part float64, more Counts) float64 { return float64(more.Good) * math.Log(1-part) }

// weigh adds what bad answers say for it.
func weigh(sum, base, part float64, more Counts) float64 {
	return sum + float64(more.Bad)*math.Log(1+part*(1-base)/base)
}

// Bad says that the version is worse on some route, or on all together.
func (j *Judge) Bad() bool { return j.worst() >= alarm }

// Good says that the answers seen speak against the version's being worse by more than is
// tolerable, in all and on each route that matters, and that nothing speaks for it.
func (j *Judge) Good() bool {
	all := j.routes[""]
	if all == nil || all.more > acceptAll || j.worst() >= doubtful {
		return false
	}
	for name, r := range j.routes {
		matters := float64(r.BaselineGood+r.BaselineBad) >= routePart*float64(all.BaselineGood+all.BaselineBad)
		if name != "" && matters && r.more > acceptEach {
			return false
		}
	}
	return true
}

// Total returns all that was seen.
func (j *Judge) Total() Counts {
	if all := j.routes[""]; all != nil {
		return all.Counts
	}
	return Counts{}
}

// worst is the highest sum.
func (j *Judge) worst() float64 {
	worst := 0.0
	for _, r := range j.routes {
		worst = max(worst, r.little, r.lot)
	}
	return worst
}
