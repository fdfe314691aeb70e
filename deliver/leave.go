package deliver

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"
)

// longAgo as a connection's deadline ends what is under way there.
var longAgo = time.Unix(1, 0)

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
		_ = connection.SetWriteDeadline(longAgo) // Only a real connection can; others never hold up.
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

// Reap ends the requests whose callers have closed their connections, and those whose
// time is up. The HTTP server tells of most callers by itself, but stops looking once a
// byte of the next request has come; timers end most that are late, but stood still if
// the machine was suspended. Call it some times a second.
func (s *Server) Reap() {
	now := s.Now()
	for x, cancel := range s.underWay() {
		if x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected() {
			cancel()
		}
		x.begin.end(now)
		x.over.end(now)
	}
}

// limit is a time at which something ends, by the daemon's clock. A timer ends it too, and
// as a rule first.
type limit struct {
	at atomic.Pointer[limited]
}

// limited is what a limit ends.
type limited struct {
	at  time.Time
	end func()
}

func (l *limit) set(at time.Time, end func()) { l.at.Store(&limited{at, end}) }

func (l *limit) clear() { l.at.Store(nil) }

func (l *limit) end(now time.Time) {
	if x := l.at.Load(); x != nil && !now.Before(x.at) {
		x.end()
	}
}

// underWay returns the requests under way, with how to end each.
func (s *Server) underWay() map[*run]context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.watched)
}

// enter has Look see to a request, leave ends that.
func (s *Server) enter(x *run, cancel context.CancelFunc) {
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
	x.gone = x.gone || x.caller.Err() != nil || (x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected())
	return x.gone
}

// hungUp tells a caller that left from a body that came too late: the server ends
// the context for both, but the latter's caller is still owed an answer.
func (x *run) hungUp() bool {
	return x.outcome.Call.Disconnected == nil || x.outcome.Call.Disconnected()
}
