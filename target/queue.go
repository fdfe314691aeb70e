package target

import "time"

// started is the origin of the queue's times. Durations compare faster than times,
// which matters as each placement evaluates every target.
var started = time.Now()

// SinceStart returns a time as the duration that WaitAt takes.
func SinceStart(now time.Time) time.Duration { return now.Sub(started) }

// queue predicts how long a target is busy, from its last report, the requests sent
// since and the time passed. As a report describes an earlier time, the requests sent
// after that time are added to it again.
type queue struct {
	// busyUntil is when the target has finished all known prompts; zero if nothing was
	// reported or sent.
	busyUntil time.Duration
	// sent holds the latest dispatches, oldest first.
	sent []dispatch
}

// dispatch is one request that was sent.
type dispatch struct {
	at   time.Duration
	busy time.Duration
}

// maxDispatches bounds the dispatches kept for one target.
const maxDispatches = 64

// dispatchRetention is how long a dispatch is kept. No report is delayed by more.
const dispatchRetention = 3 * time.Second

// wait returns how long the target is still busy.
func (q *queue) wait(at time.Duration) time.Duration {
	if q.busyUntil == 0 {
		return 0
	}
	return max(0, q.busyUntil-at)
}

func (q *queue) send(at, busy time.Duration) {
	d := dispatch{at, busy}
	q.add(d)
	for len(q.sent) > 0 && (len(q.sent) >= maxDispatches || at-q.sent[0].at > dispatchRetention) {
		q.sent = q.sent[1:]
	}
	q.sent = append(q.sent, d)
}

func (q *queue) add(d dispatch) { q.busyUntil = d.at + q.wait(d.at) + d.busy }

// report resets the prediction to the report of a time and adds the dispatches after
// that time.
func (q *queue) report(at, busy time.Duration) {
	q.busyUntil = at + busy
	for _, d := range q.sent {
		if d.at > at {
			q.add(d)
		}
	}
}
