// Package changelog numbers the changes of a set of things, so that whoever has the state as of
// a number can be told what changed since, in parts of a bounded size.
//
//	l := changelog.New[string](first)
//	l.Touch("a")
//	l.Remove("b")
//	part := l.Since(part.Next, 500)
package changelog

import (
	"cmp"
	"slices"
)

// removedMost is how many removals are remembered. Who lacks older ones is told everything.
const removedMost = 4096

// Log is not safe for concurrent use.
type Log[K cmp.Ordered] struct {
	number uint64
	// at is the number of each thing's last change; it holds just the things there are.
	at map[K]uint64
	// changes are in order of their numbers. Those of a thing before its last one are passed
	// over, and cleared away once they are more than the others.
	changes []change[K]
	// removed are the last removals in order; all up to forgotten are not known any more.
	removed   []change[K]
	forgotten uint64
}

// change is a thing that changed, or went, under a number.
type change[K cmp.Ordered] struct {
	number uint64
	key    K
}

// Cursor is how far somebody was told. The zero value was told nothing.
type Cursor struct {
	// Number is the last change that was told.
	Number uint64
	// SnapshotAt is the last change when everything there is began to be told; zero once that was.
	SnapshotAt uint64
}

// Batch is what changed behind a cursor.
type Batch[K cmp.Ordered] struct {
	// Snapshot says that it is the beginning of everything there is, and not of what changed.
	Snapshot bool
	Changed  []K
	Removed  []K
	// Next is the cursor behind the part; More says that there is more.
	Next Cursor
	More bool
}

// New returns an empty log. The first number should be drawn, so that a log that begins anew
// gives no state a number that another state had.
func New[K cmp.Ordered](first uint64) *Log[K] {
	return &Log[K]{number: first, forgotten: first, at: make(map[K]uint64)}
}

// Number is that of the last change.
func (l *Log[K]) Number() uint64 { return l.number }

// Len is how many things there are.
func (l *Log[K]) Len() int { return len(l.at) }

// Has says that a thing is there.
func (l *Log[K]) Has(key K) bool {
	_, there := l.at[key]
	return there
}

// Touch notes that a thing came or changed.
func (l *Log[K]) Touch(key K) {
	l.number++
	l.at[key] = l.number
	l.changes = append(l.changes, change[K]{l.number, key})
	l.tidy()
}

// Remove notes that a thing went.
func (l *Log[K]) Remove(key K) {
	if !l.Has(key) {
		return
	}
	l.number++
	delete(l.at, key)
	l.removed = append(l.removed, change[K]{l.number, key})
	if surplus := len(l.removed) - removedMost; surplus > 0 {
		l.forgotten = l.removed[surplus-1].number
		l.removed = slices.Delete(l.removed, 0, surplus)
	}
	l.tidy()
}

// tidy clears changes away that others followed.
func (l *Log[K]) tidy() {
	const few = 64
	if len(l.changes) < 2*len(l.at)+few {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c change[K]) bool { return l.at[c.key] != c.number })
}

// Since returns what changed behind a cursor, at most so many things. One that is not of this
// log, or too old, gets everything.
func (l *Log[K]) Since(c Cursor, most int) Batch[K] {
	var part Batch[K]
	if l.lost(c) {
		part.Snapshot, c = true, Cursor{SnapshotAt: l.number}
	}
	part.Next = Cursor{Number: l.number}
	first, _ := slices.BinarySearchFunc(l.changes, c.Number+1, func(c change[K], number uint64) int { return cmp.Compare(c.number, number) })
	for _, one := range l.changes[first:] {
		if l.at[one.key] != one.number {
			continue
		}
		if len(part.Changed) == most {
			part.More = true
			part.Next = Cursor{l.at[part.Changed[most-1]], c.SnapshotAt}
			break
		}
		part.Changed = append(part.Changed, one.key)
	}
	part.Removed = l.removedSince(c.behind())
	return part
}

// behind is the number behind which what went was not told.
func (c Cursor) behind() uint64 {
	if c.SnapshotAt > 0 {
		return c.SnapshotAt
	}
	return c.Number
}

// lost says that what changed behind a cursor is not known any more, or never was. While
// everything is being told, that is what went since that began.
func (l *Log[K]) lost(c Cursor) bool {
	return c.Number == 0 || c.behind() < l.forgotten || c.behind() > l.number
}

// removedSince lists what went behind a number and is not back.
func (l *Log[K]) removedSince(number uint64) []K {
	var list []K
	for _, c := range l.removed {
		if c.number > number && !l.Has(c.key) {
			list = append(list, c.key)
		}
	}
	return list
}
