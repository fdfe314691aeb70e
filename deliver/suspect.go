package deliver

import (
	"context"
	"errors"
	"time"
)

// abortIfSuspect cancels an attempt that has waited for longer than the silence timeout and
// whose target looks dead.
func (x *run) abortIfSuspect(ctx context.Context, cancel context.CancelCauseFunc, answered <-chan struct{}, job *Job, target string) {
	timer := time.NewTicker(silenceTimeout(job))
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
			case <-answered: // It came while the target was checked.
				return
			default:
			}
			if x.reserveRetry(job) {
				cancel(errSilent)
				return
			}
		}
	}
}

var (
	// errSilent says that a target sent nothing for too long.
	errSilent = errors.New("no data from the target within the time allowed")
	// errWeightsExpired says that a request did not begin before the deadline for using
	// the target's weights.
	errWeightsExpired = errors.New("the request did not begin before the deadline for the target's weights")
)

// silenceTimeout is how long an attempt may be without an answer before its target is checked with
// Suspect.
func silenceTimeout(job *Job) time.Duration {
	return min(max(silenceFactor*job.Route.Goal, minSilence), maxSilence)
}

// reserveRetry takes a retry from the budget before the current attempt is aborted for
// it. Without budget nothing is aborted: an answer that may still come is better than
// none.
func (x *run) reserveRetry(job *Job) bool {
	if job.Until.Sub(x.Now()) < minTimeLeft || !x.Spend(job.Pool.Name) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}
