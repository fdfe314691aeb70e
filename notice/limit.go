package notice

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

const (
	// liftedRetention is how long the end of a limit is remembered, so that an older report
	// does not restore it.
	liftedRetention = 30 * time.Second
	// minChange is the relative change above which a rate is news, compared with the rate
	// that was news last. The boxes' shares may be off by as much.
	minChange = 0.2
)

// Limit is the rate of requests that a target accepts from all boxes together.
type Limit struct {
	// Active is set if there is a limit.
	Active bool
	// PerSecond is the rate, never negative.
	PerSecond float64
	// At dates the information: when the answer that named the rate was read, or when the
	// request was sent whose answer named none.
	At time.Time
}

// TargetLimit is an incarnation of a target with its limit.
type TargetLimit struct {
	Incarnation fleet.Incarnation
	Limit       Limit
	// Since is when this box learned that the limit began, changed or ended.
	Since time.Time
}

// IncarnationAt returns the incarnation of a target that is known by name and address
// only.
func IncarnationAt(name string, at netip.AddrPort) fleet.Incarnation {
	return fleet.Incarnation{ID: name + "@" + at.String()}
}

// ObserveLimit records what an answer says of its target's limit, to a request sent at
// sentAt, and reports whether that is news. An answer without a limit lifts one only if
// its request was sent after the limit was read: answers on several connections overtake
// each other.
func (reg *Registry) ObserveLimit(now, sentAt time.Time, incarnation fleet.Incarnation, signals Signals) bool {
	switch {
	case signals.Limited:
		return reg.SetLimit(now, TargetLimit{Incarnation: incarnation, Limit: Limit{Active: true, PerSecond: signals.Rate, At: now}})
	case signals.Unlimited && reg.Limit(incarnation).Active:
		return reg.SetLimit(now, TargetLimit{Incarnation: incarnation, Limit: Limit{At: sentAt}})
	}
	return false
}

// SetLimit records a limit, or its end, unless something newer is known. It reports
// whether that is news.
func (reg *Registry) SetLimit(now time.Time, l TargetLimit) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.record(now, l.Incarnation)
	if r == nil || !l.Limit.At.After(r.limit.At) {
		return false
	}
	change := math.Abs(r.newsRate - l.Limit.PerSecond)
	news := r.limit.Active != l.Limit.Active || change > minChange*r.newsRate
	r.limit = l.Limit
	if news {
		r.newsAt, r.newsRate = now, l.Limit.PerSecond
	}
	return news
}

// Limit returns the known limit of an incarnation.
func (reg *Registry) Limit(incarnation fleet.Incarnation) Limit {
	if r := reg.find(incarnation); r != nil {
		return r.limit
	}
	return Limit{}
}

// Limits lists the known limits and those that ended lately.
func (reg *Registry) Limits() []TargetLimit {
	if reg.size.Load() == 0 {
		return nil
	}
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	var list []TargetLimit
	for id, r := range reg.byID {
		if !r.limit.At.IsZero() {
			list = append(list, TargetLimit{fleet.Incarnation{ID: id, StartedAt: r.startedAt}, r.limit, r.newsAt})
		}
	}
	return list
}

// ParseRate parses a rate, and reports whether the value is a number that is neither
// negative nor infinite.
func ParseRate(value string) (float64, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 1) {
		return 0, false
	}
	return rate, true
}
