package deliver

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"
)

// pastDeadline as a connection's deadline ends what is under way there.
var pastDeadline = time.Unix(1, 0)

// watchCaller waits for the caller to leave, as the server or its connection tells. It
// then ends the run's context and what is being written to the caller: one that
// took nothing any more would hold its request up for good. What is returned ends
// the watch and says whether the caller left, and how long ago that was seen.
func (x *run) watchCaller(ctx context.Context) (departed func() (time.Duration, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	x.caller = ctx
	var left atomic.Pointer[time.Time]
	connection := http.NewResponseController(x.w)
	stop := context.AfterFunc(ctx, func() {
		if !x.disconnected() {
			return
		}
		now := x.Now()
		left.Store(&now)
		_ = connection.SetWriteDeadline(pastDeadline) // Only a real connection can; others never hold up.
	})
	x.register(x, cancel)
	return func() (time.Duration, bool) {
		x.unregister(x)
		stop()
		gone := x.callerGone || (ctx.Err() != nil && x.disconnected())
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
	for x, cancel := range s.inFlight() {
		if x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected() {
			cancel()
		}
		x.beginBy.expire(now)
		x.finishBy.expire(now)
	}
}

// deadline is a time at which something ends, by the daemon's clock. A timer ends it too, and
// as a rule first.
type deadline struct {
	at atomic.Pointer[deadlineAction]
}

// deadlineAction is what a limit ends.
type deadlineAction struct {
	at  time.Time
	act func()
}

func (l *deadline) set(at time.Time, end func()) { l.at.Store(&deadlineAction{at, end}) }

func (l *deadline) clear() { l.at.Store(nil) }

func (l *deadline) expire(now time.Time) {
	if x := l.at.Load(); x != nil && !now.Before(x.at) {
		x.act()
	}
}

// inFlight returns the requests under way, with how to end each.
func (s *Server) inFlight() map[*run]context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.running)
}

// register has Look see to a request, leave ends that.
func (s *Server) register(x *run, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*run]context.CancelFunc)
	}
	s.running[x] = cancel
}

func (s *Server) unregister(x *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, x)
}

// callerLeft says that the caller went away. Its connection is asked too, as its context
// tells of a close only some time after the body was read: a box that was behind
// for 0.6 s passed on requests whose callers had left before, every time.
func (x *run) callerLeft() bool {
	x.callerGone = x.callerGone || x.caller.Err() != nil || (x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected())
	return x.callerGone
}

// disconnected tells a caller that left from a body that came too late: the server ends
// the context for both, but the latter's caller is still owed an answer.
func (x *run) disconnected() bool {
	return x.outcome.Call.Disconnected == nil || x.outcome.Call.Disconnected()
}
