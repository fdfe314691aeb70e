// Package crash finds out which requests ran on a target when it ended. A request that is
// cut off says little: connections break for many reasons. It is kept until the target's
// life is known to be over, or known to go on.
//
//	w := crash.Watch{}
//	w.Cut(now, "i-7f@1200", sum)      // a request was cut off there
//	w.Alive("i-7f@1200", asked)       // it answered what was asked after that: forget it
//	sums := w.Ended(now, "i-7f@1200") // its process is gone: these ran there
package crash

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
)

const (
	// SuspectFor is how long a life is doubted after a request was cut off there. The
	// platform's list drops a target that crashed after some 4 s.
	SuspectFor = 6 * time.Second
	// RememberFor is how long it is known that a life is over, for requests whose ends
	// are told late: those that wait for a silent target do so for seconds.
	RememberFor = time.Minute
	// askFirst is when a target is first asked whether it lives: its news, which come
	// each 0.4 s at most, and refused connections mostly tell before. askEach is the
	// pause after that.
	askFirst = 250 * time.Millisecond
	askEach  = time.Second
	// most bounds the requests kept of one life, and the lives. An engine runs 128
	// requests at once.
	most = 256
)

// Tracker is what one box knows of requests that were cut off. The zero value is ready; it
// is not safe for concurrent use.
type Tracker struct {
	// doubted are the lives that may be over, ended when others were known to be.
	doubted map[string]*doubt
	ended   map[string]time.Time
}

// doubt is a life that may be over.
type doubt struct {
	// sums are the requests that ended there without an answer: true if they were cut
	// off, false if their callers left, who may have done so right before the end.
	sums map[fingerprint.Sum]bool
	// last is when the last one ended so.
	last time.Time
	// ask is when the target should be asked next; zero while only callers left.
	ask time.Time
}

// CutOff notes that a request was cut off at a target. It says whether that life is known to
// be over.
func (w *Tracker) CutOff(now time.Time, life string, sum fingerprint.Sum) bool {
	x, over := w.doubt(now, life)
	if x == nil {
		return over
	}
	if x.ask.IsZero() {
		x.ask = now.Add(askFirst)
	}
	x.note(sum, true)
	return false
}

// CallerLeft notes that a request's caller left while it ran at a target. It says the same.
func (w *Tracker) CallerLeft(now time.Time, life string, sum fingerprint.Sum) bool {
	x, over := w.doubt(now, life)
	if x == nil {
		return over
	}
	x.note(sum, false)
	return false
}

// doubt returns what is kept of a life, or nil if it is known to be over, or if there are
// too many.
func (w *Tracker) doubt(now time.Time, life string) (x *doubt, over bool) {
	if _, over := w.ended[life]; over {
		return nil, true
	}
	if w.doubted == nil {
		w.doubted = make(map[string]*doubt)
	}
	x = w.doubted[life]
	if x == nil {
		if len(w.doubted) >= most {
			return nil, false
		}
		x = &doubt{sums: make(map[fingerprint.Sum]bool, 1)}
		w.doubted[life] = x
	}
	x.last = now
	return x, false
}

func (x *doubt) note(sum fingerprint.Sum, cut bool) {
	if _, known := x.sums[sum]; known || len(x.sums) < most {
		x.sums[sum] = x.sums[sum] || cut
	}
}

// Alive notes that a target answered what it was asked at a time. What was cut off there
// before was not cut off by its end.
func (w *Tracker) Alive(life string, asked time.Time) {
	if at, over := w.ended[life]; over && asked.After(at) {
		delete(w.ended, life) // A link that refused connections in its place.
	}
	if x := w.doubted[life]; x != nil && asked.After(x.last) {
		delete(w.doubted, life)
	}
}

// Ended notes that a life is over and returns what was cut off there.
func (w *Tracker) Ended(now time.Time, life string) []fingerprint.Sum {
	if w.ended == nil {
		w.ended = make(map[string]time.Time)
	}
	if len(w.ended) < most {
		w.ended[life] = now
	}
	x := w.doubted[life]
	if x == nil {
		return nil
	}
	delete(w.doubted, life)
	return slices.SortedFunc(maps.Keys(x.sums), func(a, b fingerprint.Sum) int { return strings.Compare(string(a[:]), string(b[:])) })
}

// HasEnded says whether a life is known to be over.
func (w *Tracker) HasEnded(life string) bool {
	_, over := w.ended[life]
	return over
}

// Suspected says whether a life may be over.
func (w *Tracker) Suspected(life string) bool { return w.doubted[life] != nil }

// Suspects returns how many lives that may be over cut a request off.
func (w *Tracker) Suspects(sum fingerprint.Sum) int {
	n := 0
	for _, x := range w.doubted {
		if x.sums[sum] {
			n++
		}
	}
	return n
}

// Len is how many lives are doubted.
func (w *Tracker) Len() int { return len(w.doubted) }

// Due returns the lives that should be asked whether they go on, each once in askEach.
func (w *Tracker) Due(now time.Time) []string {
	var lives []string
	for life, x := range w.doubted {
		if x.ask.IsZero() || now.Before(x.ask) {
			continue
		}
		x.ask = now.Add(askEach)
		lives = append(lives, life)
	}
	slices.Sort(lives)
	return lives
}

// Expire forgets doubts that nothing bore out and ends that are long known.
func (w *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(w.doubted, func(_ string, x *doubt) bool { return now.Sub(x.last) > SuspectFor })
	maps.DeleteFunc(w.ended, func(_ string, at time.Time) bool { return now.Sub(at) > RememberFor })
}
