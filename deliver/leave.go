package deliver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// watch waits for the caller to leave and then ends what is being written to it: a
// caller that took nothing any more would hold its request up for good. What is
// returned ends the watch and says how long ago the caller was seen to leave, or
// zero if it was not.
func (x *run) watch() (departed func() time.Duration) {
	var left atomic.Pointer[time.Time]
	connection := http.NewResponseController(x.w)
	stop := context.AfterFunc(x.caller, func() {
		if !x.hungUp() {
			return
		}
		now := x.Now()
		left.Store(&now)
		_ = connection.SetWriteDeadline(now) // Only a real connection can; others never hold up.
	})
	return func() time.Duration {
		stop()
		if at := left.Load(); at != nil {
			return x.Now().Sub(*at)
		}
		return 0
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
