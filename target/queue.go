package target

import "time"

// queue predicts how long a target is busy: what it reported, what was sent to
// it since, and the time that has passed meanwhile. A report tells of a time
// that lies back, so what was sent after that time is added to it again.
type queue struct {
	// until is when the target has computed all it has.
	until time.Time
	// sent are the latest dispatches, oldest first.
	sent []dispatch
}

// dispatch is one request that was sent.
type dispatch struct {
	at   time.Time
	busy time.Duration
}

// remembered bounds the dispatches of one target that are kept.
const remembered = 64

// remember is how long a dispatch is kept. No report lags by more.
const remember = 3 * time.Second

// wait is how long the target is busy yet.
func (q *queue) wait(now time.Time) time.Duration {
	if !q.until.After(now) {
		return 0
	}
	return q.until.Sub(now)
}

func (q *queue) send(now time.Time, busy time.Duration) {
	q.add(dispatch{now, busy})
	for len(q.sent) > 0 && (len(q.sent) >= remembered || now.Sub(q.sent[0].at) > remember) {
		q.sent = q.sent[1:]
	}
	q.sent = append(q.sent, dispatch{now, busy})
}

func (q *queue) add(d dispatch) { q.until = d.at.Add(q.wait(d.at) + d.busy) }

// report begins anew from what the target told of a time, and adds what was
// sent after it.
func (q *queue) report(at time.Time, busy time.Duration) {
	q.until = at.Add(busy)
	for _, d := range q.sent {
		if d.at.After(at) {
			q.add(d)
		}
	}
}
