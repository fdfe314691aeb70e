package deliver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// lookEvery is how often a caller's connection is asked whether it is closed, while
// its request is under way. The server itself stops looking once a byte of the next
// request has come. Two looks lie within the half second after which the platform's
// users count what still goes on; a look takes a third of a microsecond.
const lookEvery = 200 * time.Millisecond

// watch waits for the caller to leave, as the server or its connection tells. It
// then ends the run's context and what is being written to the caller: one that
// took nothing any more would hold its request up for good. What is returned ends
// the watch and says whether the caller left, and how long ago that was seen.
func (x *run) watch(ctx context.Context) (departed func() (time.Duration, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	x.caller = ctx
	var left atomic.Pointer[time.Time]
	connection := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		if !x.hungUp() {
			return
		}
		now := x.Now()
		left.Store(&now)
		_ = connection.SetWriteDeadline(now) // Only a real connection can; others never hold up.
	})
	if x.outcome.Call.Gone != nil {
		go x.look(ctx, cancel)
	}
	return func() (time.Duration, bool) {
		stop()
		gone := x.gone || (ctx.Err() != nil && x.hungUp())
		cancel()
		if at := left.Load(); at != nil {
			return x.Now().Sub(*at), gone
		}
		return 0, gone
	}
}

// look ends the run's context once the caller's connection is closed.
func (x *run) look(ctx context.Context, cancel context.CancelFunc) {
	ticks := time.NewTicker(lookEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if x.outcome.Call.Gone() {
				cancel()
			}
		}
	}
}

// left says that the caller went away. Its connection is asked too, as its context
// tells of a close only some time after the body was read: a box that was behind
// for 0.6 s passed on requests whose callers had left before, every time.
func (x *run) left() bool {
	x.gone = x.gone || x.caller.Err() != nil || (x.outcome.Call.Gone != nil && x.outcome.Call.Gone())
	return x.gone
}

// hungUp tells a caller that left from a body that came too late: the server ends
// the context for both, but the latter's caller is still owed an answer.
func (x *run) hungUp() bool {
	return x.outcome.Call.Gone == nil || x.outcome.Call.Gone()
}
