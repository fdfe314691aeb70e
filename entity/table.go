// Package entity provides an ordered table for the entities of one kind.
//
//	var targets entity.Table[string, target.Target]
//	targets.Put("engine-1", t)
//	for name, t := range targets.All() {
//		...
//	}
package entity

import (
	"cmp"
	"iter"
	"slices"
)

// Table maps keys to entities and iterates in key order, so that results are
// deterministic. The zero value is ready for use. It is not safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	// keys is sorted and holds exactly the keys of rows.
	keys []K
	rows map[K]V
}

// Put adds or replaces an entity.
func (t *Table[K, V]) Put(key K, value V) {
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	if _, known := t.rows[key]; !known {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.rows[key] = value
}

// Lookup returns the entity under key, if there is one.
func (t *Table[K, V]) Lookup(key K) (V, bool) {
	v, ok := t.rows[key]
	return v, ok
}

// Delete removes an entity. An unknown key is ignored.
func (t *Table[K, V]) Delete(key K) {
	if _, known := t.rows[key]; !known {
		return
	}
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
	delete(t.rows, key)
}

// Len returns the number of entities.
func (t *Table[K, V]) Len() int { return len(t.keys) }

// Keys returns a copy of the keys in order, for iterations that change the table.
func (t *Table[K, V]) Keys() []K { return slices.Clone(t.keys) }

// All iterates over the table in key order. The table must not change during that.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range t.keys {
			if !yield(key, t.rows[key]) {
				return
			}
		}
	}
}
