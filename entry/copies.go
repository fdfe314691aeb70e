package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/runcopy"
)

// This file has runs copied to another engine while engines are being lost, and continued there;
// package runcopy decides which. Where a copy lies is part of the run's placement, so a copy whose
// box ends is known to nobody and ends by itself at its engine.

// The ends of copies in the metrics.
const (
	copyAsked   = "asked"
	copyUsed    = "used"
	copyMissing = "missing"
)

// heldCopy is the copy of a run that was broken. Its engine holds it until a time, unless the run
// continues from it.
type heldCopy struct {
	request     string
	incarnation fleet.Incarnation
	tokens      int
	until       time.Time
}

// copyIncarnation is the incarnation of the engine that holds a run's copy.
func copyIncarnation(p deliver.Placement) fleet.Incarnation {
	return fleet.Incarnation{ID: p.CopyTarget, StartedAt: p.CopyStartedAt}
}

// copyLoss is the time that a request's caller loses if its run is lost: the whole answer, and with
// it the time that the caller has. It is zero if the run needs no copy, as none are being lost or it
// can be resumed at another engine, and if there is a copy under its ID.
func (d *Daemon) copyLoss(now time.Time, t *tables, request deliver.PlacementRequest) time.Duration {
	job := request.Job
	if !d.copiesRuns(job.Pool) || !job.Route.Stream || t.runLosses.Chance(now, poolHash(job.Pool)) == 0 {
		return 0
	}
	if t.copied[job.ID] {
		return 0
	}
	if job.Route.Resumable && len(request.Attempted)+1 < job.Route.Attempts {
		return 0
	}
	return max(job.Until.Sub(now), 0)
}

// addCopy chooses the engine that is to hold the copy of a placed run, if it gets one.
func (d *Daemon) addCopy(now time.Time, t *tables, request deliver.PlacementRequest, place *deliver.Placement, loss time.Duration, excluded func(*fleet.Target) bool) {
	job := request.Job
	if loss <= 0 || !d.copiesRuns(job.Pool) {
		return
	}
	x := t.fleet.Target(place.Target)
	run := runcopy.Run{
		Domain: x.Domain, Tokens: place.Tokens, Capacity: job.Pool.Engine.Capacity,
		Loss: loss, Chance: t.runLosses.Chance(now, poolHash(job.Pool)), PerToken: t.engineTransferPerToken,
	}
	var engines []runcopy.Engine
	for _, e := range t.engines(job.Pool.Name) {
		if e == x || slices.Contains(request.Attempted, e.ID) || excluded(e) || e.Grey(now) || e.Ejected(now) || e.Cold(now) || d.copyBarred(now, t, job, *place, e) != nil {
			continue
		}
		used, _ := d.load(now, t, e)
		engines = append(engines, runcopy.Engine{ID: e.ID, Domain: e.Domain, Used: used})
	}
	if chosen, ok := runcopy.Choose(run, engines); ok {
		setCopy(place, t.fleet.Target(chosen.ID))
	}
}

func setCopy(place *deliver.Placement, x *fleet.Target) {
	place.CopyTarget, place.CopyAddress, place.CopyStartedAt = x.ID, x.Address, x.StartedAt
}

// acceptCopy takes over where a hub had a run copied to, unless this box knows of a reason against
// that engine.
func (d *Daemon) acceptCopy(now time.Time, t *tables, job *deliver.Job, place *deliver.Placement, id string) {
	x := t.fleet.Target(id)
	if x == nil || id == place.Target || t.copied[job.ID] || !d.copiesRuns(job.Pool) || d.copyBarred(now, t, job, *place, x) != nil {
		return
	}
	setCopy(place, x)
}

// copyBarred returns why an engine must not hold the copy of a run that was placed, or nil.
func (d *Daemon) copyBarred(now time.Time, t *tables, job *deliver.Job, run deliver.Placement, x *fleet.Target) error {
	version := run.Version
	switch {
	case d.bindsSoftware && x.Software != run.Software:
		return trace.CompareFailed("%s runs the software version %q, not %q", x.ID, x.Software, run.Software)
	case !x.Available(now):
		return trace.NotFound("%s is leaving or its domain is evacuated", x.ID)
	case x.Versions[job.Model] != version || x.Loading(now):
		return trace.CompareFailed("%s has weights of version %d, not %d, or loads others", x.ID, x.Versions[job.Model], version)
	case x.InBackoff(now) || x.Limited:
		return trace.LimitExceeded("%s takes no requests now, or limits them", x.ID)
	case d.isSilent(now, t, x):
		return trace.ConnectionProblem(nil, "%s is silent", x.ID)
	case t.barsContinuing(now, x) || !t.inRegions(allowedRegions(job), x.Domain):
		return trace.AccessDenied("%s must not get this request", x.ID)
	}
	return nil
}

// countCopy counts the memory of a run's copy at the engine that holds it.
func (t *tables) countCopy(request string, p deliver.Placement) {
	if p.CopyTarget == "" {
		return
	}
	if t.copied == nil {
		t.copied = make(map[string]bool)
	}
	t.copied[request] = true
	if x := t.fleet.Incarnation(copyIncarnation(p)); x != nil {
		x.HoldCopy(p.Tokens)
		t.targetsInUse[x.ID] = x
	}
}

// copyEnded records what happens to a run's copy when the run ends: it is dropped with a run that
// ended well or never began, and otherwise held for its time.
func (t *tables) copyEnded(now time.Time, m attemptEnded) {
	if m.Place.CopyTarget == "" {
		return
	}
	held := heldCopy{m.Job.ID, copyIncarnation(m.Place), m.Place.Tokens, now.Add(m.Job.Pool.Engine.CopyTTL)}
	neverBegan := !m.Began && !m.CutOff && !m.CallerLeft
	if m.Completed || neverBegan {
		t.releaseCopy(held)
		return
	}
	t.heldCopies = append(t.heldCopies, held)
}

// releaseCopy no longer counts the memory of a copy.
func (t *tables) releaseCopy(held heldCopy) {
	delete(t.copied, held.request)
	if x := t.fleet.Incarnation(held.incarnation); x != nil {
		x.ReleaseCopy(held.tokens)
	}
}

// expireCopies releases the copies that engines have dropped by themselves.
func (d *Daemon) expireCopies(now time.Time, t *tables) []effect {
	t.heldCopies = slices.DeleteFunc(t.heldCopies, func(held heldCopy) bool {
		over := !now.Before(held.until)
		if over {
			t.releaseCopy(held)
		}
		return over
	})
	return nil
}

// requestCopy has the loop place a broken run at the engine that holds its copy.
func (d *Daemon) requestCopy(ctx context.Context, job *deliver.Job, broken deliver.Placement) (deliver.Placement, error) {
	reply := make(chan placementAnswer, 1)
	select {
	case d.messages <- copyRequest{ctx: ctx, job: job, broken: broken, reply: reply}:
	case <-ctx.Done():
		return deliver.Placement{}, trace.Wrap(ctx.Err())
	}
	select {
	case answer := <-reply:
		if answer.err == nil {
			d.countPlaced(job, &answer.place)
		}
		return answer.place, answer.err
	case <-d.ended:
		return deliver.Placement{}, trace.ConnectionProblem(nil, "the box is stopping")
	}
}

// continueFromCopy places a broken run at the engine that holds its copy, and counts it there in
// place of the copy.
func (d *Daemon) continueFromCopy(now time.Time, t *tables, m copyRequest) (deliver.Placement, error) {
	if err := d.copyUnusable(now, t, m); err != nil {
		d.metrics.copies.WithLabelValues(m.job.Pool.Name, copyMissing).Inc()
		return deliver.Placement{}, err
	}
	t.heldCopies = slices.DeleteFunc(t.heldCopies, func(held heldCopy) bool {
		mine := held.request == m.job.ID && held.incarnation == copyIncarnation(m.broken)
		if mine {
			t.releaseCopy(held)
		}
		return mine
	})
	x := t.fleet.Target(m.broken.CopyTarget)
	w := t.rolloutOf(m.job.Model)
	place := deliver.Placement{
		Target: x.ID, StartedAt: x.StartedAt, Address: x.Address, Software: x.Software, FromCopy: true, Rule: "copy", PlacedAt: now,
		Slots: x.Slots, Version: m.broken.Version, Scope: m.broken.Scope, Tokens: m.broken.Tokens,
		NewestVersion: w.newestVersion, ReplacedFor: w.replacedFor(now, m.broken.Version), BeginBy: w.beginBy(m.broken.Version, d.bounds.Load().WeightsWithin),
	}
	t.countSent(now, place)
	return place, nil
}

// copyUnusable returns why a broken run can't continue from its copy, or nil. It is held to the
// rules for a request that begins now.
func (d *Daemon) copyUnusable(now time.Time, t *tables, m copyRequest) error {
	p := m.broken
	x := t.fleet.Incarnation(copyIncarnation(p))
	switch {
	case m.ctx.Err() != nil:
		return trace.Wrap(m.ctx.Err())
	case d.evacuationsStale(now) || d.weightsStale(now):
		return trace.CompareFailed("what the operator asks for was last known %v ago", d.provedAgo(now))
	case x == nil || x.Address != p.CopyAddress:
		return trace.NotFound("%s ended or started again", p.CopyTarget)
	case p.Version < t.rolloutOf(m.job.Model).requiredVersion(now, d.bounds.Load().WeightsWithin):
		return trace.CompareFailed("the weights of version %d are too old", p.Version)
	case d.quarantined(now, t, m.job.Fingerprint()):
		return trace.AccessDenied("engines ended under requests like this one")
	}
	return d.copyBarred(now, t, m.job, p, x)
}

// countCopies counts the copies asked for with requests, and those that runs continued from or
// found missing. It is called outside the loop.
func (d *Daemon) countCopies(s deliver.Attempt, reply *deliver.Reply, err error) {
	if !s.Place.CopyAddress.IsValid() && !s.ResumeFrom.IsValid() || errors.Is(err, exchange.ErrNotSent) && !s.ResumeFrom.IsValid() {
		return
	}
	end := copyAsked
	switch {
	case !s.ResumeFrom.IsValid():
		d.metrics.copiedTokens.WithLabelValues(s.Job.Pool.Name).Add(float64(s.Place.Tokens))
	case err == nil && reply.Verdict == deliver.MayHaveRun && reply.Status == http.StatusOK:
		end = copyUsed
	default:
		end = copyMissing
	}
	d.metrics.copies.WithLabelValues(s.Job.Pool.Name, end).Inc()
}

// recordRunEnd counts the end of a run on an engine, and whether it was lost with the engine. A
// run at a silent engine ends only with its deadline.
func (d *Daemon) recordRunEnd(now time.Time, t *tables, m attemptEnded) {
	if !d.copiesRuns(m.Job.Pool) || !m.Answered && !m.CutOff {
		return
	}
	lost := m.CutOff && (m.Unreachable || d.looksDead(now, t, m.Place.Target))
	t.runLosses.End(now, poolHash(m.Job.Pool), lost)
}

// runLossesFor is what this box reports of lost runs: to a spoke all that it knows but the spoke's
// own, which the spoke adds itself; to other boxes, if spoke is empty, its own and its spokes'.
func (d *Daemon) runLossesFor(now time.Time, t *tables, spoke string) []peer.RunLoss {
	include := func(box string) bool { return box != spoke }
	if spoke == "" {
		include = func(box string) bool { return !d.spoke.Load() && !slices.Contains(t.hubs(), box) }
	}
	var list []peer.RunLoss
	for _, c := range t.runLosses.Sum(now, include) {
		list = append(list, peer.RunLoss{Pool: c.Pool, Ended: c.Ended, Lost: c.Lost})
	}
	return list
}

// receiveRunLosses applies what another box reports of lost runs.
func (t *tables) receiveRunLosses(now time.Time, m peer.Message) {
	if t.members[m.From] == nil {
		return
	}
	var counts []runcopy.Count
	for _, c := range m.RunLosses {
		counts = append(counts, runcopy.Count{Pool: c.Pool, Ended: c.Ended, Lost: c.Lost})
	}
	t.runLosses.Set(now, m.From, counts)
}

// poolHash is a four-byte ID of a pool.
func poolHash(pool *routing.Pool) uint32 { return poolHashOf(pool.Name) }

// poolHashOf is poolHash by the pool's name.
func poolHashOf(name string) uint32 { return uint32(placement.Hash(name)) }
