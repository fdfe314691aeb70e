package deliver

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

const (
	// slowWrite is how long one write to a caller must take for a cut that follows within the
	// same time to be this box's own doing. Targets cut off answers that stay unread for some
	// seconds; a write to a caller that reads takes well under a millisecond.
	slowWrite = time.Second
	// quickWrite is the time under which a write does not count: it did not wait for its caller.
	// Without it, streams of thousands of events pass for slow callers' by their number of writes.
	quickWrite = time.Millisecond
	// slowCaller is the time that all other writes of an answer must take for its length to say
	// nothing about the target. It is half of the shortest goal of the platform's services.
	slowCaller = 100 * time.Millisecond
	// minBufferBytes is the buffer of an answer for which there is no memory: the caller gets
	// the answer's head sooner, and another target can't replace the answer after that.
	minBufferBytes = 4 << 10
	// maxFreeEvent is the buffer that each stream gets whether there is memory or not, so that
	// streams of usual events never wait for others' memory. An event of a model's step has
	// some hundred bytes.
	maxFreeEvent = 8 << 10
	// roomInterval is how often an answer that waits for memory asks again.
	roomInterval = 20 * time.Millisecond
	// roomTimeout is how long an answer waits for memory before it may exceed the bound, if no
	// other does. Targets cut off answers that stay unread for some seconds.
	roomTimeout = 4 * time.Second
)

// CauseUnread is the cause of an answer that ended because its caller did not read it.
const CauseUnread = "unread"

// ErrUnread is the error of a write to a caller whose connection was ended as it does not read.
var ErrUnread = errors.New("the caller does not read its answer")

// CodeHeldMemory refuses a request for want of memory at this box. Its body may be unread.
const CodeHeldMemory = "held_memory"

// CodeTooLarge refuses a request whose body is over the limit. Its body may be unread.
const CodeTooLarge = "too_large"

// reading measures how a caller reads its answer.
type reading struct {
	// total is the time spent in writes other than quick ones, slowAt when the last write ended that took slowWrite
	// or longer. Waits for memory count as writes: they hold the target up as well.
	total  time.Duration
	slowAt time.Time
}

func (r *reading) wrote(now time.Time, took time.Duration) {
	if took >= quickWrite {
		r.total += took
	}
	if took >= slowWrite {
		r.slowAt = now
	}
}

// slow says that the caller, not the target, decided how long the answer took.
func (r *reading) slow() bool { return r.total >= slowCaller }

// causedCut says that a target that cuts its answer off now does so because this box did not read
// it. The time after a slow write covers what had arrived before the cut.
func (r *reading) causedCut(now time.Time) bool {
	return !r.slowAt.IsZero() && now.Sub(r.slowAt) < slowWrite
}

// measuredBody is an answer's body that counts the time between two reads as that of a write.
type measuredBody struct {
	io.Reader
	run *run
	// last is when the last read ended; err is the target's error.
	last time.Time
	err  error
}

// Read implements io.Reader.
func (b *measuredBody) Read(p []byte) (int, error) {
	now := b.run.Now()
	b.run.reading.wrote(now, now.Sub(b.last))
	n, err := b.Reader.Read(p)
	b.last = b.run.Now()
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// writeFailure is the cause of an answer that could not be written to its caller.
func (x *run) writeFailure(err error) string {
	if errors.Is(err, ErrUnread) || errors.Is(err, os.ErrDeadlineExceeded) && !x.disconnected() {
		x.unread = true
		return CauseUnread
	}
	return "writing to the caller failed: " + err.Error()
}

// bufferFor is how much of an answer is read before its head is passed on.
func (x *run) bufferFor(reply *Reply) int64 {
	bytes := int64(bufferBytes)
	if reply.Length >= 0 {
		bytes = min(bytes, reply.Length)
	}
	x.held.Set(int64(len(x.job.Body))) // An earlier attempt's buffers are gone.
	if x.held.Hold(bytes) {
		return bufferBytes
	}
	x.held.Set(int64(len(x.job.Body)) + min(bytes, minBufferBytes))
	return minBufferBytes
}

// growEvents counts what a stream's buffer grows by. Beyond maxFreeEvent it waits for room and
// reads nothing meanwhile, so that the target is held up; it fails when ctx ends. The wait does not count
// as one for the target's next event.
func (x *run) growEvents(ctx context.Context, wait *eventWait) func(by int) error {
	grown := 0
	return func(by int) error {
		grown += by
		if grown <= maxFreeEvent {
			x.held.Set(int64(len(x.job.Body) + grown))
			return nil
		}
		if x.held.Hold(int64(by)) {
			return nil
		}
		wait.end()
		began := x.Now()
		err := x.waitForRoom(ctx, int64(by))
		now := x.Now()
		x.reading.wrote(now, now.Sub(began))
		wait.begin(now)
		return err
	}
}

// waitForRoom adds bytes once there is room for them, or after roomTimeout if no other answer exceeds
// the bound then.
func (x *run) waitForRoom(ctx context.Context, bytes int64) error {
	until := x.Now().Add(roomTimeout)
	for !x.held.Hold(bytes) && (x.Now().Before(until) || !x.held.Exceed(bytes)) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(roomInterval):
		}
	}
	return nil
}

// admitBytes asks for memory for so many bytes of the body more.
func (x *run) admitBytes(job *Job, bytes int64) bool {
	priority := routing.Priority(job.Route, job.Account)
	if x.Admit == nil || x.held == nil {
		return x.held.Admit(bytes, priority)
	}
	return x.Admit(x.caller, x.held, bytes, priority)
}

func (x *run) refuseMemory(job *Job, bytes int64) *refusal.Refusal {
	if x.MemoryRefused != nil {
		x.MemoryRefused(job, bytes)
	}
	return x.unavailable(job, CodeHeldMemory, "this box has no memory for a body of %d bytes", bytes)
}

// drainTime is how long the rest of a refused body is still read and dropped, so that the caller
// gets the refusal and not a reset. It covers the largest body, 4 MiB, at 10 Mbit/s; with 0.5 s a
// caller that sent 1 MiB at 5 Mbit/s got a reset. The dropped bytes take no memory.
const drainTime = 4 * time.Second
