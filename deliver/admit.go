package deliver

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/thymewind/thymewind/body"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// defaultTimeout is the deadline of a request when neither its route nor its caller sets one.
const defaultTimeout = time.Minute

// admit resolves the route, account and pool of a call. It does not read the body. With a
// refusal, the job has only what was resolved before.
func (s *Server) admit(call *Call) (*Job, *refusal.Refusal) {
	job, refused := s.resolve(call)
	if refused != nil {
		return job, refused
	}
	return job, s.refuseShortDeadline(job)
}

// resolve is admit without a check of the deadline.
func (s *Server) resolve(call *Call) (*Job, *refusal.Refusal) {
	job := &Job{Call: call}
	table := s.Configuration()
	if table == nil || table.Table == nil {
		return job, s.unavailable(job, "no_configuration", "this box has no configuration yet")
	}
	if s.Current != nil && !s.Current(s.Now(), table) {
		return job, s.unavailable(job, codeStale, "this box lacks a configuration that other boxes have")
	}
	if table.MaxHeader > 0 && call.HeadBytes > table.MaxHeader {
		return job, refusal.New(refusal.DidNotRun, http.StatusRequestHeaderFieldsTooLarge, "head_too_large", "the head has over %d bytes", table.MaxHeader)
	}
	path, _, _ := strings.Cut(call.Path, "?")
	r := table.Route(call.Host, path)
	if r == nil && !s.ConfigurationFresh(s.Now(), table) {
		return job, s.unavailable(job, codeStale, "this box can't tell whether there is a route for %s%s by now", call.Host, path)
	}
	if r == nil {
		return job, refusal.New(refusal.DidNotRun, http.StatusNotFound, "no_route", "no route for %s%s", call.Host, path)
	}
	job.Route = r
	if table.NeedsKey(r) {
		if !s.KeysFresh(s.Now(), table) {
			return job, s.unavailable(job, codeStale, "this box can't tell whether the key is still good")
		}
		account, known := table.Account(call.Key)
		if !known && !s.ConfigurationFresh(s.Now(), table) {
			return job, s.unavailable(job, codeStale, "this box can't tell whether the key is known by now")
		}
		if !known {
			return job, refusal.New(refusal.DidNotRun, http.StatusUnauthorized, "unknown_key", "unknown key")
		}
		job.Account = account
	}
	job.Pool = table.Pools[r.Pick(s.Random())]
	if job.Pool == nil {
		return job, s.unavailable(job, "no_pool", "the route's pool is not configured")
	}
	job.table = table.Table
	job.Until = call.Received.Add(timeoutOf(r, call))
	return job, nil
}

// refuseShortDeadline refuses a call whose deadline is shorter than the time in which any
// similar one was answered lately, or returns nil. That saves the caller the wait and a target the
// work. Resumed streams are exempt, as they need less time than whole ones.
func (s *Server) refuseShortDeadline(job *Job) *refusal.Refusal {
	if s.MinAnswerTime == nil || job.LastEventID != "" {
		return nil
	}
	now := s.Now()
	left := job.Until.Sub(now)
	least, known := s.MinAnswerTime(now, job)
	if !known || left >= least {
		return nil
	}
	return s.unavailable(job, "no_time", "%v are left, and no request of %s was answered in under %v lately", left, job.Route.Name, least)
}

// timeoutOf is the shorter of the route's timeout and the caller's.
func timeoutOf(r *routing.Route, call *Call) time.Duration {
	bound := defaultTimeout
	if r.Timeout > 0 {
		bound = r.Timeout
	}
	if call.Timeout > 0 {
		bound = min(bound, call.Timeout)
	}
	return bound
}

// unavailable refuses a request that did not run, with a Retry-After.
func (s *Server) unavailable(job *Job, code, format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, code, format, args...).WithRetryAfter(s.RetryAfter(code, job))
}

// arrivedBodyTime is how long the rest of a body that has arrived may take to read after the
// request's deadline.
const arrivedBodyTime = 50 * time.Millisecond

// readBody reads the whole body, within the configured size limit and the request's
// deadline.
func (x *run) readBody(job *Job) *refusal.Refusal {
	bound := x.Configuration().MaxBody
	if bound <= 0 {
		bound = 4 << 20 // The largest limit that the platform configures.
	}
	connection := http.NewResponseController(x.w)
	until := func(at time.Time) error { return connection.SetReadDeadline(time.Now().Add(at.Sub(x.Now()))) }
	reader := body.Reader{
		From: job.Call.Body, Length: job.Call.BodyLength, Limit: bound,
		Admit: func(bytes int64) bool { return x.admitBytes(job, bytes) },
	}
	limited := until(job.Until) == nil // Only real connections support it.
	data, err := reader.ReadAll()
	// If the deadline passes while this process is paused, the body may have arrived in time.
	if errors.Is(err, os.ErrDeadlineExceeded) && until(x.Now().Add(arrivedBodyTime)) == nil {
		data, err = reader.ReadAll()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal.New(refusal.DidNotRun, http.StatusRequestTimeout, "body_late", "the body did not come in time").WithRetryAfter(x.RetryAfter("body_late", job))
	}
	if errors.Is(err, body.ErrNoMemory) {
		_ = until(x.Now().Add(drainTime)) // Only real connections support it.
		return x.refuseMemory(job, max(job.Call.BodyLength, int64(len(data))))
	}
	if errors.Is(err, body.ErrTooLarge) {
		_ = until(x.Now().Add(drainTime)) // Only real connections support it.
		return refusal.New(refusal.DidNotRun, http.StatusRequestEntityTooLarge, CodeTooLarge, "the body has over %d bytes", bound)
	}
	if err != nil && x.callerLeft() {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "caller_left", "the caller left in the middle of the body: %v", err)
	}
	if limited && connection.SetReadDeadline(time.Time{}) != nil {
		return x.unavailable(job, "connection_lost", "the caller's connection can't be used any more")
	}
	if err != nil {
		return refusal.New(refusal.DidNotRun, http.StatusBadRequest, "body_cut", "the body did not arrive whole: %v", err)
	}
	job.Body = data
	return nil
}
