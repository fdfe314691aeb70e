// Package changelog numbers the changes of a set of keys, so that a follower with the
// state as of a number can get the changes since, in batches of bounded size.
//
//	l := changelog.New[string](first)
//	l.Touch("a")
//	l.Remove("b")
//	batch := l.Since(batch.Next, 500)
package changelog

import (
	"cmp"
	"slices"
)

// maxRemoved is how many removals are kept. A follower that lacks older ones gets a
// snapshot.
const maxRemoved = 4096

// Log is not safe for concurrent use.
type Log[K cmp.Ordered] struct {
	number uint64
	// at is the number of each key's last change; it holds exactly the current keys.
	at map[K]uint64
	// changes are in order of their numbers. Superseded ones are skipped, and compacted once
	// they outnumber the others.
	changes []change[K]
	// removed are the last removals in order; those up to forgotten were dropped.
	removed   []change[K]
	forgotten uint64
}

// change is the change or removal of a key.
type change[K cmp.Ordered] struct {
	number uint64
	key    K
}

// Cursor is the position of a follower. The zero value is that of a new one.
type Cursor struct {
	// Number is the last change sent.
	Number uint64
	// SnapshotAt is the number at which the current snapshot started; zero once it is
	// complete.
	SnapshotAt uint64
}

// Batch is what changed after a cursor.
type Batch[K cmp.Ordered] struct {
	// Snapshot is set on the first batch of a snapshot of all keys.
	Snapshot bool
	Changed  []K
	Removed  []K
	// Next is the cursor after the batch; More is set if there is more.
	Next Cursor
	More bool
}

// New returns an empty log. The first number should be random, so that a log that starts
// again does not give a state a number that another state had.
func New[K cmp.Ordered](first uint64) *Log[K] {
	return &Log[K]{number: first, forgotten: first, at: make(map[K]uint64)}
}

// Number returns the number of the last change.
func (l *Log[K]) Number() uint64 { return l.number }

// Len returns the number of keys.
func (l *Log[K]) Len() int { return len(l.at) }

// Has reports whether a key is present.
func (l *Log[K]) Has(key K) bool {
	_, there := l.at[key]
	return there
}

// Touch records that a key was added or changed.
func (l *Log[K]) Touch(key K) {
	l.number++
	l.at[key] = l.number
	l.changes = append(l.changes, change[K]{l.number, key})
	l.compact()
}

// Remove records that a key was removed.
func (l *Log[K]) Remove(key K) {
	if !l.Has(key) {
		return
	}
	l.number++
	delete(l.at, key)
	l.removed = append(l.removed, change[K]{l.number, key})
	if surplus := len(l.removed) - maxRemoved; surplus > 0 {
		l.forgotten = l.removed[surplus-1].number
		l.removed = slices.Delete(l.removed, 0, surplus)
	}
	l.compact()
}

// compact drops superseded changes.
func (l *Log[K]) compact() {
	const few = 64
	if len(l.changes) < 2*len(l.at)+few {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c change[K]) bool { return l.at[c.key] != c.number })
}

// Since returns what changed after a cursor, at most `most` keys. A cursor that is too
// old, or of another log, gets a snapshot.
func (l *Log[K]) Since(c Cursor, most int) Batch[K] {
	var batch Batch[K]
	if l.lost(c) {
		batch.Snapshot, c = true, Cursor{SnapshotAt: l.number}
	}
	batch.Next = Cursor{Number: l.number}
	first, _ := slices.BinarySearchFunc(l.changes, c.Number+1, func(c change[K], number uint64) int { return cmp.Compare(c.number, number) })
	for _, entry := range l.changes[first:] {
		if l.at[entry.key] != entry.number {
			continue
		}
		if len(batch.Changed) == most {
			batch.More = true
			batch.Next = Cursor{l.at[batch.Changed[most-1]], c.SnapshotAt}
			break
		}
		batch.Changed = append(batch.Changed, entry.key)
	}
	batch.Removed = l.removedSince(c.removedAfter())
	return batch
}

// removedAfter returns the number after which removals were not sent.
func (c Cursor) removedAfter() uint64 {
	if c.SnapshotAt > 0 {
		return c.SnapshotAt
	}
	return c.Number
}

// lost reports whether the changes after a cursor are not known, or never were. During a
// snapshot that concerns the removals since it started.
func (l *Log[K]) lost(c Cursor) bool {
	return c.Number == 0 || c.removedAfter() < l.forgotten || c.removedAfter() > l.number
}

// removedSince lists the keys removed after a number and not added again.
func (l *Log[K]) removedSince(number uint64) []K {
	var list []K
	for _, c := range l.removed {
		if c.number > number && !l.Has(c.key) {
			list = append(list, c.key)
		}
	}
	return list
}
