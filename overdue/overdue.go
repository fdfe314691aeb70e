// Package overdue sums up what targets should have read by now and have not.
//
//	var b overdue.Book
//	b.Wait(target, placed, due, 9000)
//	b.Done(target, placed)           // its first event came, or it ended
//	tokens := b.Tokens(now, target)  // of prompts whose time is over
//
// What a target reads is reckoned ahead from how quickly targets read as a rule
// (package backlog). A target that is slower, or waits for moves, shows here.
package overdue

import "time"

// Tracker holds the requests of one box that have no answer yet. The zero value is
// ready; it is not safe for concurrent use.
type Tracker struct {
	waiting map[uint64]map[time.Time]read
}

// read is one prompt that waits to be read.
type read struct {
	due    time.Time
	tokens int
}

// Add notes a prompt that was placed at a target at a time and should be read at
// another.
func (b *Tracker) Add(target uint64, placed, due time.Time, tokens int) {
	if b.waiting == nil {
		b.waiting = make(map[uint64]map[time.Time]read)
	}
	if b.waiting[target] == nil {
		b.waiting[target] = make(map[time.Time]read)
	}
	b.waiting[target][placed] = read{due, tokens}
}

// Done notes that the prompt placed at a target at a time waits no more.
func (b *Tracker) Done(target uint64, placed time.Time) {
	delete(b.waiting[target], placed)
	if len(b.waiting[target]) == 0 {
		delete(b.waiting, target)
	}
}

// Tokens returns the tokens of a target's prompts that should have been read.
func (b *Tracker) Tokens(now time.Time, target uint64) int {
	sum := 0
	for _, r := range b.waiting[target] {
		if now.After(r.due) {
			sum += r.tokens
		}
	}
	return sum
}
