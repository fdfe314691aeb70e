// Package notice keeps what targets said of themselves in their answers: that they
// leave, that they want no requests from this box for a while, or how many requests a
// second they take of all boxes together.
//
//	b := notice.Book{}
//	b.Hear(now, life, notice.Said{Backoff: 3 * time.Second}) // where the answer is read
//	...
//	err := b.Allow(now, life) // right before a request leaves this box: ErrBackoff
//
// A target's own word comes with each of its answers, also while the platform's list of
// targets can't be read, and it is the first to know.
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
	// MaxBackoff bounds for how long a target is left alone at its own word. Targets seen
	// ask for some seconds; one that names a year must not be lost for that.
	MaxBackoff = 5 * time.Minute
	// keep is for how long a target that leaves is remembered after its word was heard
	// or asked for last. One that leaves is gone within a minute, but a list that is old
	// may name it again.
	keep = time.Hour
	// most bounds the targets remembered, at some 200 bytes each: the fleet's targets
	// several times over.
	most = 4096
)

// Reasons why no request may be sent to a target.
var (
	// ErrLeaving says that the target takes no new work any more.
	ErrLeaving = errors.New("the target said that it leaves")
	// ErrBackoff says that the target asked for a time without requests, which lasts.
	ErrBackoff = errors.New("the target asked for a time without requests")
	// ErrLimited says that the target limits the requests of all boxes, and that this one is
	// not among them.
	ErrLimited = errors.New("the target limits requests")
)

// Signals is what an answer says of its target. The zero value says nothing.
type Signals struct {
	// Leaving says that the target takes no new work.
	Leaving bool
	// Backoff is for how long the target wants no requests from this box, counted from
	// its answer; zero if it does not say.
	Backoff time.Duration
	// Limited says that it names a rate, in requests a second, that it takes of all boxes
	// together for as long as its answers name one.
	Limited bool
	Rate    float64
	// Unlimited says that the answer would name such a rate if there were one.
	Unlimited bool
}

// Registry is what one box heard. The zero value is ready; it is safe for concurrent use.
type Registry struct {
	mu   sync.RWMutex
	byID map[string]*record
	// size is len(byID), so that a request asks for no lock while nothing was heard.
	size atomic.Int64
}

// record is what one life of a target said.
type record struct {
	born    time.Time
	leaving bool
	// until is when the time without requests is over.
	until time.Time
	// limit is the rate that it names, limitedAt when that was news last, and limitNoted the
	// rate then.
	limit      Limit
	limitedAt  time.Time
	limitNoted float64
	// last is when the target was last heard or asked for.
	last time.Time
}

// of says whether the record is of a life. One that does not tell its birth is taken
// for the one known.
func (r *record) of(life fleet.Incarnation) bool {
	return life.StartedAt.IsZero() || r.born.IsZero() || life.StartedAt.Equal(r.born)
}

// Observe notes what a life's answer said, and returns what of it is news. A later life
// makes what an earlier one said void; what that one said late changes nothing.
func (b *Registry) Observe(now time.Time, life fleet.Incarnation, said Signals) Signals {
	if !said.Leaving && said.Backoff <= 0 {
		return Signals{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(now, life)
	if r == nil {
		return Signals{}
	}
	var news Signals
	if said.Leaving && !r.leaving {
		r.leaving, news.Leaving = true, true
	}
	if said.Backoff <= 0 {
		return news
	}
	if !now.Before(r.until) {
		news.Backoff = said.Backoff
	}
	if until := now.Add(min(said.Backoff, MaxBackoff)); until.After(r.until) {
		r.until = until
	}
	return news
}

// record returns a life's record, which is begun if there is none; nil if a later life is
// known.
func (b *Registry) record(now time.Time, life fleet.Incarnation) *record {
	r := b.byID[life.ID]
	switch {
	case r != nil && r.of(life):
	case r != nil && life.StartedAt.Before(r.born):
		return nil
	default:
		r = b.add(now, life)
	}
	r.last = now
	return r
}

// add begins a life's record. A full book forgets the one heard of longest ago.
func (b *Registry) add(now time.Time, life fleet.Incarnation) *record {
	if b.byID == nil {
		b.byID = make(map[string]*record)
	}
	if len(b.byID) >= most {
		b.dropOldest(now)
	}
	r := &record{born: life.StartedAt}
	b.byID[life.ID] = r
	b.size.Store(int64(len(b.byID)))
	return r
}

func (b *Registry) dropOldest(now time.Time) {
	oldest, at := "", now
	for id, r := range b.byID {
		if !r.last.After(at) {
			oldest, at = id, r.last
		}
	}
	delete(b.byID, oldest)
}

// find returns what a life said, or nil.
func (b *Registry) find(life fleet.Incarnation) *record {
	if b.size.Load() == 0 {
		return nil
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.byID[life.ID]
	if r == nil || !r.of(life) {
		return nil
	}
	copied := *r
	return &copied
}

// Allow returns why no request may be sent to a life of a target, or nil.
func (b *Registry) Allow(now time.Time, life fleet.Incarnation) error {
	r := b.find(life)
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

// Leaving says whether a life said that it leaves.
func (b *Registry) Leaving(life fleet.Incarnation) bool {
	r := b.find(life)
	return r != nil && r.leaving
}

// BackoffUntil is until when a life wants no requests; zero if it did not ask for that.
func (b *Registry) BackoffUntil(life fleet.Incarnation) time.Time {
	if r := b.find(life); r != nil {
		return r.until
	}
	return time.Time{}
}

// Touch remembers a life for longer, as the platform's list names it.
func (b *Registry) Touch(now time.Time, life fleet.Incarnation) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.byID[life.ID]; r != nil && r.of(life) {
		r.last = now
	}
}

// Expire forgets what makes no odds any more. Call it now and then.
func (b *Registry) Expire(now time.Time) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.byID, func(_ string, r *record) bool {
		if r.leaving || r.limit.Active {
			return now.Sub(r.last) > keep
		}
		return !now.Before(r.until) && now.Sub(r.limit.At) > liftedFor
	})
	b.size.Store(int64(len(b.byID)))
}
