package deliver

import (
	"context"
	"fmt"
	"net/http"

	"github.com/thymewind/thymewind/refusal"
)

// A request may be placed at another box, which then serves it whole: it admits the request by its
// own configuration, chooses targets and tries again. What it makes of that is passed on here. Its
// attempts count as this box's, so that a request reaches no more targets than its route allows.

// relayFromBox passes on the answer of the box that serves the request.
func (x *run) relayFromBox(ctx context.Context, place Placement, reply *Reply) (*refusal.Refusal, error) {
	x.setSent(max(x.sent, reply.Attempts()))
	if reply.Refused != nil {
		return x.handleBoxRefusal(place, reply)
	}
	x.ran++
	x.Began(place)
	if reply.Events && !x.takesSoftware(&place, reply) {
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: true})
		x.outcome.Cause = place.Box + " did not keep to the software version"
		if x.job.Route.Resumable && x.retryAllowed(true) {
			return nil, errRetry
		}
		return x.fail(fmt.Errorf("%s did not keep to the software version that began the stream", place.Box))
	}
	if x.headWritten && (reply.Status != http.StatusOK || !reply.Events) {
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: true})
		return x.abort("the stream could not be resumed at another box")
	}
	if reply.Events && reply.Status == http.StatusOK {
		return x.relayStream(ctx, place, reply)
	}
	return x.relay(place, reply)
}

// takesSoftware reports whether a stream of another box may be passed on: it is a new one, or that
// box says that it goes on at the software version that began it.
func (x *run) takesSoftware(place *Placement, reply *Reply) bool {
	x.untold = reply.Software == nil
	if !x.untold {
		place.Software = *reply.Software
	}
	return !x.continues() || reply.Software != nil && x.software != nil && *x.software == *reply.Software
}

// handleBoxRefusal ends a request as the other box refused it, or has a third box asked if the
// reason was that box's own.
func (x *run) handleBoxRefusal(place Placement, reply *Reply) (*refusal.Refusal, error) {
	ran := reply.Refused.Outcome != refusal.DidNotRun
	x.ended(AttemptResult{Place: place, Job: x.job, Failed: reply.TryAnother, Verdict: reply.Verdict})
	x.boxRefusal = reply.Refused
	x.outcome.Cause = place.Box + " refused it: " + reply.Refused.Code
	if ran {
		x.ran++
	}
	if !ran && reply.TryAnother && !x.callerLeft() {
		return nil, errRetry
	}
	return x.refuse(reply.Refused), nil
}

// refusalOfBox returns the refusal for a request that can't be placed: that of the last box that
// it was handed on to, if there was one, as this box knows less.
func (x *run) refusalOfBox(err error) *refusal.Refusal {
	if x.boxRefusal != nil {
		return x.boxRefusal
	}
	return refusal.Of(err, refusal.DidNotRun, http.StatusServiceUnavailable)
}

// setSent sets how many targets may have received the request.
func (x *run) setSent(sent int) {
	if sent > x.sent {
		x.retryPaid = false
	}
	x.sent = sent
	if x.job != nil && x.job.HandedOn != nil {
		x.job.HandedOn.Count(sent)
	}
}
