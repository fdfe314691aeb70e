package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// askedSince is when the caller first asked.
func (m *placementRequest) askedSince(now time.Time) time.Time {
	if m.since.IsZero() {
		return askedAt(now, m.ask.Job)
	}
	return m.since
}

// askedAt is when the caller's request came.
func askedAt(now time.Time, job *deliver.Job) time.Time {
	if job.Received.IsZero() {
		return now
	}
	return job.Received
}

// goalAt is the latest begin for an answer within the goal; zero if the route has none.
func (d *Daemon) goalAt(now time.Time, t *tables, job *deliver.Job) time.Time {
	if job.Route.Goal <= 0 {
		return time.Time{}
	}
	return askedAt(now, job).Add(job.Route.Goal - t.firstEvent(job))
}

// firstEvent is how long requests of a job's route take from their placement to the first event,
// by those before: with less time left, most would miss their goal. Until one was answered, the
// engine has to read at least the part of the prompt that no other request has.
func (t *tables) firstEvent(job *deliver.Job) time.Duration {
	if usual, known := t.firstEvents[job.Route.Name]; known {
		return usual.mean + usual.deviation
	}
	base, token := t.throughput.Prefill()
	own := 0
	if len(job.Parts) > 0 {
		own = job.Parts[len(job.Parts)-1].Tokens
	}
	return base + time.Duration(own)*token
}

// usualTime is a moving average of times, and of how far they are from it.
type usualTime struct{ mean, deviation time.Duration }

// usualTimeWeight is the weight of the last time: about the last twenty count.
const usualTimeWeight = 0.05

// learnFirstEvent learns from a request that a target began to answer.
func (t *tables) learnFirstEvent(route string, took time.Duration) {
	usual, known := t.firstEvents[route]
	if !known {
		usual.mean = took
	}
	off := took - usual.mean
	usual.mean += time.Duration(usualTimeWeight * float64(off))
	usual.deviation += time.Duration(usualTimeWeight * float64(off.Abs()-usual.deviation))
	t.firstEvents[route] = usual
}

// beginBy is the latest begin that leaves a request enough time to end: the time in which no answer
// of its route came lately, or its goal if that is not known. A box that stops must be done before
// it exits.
func (d *Daemon) beginBy(now time.Time, job *deliver.Job) time.Time {
	least, known := d.minAnswerTime(now, job)
	if !known {
		least = job.Route.Goal
	}
	end := job.Until
	if left := abandonedAt(now, job); left.Before(end) {
		end = left
	}
	if stop := d.stopEnds.Load(); stop != nil && stop.Before(end) {
		end = *stop
	}
	return end.Add(-least)
}

// Callers abandon a stream that sends nothing for the longest of these times.
const (
	minPatience = 2 * time.Second
	// goalPatience and gapPatience are multiples of the route's goals for the first event and for
	// gaps.
	goalPatience = 4
	gapPatience  = 8
)

// abandonedAt is when a caller abandons its request if nothing has come until then.
func abandonedAt(now time.Time, job *deliver.Job) time.Time {
	if !job.Route.Stream {
		return job.Until
	}
	return askedAt(now, job).Add(max(minPatience, goalPatience*job.Route.Goal, gapPatience*job.Route.GapGoal))
}
