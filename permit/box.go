package permit

import (
	"maps"
	"time"

	"github.com/thymewind/thymewind/brittle"
)

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

// hasEnded reports whether a box has given up a request before it got a permit: its ask was late.
func (k *Keeper) hasEnded(a Ask) bool {
	b := k.boxes[a.Box]
	if b == nil || b.epoch != a.Epoch {
		return false
	}
	_, ended := b.ended[a.Number]
	return ended
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
		room.End(now, &h.grant)
	case Began:
		room.Accepted(now, &h.grant)
		return
	case TurnedAway:
		room.TurnedAway(now, &h.grant)
	case Unanswered:
		room.Unanswered(now, &h.grant)
	default:
		room.Accepted(now, &h.grant)
		room.End(now, &h.grant)
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
	maps.DeleteFunc(k.targets, func(_ string, t *target) bool {
		unused := t.held == 0 && now.Sub(t.usedAt) >= targetTTL
		if unused {
			for _, q := range k.groups {
				delete(q.targets, t)
			}
		}
		return unused
	})
	k.serveAll(now)
}
