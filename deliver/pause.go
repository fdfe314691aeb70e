package deliver

import (
	"context"
	"sync/atomic"
	"time"
)

// hopeless is the pause of a stream after which its connection counts as silent
// whatever its target looks like: ten times the pause that routes allow, and twice
// the time in which an engine loads weights.
const hopeless = 3 * time.Second

// pauses watches how long a stream's next event is waited for.
type pauses struct {
	// since is when the wait for it began; nil while an event is passed on, so
	// that a caller who takes it slowly is not held against the target.
	since atomic.Pointer[time.Time]
}

func (p *pauses) begin(now time.Time) { p.since.Store(&now) }

func (p *pauses) end() { p.since.Store(nil) }

// watchPauses breaks a sending off, until ctx ends, if its stream pauses for long
// and its target looks dead or its connections silent, or if the pause is
// hopeless. The stream then goes on at another target. One that may not be resumed
// is not watched: it has nothing to win.
func (x *run) watchPauses(ctx context.Context, cancel context.CancelCauseFunc, target string, p *pauses) {
	ticks := time.NewTicker(x.longPause() / 2)
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
		if waited < hopeless && (waited < x.longPause() || !x.Suspect(ctx, target)) {
			continue
		}
		if x.reserve() {
			cancel(errSilent)
			return
		}
	}
}

// longPause is the pause after which a stream's target is doubted.
func (x *run) longPause() time.Duration {
	if x.job.Route.GapGoal == 0 {
		return mostSilence
	}
	return min(max(silence*x.job.Route.GapGoal, leastSilence), mostSilence)
}
