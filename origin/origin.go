// Package origin remembers which version of a pool's software began each stream. What two versions
// generate does not fit together, and targets don't check who began what they continue, so whoever
// has a stream continued has to know:
//
//	var began origin.Table
//	key := origin.KeyOf(account, requestID) // of the caller's attempt that brought the first event
//	began.Add(now, key, origin.Record{Pool: pool, Software: "v1.2", KnownSince: now, Until: deadline})
//	record, known := began.Find(now, key)
//
// Boxes tell each other their records. A record is never changed: if two disagree, as a caller used
// an ID twice, the stream counts as unknown. The records that were added the longest ago are
// dropped first when there are too many.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRecords bounds a table. A record takes some 200 bytes.
const maxRecords = 16384

// Key identifies a stream among those of all client accounts.
type Key uint64

// KeyOf returns the key of the stream whose first event a request of a client account brought. An
// account that names another one's request gets another key.
func KeyOf(account, request string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	_, _ = h.Write(length[:]) // Writing to a hash never fails.
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte(request))
	var sum [sha256.Size]byte
	return Key(binary.BigEndian.Uint64(h.Sum(sum[:0])))
}

// Record says what began a stream.
type Record struct {
	// Pool is a hash of the name of the pool whose target began the stream.
	Pool uint32
	// Software is the version of that target's software; some pools name none.
	Software string
	// Conflicting says that there were two records, so that nothing is known.
	Conflicting bool
	// KnownSince is when a box first knew it, Until the time after which no caller takes the
	// stream up any more.
	KnownSince, Until time.Time
}

// agrees reports whether two records say the same.
func (r Record) agrees(b Record) bool {
	return r.Pool == b.Pool && r.Software == b.Software && !r.Conflicting && !b.Conflicting
}

// Table holds records. The zero value is empty; it is not safe for concurrent use.
type Table struct {
	// Dropped counts the records that were dropped before their time.
	Dropped int

	records *simplelru.LRU[Key, Record]
}

func (t *Table) all() *simplelru.LRU[Key, Record] {
	if t.records == nil {
		t.records, _ = simplelru.NewLRU[Key, Record](maxRecords, nil) // It fails only for a size of zero.
	}
	return t.records
}

// Add adds a record and reports whether that was news.
func (t *Table) Add(now time.Time, key Key, r Record) bool {
	if !now.Before(r.Until) {
		return false
	}
	before, known := t.all().Peek(key)
	known = known && now.Before(before.Until)
	if known && before.agrees(r) && !r.Until.After(before.Until) {
		return false
	}
	if known {
		r.Conflicting = !before.agrees(r)
		r.Until = later(r.Until, before.Until)
		r.KnownSince = before.KnownSince
	}
	if t.all().Add(key, r) {
		t.Dropped++
	}
	return !known || r.Conflicting != before.Conflicting
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Find returns the record of a stream, which may be conflicting.
func (t *Table) Find(now time.Time, key Key) (Record, bool) {
	r, known := t.all().Peek(key)
	return r, known && now.Before(r.Until)
}

// Expire drops records that nobody needs any more, as far as older ones don't keep it from them.
func (t *Table) Expire(now time.Time) {
	for {
		key, r, ok := t.all().GetOldest()
		if !ok || now.Before(r.Until) {
			return
		}
		t.all().Remove(key)
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return t.all().Len() }

// Live yields the records that are still needed, the oldest first.
func (t *Table) Live(now time.Time) iter.Seq2[Key, Record] {
	return func(yield func(Key, Record) bool) {
		for _, key := range t.all().Keys() {
			if r, known := t.Find(now, key); known && !yield(key, r) {
				return
			}
		}
	}
}
