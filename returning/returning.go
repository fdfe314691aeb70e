// Package returning remembers which requests were refused for want of room, so that a caller who
// returns when told goes before those that came later.
//
//	var l returning.List
//	l.Refused(now, sum, since, now.Add(retryAfter))
//	since, ok := l.Return(now, sum) // the time of the first try
//
// It answers bursts of some seconds in which thousands of requests are refused, whose callers
// return once, with a new request ID and the same content, and would be refused again by chance.
package returning

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/fingerprint"
)

const (
	// Max bounds the remembered requests: those refused in a burst within the longest return time
	// and Grace, at 1,000 a second.
	Max = 4096
	// Grace is how long after its return time a request is remembered: the time to connect to
	// another box and to send a long body on a slow link.
	Grace = 2 * time.Second
	// tolerance is how much earlier than told a caller may return, as its clock and the time at
	// which it got the refusal differ.
	tolerance = 50 * time.Millisecond
)

// List is not safe for concurrent use. The zero value is ready.
type List struct {
	entries *simplelru.LRU[fingerprint.Sum, entry]
}

// entry is about all refused requests with one fingerprint.
type entry struct {
	// since is the time of the first try, from when a caller may return, and until when one may at
	// the latest.
	since, from, until time.Time
	// count is how many were refused and have not returned.
	count int
}

// Refused remembers a refused request, when its caller first asked, and when it was told to return.
func (l *List) Refused(now time.Time, sum fingerprint.Sum, since, returnAt time.Time) {
	if l.entries == nil {
		l.entries, _ = simplelru.NewLRU[fingerprint.Sum, entry](Max, nil) // Fails only for sizes below one.
	}
	e, known := l.entries.Get(sum)
	if !known || now.After(e.until) {
		e = entry{since: since, from: returnAt}
	}
	e.count++
	if since.Before(e.since) {
		e.since = since
	}
	if returnAt.Before(e.from) {
		e.from = returnAt
	}
	if until := returnAt.Add(Grace); until.After(e.until) {
		e.until = until
	}
	l.entries.Add(sum, e)
}

// Return reports whether a request is of a caller that was refused and returns when told, and the
// time of its first try. Each refusal counts once.
func (l *List) Return(now time.Time, sum fingerprint.Sum) (time.Time, bool) {
	if l.entries == nil {
		return time.Time{}, false
	}
	e, known := l.entries.Peek(sum)
	if !known || now.Before(e.from.Add(-tolerance)) {
		return time.Time{}, false
	}
	if e.count--; e.count == 0 || now.After(e.until) {
		l.entries.Remove(sum)
	} else {
		l.entries.Add(sum, e)
	}
	return e.since, !now.After(e.until)
}

// Expire drops the requests whose callers have not returned in time.
func (l *List) Expire(now time.Time) {
	if l.entries == nil {
		return
	}
	for _, sum := range l.entries.Keys() {
		if e, known := l.entries.Peek(sum); known && now.After(e.until) {
			l.entries.Remove(sum)
		}
	}
}

// Len returns how many fingerprints are remembered.
func (l *List) Len() int {
	if l.entries == nil {
		return 0
	}
	return l.entries.Len()
}
