// Package poison finds the part of prompts that crashes engines. Such a part ends each engine that
// begins to answer a request with it, whatever else the request holds, and no two of the requests
// need be alike.
//
//	l := poison.List{}
//	l.Crashed(now, part, "i-7f@1200") // a request with this part had not begun there when it ended
//	l.Began(now, other)               // the first event of a request with that part came
//	if l.Refuses(now, part, 0) { ... }
//
// An engine ends with many requests, and sound ones share parts with the bad. A request that begins
// shows that none of its parts crashes engines, so the ends of before no longer count against them; a
// part that began lately needs more ends. What is left is in all the ends and in no beginning.
package poison

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/quarantine"
)

const (
	// KnownGoodThreshold is how many engines have to end under a part with which requests began
	// within goodFor. It bears the loss of some engines at once by another cause.
	KnownGoodThreshold = 5
	// goodFor is how long a beginning counts.
	goodFor = time.Minute
	// maxGood bounds the parts that are known to be good; the one that began least recently is
	// forgotten first, and then needs no more ends than an unknown one.
	maxGood = 4096
)

// List holds what one box knows of parts. The zero value is ready; it is not safe for concurrent use.
type List struct {
	crashes quarantine.List
	// good is when a request with a part last began.
	good *simplelru.LRU[fingerprint.Sum, time.Time]
}

func (l *List) goodParts() *simplelru.LRU[fingerprint.Sum, time.Time] {
	if l.good == nil {
		l.good, _ = simplelru.NewLRU[fingerprint.Sum, time.Time](maxGood, nil) // It fails only for a size of zero.
	}
	return l.good
}

// Crashed records that an incarnation of an engine ended while a request with a part had not begun
// there. It reports whether the part is newly refused.
func (l *List) Crashed(now time.Time, part fingerprint.Sum, incarnation string) bool {
	before := l.condemned(now, part, 0)
	l.crashes.Ended(now, part, incarnation)
	return !before && l.condemned(now, part, 0)
}

// AddRemote records that another box refuses a part. It reports whether that is news.
func (l *List) AddRemote(now time.Time, part fingerprint.Sum) bool {
	return l.crashes.AddRemote(now, part)
}

// Began records that a request with a part began at an engine, at this box or as another one told.
// It reports whether any end counted against the part until then.
func (l *List) Began(now time.Time, part fingerprint.Sum) bool {
	l.goodParts().Add(part, now)
	return l.crashes.Answered(now, part)
}

// MarkGood records that another box saw a request with a part begin lately, before ends or after.
func (l *List) MarkGood(now time.Time, part fingerprint.Sum) { l.goodParts().Add(part, now) }

// Good reports whether a request with a part began lately.
func (l *List) Good(now time.Time, part fingerprint.Sum) bool {
	at, known := l.goodParts().Peek(part)
	return known && now.Sub(at) < goodFor
}

// Refuses reports whether requests with a part must not be sent, with some more incarnations that may
// have ended under it.
func (l *List) Refuses(now time.Time, part fingerprint.Sum, suspects int) bool {
	if !l.condemned(now, part, suspects) {
		return false
	}
	l.crashes.Refuses(now, part, suspects) // It is kept for as long as it is asked for.
	return true
}

func (l *List) condemned(now time.Time, part fingerprint.Sum, suspects int) bool {
	switch {
	case l.crashes.IsRemote(part):
		return true
	case l.Good(now, part):
		return l.crashes.Crashes(part)+suspects >= KnownGoodThreshold
	}
	return l.crashes.Crashes(part)+suspects >= quarantine.Threshold
}

// Crashes returns how many ends count against a part.
func (l *List) Crashes(part fingerprint.Sum) int { return l.crashes.Crashes(part) }

// Refused returns the refused parts, in order.
func (l *List) Refused(now time.Time) []fingerprint.Sum {
	var list []fingerprint.Sum
	for _, part := range l.crashes.Refused() {
		if l.condemned(now, part, 0) {
			list = append(list, part)
		}
	}
	return list
}

// Lives takes back that an incarnation ended. It returns the parts against which that counted.
func (l *List) Lives(incarnation string) []fingerprint.Sum { return l.crashes.Lives(incarnation) }

// Len returns the number of parts against which an end was ever counted.
func (l *List) Len() int { return l.crashes.Len() }

// Expire forgets parts for which no request came for quarantine.Retention.
func (l *List) Expire(now time.Time) { l.crashes.Expire(now) }
