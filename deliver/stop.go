package deliver

import (
	"net/http"
	"time"

	"github.com/thymewind/thymewind/refusal"
)

// Stop is a planned stop of this process.
type Stop struct {
	// NoticedBy is when callers no longer open connections to this process, as it has said that it is not
	// ready. What comes later is refused, unless it is due by AnswerBy.
	NoticedBy time.Time
	// AnswerBy is when requests whose answer has not begun are ended. It leaves time to tell their callers
	// before the process exits.
	AnswerBy time.Time
}

// BeginStop begins a planned stop. Requests under way go on.
func (s *Server) BeginStop(stop Stop) { s.stop.Store(&stop) }

// CodeStopping is the code of refusals by a process that is about to end.
const CodeStopping = "stopping"

// refuseLate refuses a request that comes late in a planned stop and may outlast the process, or returns
// nil. One that may have reached a target is not refused, as its caller must not repeat it everywhere.
func (x *run) refuseLate() *refusal.Refusal {
	stop := x.stop.Load()
	if stop == nil || x.sent > 0 || x.Now().Before(stop.NoticedBy) || !x.job.Until.After(stop.AnswerBy) {
		return nil
	}
	return x.unavailable(x.job, CodeStopping, "this box stops, maybe before the request is answered")
}

// endForStop ends a request for a planned stop, unless its answer has begun, which may still become whole.
// One of another box ends with the connection: that box then tries again what it may.
func (x *run) endForStop() {
	if x.answering.Load() || x.outcome.Call.HandedOn != nil {
		return
	}
	x.stopped.Store(true)
	x.finishBy.end()
}

// refuseStopped refuses a request that was ended for a planned stop and may have run.
func refuseStopped() *refusal.Refusal {
	return refusal.New(refusal.Unknown, http.StatusGatewayTimeout, CodeStopping, "this box stopped before an answer came")
}
