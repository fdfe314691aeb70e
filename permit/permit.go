// Package permit gives out the room of brittle targets to the requests of all boxes. For each target one
// box keeps it: the others ask that one for a permit before they send a request, and tell it how the
// request ended. Permits carry numbers of the box that asks, so that a report counts once and a lost one
// is made good by the next Renew.
//
//	k := permit.Keeper{}
//	answer := k.Ask(ctx, now, permit.Ask{Box: "front-1", Number: 7, Targets: targets, Wait: 30 * time.Millisecond})
//	k.Report(now, "front-1", epoch, permit.Report{Number: 7, End: permit.Answered})
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/thymewind/thymewind/brittle"
)

const (
	// lenientTime is how long after its pool became brittle a target's requests are bounded by what it
	// is ever tried with alone: until then it turns none away for being brittle.
	lenientTime = time.Second
	// learnTime is how long the targets of a group that this box begins to keep get one request at a time:
	// other boxes may still have to tell what they have under way there.
	learnTime = time.Second
	// boxTTL is how long the permits of a box count that says nothing. It renews them several times.
	boxTTL = 2 * time.Second
	// targetTTL is how long an unused target is kept.
	targetTTL = 10 * time.Second
	// minPause is how long at least a box that was denied asks no more. All of them together ask about
	// minAsks times a second, or asksPerGrant times as often as permits are given.
	minPause     = 5 * time.Millisecond
	minAsks      = 1000
	asksPerGrant = 4
	// waitSteps is how often a request that waits is looked at again although nothing has ended.
	waitSteps = 4
	// minWaiting is how many requests may wait for each target at least, however few permits were given.
	minWaiting = 2
	// rateTime is the time over which grants are counted to tell how many requests may wait.
	rateTime = time.Second
)

// How a request ended.
const (
	// Answered: it was accepted.
	Answered = iota
	// NotSent: it never reached its target.
	NotSent
	// TurnedAway: the target had no room for it.
	TurnedAway
	// Unanswered: the target may still have it.
	Unanswered
	// Began: it was accepted and goes on.
	Began
)

// Target is a target that a request may go to, by the key of its incarnation, and how many requests its
// entry says that it runs at once.
type Target struct {
	Key    string
	Places int
}

// Ask asks for a permit at one of some targets of a pool, the first preferred.
type Ask struct {
	Box string
	// Epoch is the start of the box, Number counts its permits since.
	Epoch, Number uint64
	// Group names the targets whose room is given out in one order; Targets are some of them.
	Group   string
	Targets []Target
	// Bears is how many requests a second each of them can turn away, BrittleFor since when it is
	// known that they are brittle.
	Bears      int
	BrittleFor time.Duration
	// Urgency orders the requests that wait; lower goes first. Wait is how long this one may; without a
	// wait only room to spare is given out.
	Urgency int
	Wait    time.Duration
}

// Answer grants a permit for one target, or denies it.
type Answer struct {
	// Target is the key of the target; empty if the permit is denied.
	Target string
	// Tell asks for a report as soon as the target accepts the request.
	Tell bool
	// Pause is how long a box that was denied does not ask again for requests that are no more urgent.
	Pause time.Duration
	// Level is how many requests of all boxes the target has with this one.
	Level int
}

// Keeper keeps the room of targets for all boxes. The zero value is ready; it is safe for concurrent use.
type Keeper struct {
	mu      sync.Mutex
	targets map[string]*target
	boxes   map[string]*box
	groups  map[string]*group
}

// target is the room of one incarnation.
type target struct {
	room         brittle.Room
	usedAt       time.Time
	lenientUntil time.Time
	held         int
}

// Ask answers at once, or within the request's wait.
func (k *Keeper) Ask(ctx context.Context, now func() time.Time, a Ask) Answer {
	w, answer := k.askOrWait(now(), a)
	if w == nil {
		return answer
	}
	step := time.NewTicker(max(a.Wait/waitSteps, time.Millisecond))
	defer step.Stop()
	for range waitSteps {
		select {
		case answer = <-w.answer:
			return answer
		case <-step.C:
			k.serveGroup(now(), a.Group)
		case <-ctx.Done():
			return k.giveUp(now(), w)
		}
	}
	return k.giveUp(now(), w)
}

// serveGroup grants permits to requests of a group: what is enough for them changes as they wait.
func (k *Keeper) serveGroup(now time.Time, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serve(now, k.groupOf(name))
}

// askOrWait grants or denies a permit, or has the request wait.
func (k *Keeper) askOrWait(now time.Time, a Ask) (*waiter, Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.boxOf(now, a.Box, a.Epoch)
	q := k.groupOf(a.Group)
	q.asked(now)
	if len(q.waiting) == 0 || q.waiting[0].ask.Urgency > a.Urgency {
		if answer, ok := k.grant(now, q, a, brittle.Spare); ok {
			return nil, answer
		}
	}
	w := &waiter{a, now, make(chan Answer, 1)}
	if !k.enqueue(now, q, w) {
		return nil, k.denial(q)
	}
	k.serve(now, q) // Those before it may want other targets.
	return w, Answer{}
}

// grant grants a permit at the first target if that has room to spare, or else at the one with the
// surest room, of those that are as sure as is wanted. A request that is turned away may not be allowed to
// run elsewhere.
func (k *Keeper) grant(now time.Time, q *group, a Ask, want brittle.Certainty) (Answer, bool) {
	if k.hasEnded(a) {
		return Answer{}, false
	}
	var best *target
	var sure brittle.Certainty
	key := ""
	for i, x := range a.Targets {
		t := k.targetOf(now, x, a.Bears, a.BrittleFor)
		q.targets[t] = true
		free := t.free(now, q.keptSince)
		if free < want || best != nil && (free < sure || free == sure && t.room.Level() >= best.room.Level()) {
			continue
		}
		best, sure, key = t, free, x.Key
		if i == 0 && free == brittle.Spare {
			break
		}
	}
	if best == nil {
		return Answer{}, false
	}
	g := k.hold(now, a.Box, a.Epoch, a.Number, best)
	q.granted = append(q.granted, now)
	return Answer{Target: key, Tell: g.Tried, Level: best.room.Level()}, true
}

// free returns how sure it is that a target has room for one more request.
func (t *target) free(now, keptSince time.Time) brittle.Certainty {
	lenient, learning := now.Before(t.lenientUntil), now.Sub(keptSince) < learnTime
	switch {
	case lenient && !t.room.Full():
		return brittle.Spare
	case lenient, learning && t.room.Level() > 0:
		return brittle.None
	}
	return t.room.Free(now)
}

// targetOf returns the target of a key.
func (k *Keeper) targetOf(now time.Time, x Target, bears int, brittleFor time.Duration) *target {
	t := k.targets[x.Key]
	if t == nil {
		if k.targets == nil {
			k.targets = make(map[string]*target)
		}
		t = &target{lenientUntil: now.Add(lenientTime - brittleFor)}
		k.targets[x.Key] = t
	}
	t.usedAt = now
	t.room.Places, t.room.Bears = max(x.Places, 1), max(bears, 1)
	return t
}

// Held returns how many permits are held, and at how many targets.
func (k *Keeper) Held() (permits, targets int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.targets {
		permits += t.held
	}
	return permits, len(k.targets)
}

// Waiting returns how many requests wait.
func (k *Keeper) Waiting() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, q := range k.groups {
		n += len(q.waiting)
	}
	return n
}
