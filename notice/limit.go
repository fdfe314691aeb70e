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
	// liftedFor is how long the end of a limit is remembered, so that older word of it does
	// not bring it back.
	liftedFor = 30 * time.Second
	// noted is by what part of itself a rate has to change since it was news last to be so
	// again. Boxes' parts may be off by as much.
	noted = 0.2
)

// Limit is the rate of requests that a target takes of all boxes together.
type Limit struct {
	// Active says that there is one. Without it the target takes what comes.
	Active bool
	// PerSecond is the rate, never negative.
	PerSecond float64
	// At is how new that is: when the answer was read that named the rate, or when the
	// request was sent whose answer named none.
	At time.Time
}

// TargetLimit is a target's life with its limit.
type TargetLimit struct {
	Incarnation fleet.Incarnation
	Limit       Limit
	// Since is when this box learnt that the limit began, changed or ended.
	Since time.Time
}

// IncarnationAt is the life of a target that is known by its name and address alone.
func IncarnationAt(name string, at netip.AddrPort) fleet.Incarnation {
	return fleet.Incarnation{ID: name + "@" + at.String()}
}

// ObserveLimit notes what an answer says of its target's limit, to a request sent at asked, and
// returns whether that is news. An answer that names none lifts a limit only if it was asked
// for after the limit was heard: answers on several connections pass each other.
func (b *Registry) ObserveLimit(now, asked time.Time, life fleet.Incarnation, said Signals) bool {
	switch {
	case said.Limited:
		return b.SetLimit(now, TargetLimit{Incarnation: life, Limit: Limit{Active: true, PerSecond: said.Rate, At: now}})
	case said.Unlimited && b.Limit(life).Active:
		return b.SetLimit(now, TargetLimit{Incarnation: life, Limit: Limit{At: asked}})
	}
	return false
}

// SetLimit notes a limit, or its end, unless something newer is known. It returns whether
// that is news.
func (b *Registry) SetLimit(now time.Time, x TargetLimit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, x.Incarnation)
	if r == nil || !x.Limit.At.After(r.limit.At) {
		return false
	}
	change := math.Abs(r.limitNoted - x.Limit.PerSecond)
	news := r.limit.Active != x.Limit.Active || change > noted*r.limitNoted
	r.limit = x.Limit
	if news {
		r.limitedAt, r.limitNoted = now, x.Limit.PerSecond
	}
	return news
}

// Limit returns what is known of a life's limit.
func (b *Registry) Limit(life fleet.Incarnation) Limit {
	if r := b.find(life); r != nil {
		return r.limit
	}
	return Limit{}
}

// Limits lists the limits known and those that ended lately.
func (b *Registry) Limits() []TargetLimit {
	if b.size.Load() == 0 {
		return nil
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []TargetLimit
	for id, r := range b.byID {
		if !r.limit.At.IsZero() {
			list = append(list, TargetLimit{fleet.Incarnation{ID: id, StartedAt: r.born}, r.limit, r.limitedAt})
		}
	}
	return list
}

// ParseRate reads a rate, and says whether the value is one: a number that is neither
// negative nor without bound.
func ParseRate(value string) (float64, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 1) {
		return 0, false
	}
	return rate, true
}
