// Package brittle bounds what all boxes together have under way at one target that fails when it has
// to turn many requests away for want of room. How much room there is is not known: the target's entry
// may name too much, and it may become less at any time. A Room finds it out by requests that were
// accepted, and keeps those that may be turned away below what the target bears.
//
//	r := brittle.Room{Places: 6, Bears: 4}
//	if g, ok := r.Take(now); ok {
//		// send the request, and then one of
//		r.Accepted(now, &g) // and, once it has ended, r.End(now, &g)
//		r.TurnedAway(now, &g)
//	}
package brittle

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time in which a target counts the requests that it turns away, with what its
	// own clock and the network may add.
	window = 1200 * time.Millisecond
	// levelTime is for how long at least a level is used that was accepted, without another proof.
	levelTime = 5 * time.Second
	// answerTime is how long it takes to learn that a request was turned away, in most cases.
	answerTime = 5 * time.Millisecond
	// barTime is for how long a level is not tried again at which a request was turned away.
	barTime = 2 * time.Second
	// spareShare is the share of the proven level up to which room is sure: what is on the way from and to
	// the target counts as well, which is more while boxes are busy.
	spareShare = 2.0 / 3
	// shrinkTo is the share of a level that is left once a request was turned away that was known to fit: the target
	// has less room than it had, and each step down costs a request.
	shrinkTo = 0.6
	// lingerTime is how long a request counts whose target did not answer: it may find it still, when it
	// goes on after a pause.
	lingerTime = time.Second
)

// Room is what one start of a target has room for. Set the exported fields before first use; they may
// change later. It is not safe for concurrent use.
type Room struct {
	// Places is how many requests the target says that it runs at once, Bears how many it can turn
	// away in a second without failing. Both are at least one.
	Places, Bears int

	// held counts the requests under way, tried those of them taken above the proven level and not
	// accepted yet.
	held, tried int
	// proven is the level up to which requests were accepted since provenAt, before that up to
	// earlier, which counts as well.
	proven, earlier int
	provenAt        time.Time
	// turnedAway are the times of the requests turned away within the window, taken counts the requests
	// taken since the last of them that are not accepted yet.
	turnedAway []time.Time
	taken      int
	// bar is the level that is not tried until barUntil.
	bar      int
	barUntil time.Time
	// recent are the times of the requests taken within answerTime.
	recent []time.Time
	// tries are the requests taken above the proven level within the window.
	tries []try
	// lingering are until when requests count that were not answered.
	lingering []time.Time
	// epoch counts the requests turned away.
	epoch uint64
}

// try is when a request was taken above the proven level, and the level with it. Ends are the requests that ended
// so soon after it that the target had them no more as it came.
type try struct {
	at          time.Time
	level, ends int
}

// Certainty is how sure it is that a target has room for one more request: it is not to be sent, it may be
// turned away, it fits by what was accepted lately, or there is much more room than that.
type Certainty int

// The order is from the least sure.
const (
	None Certainty = iota
	Tried
	Known
	Spare
)

// Grant is one request's part of a room.
type Grant struct {
	// Tried says that more requests are under way than are known to fit, so that Accepted is wanted
	// before the end.
	Tried bool

	// level is how many requests are under way with this one, epoch the room's as it was taken.
	level int
	at    time.Time
	epoch uint64
	open  bool
}

// Take takes a part of the room for one request, or reports that it may be turned away.
func (r *Room) Take(now time.Time) (Grant, bool) {
	r.expire(now)
	if !r.allows(now) {
		return Grant{}, false
	}
	return r.Count(now), true
}

// Free returns how sure it is that the target has room for one more request.
func (r *Room) Free(now time.Time) Certainty {
	r.expire(now)
	switch level := r.Level(); {
	case !r.allows(now):
		return None
	case level == 0 || float64(level+1) <= spareShare*float64(r.level()):
		return Spare
	case level < r.level():
		return Known
	}
	return Tried
}

// Full reports whether as many requests are under way as the target is ever tried with.
func (r *Room) Full() bool { return r.Level() >= r.ceiling() }

// Level is how many requests count as under way.
func (r *Room) Level() int { return r.held + len(r.lingering) }

// allows decides for one more request. An empty target accepts it. Above the proven level some are tried at
// a time, and none once one was turned away. Below it, once several were turned away, no more are under way
// that may be turned away than the target bears besides.
func (r *Room) allows(now time.Time) bool {
	level, away := r.Level(), len(r.turnedAway)
	switch {
	case level == 0:
		return true
	case level >= r.ceiling() || len(r.recent) > 0 && away+len(r.recent)+1 >= r.Bears:
		return false
	case level >= r.level():
		return (level+1 < r.bar || !now.Before(r.barUntil)) && away+r.tried < r.triesAtOnce()
	case 2*away > r.Bears:
		return away+r.taken+1 < r.Bears
	}
	return true
}

// triesAtOnce is how many requests above the proven level may be under way, with those turned away: fewer
// once one was.
func (r *Room) triesAtOnce() int {
	if r.bar == 0 {
		return max(r.Bears/2, 1)
	}
	return max(r.Bears/4, 1)
}

// level is the level up to which requests were accepted lately.
func (r *Room) level() int { return max(r.proven, r.earlier) }

// ceiling is the most that are under way: some more than it runs, so that it has one to begin with as
// another ends.
func (r *Room) ceiling() int { return r.Places + max(r.Places/4, 2) }

// Count counts a request that is under way whether there is room or not.
func (r *Room) Count(now time.Time) Grant {
	r.expire(now)
	level := r.Level()
	g := Grant{Tried: level >= r.level(), level: level + 1, at: now, epoch: r.epoch, open: true}
	r.held++
	r.taken++
	r.recent = append(r.recent, now)
	if g.Tried {
		r.tried++
		r.tries = append(r.tries, try{at: now, level: g.level})
	}
	return g
}

// Accepted records that the target accepted a request: it began to answer, or has answered.
func (r *Room) Accepted(now time.Time, g *Grant) {
	if !r.settle(g) {
		return
	}
	if g.epoch != r.epoch {
		return // What was turned away since tells more.
	}
	r.expire(now)
	if r.provenAt.IsZero() {
		r.provenAt = now
	}
	r.proven = max(r.proven, min(r.provenBy(g), r.ceiling()))
}

// provenBy is the level that an accepted request proves: it may have found fewer requests at the target than were
// under way.
func (r *Room) provenBy(g *Grant) int {
	at := slices.IndexFunc(r.tries, func(x try) bool { return x.at.Equal(g.at) && x.level == g.level })
	if at < 0 {
		return g.level
	}
	return g.level - r.tries[at].ends
}

// End records the end of a request that was accepted, or that never reached the target.
func (r *Room) End(now time.Time, g *Grant) {
	for i := range r.tries {
		if x := &r.tries[i]; now.After(x.at) && now.Sub(x.at) < answerTime {
			x.ends++
		}
	}
	r.release(g)
}

func (r *Room) release(g *Grant) {
	r.settle(g)
	r.held--
}

// TurnedAway records that the target had no room for a request.
func (r *Room) TurnedAway(now time.Time, g *Grant) {
	tooMuch := r.triedSince(g)
	shrunk := !g.Tried && tooMuch == g.level && g.epoch == r.epoch
	r.End(now, g)
	r.expire(now)
	r.turnedAway = append(r.turnedAway, now)
	r.epoch++
	r.taken = 0
	level := min(r.level(), tooMuch-1)
	if shrunk {
		level = min(level, int(math.Ceil(shrinkTo*float64(tooMuch))))
	}
	r.bar, r.barUntil = max(tooMuch, 2), now.Add(barTime)
	r.proven, r.earlier, r.provenAt = max(level, 1), 0, now
}

// triedSince is the highest level that was tried since a request was taken, or that request's: one that was taken
// later may have reached the target before it. Those that were turned away since did not stay there.
func (r *Room) triedSince(g *Grant) int {
	level := g.level
	for _, x := range r.tries {
		if !x.at.Before(g.at) {
			level = max(level, x.level)
		}
	}
	for _, at := range r.turnedAway {
		if level > g.level && !at.Before(g.at) {
			level--
		}
	}
	return level
}

// Unanswered records that the target did not answer a request that it may have.
func (r *Room) Unanswered(now time.Time, g *Grant) {
	r.release(g)
	r.lingering = append(r.lingering, now.Add(lingerTime))
}

// settle stops counting a request among those that may be turned away. It reports whether it did so
// for the first time.
func (r *Room) settle(g *Grant) bool {
	if !g.open {
		return false
	}
	g.open = false
	if g.Tried {
		r.tried--
	}
	if g.epoch == r.epoch {
		r.taken--
	}
	return true
}

// expire forgets what no longer counts.
func (r *Room) expire(now time.Time) {
	past := func(at time.Time) bool { return now.Sub(at) >= window }
	r.turnedAway = slices.DeleteFunc(r.turnedAway, past)
	for len(r.recent) > 0 && now.Sub(r.recent[0]) >= answerTime {
		r.recent = r.recent[1:]
	}
	for len(r.tries) > 0 && now.Sub(r.tries[0].at) >= window {
		r.tries = r.tries[1:]
	}
	for len(r.lingering) > 0 && !now.Before(r.lingering[0]) {
		r.lingering = r.lingering[1:]
	}
	switch age := now.Sub(r.provenAt); {
	case r.provenAt.IsZero():
	case age >= 2*levelTime:
		r.proven, r.earlier, r.provenAt = 0, 0, time.Time{}
	case age >= levelTime:
		r.earlier, r.proven, r.provenAt = r.proven, 0, now
	}
}
