package deliver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/thymewind/thymewind/eventstream"
	"github.com/thymewind/thymewind/refusal"
)

// bufferBytes is how much of an answer is read before its head is passed on. An answer
// that is cut off within it can still be replaced by another target's.
const bufferBytes = 64 << 10

// writeHead passes the answer's head on, once.
func (x *run) writeHead(reply *Reply) {
	if x.headWritten {
		return
	}
	x.headWritten = true
	x.answering.Store(true)
	header := x.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	x.w.WriteHeader(reply.Status)
	x.outcome.Status = reply.Status
	x.outcome.FirstByte = x.Now().Sub(x.job.Received)
}

// relay passes an ordinary answer on. A short one is read completely first.
func (x *run) relay(place Placement, reply *Reply) (*refusal.Refusal, error) {
	buffer := x.bufferFor(reply)
	first, err := io.ReadAll(io.LimitReader(reply.Body, buffer))
	if err == nil && int64(len(first)) == buffer {
		return x.relayLong(place, reply, first)
	}
	if err == nil && reply.Length >= 0 && int64(len(first)) != reply.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return x.handleCutOff(place, err)
	}
	x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: reply.Status >= http.StatusInternalServerError, Answered: true})
	x.outcome.Cause = ""
	arrivedAt := x.Now()
	x.writeHead(reply)
	if _, err := x.w.Write(first); err != nil {
		return x.abort(x.writeFailure(err))
	}
	if reply.Status < http.StatusInternalServerError {
		x.completed(arrivedAt)
	}
	return nil, nil
}

// relayLong passes an answer on as it arrives.
func (x *run) relayLong(place Placement, reply *Reply, first []byte) (*refusal.Refusal, error) {
	x.writeHead(reply)
	body := &measuredBody{Reader: reply.Body, run: x, last: x.Now()}
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, body)
	}
	unwritten := err != nil && body.err == nil
	unread := unwritten || body.err != nil && x.reading.causedCut(x.Now())
	failed := err != nil && x.ctx.Err() == nil && !unread
	x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, CutOff: failed, Answered: err == nil, CallerLeft: unread || x.caller.Err() != nil, SlowCaller: unread || x.reading.slow()})
	switch {
	case unwritten:
		return x.abort(x.writeFailure(err))
	case unread:
		return x.abort(CauseUnread + ": the target cut the answer off: " + err.Error())
	case err != nil:
		return x.abort(err.Error())
	}
	x.outcome.Cause = ""
	if reply.Status < http.StatusInternalServerError {
		x.completed(x.Now())
	}
	return nil, nil
}

// handleCutOff handles an answer that was cut off before any of it was passed on.
func (x *run) handleCutOff(place Placement, err error) (*refusal.Refusal, error) {
	failed := x.ctx.Err() == nil
	x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, Unreachable: failed, CutOff: failed, CallerLeft: x.caller.Err() != nil})
	x.outcome.Cause = "the answer was cut off: " + err.Error()
	if failed && x.repeatable() && x.retryAllowed(true) {
		return nil, errRetry
	}
	return x.fail(err)
}

// relayStream passes events on as they arrive, complete ones only.
func (x *run) relayStream(ctx context.Context, place Placement, reply *Reply) (*refusal.Refusal, error) {
	passedOn := false
	if x.job.HandedOn != nil {
		x.job.HandedOn.Began(place.Software)
	}
	wait := &eventWait{}
	events := eventstream.Reader{From: reply.Body, Grow: x.growEvents(ctx, wait)}
	resumable := x.job.Route.Resumable && x.sent < x.job.Route.Attempts
	if x.Suspect != nil && place.Box == "" && (resumable || x.hasCopy(place)) {
		go x.abortIfStalled(ctx, x.cancel, x.job, place.Target, wait, resumable)
	}
	flush := http.NewResponseController(x.w)
	if x.headWritten {
		x.outcome.Resumed++
		x.firstAfter = 0
		x.times.resumed()
	}
	for {
		now := x.Now()
		if passedOn {
			x.reading.wrote(now, now.Sub(x.lastEventAt))
		}
		wait.begin(now)
		event, err := events.Next()
		wait.end()
		if errors.Is(err, io.EOF) {
			x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Completed: true, Late: x.late, Answered: true, FirstAfter: x.firstAfter, SlowCaller: x.reading.slow()})
			x.outcome.Cause = ""
			x.completed(x.Now())
			x.writeHead(reply)
			return nil, nil
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
				err = cause
			}
			return x.handleStreamCutOff(place, err)
		}
		x.events++
		if x.events == 1 {
			x.noteSoftware(place)
		}
		if x.events == 1 && place.Box == "" && x.FirstEvent != nil {
			x.FirstEvent(x.job)
		}
		x.recordEvent()
		passedOn = false
		id := eventstream.ID(event)
		if (x.headWritten || place.FromCopy) && id != "" && !later(id, x.lastEventID) {
			continue // The caller received it from the previous attempt, or an earlier request.
		}
		if !isNumber(id) && (id != "" || eventstream.HasData(event)) {
			x.unnumbered.Store(true)
		}
		x.times.arrived(x.lastEventAt, x.job)
		x.outcome.Events++
		x.writeHead(reply)
		if _, err = x.w.Write(event); err == nil {
			err = flush.Flush()
		}
		if err != nil {
			x.ended(AttemptResult{Place: place, Job: x.job, Began: true, CallerLeft: true, SlowCaller: true})
			return x.abort(x.writeFailure(err))
		}
		x.times.written(x.Now())
		passedOn = true
		if id != "" {
			x.lastEventID = id
		}
	}
}

// noteSoftware records which software version sends the first event of an attempt, before that is
// passed on. It is the version that began the stream, as an attempt that continues one is placed
// by it.
func (x *run) noteSoftware(place Placement) {
	if x.untold {
		return
	}
	if x.outcome.BeganOn == "" {
		x.outcome.BeganOn = place.Software
	}
	if place.Software != x.outcome.BeganOn {
		x.outcome.OtherSoftware++
	}
	if x.software == nil {
		x.software = &place.Software
	}
	if x.Continued != nil && x.job.HandedOn == nil && x.job.Resumable() {
		x.Continued(x.job, *x.software)
	}
}

// recordEvent records when an event arrived, and whether that was later than the route's
// goals. Without a goal nothing is late. Time in a queue does not count: it says nothing about the
// target, and less room for the lowest priority because of it would lengthen the queue.
func (x *run) recordEvent() {
	now := x.Now()
	waited, goal := now.Sub(x.lastEventAt), x.job.Route.GapGoal
	if x.lastEventAt.IsZero() {
		x.firstAfter = now.Sub(x.outcome.Place.PlacedAt)
		waited, goal = now.Sub(x.job.Received), x.job.Route.Goal
	}
	waited -= x.queued
	x.lastEventAt, x.queued = now, 0
	x.late = x.late || (goal > 0 && waited > goal)
}

// handleStreamCutOff handles a stream that was cut off.
func (x *run) handleStreamCutOff(place Placement, err error) (*refusal.Refusal, error) {
	if x.ctx.Err() == nil && !errors.Is(err, errSilent) && x.reading.causedCut(x.Now()) {
		x.ended(AttemptResult{Place: place, Job: x.job, Began: true, CallerLeft: true, SlowCaller: true})
		return x.abort(CauseUnread + ": the target cut the stream off: " + err.Error())
	}
	failed := x.ctx.Err() == nil
	x.ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, Unreachable: failed, CutOff: failed, CallerLeft: x.caller.Err() != nil})
	x.outcome.Cause = "the stream was cut off: " + err.Error()
	if failed && x.mayContinue(place) {
		return x.breakOff(err)
	}
	if failed && x.job.Route.Resumable && x.retryAllowed(true) {
		return nil, errRetry
	}
	return x.fail(err)
}

// isNumber says whether an event ID shows which events come before it.
func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// later says whether an event ID comes after another. IDs are increasing numbers; other
// IDs are passed on as they come.
func later(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return true
	}
	return a > b
}
