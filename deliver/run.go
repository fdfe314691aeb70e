package deliver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
)

// Limits of one request.
const (
	// maxUnsent limits the attempts that never reached a target. In a pool with a quarter
	// of the replicas crashed, three reach a live one 98 times in 100.
	maxUnsent = 3
	// silenceFactor times its route's goal is how long a repeatable request waits for an
	// answer before another target is tried, within minSilence and maxSilence.
	silenceFactor = 3
	minSilence    = 400 * time.Millisecond
	maxSilence    = 1500 * time.Millisecond
	// minTimeLeft is the time left below which no other attempt is made, as it could not be
	// answered in time.
	minTimeLeft = 20 * time.Millisecond
)

// run is the state of one request being served.
type run struct {
	*Server
	job *Job
	w   http.ResponseWriter
	// caller ends when the caller leaves, ctx also at the deadline.
	caller, ctx context.Context
	// finishBy is the request's deadline, beginBy the deadline for the target to begin
	// its answer; unset if there is none or it has begun.
	finishBy, beginBy deadline
	// admittedAt is when the request was last admitted.
	admittedAt time.Time
	// cancel aborts the current attempt.
	cancel    context.CancelCauseFunc
	attempted []string
	// boxes names the boxes that the request was handed on to, boxRefusal is the last refusal of
	// one of them; nil if there was none.
	boxes      []string
	boxRefusal *refusal.Refusal
	// sent counts the targets that may have received the request, ran those of them that
	// may have run it.
	sent, ran int
	// unsent counts attempts that never reached a target.
	unsent int
	// retryPaid says that a retry was taken from the budget and has not left this box yet.
	retryPaid bool
	// retryReserved says that a retry was taken from the budget for which the current
	// attempt was aborted.
	retryReserved atomic.Bool
	// callerGone says that the caller was found to have closed its connection.
	callerGone bool
	// headWritten says that an answer's head was passed to the caller; answering says the same for Reap.
	headWritten bool
	answering   atomic.Bool
	// stopped says that the request was ended for a planned stop.
	stopped atomic.Bool
	// lastEventID is the last event passed on, lastEventAt when one last arrived, and late
	// says that one arrived later than the route's goals.
	lastEventID string
	lastEventAt time.Time
	late        bool
	// firstAfter is the time from the placement to the first event, zero if an earlier target
	// sent that.
	firstAfter time.Duration
	times      eventTimes
	// software is the version that began the stream. It is nil as long as no event of a new stream
	// came, and until a stream that the caller takes up is placed.
	software *string
	// untold says that the box that serves the stream does not say on which version it runs.
	untold bool
	// events counts the events that the current target sent.
	events int
	// queued is how long the request has waited for placements since the last event.
	queued time.Duration
	// unnumbered says that an event was passed on whose ID is not a number, or that had none.
	unnumbered atomic.Bool
	// copyTried says that the run was to continue from its copy, which is tried once.
	copyTried bool
	// broken is why the run broke that was to continue from its copy.
	broken error
	// held counts the bytes held for this request, reading how its caller reads.
	held    *heldbytes.Account
	reading reading
	// unread says that the answer was ended as its caller did not read it.
	unread  bool
	outcome Outcome
}

// errRetry says that another target should be tried.
var errRetry = errors.New("retry at another target")

// Serve serves a call and writes the answer to w. The error is a *refusal.Refusal, returned
// only if nothing was written. It panics with http.ErrAbortHandler to abort an answer that
// can't be completed.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, call *Call) error {
	x := &run{Server: s, w: w, lastEventID: call.LastEventID, outcome: Outcome{Call: call}}
	if call.HandedOn != nil {
		x.sent, x.software = call.HandedOn.Attempts, call.HandedOn.Software
	}
	if s.Held != nil {
		x.held = s.Held.Open()
		defer x.held.Close()
	}
	stopWatching := x.watchCaller(ctx)
	refused := x.serve()
	x.outcome.Teardown, x.outcome.CallerLeft = stopWatching()
	if x.unread { // The HTTP server closes the connection after a failed write.
		x.outcome.Teardown, x.outcome.CallerLeft = 0, false
	}
	x.outcome.Took = s.Now().Sub(call.Received)
	x.outcome.Attempts = x.sent
	x.outcome.Pause = x.times.pause
	if x.retryPaid || x.retryReserved.Load() {
		s.Refund(x.job.Pool.Name)
	}
	if refused != nil {
		x.outcome.Status, x.outcome.Cause, x.outcome.Reason = refused.Status, refused.Code, refused.Reason
		x.outcome.RefusalCode, x.outcome.RetryAfter = refused.Code, refused.RetryAfter
	}
	s.RecordOutcome(x.outcome)
	if x.outcome.Aborted {
		panic(http.ErrAbortHandler)
	}
	if refused != nil {
		return refused
	}
	return nil
}

func (x *run) serve() *refusal.Refusal {
	job, refused := x.admit(x.outcome.Call)
	x.outcome.Route, x.outcome.Account, x.outcome.Pool = job.Route, job.Account, job.Pool
	if refused != nil {
		return refused
	}
	x.job, x.outcome.Job = job, job
	x.admittedAt = x.Now()
	if refused := x.refuseLate(); refused != nil {
		return refused
	}
	if refused := x.readBody(job); refused != nil {
		return refused
	}
	if job.HandedOn == nil { // Otherwise the box that the caller asked has counted it.
		x.Earn(job.Pool.Name)
	}
	ctx, cancel := context.WithTimeout(x.caller, job.Until.Sub(x.Now()))
	defer cancel()
	x.ctx = ctx
	x.finishBy.set(job.Until, cancel)
	for {
		if x.callerLeft() {
			return x.refuse(x.unavailable(x.job, "caller_left", "the caller closed its connection"))
		}
		if refused := x.recheck(); refused != nil {
			return x.refuse(refused)
		}
		if refused := x.refuseLate(); refused != nil {
			return refused
		}
		place, err := x.Place(x.ctx, PlacementRequest{Job: x.job, Attempted: x.attempted, Unreached: x.unsent, Boxes: x.boxes, Continues: x.continues(), Software: x.software})
		x.outcome.Waited += place.Waited
		if err != nil {
			return x.refuse(x.refusalOfBox(err))
		}
		if x.continues() {
			x.software = &place.Software
		}
		x.outcome.Place = place
		x.queued += place.Waited
		moved, refused := x.recheckWaited(place)
		if refused != nil {
			return x.refuse(refused)
		}
		if moved {
			continue
		}
		if place.Box != "" {
			x.boxes = append(x.boxes, place.Box)
		} else {
			x.attempted = append(x.attempted, place.Target)
		}
		refused, err = x.attempt(place)
		if errors.Is(err, errContinue) {
			refused, err = x.continueFromCopy(place)
		}
		if !errors.Is(err, errRetry) {
			return refused
		}
		x.Retried(Retry{Job: x.job, Place: x.outcome.Place, Cause: x.outcome.Cause, BeganOn: x.outcome.BeganOn, Resumed: x.resumedAfter()})
	}
}

func (x *run) resumedAfter() string {
	if x.headWritten {
		return x.lastEventID
	}
	return ""
}

// ended reports the result of the current attempt.
func (x *run) ended(result AttemptResult) {
	result.Events = x.events > 0
	x.Ended(result)
}

// continues says that the next attempt continues a stream.
func (x *run) continues() bool {
	return x.software != nil || x.headWritten || x.job.TakesUp()
}

// repeatable says that running the request again does no harm.
func (x *run) repeatable() bool { return x.job.Route.Repeatable || x.job.Route.Resumable }

// attempt sends the request to one target and passes its answer on.
func (x *run) attempt(place Placement) (*refusal.Refusal, error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	x.cancel = cancel
	if !place.BeginBy.IsZero() {
		overdue := func() { cancel(errWeightsExpired) }
		late := time.AfterFunc(place.BeginBy.Sub(x.Now()), overdue)
		x.beginBy.set(place.BeginBy, overdue)
		answered := func() {
			late.Stop()
			x.beginBy.clear()
		}
		defer answered()
		return x.attemptGuarded(ctx, cancel, answered, place)
	}
	return x.attemptGuarded(ctx, cancel, func() {}, place)
}

// attemptGuarded sends the request and, if it is repeatable, aborts that once the target
// looks dead. It calls answered when an answer or an error arrived.
func (x *run) attemptGuarded(ctx context.Context, cancel context.CancelCauseFunc, answered func(), place Placement) (*refusal.Refusal, error) {
	if x.Suspect != nil && place.Box == "" && x.repeatable() && x.sent+1 < x.job.Route.Attempts {
		over := make(chan struct{})
		go x.abortIfSuspect(ctx, cancel, over, x.job, place.Target)
		return x.send(ctx, func() { answered(); close(over) }, place)
	}
	return x.send(ctx, answered, place)
}

func (x *run) send(ctx context.Context, answered func(), place Placement) (*refusal.Refusal, error) {
	x.events, x.untold = 0, false
	attempt := Attempt{Job: x.job, Place: place, Timeout: x.job.Until.Sub(x.Now()), LastEventID: x.lastEventID, Attempts: x.sent, Software: x.software}
	if place.FromCopy {
		attempt.ResumeFrom = place.Address
	}
	reply, err := x.Send(ctx, attempt)
	answered()
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errWeightsExpired) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return x.handleNoAnswer(place, err)
	}
	if errors.Is(context.Cause(ctx), errWeightsExpired) {
		reply.Close() // It arrived just as the attempt was aborted.
		return x.handleNoAnswer(place, errWeightsExpired)
	}
	defer reply.Close()
	if place.Box != "" {
		return x.relayFromBox(ctx, place, reply)
	}
	if reply.Verdict != MayHaveRun {
		return x.handleTurnedAway(place, reply)
	}
	x.countArrived()
	x.ran++
	x.Began(place)
	if place.FromCopy && (reply.Status != http.StatusOK || !reply.Events) {
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: true})
		return x.endWithoutCopy(fmt.Errorf("the target answered %d", reply.Status))
	}
	if reply.Status >= http.StatusInternalServerError && x.job.Route.Repeatable && x.retryAllowed(true) {
		x.outcome.Cause = fmt.Sprintf("answered %d", reply.Status)
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: true})
		return nil, errRetry
	}
	if x.headWritten && (reply.Status != http.StatusOK || !reply.Events) {
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: true})
		return x.abort(fmt.Sprintf("the stream could not be resumed: the target answered %d", reply.Status))
	}
	if reply.Events && reply.Status == http.StatusOK {
		return x.relayStream(ctx, place, reply)
	}
	return x.relay(place, reply)
}

// handleNoAnswer handles an attempt without an answer.
func (x *run) handleNoAnswer(place Placement, err error) (*refusal.Refusal, error) {
	notSent := errors.Is(err, exchange.ErrNotSent)
	left := x.caller.Err() != nil
	over := !left && x.ctx.Err() != nil
	failed := !left && !ownFault(err)
	x.ended(AttemptResult{
		Place: place, Job: x.job, Failed: failed, Unreachable: failed && !over,
		CutOff: failed && !notSent, CallerLeft: left && !notSent, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED),
	})
	x.outcome.Cause = err.Error()
	switch {
	case notSent && place.Box == "":
		x.unsent++
	case !notSent:
		x.countArrived()
		x.ran++
	}
	if failed && !over && !notSent && x.mayContinue(place) {
		return x.breakOff(err)
	}
	mayRepeat := notSent || x.repeatable()
	if left || over || !mayRepeat || !x.retryAllowed(!notSent) {
		return x.fail(err)
	}
	return nil, errRetry
}

// ownFault says that this box, not the target, is the reason why an attempt failed.
func ownFault(err error) bool {
	own := []error{exchange.ErrConnectionLimit, exchange.ErrLate, errWeightsExpired, notice.ErrLeaving, notice.ErrBackoff, notice.ErrLimited, notice.ErrBrittle}
	return slices.ContainsFunc(own, func(reason error) bool { return errors.Is(err, reason) })
}

// handleTurnedAway handles a target's statement that it did not run the request.
func (x *run) handleTurnedAway(place Placement, reply *Reply) (*refusal.Refusal, error) {
	x.countArrived()
	x.ended(AttemptResult{Place: place, Job: x.job, Began: false, Failed: reply.Verdict == DidNotRun && !place.FromCopy, Verdict: reply.Verdict, Version: reply.Version})
	x.outcome.Cause = fmt.Sprintf("turned away with %d", reply.Status)
	if place.FromCopy {
		return x.endWithoutCopy(errors.New(x.outcome.Cause))
	}
	if x.retryAllowed(true) {
		return nil, errRetry
	}
	if x.headWritten {
		return x.abort(x.outcome.Cause)
	}
	return x.refuse(x.unavailable(x.job, "turned_away", "%s turned the request away with %d", place.Target, reply.Status)), nil
}

// countArrived counts an attempt that may have reached its target.
func (x *run) countArrived() {
	x.setSent(x.sent + 1)
}

// retryAllowed says whether another attempt is allowed, and takes it from the budget if an
// earlier one reached a target. What was taken for one that never left this box is used
// for the next. After an attempt to continue from a copy a run that can't be resumed must
// not begin again.
func (x *run) retryAllowed(reached bool) bool {
	if x.copyTried && !x.job.Route.Resumable {
		return false
	}
	if x.sent >= x.job.Route.Attempts || x.unsent >= maxUnsent || x.job.Until.Sub(x.Now()) < minTimeLeft || x.callerLeft() {
		return false
	}
	if !reached && x.sent == 0 {
		return true
	}
	return x.payRetry()
}

// payRetry takes a retry from the budget, unless one was taken that is not used yet.
func (x *run) payRetry() bool {
	x.retryPaid = x.retryPaid || x.retryReserved.Swap(false) || x.Spend(x.job.Pool.Name)
	return x.retryPaid
}
