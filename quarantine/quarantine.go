// Package quarantine keeps requests from targets that took targets down before: once
// some targets ended while requests with one fingerprint ran there, that fingerprint is
// refused. A whole answer proves that the request takes nothing down.
//
//	b := quarantine.Book{}
//	b.Ended(now, sum, "i-7f@1200")  // this target's life ended under it
//	if b.Refuses(now, sum, 0) { ... } // the third did
//	b.Answered(now, sum)              // and then it was answered after all
//
// It buys targets, and what others have running there.
package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
)

const (
	// Threshold is how many targets have to end under a fingerprint until it is
	// refused. The platform counts what a request does after the third. With two, more
	// of those that merely ran on targets that crashed would be refused.
	Threshold = 3
	// Retention is how long a fingerprint is remembered after a target ended under it or it
	// was refused last. Forgotten, it takes Threshold targets down again.
	Retention = time.Hour
	// MaxEntries bounds the fingerprints remembered, at 350 bytes each with one life, as
	// measured. A target that crashes adds what ran there, 128 on the engines known.
	MaxEntries = 4096
	// mostLives bounds what is remembered of one fingerprint: with this many, more
	// tell nothing new.
	mostLives = 16
)

// List is what one box knows. The zero value is ready; it is not safe for concurrent
// use.
type List struct {
	bySum map[fingerprint.Sum]*record
	// refused is what Refused returns, unless changed says that it has to be worked out.
	refused []fingerprint.Sum
	changed bool
}

// record is what is known of one fingerprint.
type record struct {
	// lives are the targets' lives that ended under it. One that ended before a whole
	// answer to it came is false: it counts no more, also when it is told again.
	lives map[string]bool
	// told says that another box refuses it, which counts like Threshold lives.
	told bool
	// last is when it was last heard of.
	last time.Time
}

// counts returns how many lives speak against it.
func (r *record) counts() int {
	if r.told {
		return Threshold
	}
	n := 0
	for _, counts := range r.lives {
		if counts {
			n++
		}
	}
	return n
}

// Ended notes that a target's life ended while a request ran there. It says whether the
// fingerprint is refused from now on and was not before.
func (b *List) Ended(now time.Time, sum fingerprint.Sum, life string) bool {
	r := b.of(now, sum)
	before := r.counts()
	if _, known := r.lives[life]; !known && len(r.lives) < mostLives {
		r.lives[life] = true
	}
	news := before < Threshold && r.counts() >= Threshold
	b.changed = b.changed || news
	return news
}

// AddRemote notes that another box refuses a fingerprint. It says whether that is news.
func (b *List) AddRemote(now time.Time, sum fingerprint.Sum) bool {
	r := b.of(now, sum)
	fresh := r.counts() < Threshold
	r.told = true
	b.changed = b.changed || fresh
	return fresh
}

// Answered notes that a request with the fingerprint was answered whole. It says whether
// something spoke against it until then.
func (b *List) Answered(now time.Time, sum fingerprint.Sum) bool {
	r := b.bySum[sum]
	if r == nil || r.counts() == 0 {
		return false
	}
	b.changed = true
	r.told, r.last = false, now
	for life := range r.lives {
		r.lives[life] = false
	}
	return true
}

// Refuses says whether a request with the fingerprint must not be sent to a target, with
// some lives more that may have ended under it.
func (b *List) Refuses(now time.Time, sum fingerprint.Sum, more int) bool {
	r := b.bySum[sum]
	if r == nil {
		return more >= Threshold
	}
	if r.counts()+more < Threshold {
		return false
	}
	r.last = now
	return true
}

// Crashes returns how many lives speak against a fingerprint.
func (b *List) Crashes(sum fingerprint.Sum) int {
	if r := b.bySum[sum]; r != nil {
		return r.counts()
	}
	return 0
}

// Len is how many fingerprints are remembered.
func (b *List) Len() int { return len(b.bySum) }

// Refused returns the fingerprints that are refused, in order. The caller must not change
// the list, which is told to some 40 boxes, 7 times a second each.
func (b *List) Refused() []fingerprint.Sum {
	if !b.changed {
		return b.refused
	}
	var list []fingerprint.Sum
	for sum, r := range b.bySum {
		if r.counts() >= Threshold {
			list = append(list, sum)
		}
	}
	slices.SortFunc(list, func(x, y fingerprint.Sum) int { return bytes.Compare(x[:], y[:]) })
	b.refused, b.changed = list, false
	return list
}

// Expire forgets what was not heard of for Keep.
func (b *List) Expire(now time.Time) {
	before := len(b.bySum)
	maps.DeleteFunc(b.bySum, func(_ fingerprint.Sum, r *record) bool { return now.Sub(r.last) > Retention })
	b.changed = b.changed || len(b.bySum) < before
}

// eighth of the records goes at once when there are too many: to look through all of them
// for each new one would take the loop a millisecond each time.
const eighth = 8

// of returns the record of a fingerprint. If there are too many, those go against which
// least speaks, and of these the ones not heard of for longest.
func (b *List) of(now time.Time, sum fingerprint.Sum) *record {
	r := b.bySum[sum]
	if r == nil {
		b.makeRoom()
		r = &record{lives: make(map[string]bool, 1)}
		b.bySum[sum] = r
	}
	r.last = now
	return r
}

func (b *List) makeRoom() {
	if b.bySum == nil {
		b.bySum = make(map[fingerprint.Sum]*record)
	}
	if len(b.bySum) < MaxEntries {
		return
	}
	sums := slices.SortedFunc(maps.Keys(b.bySum), func(x, y fingerprint.Sum) int {
		return cmp.Or(cmp.Compare(b.bySum[x].counts(), b.bySum[y].counts()), b.bySum[x].last.Compare(b.bySum[y].last))
	})
	b.changed = true
	for _, sum := range sums[:MaxEntries/eighth] {
		delete(b.bySum, sum)
	}
}
