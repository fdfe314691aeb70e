package entry

import (
	"context"
	"slices"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// requestPlacement has the loop place a request and gets the permit that it needs there.
func (d *Daemon) requestPlacement(ctx context.Context, request deliver.PlacementRequest) (deliver.Placement, error) {
	s := permitSearch{daemon: d, request: request, wait: permitWait(request.Job)}
	for range maxPermitAsks + 1 { // The last may place it where it has a permit.
		place, err := d.placeInLoop(ctx, s.request)
		switch {
		case err != nil && s.request.Only != "":
			s.goElsewhere()
			continue
		case err != nil || place.Box != "":
			s.drop()
			return place, err
		}
		if s.ask(ctx, place) {
			return s.found(place), nil
		}
		d.post(attemptEnded{deliver.AttemptResult{Place: place, Job: request.Job}}) // It does not go there.
	}
	return deliver.Placement{}, s.refuse()
}

// permitSearch looks for a target to which a request may go: it is placed and asks for a permit there or at
// an alternative, where it is then placed.
type permitSearch struct {
	daemon  *Daemon
	request deliver.PlacementRequest
	given   permission
	denied  []deliver.Alternative
	// wait is how long the request may still wait for room, in all.
	wait time.Duration
	// asks counts the asks, which took as long.
	asks int
	took time.Duration
}

// ask reports whether the request may go where it was placed. If not, it is to be placed where it has a permit,
// or elsewhere.
func (s *permitSearch) ask(ctx context.Context, place deliver.Placement) bool {
	d := s.daemon
	key := placementIncarnation(place)
	if s.given.target.Key == key {
		return true
	}
	s.drop()
	place.Alternatives = append(place.Alternatives, s.denied...)
	began := d.now()
	s.given = d.permitFor(ctx, s.request.Job, place, s.wait)
	took := d.now().Sub(began)
	s.asks, s.took, s.wait = s.asks+1, s.took+took, max(s.wait-took, 0)
	s.request.Only = incarnationTarget(s.given.target.Key)
	if s.request.Only == "" {
		s.request.Denied = append(slices.Clone(s.request.Denied), place.Target)
		s.denied = append(s.denied, deliver.Alternative{Target: place.Target, StartedAt: place.StartedAt, Slots: place.Slots})
	}
	return s.given.target.Key == key
}

// goElsewhere gives up the target that the request has a permit for, as it can't be placed there.
func (s *permitSearch) goElsewhere() {
	s.request.Denied, s.request.Only = append(slices.Clone(s.request.Denied), s.request.Only), ""
	s.drop()
}

// drop returns the permit, if there is one.
func (s *permitSearch) drop() {
	s.daemon.returnPermit(s.given)
	s.given = permission{}
}

// found is the placement with the permit.
func (s *permitSearch) found(place deliver.Placement) deliver.Placement {
	place.Permit = s.given.permit
	place.Permit.Asks, place.Permit.Took = s.asks, s.took
	s.daemon.observePermit(s.request.Job, place.Permit.Keeper, s.took)
	return place
}

// refuse refuses the request.
func (s *permitSearch) refuse() error {
	d, job := s.daemon, s.request.Job
	s.drop()
	d.Log.Info("no permit for a request", "request", job.ID, "pool", job.Pool.Name, "asks", s.asks, "took", s.took)
	d.observePermit(job, "", s.took)
	refused := refuseNoRoom(job)
	return refused.WithRetryAfter(d.retryAfter(refused.Code, job))
}
