package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/refusal"
)

// This file binds requests that continue streams to targets of one software version.

// softwareOf returns the software version that a request is bound to, or an empty string.
func softwareOf(request deliver.PlacementRequest) string {
	if request.Software == nil {
		return ""
	}
	return *request.Software
}

// boundSoftware returns the software version that began the stream that a request continues; nil if it
// continues none, or may go on at any.
func (d *Daemon) boundSoftware(request deliver.PlacementRequest) *string {
	if !d.bindsSoftware {
		return nil
	}
	return request.Software
}

// softwareForbids reports whether a target must not get a request because of its software version:
// the request continues a stream of another one, or begins one that could not be continued, or the
// version gets no requests like it.
func (d *Daemon) softwareForbids(now time.Time, t *tables, request deliver.PlacementRequest, x *fleet.Target) bool {
	if bound := d.boundSoftware(request); bound != nil {
		return x.Software != *bound || t.barsContinuing(now, x)
	}
	return d.excludedBySoftware(now, t, x) || d.bindsSoftware && request.Job.Resumable() && x.Unannounced
}

// refuseGone refuses a request that continues a stream if no target of its version is left, or
// returns nil.
func (d *Daemon) refuseGone(now time.Time, t *tables, request deliver.PlacementRequest) *refusal.Refusal {
	bound := d.boundSoftware(request)
	if bound == nil || slices.ContainsFunc(t.fleet.Pool(request.Job.Pool.Name), func(x *fleet.Target) bool {
		return x.Available(now) && !d.softwareForbids(now, t, request, x)
	}) {
		return nil
	}
	return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, codeOriginGone, "no target of %s takes requests on the software version %q, which began the stream", request.Job.Pool.Name, *bound)
}
