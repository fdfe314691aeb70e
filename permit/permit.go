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
	"cmp"
	"context"
	"maps"
	"slices"
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
	// Crowded says that many requests wait for room in the group.
	Crowded bool
}

// Keeper keeps the room of targets for all boxes. The zero value is ready; it is safe for concurrent use.
type Keeper struct {
	mu      sync.Mutex
	targets map[string]*target
	boxes   map[string]*box
	groups  map[string]*group
}

// group is the order in which the room of some targets is given out.
type group struct {
	// keptSince is when this box began to keep it, askedAt when it was last asked.
	keptSince, askedAt time.Time
	// waiting are the requests without a permit, the next first. granted are the times of the permits
	// within the last rateTime.
	waiting []*waiter
	granted []time.Time
	// mayWait is how many might wait as one last came.
	mayWait int
}

// target is the room of one incarnation.
type target struct {
	room         brittle.Room
	usedAt       time.Time
	lenientUntil time.Time
	held         int
}

// box is one start of a box with its permits, by number.
type box struct {
	epoch   uint64
	heardAt time.Time
	permits map[uint64]*held
	// ended are permits that have ended, with the time: a renewal made before may come later.
	ended map[uint64]time.Time
}

// held is a permit.
type held struct {
	target *target
	grant  brittle.Grant
}

// waiter is a request that waits for room.
type waiter struct {
	ask    Ask
	since  time.Time
	answer chan Answer
}

// want is how sure room has to be for it: less so the longer it waits, as one that is turned away may not
// be allowed to run elsewhere.
func (w *waiter) want(now time.Time) brittle.Certainty {
	switch waited := now.Sub(w.since); {
	case waited >= 2*w.ask.Wait/waitSteps:
		return brittle.Tried
	case waited >= w.ask.Wait/waitSteps:
		return brittle.Known
	}
	return brittle.Spare
}

// Ask answers at once, or within the request's wait.
func (k *Keeper) Ask(ctx context.Context, now func() time.Time, a Ask) Answer {
	w, answer := k.askOrWait(now(), a)
	if w == nil {
		return answer
	}
	step := time.NewTicker(a.Wait / waitSteps)
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

// asked notes that this box is taken for the one that keeps the group.
func (q *group) asked(now time.Time) {
	if now.Sub(q.askedAt) >= targetTTL {
		q.keptSince = now
	}
	q.askedAt = now
}

func (k *Keeper) groupOf(name string) *group {
	q := k.groups[name]
	if q == nil {
		if k.groups == nil {
			k.groups = make(map[string]*group)
		}
		q = &group{}
		k.groups[name] = q
	}
	return q
}

// enqueue has a request wait behind those that are as urgent, if it can be granted a permit within its
// wait. The least urgent one makes room for it.
func (k *Keeper) enqueue(now time.Time, q *group, w *waiter) bool {
	if w.ask.Wait <= 0 {
		return false
	}
	for len(q.granted) > 0 && now.Sub(q.granted[0]) >= rateTime {
		q.granted = q.granted[1:]
	}
	most := max(int(float64(len(q.granted))*w.ask.Wait.Seconds()/rateTime.Seconds()), minWaiting*len(w.ask.Targets))
	q.mayWait = most
	at, _ := slices.BinarySearchFunc(q.waiting, w.ask.Urgency+1, func(x *waiter, urgency int) int { return cmp.Compare(x.ask.Urgency, urgency) })
	if at > most {
		return false
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	if last := len(q.waiting) - 1; last > most {
		q.waiting[last].answer <- k.denial(q)
		q.waiting = q.waiting[:last]
	}
	return true
}

// giveUp denies a request its permit once it has waited, unless it got one meanwhile.
func (k *Keeper) giveUp(now time.Time, w *waiter) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.groupOf(w.ask.Group)
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return <-w.answer
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	if answer, ok := k.grant(now, q, w.ask, brittle.Tried); ok { // Time alone may make room.
		return answer
	}
	return k.denial(q)
}

// denial is the answer without a permit.
func (k *Keeper) denial(q *group) Answer {
	perSecond := max(minAsks, asksPerGrant*len(q.granted))
	return Answer{Crowded: 2*len(q.waiting) > q.mayWait, Pause: max(minPause, time.Duration(len(k.boxes))*time.Second/time.Duration(perSecond))}
}

// serve grants permits to requests of a group that wait, in order.
func (k *Keeper) serve(now time.Time, q *group) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		answer, ok := k.grant(now, q, w.ask, w.want(now))
		if ok {
			w.answer <- answer
		}
		return ok
	})
}

// serveAll grants permits to all requests that wait.
func (k *Keeper) serveAll(now time.Time) {
	for _, q := range k.groups {
		k.serve(now, q)
	}
}

// grant grants a permit at the first target if that has room to spare, or else at the one with the
// surest room, of those that are as sure as is wanted. A request that is turned away may not be allowed to
// run elsewhere.
func (k *Keeper) grant(now time.Time, q *group, a Ask, want brittle.Certainty) (Answer, bool) {
	var best *target
	var sure brittle.Certainty
	key := ""
	for i, x := range a.Targets {
		t := k.targetOf(now, x, a.Bears, a.BrittleFor)
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

// boxOf returns a box, with nothing held by an earlier start of it.
func (k *Keeper) boxOf(now time.Time, name string, epoch uint64) *box {
	b := k.boxes[name]
	if b == nil || b.epoch != epoch {
		if k.boxes == nil {
			k.boxes = make(map[string]*box)
		}
		if b != nil {
			k.drop(now, b)
		}
		b = &box{epoch: epoch, permits: make(map[uint64]*held), ended: make(map[uint64]time.Time)}
		k.boxes[name] = b
	}
	b.heardAt = now
	return b
}

// hold counts a permit.
func (k *Keeper) hold(now time.Time, name string, epoch, number uint64, t *target) brittle.Grant {
	g := t.room.Count(now)
	t.held++
	k.boxOf(now, name, epoch).permits[number] = &held{t, g}
	return g
}

// Report is what became of one permit.
type Report struct {
	Number uint64
	End    int
}

// Report applies how requests of a box went.
func (k *Keeper) Report(now time.Time, name string, epoch uint64, reports []Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.boxOf(now, name, epoch)
	for _, r := range reports {
		k.report(now, b, r)
	}
	k.serveAll(now)
}

func (k *Keeper) report(now time.Time, b *box, r Report) {
	if r.End != Began {
		b.ended[r.Number] = now
	}
	h := b.permits[r.Number]
	if h == nil {
		return
	}
	room := &h.target.room
	switch r.End {
	case NotSent:
		room.End(&h.grant)
	case Began:
		room.Accepted(now, &h.grant)
		return
	case TurnedAway:
		room.TurnedAway(now, &h.grant)
	case Unanswered:
		room.Unanswered(now, &h.grant)
	default:
		room.Accepted(now, &h.grant)
		room.End(&h.grant)
	}
	h.target.held--
	delete(b.permits, r.Number)
}

// Renewal is a permit that a box still holds. Bears and BrittleFor are as in Ask.
type Renewal struct {
	Number     uint64
	Target     Target
	Bears      int
	BrittleFor time.Duration
}

// Renew applies which permits a box holds of those up to a number: others have ended, and unknown ones
// count from now on.
func (k *Keeper) Renew(now time.Time, name string, epoch, upTo uint64, list []Renewal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.boxOf(now, name, epoch)
	renewed := make(map[uint64]bool, len(list))
	for _, x := range list {
		renewed[x.Number] = true
		t := k.targetOf(now, x.Target, x.Bears, x.BrittleFor)
		if _, ended := b.ended[x.Number]; !ended && b.permits[x.Number] == nil {
			k.hold(now, name, epoch, x.Number, t)
		}
	}
	for number := range b.permits {
		if number <= upTo && !renewed[number] {
			k.report(now, b, Report{number, Unanswered})
		}
	}
	k.serveAll(now)
}

// drop has all permits of a box end.
func (k *Keeper) drop(now time.Time, b *box) {
	for number := range b.permits {
		k.report(now, b, Report{number, Unanswered})
	}
}

// Expire drops boxes that are silent and targets that are not used. Call it periodically.
func (k *Keeper) Expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.boxes, func(_ string, b *box) bool {
		maps.DeleteFunc(b.ended, func(_ uint64, at time.Time) bool { return now.Sub(at) >= boxTTL })
		silent := now.Sub(b.heardAt) >= boxTTL
		if silent {
			k.drop(now, b)
		}
		return silent
	})
	maps.DeleteFunc(k.groups, func(_ string, q *group) bool {
		return len(q.waiting) == 0 && now.Sub(q.askedAt) >= targetTTL
	})
	maps.DeleteFunc(k.targets, func(_ string, t *target) bool { return t.held == 0 && now.Sub(t.usedAt) >= targetTTL })
	k.serveAll(now)
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
