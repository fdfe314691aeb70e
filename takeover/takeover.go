// Package takeover keeps the orders of two lease holders to one target apart by a bound. A holder
// stores in a row which targets it may order before it orders them, and names each of them there
// until the bound has passed since its last order. A successor reads the row:
//
//	l := takeover.Log{Apart: func() time.Duration { return 3 * time.Second }}
//	l.Begin("t-1")            // before the row is written
//	row.Recent = l.Recent(now)
//	l.End(now, "t-1")         // after the last order
//
//	l.Bar("t-1", until)       // by the successor, for each target that it reads
//	if !l.Barred(now, "t-1") {
//		order("t-1")
//	}
package takeover

import (
	"maps"
	"slices"
	"time"
)

// Log records the targets that this daemon orders as the holder of a lease. Set Apart before first
// use; it is not safe for concurrent use.
type Log struct {
	// Apart returns the least time between two holders' orders to one target.
	Apart func() time.Duration

	// open counts, by target, the series of orders that have not ended. It holds no zero.
	open map[string]int
	// endedAt is when a target's last series ended.
	endedAt map[string]time.Time
	// barredUntil is until when targets get no order, as an earlier holder may have ordered them,
	// allBarredUntil until when none gets one.
	barredUntil    map[string]time.Time
	allBarredUntil time.Time
}

// Begin records that a target may be ordered from now on, until Cancel or End is called for it as
// often as Begin.
func (l *Log) Begin(target string) {
	if l.open == nil {
		l.open = make(map[string]int)
	}
	l.open[target]++
}

// Cancel records that a series ended before its first order.
func (l *Log) Cancel(target string) {
	if l.open[target] > 1 {
		l.open[target]--
		return
	}
	delete(l.open, target)
}

// End records that a series has ended: its last order was sent before now.
func (l *Log) End(now time.Time, target string) {
	l.Cancel(target)
	if l.endedAt == nil {
		l.endedAt = make(map[string]time.Time)
	}
	l.endedAt[target] = now
}

// Recent is a target that a successor must leave alone.
type Recent struct {
	Target string
	// Open says that it may still be ordered, so that the successor's wait begins when it takes the
	// lease. Otherwise Left is how much of the wait is left.
	Open bool
	Left time.Duration
}

// Recent lists the targets that a successor must leave alone: those that may still be ordered, and
// those whose last order may have been less than Apart ago, whoever sent it. The successor may be the
// third holder within that time, and reads the last one's row alone.
func (l *Log) Recent(now time.Time) []Recent {
	l.Expire(now)
	until := maps.Clone(l.barredUntil)
	if until == nil {
		until = make(map[string]time.Time)
	}
	for target, at := range l.endedAt {
		if end := at.Add(l.Apart()); end.After(until[target]) {
			until[target] = end
		}
	}
	for target := range l.open {
		until[target] = time.Time{}
	}
	var list []Recent
	for _, target := range slices.Sorted(maps.Keys(until)) {
		if _, open := l.open[target]; open {
			list = append(list, Recent{Target: target, Open: true})
			continue
		}
		list = append(list, Recent{Target: target, Left: until[target].Sub(now)})
	}
	return list
}

// Bar keeps orders from a target until a time.
func (l *Log) Bar(target string, until time.Time) {
	if l.barredUntil == nil {
		l.barredUntil = make(map[string]time.Time)
	}
	if until.After(l.barredUntil[target]) {
		l.barredUntil[target] = until
	}
}

// BarAll keeps orders from all targets until a time.
func (l *Log) BarAll(until time.Time) {
	if until.After(l.allBarredUntil) {
		l.allBarredUntil = until
	}
}

// AllLeft returns for how long no target may get an order, which a successor must know as well.
func (l *Log) AllLeft(now time.Time) time.Duration { return max(l.allBarredUntil.Sub(now), 0) }

// Barred reports whether a target must get no order, for whichever model.
func (l *Log) Barred(now time.Time, target string) bool {
	return now.Before(l.allBarredUntil) || now.Before(l.barredUntil[target])
}

// Expire forgets what successors and this holder need not know any more.
func (l *Log) Expire(now time.Time) {
	maps.DeleteFunc(l.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= l.Apart() })
	maps.DeleteFunc(l.barredUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}
