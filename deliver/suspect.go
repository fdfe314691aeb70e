package deliver

import (
	"context"
	"errors"
	"time"
)

// abortIfSuspect breaks a sending off once it waited for long and its target looks dead.
func (x *run) abortIfSuspect(ctx context.Context, cancel context.CancelCauseFunc, answered <-chan struct{}, target string) {
	timer := time.NewTicker(x.silenceTimeout())
	defer timer.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			if !x.Suspect(ctx, target) {
				continue
			}
			select {
			case <-answered: // While the loop was asked.
				return
			default:
			}
			if x.reserveRetry() {
				cancel(errSilent)
				return
			}
		}
	}
}

var (
	// errSilent says that a target gave no sign of an answer for too long.
	errSilent = errors.New("the target is silent")
	// errWeightsExpired says that a request did not begin while it still might on the
	// target's weights.
	errWeightsExpired = errors.New("the target's weights must not be used any more")
)

func (x *run) silenceTimeout() time.Duration {
	return min(max(silenceFactor*x.job.Route.Goal, minSilence), maxSilence)
}

// reserveRetry takes one more sending from the budget before the one under way is broken
// off for it. Without it nothing is broken off: an answer that may yet come is
// better than none.
func (x *run) reserveRetry() bool {
	if x.job.Until.Sub(x.Now()) < minTimeLeft || !x.Spend(x.job.Pool.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}
