// Package notice keeps what targets signal about themselves in their answers: that they
// are leaving, that they want no requests from this box for a while, or how many requests
// a second they accept from all boxes together.
//
//	r := notice.Registry{}
//	r.Observe(now, incarnation, notice.Signals{Backoff: 3 * time.Second}) // where the answer is read
//	...
//	err := r.Allow(now, incarnation) // right before a request leaves this box: ErrBackoff
//
// A target's own signals come with each of its answers, also while the platform's list of
// targets cannot be read, and before the list has them.
package notice

import (
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

const (
	// MaxBackoff bounds the backoff that a target asks for. Observed targets ask for some
	// seconds; one that names a year must not be lost for that long.
	MaxBackoff = 5 * time.Minute
	// retention is how long a leaving or rate-limited target is remembered after it last
	// signalled or was listed. One that leaves is gone within a minute, but a stale list may
	// name it again.
	retention = time.Hour
	// BrittleFor is how long a target that said that it is brittle counts as such. It says so in each
	// answer while it is; one that fell is gone for some seconds.
	BrittleFor = 10 * time.Second
	// maxRecords bounds the targets remembered, at some 200 bytes each: several times the
	// fleet's targets.
	maxRecords = 4096
)

// Reasons why a request may not be sent to a target.
var (
	// ErrLeaving means that the target accepts no new work.
	ErrLeaving = errors.New("the target is leaving")
	// ErrBackoff means that the target asked for a backoff that has not ended.
	ErrBackoff = errors.New("the target asked for a backoff")
	// ErrLimited means that the target limits the requests of all boxes, and that this box
	// may not send one.
	ErrLimited = errors.New("the target's rate limit leaves no request for this box")
	// ErrBrittle means that the target is brittle, and that this box's permit to send the
	// request has expired.
	ErrBrittle = errors.New("the permit for the brittle target has expired")
)

// Signals is what an answer says about its target. The zero value says nothing.
type Signals struct {
	// Leaving is set if the target accepts no new work.
	Leaving bool
	// Backoff is for how long the target wants no requests from this box, counted from its
	// answer; zero for none.
	Backoff time.Duration
	// Limited is set if the answer names a Rate, in requests a second, that the target
	// accepts from all boxes together for as long as its answers name one.
	Limited bool
	Rate    float64
	// Brittle is how many requests a second the target can turn away for want of room without
	// failing; zero if it names no number.
	Brittle int
	// Unlimited is set if the answer would name a rate if there were one.
	Unlimited bool
}

// Registry holds the signals that one box received. The zero value is ready; it is safe
// for concurrent use.
type Registry struct {
	mu   sync.RWMutex
	byID map[string]*record
	// size is len(byID), so that lookups take no lock while there are no records.
	size atomic.Int64
}

// record holds the signals of one incarnation of a target.
type record struct {
	startedAt time.Time
	leaving   bool
	// until is the end of the backoff, askedAt when the target last asked for one.
	until, askedAt time.Time
	// limit is the last limit, newsAt when it was news last, and newsRate the rate then.
	limit    Limit
	newsAt   time.Time
	newsRate float64
	// brittle is what the target last said that it can turn away in a second, at brittleAt.
	brittle   int
	brittleAt time.Time
	// usedAt is when the target last signalled or, by Touch, was listed.
	usedAt time.Time
}

// of reports whether the record is of an incarnation. An unknown start time matches any.
func (r *record) of(incarnation fleet.Incarnation) bool {
	return incarnation.StartedAt.IsZero() || r.startedAt.IsZero() || incarnation.StartedAt.Equal(r.startedAt)
}

// Observe records the signals of an incarnation's answer, and returns those that are
// news. A later incarnation discards the record of an earlier one; late signals of an
// earlier one change nothing.
func (reg *Registry) Observe(now time.Time, incarnation fleet.Incarnation, signals Signals) Signals {
	if !signals.Leaving && signals.Backoff <= 0 && signals.Brittle <= 0 {
		return Signals{}
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.record(now, incarnation)
	if r == nil {
		return Signals{}
	}
	var news Signals
	if signals.Brittle > 0 {
		if r.brittle != signals.Brittle || now.Sub(r.brittleAt) >= BrittleFor {
			news.Brittle = signals.Brittle
		}
		r.brittle, r.brittleAt = signals.Brittle, now
	}
	if signals.Leaving && !r.leaving {
		r.leaving, news.Leaving = true, true
	}
	if signals.Backoff <= 0 {
		return news
	}
	if !now.Before(r.until) {
		news.Backoff = signals.Backoff
	}
	r.askedAt = now
	if until := now.Add(min(signals.Backoff, MaxBackoff)); until.After(r.until) {
		r.until = until
	}
	return news
}

// BrittleTarget is an incarnation that is brittle.
type BrittleTarget struct {
	Incarnation fleet.Incarnation
	// Bears is how many requests a second it can turn away without failing, as it last said At.
	Bears int
	At    time.Time
}

// BrittleTargets lists the incarnations that said within BrittleFor that they are brittle.
func (reg *Registry) BrittleTargets(now time.Time) []BrittleTarget {
	if reg.size.Load() == 0 {
		return nil
	}
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	var list []BrittleTarget
	for id, r := range reg.byID {
		if r.brittle > 0 && now.Sub(r.brittleAt) < BrittleFor {
			list = append(list, BrittleTarget{fleet.Incarnation{ID: id, StartedAt: r.startedAt}, r.brittle, r.brittleAt})
		}
	}
	return list
}

// record returns an incarnation's record, a new one if there is none; nil if a later
// incarnation is known.
func (reg *Registry) record(now time.Time, incarnation fleet.Incarnation) *record {
	r := reg.byID[incarnation.ID]
	switch {
	case r != nil && r.of(incarnation):
	case r != nil && incarnation.StartedAt.Before(r.startedAt):
		return nil
	default:
		r = reg.add(now, incarnation)
	}
	r.usedAt = now
	return r
}

// add adds a record for an incarnation. A full registry evicts the one used least
// recently.
func (reg *Registry) add(now time.Time, incarnation fleet.Incarnation) *record {
	if reg.byID == nil {
		reg.byID = make(map[string]*record)
	}
	if len(reg.byID) >= maxRecords {
		reg.dropOldest(now)
	}
	r := &record{startedAt: incarnation.StartedAt}
	reg.byID[incarnation.ID] = r
	reg.size.Store(int64(len(reg.byID)))
	return r
}

func (reg *Registry) dropOldest(now time.Time) {
	oldest, at := "", now
	for id, r := range reg.byID {
		if !r.usedAt.After(at) {
			oldest, at = id, r.usedAt
		}
	}
	delete(reg.byID, oldest)
}

// find returns a copy of an incarnation's record, or nil.
func (reg *Registry) find(incarnation fleet.Incarnation) *record {
	if reg.size.Load() == 0 {
		return nil
	}
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	r := reg.byID[incarnation.ID]
	if r == nil || !r.of(incarnation) {
		return nil
	}
	copied := *r
	return &copied
}

// Allow returns why no request may be sent to an incarnation of a target, or nil.
func (reg *Registry) Allow(now time.Time, incarnation fleet.Incarnation) error {
	r := reg.find(incarnation)
	switch {
	case r == nil:
		return nil
	case r.leaving:
		return ErrLeaving
	case now.Before(r.until):
		return ErrBackoff
	}
	return nil
}

// Leaving reports whether an incarnation signalled that it is leaving.
func (reg *Registry) Leaving(incarnation fleet.Incarnation) bool {
	r := reg.find(incarnation)
	return r != nil && r.leaving
}

// BackoffUntil returns the end of an incarnation's backoff; zero if it asked for none.
func (reg *Registry) BackoffUntil(incarnation fleet.Incarnation) time.Time {
	if r := reg.find(incarnation); r != nil {
		return r.until
	}
	return time.Time{}
}

// BackoffAskedAt returns when an incarnation last asked for a backoff; zero if it never did.
func (reg *Registry) BackoffAskedAt(incarnation fleet.Incarnation) time.Time {
	if r := reg.find(incarnation); r != nil {
		return r.askedAt
	}
	return time.Time{}
}

// Touch keeps an incarnation's record for longer, as the platform's list names it.
func (reg *Registry) Touch(now time.Time, incarnation fleet.Incarnation) {
	if reg.size.Load() == 0 {
		return
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if r := reg.byID[incarnation.ID]; r != nil && r.of(incarnation) {
		r.usedAt = now
	}
}

// Expire drops records without effect. Call it periodically.
func (reg *Registry) Expire(now time.Time) {
	if reg.size.Load() == 0 {
		return
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	maps.DeleteFunc(reg.byID, func(_ string, r *record) bool {
		if r.leaving || r.limit.Active {
			return now.Sub(r.usedAt) > retention
		}
		return !now.Before(r.until) && now.Sub(r.limit.At) > liftedRetention && now.Sub(r.brittleAt) >= BrittleFor
	})
	reg.size.Store(int64(len(reg.byID)))
}
