// Package crash determines which requests ran on a target when it crashed. A request that
// is cut off shows little, as connections break for many reasons. It is kept until the
// target's incarnation is known to have ended or to be alive.
//
//	t := crash.Tracker{}
//	t.CutOff(now, "i-7f@1200", sum)   // a request was cut off there
//	t.Alive("i-7f@1200", sentAt)      // it answered a later request: drop it
//	sums := t.Ended(now, "i-7f@1200") // its process is gone: these ran there
package crash

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
)

const (
	// SuspectFor is how long an incarnation is suspected after a request was cut off there.
	// The platform's list drops a crashed target after some 4 s.
	SuspectFor = 6 * time.Second
	// RememberFor is how long an ended incarnation is remembered, for requests whose end is
	// reported late: those that wait for a silent target do so for seconds.
	RememberFor = time.Minute
	// firstProbe is the delay until a suspect is first probed: its cache events, at intervals
	// of 0.4 s at most, or refused connections mostly show its state before. probeInterval is
	// the pause between further probes.
	firstProbe    = 250 * time.Millisecond
	probeInterval = time.Second
	// maxEntries bounds the requests kept of one incarnation, and the incarnations. An
	// engine runs 128 requests at once.
	maxEntries = 256
)

// Tracker holds what one box knows of requests that were cut off. The zero value is
// ready; it is not safe for concurrent use.
type Tracker struct {
	// suspects are the incarnations that may have ended; ended is when others were known to
	// have.
	suspects map[string]*suspect
	ended    map[string]time.Time
}

// suspect is an incarnation that may have ended.
type suspect struct {
	// sums are the requests that ended there without an answer: true if they were cut off,
	// false if their callers left, which may have been right before the crash.
	sums map[fingerprint.Sum]bool
	// last is when the last of them ended.
	last time.Time
	// probeAt is when to probe the target next; zero while only callers left.
	probeAt time.Time
}

// CutOff records that a request was cut off at a target. It reports whether that
// incarnation is known to have ended.
func (t *Tracker) CutOff(now time.Time, incarnation string, sum fingerprint.Sum) bool {
	s, ended := t.suspect(now, incarnation)
	if s == nil {
		return ended
	}
	if s.probeAt.IsZero() {
		s.probeAt = now.Add(firstProbe)
	}
	s.add(sum, true)
	return false
}

// CallerLeft records that a request's caller left while it ran at a target. It reports
// the same.
func (t *Tracker) CallerLeft(now time.Time, incarnation string, sum fingerprint.Sum) bool {
	s, ended := t.suspect(now, incarnation)
	if s == nil {
		return ended
	}
	s.add(sum, false)
	return false
}

// suspect returns the suspect for an incarnation, or nil if it is known to have ended or
// if there are too many.
func (t *Tracker) suspect(now time.Time, incarnation string) (s *suspect, ended bool) {
	if _, ended := t.ended[incarnation]; ended {
		return nil, true
	}
	if t.suspects == nil {
		t.suspects = make(map[string]*suspect)
	}
	s = t.suspects[incarnation]
	if s == nil {
		if len(t.suspects) >= maxEntries {
			return nil, false
		}
		s = &suspect{sums: make(map[fingerprint.Sum]bool, 1)}
		t.suspects[incarnation] = s
	}
	s.last = now
	return s, false
}

func (s *suspect) add(sum fingerprint.Sum, cut bool) {
	if _, known := s.sums[sum]; known || len(s.sums) < maxEntries {
		s.sums[sum] = s.sums[sum] || cut
	}
}

// Alive records that a target answered a request sent at a time. What was cut off there
// before was not cut off by a crash. It reports whether the incarnation was known to have ended:
// something on the way, not the target, refused the connections.
func (t *Tracker) Alive(incarnation string, sentAt time.Time) (revived bool) {
	if at, ended := t.ended[incarnation]; ended && sentAt.After(at) {
		delete(t.ended, incarnation)
		revived = true
	}
	if s := t.suspects[incarnation]; s != nil && sentAt.After(s.last) {
		delete(t.suspects, incarnation)
	}
	return revived
}

// Ended records that an incarnation ended and returns the requests that ran there.
func (t *Tracker) Ended(now time.Time, incarnation string) []fingerprint.Sum {
	if t.ended == nil {
		t.ended = make(map[string]time.Time)
	}
	if len(t.ended) < maxEntries {
		t.ended[incarnation] = now
	}
	s := t.suspects[incarnation]
	if s == nil {
		return nil
	}
	delete(t.suspects, incarnation)
	return slices.SortedFunc(maps.Keys(s.sums), func(a, b fingerprint.Sum) int { return strings.Compare(string(a[:]), string(b[:])) })
}

// HasEnded reports whether an incarnation is known to have ended.
func (t *Tracker) HasEnded(incarnation string) bool {
	_, ended := t.ended[incarnation]
	return ended
}

// Suspected reports whether an incarnation may have ended.
func (t *Tracker) Suspected(incarnation string) bool { return t.suspects[incarnation] != nil }

// Clear drops a request from the suspicions, as it can't have ended a target.
func (t *Tracker) Clear(sum fingerprint.Sum) {
	for _, s := range t.suspects {
		delete(s.sums, sum)
	}
}

// Suspects returns how many suspected incarnations cut a request off.
func (t *Tracker) Suspects(sum fingerprint.Sum) int {
	n := 0
	for _, s := range t.suspects {
		if s.sums[sum] {
			n++
		}
	}
	return n
}

// Len returns the number of suspected incarnations.
func (t *Tracker) Len() int { return len(t.suspects) }

// Due returns the incarnations to probe now, each at most once per probeInterval.
func (t *Tracker) Due(now time.Time) []string {
	var incarnations []string
	for incarnation, s := range t.suspects {
		if s.probeAt.IsZero() || now.Before(s.probeAt) {
			continue
		}
		s.probeAt = now.Add(probeInterval)
		incarnations = append(incarnations, incarnation)
	}
	slices.Sort(incarnations)
	return incarnations
}

// Expire drops suspicions that were not confirmed and ends of long ago.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ string, s *suspect) bool { return now.Sub(s.last) > SuspectFor })
	maps.DeleteFunc(t.ended, func(_ string, at time.Time) bool { return now.Sub(at) > RememberFor })
}
