// Package quarantine refuses requests that crash targets: once several targets crashed
// while requests with one fingerprint ran there, that fingerprint is refused. A complete
// answer proves that the request is harmless.
//
//	l := quarantine.List{}
//	l.Ended(now, sum, "i-7f@1200")  // this incarnation crashed under it
//	if l.Refuses(now, sum, 0) { ... } // the third did
//	l.Answered(now, sum)              // and then it was answered after all
//
// This protects targets and the other requests that run on them.
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
	// Threshold is how many targets have to crash under a fingerprint until it is refused.
	// The platform counts what a request does after the third crash. With two, more requests
	// would be refused that merely ran on crashing targets.
	Threshold = 3
	// Retention is how long a fingerprint is kept after a target crashed under it or it was
	// refused last. Afterwards it takes Threshold more crashes to refuse it again.
	Retention = time.Hour
	// MaxEntries bounds the fingerprints kept, at a measured 350 bytes each with one
	// incarnation. A crashing target adds what ran there, 128 requests on the known engines.
	MaxEntries = 4096
	// maxCrashes bounds the incarnations kept of one fingerprint: more add no information.
	maxCrashes = 16
)

// List holds the fingerprints that one box knows of. The zero value is ready; it is not
// safe for concurrent use.
type List struct {
	bySum map[fingerprint.Sum]*record
	// refused caches the result of Refused; it is stale if changed is set.
	refused []fingerprint.Sum
	changed bool
}

// record holds the crashes under one fingerprint.
type record struct {
	// crashes are the incarnations of targets that crashed under it. False marks one from
	// before a complete answer: it no longer counts, also when it is reported again.
	crashes map[string]bool
	// remote is set if another box refuses it, which counts like Threshold crashes.
	remote bool
	// last is when it was last reported or refused.
	last time.Time
}

// counts returns how many crashes count.
func (r *record) counts() int {
	if r.remote {
		return Threshold
	}
	n := 0
	for _, counts := range r.crashes {
		if counts {
			n++
		}
	}
	return n
}

// Ended records that an incarnation of a target ended while a request ran there. It
// reports whether the fingerprint is newly refused.
func (l *List) Ended(now time.Time, sum fingerprint.Sum, incarnation string) bool {
	r := l.of(now, sum)
	before := r.counts()
	if _, known := r.crashes[incarnation]; !known && len(r.crashes) < maxCrashes {
		r.crashes[incarnation] = true
	}
	news := before < Threshold && r.counts() >= Threshold
	l.changed = l.changed || news
	return news
}

// AddRemote records that another box refuses a fingerprint. It reports whether that is
// news.
func (l *List) AddRemote(now time.Time, sum fingerprint.Sum) bool {
	r := l.of(now, sum)
	news := r.counts() < Threshold
	r.remote = true
	l.changed = l.changed || news
	return news
}

// Answered records a complete answer to a request with the fingerprint. It reports
// whether any crash counted until then.
func (l *List) Answered(now time.Time, sum fingerprint.Sum) bool {
	r := l.bySum[sum]
	if r == nil || r.counts() == 0 {
		return false
	}
	l.changed = true
	r.remote, r.last = false, now
	for incarnation := range r.crashes {
		r.crashes[incarnation] = false
	}
	return true
}

// Lives takes back that an incarnation ended. It returns the fingerprints that are no longer
// refused, in order.
func (l *List) Lives(incarnation string) []fingerprint.Sum {
	var lifted []fingerprint.Sum
	for sum, r := range l.bySum {
		if !r.crashes[incarnation] {
			continue
		}
		before := r.counts()
		r.crashes[incarnation] = false
		if before >= Threshold && r.counts() < Threshold {
			l.changed = true
			lifted = append(lifted, sum)
		}
	}
	slices.SortFunc(lifted, func(x, y fingerprint.Sum) int { return bytes.Compare(x[:], y[:]) })
	return lifted
}

// Refuses reports whether a request with the fingerprint must not be sent to a target,
// with some more incarnations that may have crashed under it.
func (l *List) Refuses(now time.Time, sum fingerprint.Sum, suspects int) bool {
	r := l.bySum[sum]
	if r == nil {
		return suspects >= Threshold
	}
	if r.counts()+suspects < Threshold {
		return false
	}
	r.last = now
	return true
}

// Crashes returns how many crashes count against a fingerprint.
func (l *List) Crashes(sum fingerprint.Sum) int {
	if r := l.bySum[sum]; r != nil {
		return r.counts()
	}
	return 0
}

// IsRemote reports whether another box refuses a fingerprint.
func (l *List) IsRemote(sum fingerprint.Sum) bool {
	r := l.bySum[sum]
	return r != nil && r.remote
}

// Len returns the number of fingerprints.
func (l *List) Len() int { return len(l.bySum) }

// Refused returns the refused fingerprints, in order. The caller must not change the
// list, which is sent to some 40 boxes, 7 times a second each.
func (l *List) Refused() []fingerprint.Sum {
	if !l.changed {
		return l.refused
	}
	var list []fingerprint.Sum
	for sum, r := range l.bySum {
		if r.counts() >= Threshold {
			list = append(list, sum)
		}
	}
	slices.SortFunc(list, func(x, y fingerprint.Sum) int { return bytes.Compare(x[:], y[:]) })
	l.refused, l.changed = list, false
	return list
}

// Expire drops fingerprints that were not reported or refused for Retention.
func (l *List) Expire(now time.Time) {
	before := len(l.bySum)
	maps.DeleteFunc(l.bySum, func(_ fingerprint.Sum, r *record) bool { return now.Sub(r.last) > Retention })
	l.changed = l.changed || len(l.bySum) < before
}

// A full list evicts 1/evictedPart of its records at once: to sort them for each new record
// would take the event loop a millisecond each time.
const evictedPart = 8

// of returns the record of a fingerprint. In a full list those with the fewest crashes
// are evicted, and of these the ones not reported for longest.
func (l *List) of(now time.Time, sum fingerprint.Sum) *record {
	r := l.bySum[sum]
	if r == nil {
		l.makeRoom()
		r = &record{crashes: make(map[string]bool, 1)}
		l.bySum[sum] = r
	}
	r.last = now
	return r
}

func (l *List) makeRoom() {
	if l.bySum == nil {
		l.bySum = make(map[fingerprint.Sum]*record)
	}
	if len(l.bySum) < MaxEntries {
		return
	}
	sums := slices.SortedFunc(maps.Keys(l.bySum), func(x, y fingerprint.Sum) int {
		return cmp.Or(cmp.Compare(l.bySum[x].counts(), l.bySum[y].counts()), l.bySum[x].last.Compare(l.bySum[y].last))
	})
	l.changed = true
	for _, sum := range sums[:MaxEntries/evictedPart] {
		delete(l.bySum, sum)
	}
}
