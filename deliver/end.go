package deliver

import (
	"net/http"

	"github.com/thymewind/thymewind/refusal"
)

// fail ends a request whose last attempt got no answer.
func (x *run) fail(err error) (*refusal.Refusal, error) {
	if x.headWritten {
		return x.abort(err.Error())
	}
	if x.ran == 0 {
		return x.refuse(x.unavailable(x.job, "unreachable", "no target could be reached: %v", err)), nil
	}
	if x.stopped.Load() {
		return refuseStopped(), nil
	}
	if x.ctx.Err() != nil {
		return refusal.New(refusal.Unknown, http.StatusGatewayTimeout, "timeout", "no answer came in time"), nil
	}
	return refusal.New(refusal.Unknown, http.StatusBadGateway, "no_answer", "the request was sent but no answer came: %v", err), nil
}

// refuse corrects the outcome of a refusal: a request that may have run must not be reported
// as not run.
func (x *run) refuse(r *refusal.Refusal) *refusal.Refusal {
	if x.headWritten {
		refused, _ := x.abort(r.Code)
		return refused
	}
	if x.ran > 0 {
		return refusal.New(refusal.Unknown, http.StatusBadGateway, r.Code, "%s, after a sending without an answer", r.Reason)
	}
	return r
}

// abort ends an answer that was begun and can't be completed.
func (x *run) abort(cause string) (*refusal.Refusal, error) {
	x.outcome.Aborted, x.outcome.Cause = true, cause
	return nil, nil
}
