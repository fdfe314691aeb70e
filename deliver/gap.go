package deliver

import (
	"context"
	"sync/atomic"
	"time"
)

// maxGap is the pause of a stream after which its connection counts as silent
// whatever its target looks like: ten times the pause that routes allow, and twice
// the time in which an engine loads weights.
const maxGap = 3 * time.Second

// eventWait watches how long a stream's next event is waited for.
type eventWait struct {
	// since is when the wait for it began; nil while an event is passed on, so
	// that a caller who takes it slowly is not held against the target.
	since atomic.Pointer[time.Time]
}

func (p *eventWait) begin(now time.Time) { p.since.Store(&now) }

func (p *eventWait) end() { p.since.Store(nil) }

// abortIfStalled breaks a sending off, until ctx ends, if its stream pauses for long
// and its target looks dead or its connections silent, or if the pause is
// hopeless. The stream then goes on at another target. One that may not be resumed
// is not watched: it has nothing to win.
func (x *run) abortIfStalled(ctx context.Context, cancel context.CancelCauseFunc, target string, p *eventWait) {
	ticks := time.NewTicker(x.gapTimeout() / 2)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		since := p.since.Load()
		if since == nil {
			continue
		}
		waited := x.Now().Sub(*since)
		if waited < maxGap && (waited < x.gapTimeout() || !x.Suspect(ctx, target)) {
			continue
		}
		if x.reserveRetry() {
			cancel(errSilent)
			return
		}
	}
}

// gapTimeout is the pause after which a stream's target is doubted.
func (x *run) gapTimeout() time.Duration {
	if x.job.Route.GapGoal == 0 {
		return maxSilence
	}
	return min(max(silenceFactor*x.job.Route.GapGoal, minSilence), maxSilence)
}
