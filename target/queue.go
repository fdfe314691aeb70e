package target

import "time"

// started is when this process began. Times of the queue are counted from it,
// as durations compare faster than times and each placement looks at every
// target.
var started = time.Now()

// Since returns a time as WaitAt takes it.
func Since(now time.Time) time.Duration { return now.Sub(started) }

// queue predicts how long a target is busy: what it reported, what was sent to
// it since, and the time that has passed meanwhile. A report tells of a time
// that lies back, so what was sent after that time is added to it again.
type queue struct {
	// busyUntil is when the target has computed all it has; zero if nothing was
	// ever heard of or sent to it.
	busyUntil time.Duration
	// sent are the latest dispatches, oldest first.
	sent []dispatch
}

// dispatch is one request that was sent.
type dispatch struct {
	at   time.Duration
	busy time.Duration
}

// maxDispatches bounds the dispatches of one target that are kept.
const maxDispatches = 64

// dispatchRetention is how long a dispatch is kept. No report lags by more.
const dispatchRetention = 3 * time.Second

// wait is how long the target is busy yet.
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

// report begins anew from what the target told of a time, and adds what was
// sent after it.
func (q *queue) report(at, busy time.Duration) {
	q.busyUntil = at + busy
	for _, d := range q.sent {
		if d.at > at {
			q.add(d)
		}
	}
}
