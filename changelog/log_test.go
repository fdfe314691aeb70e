package changelog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/changelog"
)

// follower keeps what it was told.
type follower struct {
	have changelog.Cursor
	held map[string]int
	// seen are the things told since the beginning of everything; nil while only changes come.
	seen map[string]bool
}

// take takes a part over; values are the things' own at that moment.
func (f *follower) take(part changelog.Batch[string], values map[string]int) {
	if part.Snapshot {
		f.seen = make(map[string]bool)
	}
	for _, key := range part.Changed {
		f.held[key] = values[key]
		if f.seen != nil {
			f.seen[key] = true
		}
	}
	for _, key := range part.Removed {
		delete(f.held, key)
	}
	f.have = part.Next
	if !part.More && f.seen != nil {
		maps.DeleteFunc(f.held, func(key string, _ int) bool { return !f.seen[key] })
		f.seen = nil
	}
}

// play changes things, in between tells a follower some parts, and at last all. It returns
// whether the follower holds what there is.
func play(seed uint64, take func(f *follower, part changelog.Batch[string], values map[string]int)) bool {
	dice := rand.New(rand.NewPCG(seed, 5))
	l := changelog.New[string](dice.Uint64N(1 << 40))
	values := make(map[string]int)
	f := &follower{held: make(map[string]int)}
	for step := range 12000 {
		key := fmt.Sprint(dice.IntN(300))
		if dice.IntN(2) == 0 {
			values[key] = step
			l.Touch(key)
		} else {
			delete(values, key)
			l.Remove(key)
		}
		if step < 400 && dice.IntN(20) == 0 || dice.IntN(9000) == 0 || step > 11500 && dice.IntN(50) == 0 {
			take(f, l.Since(f.have, 1+dice.IntN(20)), values)
		}
	}
	for more := true; more; {
		part := l.Since(f.have, 7)
		take(f, part, values)
		more = part.More
	}
	return maps.Equal(f.held, values)
}

// TestFollowers has things change in any order, and a follower ask now and then, also after
// removals were forgotten: in the end it holds just what there is. Its sister shows that one
// that takes no removals does not.
func TestFollowers(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("the follower holds what there is", prop.ForAll(func(seed uint64) bool {
		return play(seed, (*follower).take)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFollowersNeedTheRemovals(t *testing.T) {
	if play(1, func(f *follower, part changelog.Batch[string], values map[string]int) {
		part.Removed = nil
		f.take(part, values)
	}) {
		t.Error("a follower that takes no removals holds what there is")
	}
}

// TestNothingNew has a follower that has all be told nothing.
func TestNothingNew(t *testing.T) {
	l := changelog.New[string](7)
	l.Touch("a")
	l.Touch("a")
	l.Touch("b")
	part := l.Since(changelog.Cursor{}, 10)
	if !part.Snapshot || len(part.Changed) != 2 || part.More {
		t.Errorf("the first part is %+v", part)
	}
	if part = l.Since(part.Next, 10); part.Snapshot || len(part.Changed)+len(part.Removed) != 0 {
		t.Errorf("told again: %+v", part)
	}
	if part = l.Since(changelog.Cursor{Number: l.Number() + 1}, 10); !part.Snapshot {
		t.Errorf("a number of another log gets %+v", part)
	}
}

// TestOldThings has everything told in parts that begin with things that changed before the
// oldest removal that is known: it comes to an end.
func TestOldThings(t *testing.T) {
	l := changelog.New[string](1)
	for i := range 100 {
		l.Touch(fmt.Sprintf("old-%d", i))
	}
	for i := range 10000 {
		l.Touch(fmt.Sprint(i))
		l.Remove(fmt.Sprint(i))
	}
	f := &follower{held: make(map[string]int)}
	for range 20 {
		part := l.Since(f.have, 10)
		f.take(part, map[string]int{})
		if !part.More {
			break
		}
	}
	if len(f.held) != 100 || f.seen != nil {
		t.Errorf("told %d of 100", len(f.held))
	}
}
