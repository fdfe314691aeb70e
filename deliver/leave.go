package deliver

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"
)

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
	x.enter(x, cancel)
	return func() (time.Duration, bool) {
		x.leave(x)
		stop()
		gone := x.gone || (ctx.Err() != nil && x.hungUp())
		cancel()
		if at := left.Load(); at != nil {
			return x.Now().Sub(*at), gone
		}
		return 0, gone
	}
}

// Look ends the requests whose callers have closed their connections. The HTTP
// server tells of most by itself, but stops looking once a byte of the next request
// has come. Call it some times a second.
func (s *Server) Look() {
	for x, cancel := range s.underWay() {
		if x.outcome.Call.Gone() {
			cancel()
		}
	}
}

// underWay returns the requests whose connections can be asked, with how to end
// each.
func (s *Server) underWay() map[*run]context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.watched)
}

// enter has Look see to a request, leave ends that.
func (s *Server) enter(x *run, cancel context.CancelFunc) {
	if x.outcome.Call.Gone == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched == nil {
		s.watched = make(map[*run]context.CancelFunc)
	}
	s.watched[x] = cancel
}

func (s *Server) leave(x *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, x)
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
