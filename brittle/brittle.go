// Package brittle bounds the requests of one box at targets that fail when they have to turn many
// requests away for want of room. Each box takes its part of what a target can run and of what it
// can turn away, so that all boxes together stay below the sum without asking each other.
//
//	l := brittle.Limiter{}
//	l.TurnedAway(now, "i-7f@1200", inFlight)
//	if l.Allows(now, "i-7f@1200", brittle.Target{Bears: 6, Places: 6, Boxes: 3}, outstanding, inFlight) { ... }
package brittle

import (
	"maps"
	"time"
)

// window is the time in which a target counts the requests that it turns away.
const window = time.Second

// raiseEvery is the pause after which a box tries one more request at a target than it had there when
// that turned one away.
const raiseEvery = 500 * time.Millisecond

// fullFor is how long it is remembered that a target was full.
const fullFor = 10 * time.Second

// Target is a target that is brittle.
type Target struct {
	// Bears is how many requests of all boxes it can turn away in a second, Places how many it
	// runs at once. Boxes is the number of boxes that send to it.
	Bears, Places, Boxes int
}

// Limiter knows which requests of one box were turned away lately. The zero value is ready; it is not
// safe for concurrent use.
type Limiter struct {
	turnedAway map[string][]time.Time
	// full is how many requests of this box a target had when it last turned one away.
	full map[string]fullTarget
}

// fullTarget is a target that had no room for more than inFlight requests of this box.
type fullTarget struct {
	inFlight int
	at       time.Time
}

// TurnedAway records that an incarnation of a target turned a request of this box away, beside which
// so many others were there.
func (l *Limiter) TurnedAway(now time.Time, incarnation string, inFlight int) {
	if l.turnedAway == nil {
		l.turnedAway, l.full = make(map[string][]time.Time), make(map[string]fullTarget)
	}
	l.turnedAway[incarnation] = append(l.recent(now, incarnation), now)
	l.full[incarnation] = fullTarget{max(inFlight, 1), now}
}

// recent returns the times within the last window.
func (l *Limiter) recent(now time.Time, incarnation string) []time.Time {
	list := l.turnedAway[incarnation]
	for len(list) > 0 && now.Sub(list[0]) > window {
		list = list[1:]
	}
	return list
}

// Allows reports whether one more request may be sent to a target that has not answered so many of
// this box's requests, of those in flight there. All boxes' shares sum up to what the target runs and bears, and each request that
// it turned away takes one off for the window. So it turns away more than it bears only if there are
// more boxes than that sum, each of which may have one request there. A target that was full gets as
// many as it had then, and slowly more.
func (l *Limiter) Allows(now time.Time, incarnation string, target Target, outstanding, inFlight int) bool {
	if full, known := l.full[incarnation]; known && inFlight >= full.inFlight+int(now.Sub(full.at)/raiseEvery) {
		return false
	}
	share := max((target.Places+target.Bears)/max(target.Boxes, 1), 1)
	return outstanding+len(l.recent(now, incarnation)) < share
}

// Expire forgets what is older than the window.
func (l *Limiter) Expire(now time.Time) {
	maps.DeleteFunc(l.turnedAway, func(incarnation string, _ []time.Time) bool { return len(l.recent(now, incarnation)) == 0 })
	maps.DeleteFunc(l.full, func(_ string, full fullTarget) bool { return now.Sub(full.at) > fullFor })
}
