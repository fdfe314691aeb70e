// Package overdue sums up the prompt tokens that targets should have prefilled by now and
// have not.
//
//	var t overdue.Tracker
//	t.Add(target, placed, due, 9000)
//	t.Done(target, placed)          // its first event came, or it ended
//	tokens := t.Tokens(now, target) // of prompts past their due time
//
// Package backlog estimates prefill from the usual speed of targets. A target that is
// slower, or waits for transfers, shows here.
package overdue

import "time"

// Tracker holds the requests of one box that have no answer yet. The zero value is ready;
// it is not safe for concurrent use.
type Tracker struct {
	waiting map[uint64]map[time.Time]prefill
}

// prefill is one prompt that waits to be prefilled.
type prefill struct {
	due    time.Time
	tokens int
}

// Add records a prompt that was placed at a target at placed and should be prefilled at
// due.
func (t *Tracker) Add(target uint64, placed, due time.Time, tokens int) {
	if t.waiting == nil {
		t.waiting = make(map[uint64]map[time.Time]prefill)
	}
	if t.waiting[target] == nil {
		t.waiting[target] = make(map[time.Time]prefill)
	}
	t.waiting[target][placed] = prefill{due, tokens}
}

// Done removes the prompt that was placed at a target at placed.
func (t *Tracker) Done(target uint64, placed time.Time) {
	delete(t.waiting[target], placed)
	if len(t.waiting[target]) == 0 {
		delete(t.waiting, target)
	}
}

// Tokens returns the tokens of a target's overdue prompts.
func (t *Tracker) Tokens(now time.Time, target uint64) int {
	sum := 0
	for _, p := range t.waiting[target] {
		if now.After(p.due) {
			sum += p.tokens
		}
	}
	return sum
}
