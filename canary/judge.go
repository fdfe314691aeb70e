package canary

import "math"

// The comparison of the versions. The share of bad answers on a route is tested against
// two alternatives, slightly and much higher than the baseline's, each by a sum of
// log-likelihood ratios that never falls below zero (CUSUM): a long good run does not
// hide a regression. TestErrorRates measures the resulting error rates.
const (
	// alarm is the sum at which a version counts as bad: odds of e^11, some 60,000, to 1.
	alarm = 11.0
	// doubtful is the sum at which it no longer counts as good.
	doubtful = alarm / 2
	// slight and strong are the increases of the share of bad answers in the alternatives,
	// as parts of the remainder to 1.
	slight = 0.03
	strong = 0.3
	// priorBad is the baseline's share of bad answers before any was observed, which counts
	// as priorWeight answers.
	priorBad    = 0.2
	priorWeight = 10
	// minBad is the lower bound of that share: no service is without bad answers.
	minBad = 0.01
	// tolerable is the increase of the share of bad answers, of the remainder to 1, up to
	// which the version counts as good: all answers together must speak against a higher one
	// with odds of e^6.9, some 1,000, to 1, and those of each route with routeShare or more
	// of the baseline's answers with e^3, some 20, to 1.
	tolerable  = 0.1
	acceptAll  = -6.9
	acceptEach = -3.0
	routeShare = 0.05
)

// Counts are the answers that one box counted on one route since it learned of the
// rollout. They only rise; a box that restarts begins at zero.
type Counts struct {
	Good, Bad int
	// BaselineGood and BaselineBad are the older version's.
	BaselineGood, BaselineBad int
}

func (c Counts) total() int { return c.Good + c.Bad + c.BaselineGood + c.BaselineBad }

func (c Counts) plus(b Counts) Counts {
	return Counts{c.Good + b.Good, c.Bad + b.Bad, c.BaselineGood + b.BaselineGood, c.BaselineBad + b.BaselineBad}
}

// since returns the increase over an earlier count. A lower count is from a box that
// restarted: all of it is new.
func (c Counts) since(before Counts) Counts {
	if c.Good < before.Good || c.Bad < before.Bad || c.BaselineGood < before.BaselineGood || c.BaselineBad < before.BaselineBad {
		return c
	}
	return Counts{c.Good - before.Good, c.Bad - before.Bad, c.BaselineGood - before.BaselineGood, c.BaselineBad - before.BaselineBad}
}

// Judge compares a version with the baseline. It is not safe for concurrent use.
type Judge struct {
	// last holds the last counts of each box, by route.
	last map[source]Counts
	// routes holds the evidence by route; the empty name is all routes together.
	routes map[string]*route
}

// source is where counts come from.
type source struct{ box, route string }

// route is the evidence on one route.
type route struct {
	Counts
	// slight and strong are the sums for the two alternatives; neither is below zero.
	slight, strong float64
	// intolerable is the sum for a share higher than tolerable, which may fall.
	intolerable float64
}

// NewJudge returns a judge without any answers.
func NewJudge() *Judge {
	return &Judge{last: make(map[source]Counts), routes: make(map[string]*route)}
}

// Observe takes the counts of a box on a route, which replace its earlier ones.
func (j *Judge) Observe(box, name string, c Counts) {
	at := source{box, name}
	added := c.since(j.last[at])
	if added.total() == 0 {
		return
	}
	j.last[at] = c
	for _, key := range []string{name, ""} {
		r := j.routes[key]
		if r == nil {
			r = &route{}
			j.routes[key] = r
		}
		r.add(added)
	}
}

// add adds answers.
func (r *route) add(added Counts) {
	r.Counts = r.plus(added)
	base := r.baseline()
	r.slight = addBad(max(0, r.slight+goodEvidence(slight, added)), base, slight, added)
	r.strong = addBad(max(0, r.strong+goodEvidence(strong, added)), base, strong, added)
	r.intolerable = addBad(r.intolerable+goodEvidence(tolerable, added), base, tolerable, added)
}

// baseline returns the older version's share of bad answers, within bounds.
func (r *route) baseline() float64 {
	share := (float64(r.BaselineBad) + priorBad*priorWeight) / (float64(r.BaselineBad+r.BaselineGood) + priorWeight)
	return min(max(share, minBad), 1-minBad)
}

// goodEvidence is the log-likelihood ratio of the good answers for a share of bad ones
// that is higher by a part of the remainder to 1; it is not positive.
func goodEvidence(increase float64, added Counts) float64 {
	return float64(added.Good) * math.Log(1-increase)
}

// addBad adds the log-likelihood ratio of the bad answers to a sum.
func addBad(sum, base, increase float64, added Counts) float64 {
	return sum + float64(added.Bad)*math.Log(1+increase*(1-base)/base)
}

// Bad reports whether the version is worse on some route, or on all together.
func (j *Judge) Bad() bool { return j.worst() >= alarm }

// Good reports whether the answers show that the version is not worse by more than is
// tolerable, over all and on each route that matters, and whether no sum is doubtful.
func (j *Judge) Good() bool {
	all := j.routes[""]
	if all == nil || all.intolerable > acceptAll || j.worst() >= doubtful {
		return false
	}
	for name, r := range j.routes {
		matters := float64(r.BaselineGood+r.BaselineBad) >= routeShare*float64(all.BaselineGood+all.BaselineBad)
		if name != "" && matters && r.intolerable > acceptEach {
			return false
		}
	}
	return true
}

// Total returns all answers counted.
func (j *Judge) Total() Counts {
	if all := j.routes[""]; all != nil {
		return all.Counts
	}
	return Counts{}
}

// worst returns the highest sum.
func (j *Judge) worst() float64 {
	worst := 0.0
	for _, r := range j.routes {
		worst = max(worst, r.slight, r.strong)
	}
	return worst
}
