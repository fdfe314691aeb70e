package deliver

import "time"

// The values of Outcome.LateBy.
const (
	// LateFirst says that the first event came after the route's goal, or the complete answer if
	// it is not a stream.
	LateFirst = "first"
	// LatePause says that a gap between two events exceeded the route's goal for gaps, and
	// LateResumed that the stream was continued at another target within that gap.
	LatePause   = "pause"
	LateResumed = "resumed"
)

// eventTimes tracks when new events arrive for the caller. Events that the caller has already
// and time spent on writing to the caller don't count. It only describes the request: decisions
// use AttemptResult.Late.
type eventTimes struct {
	// events counts the events that arrived, pause is the longest gap between two of them.
	events int
	pause  time.Duration
	// lateBy is the first cause of lateness, or empty.
	lateBy string
	// writtenAt is when the last event had been written to the caller, continued says that the
	// stream was continued at another target since.
	writtenAt time.Time
	continued bool
}

// arrived records a new event.
func (e *eventTimes) arrived(now time.Time, job *Job) {
	e.events++
	if e.events == 1 {
		e.judge(now.Sub(job.Received), job.Route.Goal, LateFirst)
		return
	}
	gap := now.Sub(e.writtenAt)
	e.pause = max(e.pause, gap)
	cause := LatePause
	if e.continued {
		cause = LateResumed
	}
	e.continued = false
	e.judge(gap, job.Route.GapGoal, cause)
}

// judge records a cause if the time exceeds its goal and no earlier event was late. Without a
// goal nothing is late.
func (e *eventTimes) judge(took, goal time.Duration, cause string) {
	if goal > 0 && took > goal && e.lateBy == "" {
		e.lateBy = cause
	}
}

// written records that the last event was written to the caller.
func (e *eventTimes) written(now time.Time) { e.writtenAt = now }

// resumed records that the stream continues at another target.
func (e *eventTimes) resumed() { e.continued = true }

// completed records that the answer is complete. An answer without events counts as one event;
// a goal for gaps applies only to answers with events, whatever the route is marked as.
func (x *run) completed(now time.Time) {
	if x.times.events == 0 {
		x.times.arrived(now, x.job)
	}
	route := x.job.Route
	x.outcome.HasGoal = route.Goal > 0 || x.outcome.Events > 0 && route.GapGoal > 0
	x.outcome.LateBy = x.times.lateBy
}
