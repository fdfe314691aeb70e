package deliver

import (
	"context"
	"sync/atomic"
	"time"
)

// maxGap is the gap between events after which a stream's connection counts as dead even
// if its target looks alive: ten times the gap that routes allow, and twice the time in
// which an engine loads weights.
const maxGap = 3 * time.Second

// eventWait tracks how long a stream's next event has been waited for.
type eventWait struct {
	// since is when the wait began; nil while an event is passed on, so that a slow
	// caller does not count against the target.
	since atomic.Pointer[time.Time]
}

func (p *eventWait) begin(now time.Time) { p.since.Store(&now) }

func (p *eventWait) end() { p.since.Store(nil) }

// abortIfStalled cancels an attempt, until ctx ends, if its stream exceeds the gap timeout
// and its target looks dead or its connections silent, or, if it is resumable, exceeds maxGap.
// The stream then continues at another target. A stream that could only continue from a copy
// is not aborted for maxGap alone: the copy may be missing, and a late event is better than
// none. Other streams are not watched, as an abort gains them nothing.
func (x *run) abortIfStalled(ctx context.Context, cancel context.CancelCauseFunc, job *Job, target string, p *eventWait, resumable bool) {
	ticks := time.NewTicker(gapTimeout(job) / 2)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if !resumable && x.unnumbered.Load() {
			return // It can't continue from its copy any more.
		}
		since := p.since.Load()
		if since == nil {
			continue
		}
		waited := x.Now().Sub(*since)
		if (waited < maxGap || !resumable) && (waited < gapTimeout(job) || !x.Suspect(ctx, target)) {
			continue
		}
		if x.reserveRetry(job) {
			cancel(errSilent)
			return
		}
	}
}

// gapTimeout is the gap between events after which the stream's target is checked with Suspect.
func gapTimeout(job *Job) time.Duration {
	if job.Route.GapGoal == 0 {
		return maxSilence
	}
	return min(max(silenceFactor*job.Route.GapGoal, minSilence), maxSilence)
}
