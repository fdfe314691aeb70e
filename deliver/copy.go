package deliver

import (
	"errors"
	"fmt"

	"github.com/thymewind/thymewind/refusal"
)

// A run whose target was lost continues at the target that holds its copy, whatever its route
// says on resuming and on attempts: to the targets it stays the same run. That is tried once. If
// the copy is missing, behind or used, the request ends as it would without one.

// errContinue says that a broken run is to continue from its copy.
var errContinue = errors.New("continue from the copy")

// hasCopy says that an attempt's run was to be copied and that the copy was not tried yet. A copy
// may be behind, so it is of no use if the IDs of the events passed on don't show which ones to drop.
func (x *run) hasCopy(place Placement) bool {
	return x.PlaceCopy != nil && place.CopyTarget != "" && x.job.Route.Stream && !x.copyTried && !x.unnumbered.Load()
}

// mayContinue says whether a broken run may continue from its copy, and takes that from the
// retry budget.
func (x *run) mayContinue(place Placement) bool {
	return x.hasCopy(place) && x.job.Until.Sub(x.Now()) >= minTimeLeft && !x.callerLeft() && x.payRetry()
}

// breakOff has a run that broke continue from its copy.
func (x *run) breakOff(err error) (*refusal.Refusal, error) {
	x.broken = err
	return nil, errContinue
}

// continueFromCopy sends the request to the target that holds the copy of its run.
func (x *run) continueFromCopy(broken Placement) (*refusal.Refusal, error) {
	x.copyTried = true
	place, err := x.PlaceCopy(x.ctx, x.job, broken)
	if err != nil {
		return x.endWithoutCopy(err)
	}
	x.Retried(Retry{Job: x.job, Place: broken, Cause: x.outcome.Cause, BeganOn: x.outcome.BeganOn, Resumed: x.resumedAfter(), Copy: true})
	x.outcome.Place = place
	x.attempted = append(x.attempted, place.Target)
	return x.attempt(place)
}

// endWithoutCopy ends a broken run that could not continue from its copy as if it had none.
func (x *run) endWithoutCopy(err error) (*refusal.Refusal, error) {
	err = fmt.Errorf("%w; not continued from its copy: %w", x.broken, err)
	x.outcome.Cause = err.Error()
	if x.job.Route.Resumable && x.retryAllowed(true) {
		return nil, errRetry
	}
	return x.fail(err)
}
