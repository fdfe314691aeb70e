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

// follower applies batches.
type follower struct {
	cursor changelog.Cursor
	state  map[string]int
	// seen are the keys received since the start of a snapshot; nil while only changes come.
	seen map[string]bool
}

// apply applies a batch; values are the keys' values at that moment.
func (f *follower) apply(batch changelog.Batch[string], values map[string]int) {
	if batch.Snapshot {
		f.seen = make(map[string]bool)
	}
	for _, key := range batch.Changed {
		f.state[key] = values[key]
		if f.seen != nil {
			f.seen[key] = true
		}
	}
	for _, key := range batch.Removed {
		delete(f.state, key)
	}
	f.cursor = batch.Next
	if !batch.More && f.seen != nil {
		maps.DeleteFunc(f.state, func(key string, _ int) bool { return !f.seen[key] })
		f.seen = nil
	}
}

// simulate changes keys, sends the follower some batches in between, and at last all. It
// reports whether the follower's state equals the log's.
func simulate(seed uint64, take func(f *follower, batch changelog.Batch[string], values map[string]int)) bool {
	random := rand.New(rand.NewPCG(seed, 5))
	l := changelog.New[string](random.Uint64N(1 << 40))
	values := make(map[string]int)
	f := &follower{state: make(map[string]int)}
	for step := range 12000 {
		key := fmt.Sprint(random.IntN(300))
		if random.IntN(2) == 0 {
			values[key] = step
			l.Touch(key)
		} else {
			delete(values, key)
			l.Remove(key)
		}
		if step < 400 && random.IntN(20) == 0 || random.IntN(9000) == 0 || step > 11500 && random.IntN(50) == 0 {
			take(f, l.Since(f.cursor, 1+random.IntN(20)), values)
		}
	}
	for more := true; more; {
		batch := l.Since(f.cursor, 7)
		take(f, batch, values)
		more = batch.More
	}
	return maps.Equal(f.state, values)
}

// TestFollowers guards against followers that diverge: keys change in any order, and a
// follower gets batches at random times, also after removals were dropped.
// TestFollowersNeedTheRemovals shows that one that ignores removals diverges.
func TestFollowers(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("the follower has the log's state", prop.ForAll(func(seed uint64) bool {
		return simulate(seed, (*follower).apply)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestFollowersNeedTheRemovals(t *testing.T) {
	if simulate(1, func(f *follower, batch changelog.Batch[string], values map[string]int) {
		batch.Removed = nil
		f.apply(batch, values)
	}) {
		t.Error("a follower that ignores removals has the log's state")
	}
}

// TestNothingNew checks that a follower that is up to date gets an empty batch.
func TestNothingNew(t *testing.T) {
	l := changelog.New[string](7)
	l.Touch("a")
	l.Touch("a")
	l.Touch("b")
	batch := l.Since(changelog.Cursor{}, 10)
	if !batch.Snapshot || len(batch.Changed) != 2 || batch.More {
		t.Errorf("the first batch is %+v", batch)
	}
	if batch = l.Since(batch.Next, 10); batch.Snapshot || len(batch.Changed)+len(batch.Removed) != 0 {
		t.Errorf("sent again: %+v", batch)
	}
	if batch = l.Since(changelog.Cursor{Number: l.Number() + 1}, 10); !batch.Snapshot {
		t.Errorf("a number of another log gets %+v", batch)
	}
}

// TestOldKeys guards against a snapshot that never completes: it starts with keys that
// changed before the oldest removal that is kept.
func TestOldKeys(t *testing.T) {
	l := changelog.New[string](1)
	for i := range 100 {
		l.Touch(fmt.Sprintf("old-%d", i))
	}
	for i := range 10000 {
		l.Touch(fmt.Sprint(i))
		l.Remove(fmt.Sprint(i))
	}
	f := &follower{state: make(map[string]int)}
	for range 20 {
		batch := l.Since(f.cursor, 10)
		f.apply(batch, map[string]int{})
		if !batch.More {
			break
		}
	}
	if len(f.state) != 100 || f.seen != nil {
		t.Errorf("received %d of 100", len(f.state))
	}
}
