package deliver

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"
)

// pastDeadline, set as a connection's deadline, unblocks pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// watchCaller watches for the caller's disconnect, as reported by the server or its
// connection. It then cancels the run's context and unblocks writes to the caller: one
// that reads nothing would block its request forever. The function returned ends the
// watch and reports whether the caller left, and how long ago that was noticed.
func (x *run) watchCaller(ctx context.Context) (stopWatching func() (time.Duration, bool)) {
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
		_ = connection.SetWriteDeadline(pastDeadline) // Only real connections support it; others never block.
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

// Reap cancels the requests whose callers have closed their connections, those past their
// deadlines, and at the end of a planned stop those whose answer has not begun. The HTTP server
// reports most disconnects, but stops looking once a byte of the next request has arrived; timers
// cover most deadlines, but stand still while the machine is suspended. Call it several times a
// second.
func (s *Server) Reap() {
	now, stop := s.Now(), s.stop.Load()
	for x, cancel := range s.inFlight() {
		if x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected() {
			cancel()
		}
		x.beginBy.expire(now)
		x.finishBy.expire(now)
		if stop != nil && !now.Before(stop.AnswerBy) {
			x.endForStop()
		}
	}
}

// deadline is a time by the daemon's clock at which an action is due. Usually a timer performs
// the action first; Reap does if the timer stood still while the machine was suspended.
type deadline struct {
	at atomic.Pointer[deadlineAction]
}

// deadlineAction is what a deadline triggers.
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

// end performs the action now.
func (l *deadline) end() {
	if x := l.at.Load(); x != nil {
		x.act()
	}
}

// inFlight returns the requests in flight, with the cancel function of each.
func (s *Server) inFlight() map[*run]context.CancelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.running)
}

// register has Reap check a request, unregister ends that.
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

// callerLeft says whether the caller disconnected. It checks the connection as well, as the
// context reports a close only some time after the body was read: without this, a box that
// lagged by 0.6 s passed on every request whose caller had disconnected before.
func (x *run) callerLeft() bool {
	x.callerGone = x.callerGone || x.caller.Err() != nil || (x.outcome.Call.Disconnected != nil && x.outcome.Call.Disconnected())
	return x.callerGone
}

// disconnected distinguishes a disconnect from a body that arrived too late: the server ends the
// context for both, but the latter's caller still gets an answer.
func (x *run) disconnected() bool {
	return x.outcome.Call.Disconnected == nil || x.outcome.Call.Disconnected()
}
