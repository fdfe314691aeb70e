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

// gather is how much of an answer is read before its head is passed on, in
// bytes. An answer that breaks off within it can still be replaced.
const gather = 64 << 10

// head passes the answer's head on, once.
func (x *run) head(reply *Reply) {
	if x.begun {
		return
	}
	x.begun = true
	header := x.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // Keeps the HTTP library from guessing one.
	}
	x.w.WriteHeader(reply.Status)
	x.outcome.Status = reply.Status
	x.outcome.FirstByte = x.Now().Sub(x.job.Received)
}

// whole passes an ordinary answer on. A short one is read to its end first.
func (x *run) whole(place Placement, reply *Reply) (*refusal.Refusal, error) {
	first, err := io.ReadAll(io.LimitReader(reply.Body, gather))
	if err == nil && len(first) == gather {
		return x.long(place, reply, first)
	}
	if err == nil && reply.Length >= 0 && int64(len(first)) != reply.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return x.cut(place, err)
	}
	x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: reply.Status >= http.StatusInternalServerError, Answered: true})
	x.outcome.Cause = ""
	x.head(reply)
	if _, err := x.w.Write(first); err != nil {
		return x.broken("the caller can't be written to: " + err.Error())
	}
	return nil, nil
}

// long passes an answer on while it comes.
func (x *run) long(place Placement, reply *Reply, first []byte) (*refusal.Refusal, error) {
	x.head(reply)
	_, err := x.w.Write(first)
	if err == nil {
		_, err = io.Copy(x.w, reply.Body)
	}
	failed := err != nil && x.ctx.Err() == nil
	x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, CutOff: failed, Answered: err == nil, CallerLeft: x.caller.Err() != nil})
	if err != nil {
		return x.broken(err.Error())
	}
	x.outcome.Cause = ""
	return nil, nil
}

// cut handles an answer that broke off before anything of it was passed on.
func (x *run) cut(place Placement, err error) (*refusal.Refusal, error) {
	failed := x.ctx.Err() == nil
	x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, Unreachable: failed, CutOff: failed, CallerLeft: x.caller.Err() != nil})
	x.outcome.Cause = "the answer broke off: " + err.Error()
	if failed && x.repeatable() && x.again(true) {
		return nil, errNext
	}
	return x.failed(err)
}

// stream passes events on as they come, whole ones only.
func (x *run) stream(ctx context.Context, place Placement, reply *Reply) (*refusal.Refusal, error) {
	events := eventstream.Reader{From: reply.Body}
	wait := &pauses{}
	if x.Suspect != nil && x.job.Route.Resumable && x.sent < x.job.Route.Attempts {
		go x.watchPauses(ctx, x.cancel, place.Target, wait)
	}
	flush := http.NewResponseController(x.w)
	for {
		wait.begin(x.Now())
		event, err := events.Next()
		wait.end()
		if errors.Is(err, io.EOF) {
			x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, Completed: true, Late: x.late, Answered: true})
			x.outcome.Cause = ""
			x.head(reply)
			return nil, nil
		}
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
				err = cause
			}
			return x.cutStream(place, err)
		}
		x.noteEvent()
		id := eventstream.ID(event)
		if x.begun && id != "" && !later(id, x.after) {
			continue // The caller has it from the run before.
		}
		x.head(reply)
		if _, err = x.w.Write(event); err == nil {
			err = flush.Flush()
		}
		if err != nil {
			x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, CallerLeft: true})
			return x.broken("the caller can't be written to: " + err.Error())
		}
		if id != "" {
			x.after = id
		}
	}
}

// noteEvent notes when an event came, and whether that was later than the route's
// goals. Without a goal nothing is late.
func (x *run) noteEvent() {
	now := x.Now()
	waited, goal := now.Sub(x.event), x.job.Route.GapGoal
	if x.event.IsZero() {
		waited, goal = now.Sub(x.job.Received), x.job.Route.Goal
	}
	x.event = now
	x.late = x.late || (goal > 0 && waited > goal)
}

// cutStream handles a stream that broke off.
func (x *run) cutStream(place Placement, err error) (*refusal.Refusal, error) {
	failed := x.ctx.Err() == nil
	x.Ended(AttemptResult{Place: place, Job: x.job, Began: true, Failed: failed, Unreachable: failed, CutOff: failed, CallerLeft: x.caller.Err() != nil})
	x.outcome.Cause = "the stream broke off: " + err.Error()
	if failed && x.job.Route.Resumable && x.again(true) {
		return nil, errNext
	}
	return x.failed(err)
}

// later says whether an event ID comes behind another. IDs are numbers that
// rise; others are taken as they come.
func later(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	if errA != nil || errB != nil {
		return true
	}
	return a > b
}
