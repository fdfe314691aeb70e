package entry

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/helper"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/refusal"
)

// A request whose targets this box does not reach is placed at another box, which serves it whole
// (package handoff). docs/design/handing-on.md has the reasons.

const (
	// maxBoxesAsked is how many boxes a request is handed on to before it is refused.
	maxBoxesAsked = 2
	// handOnAfter is how many targets a request has to find out of reach before it is handed on,
	// while this box reaches others.
	handOnAfter = 2
	// maxHelpers bounds the boxes that a box of a large fleet hands requests on to, half of them
	// of its own domain.
	maxHelpers = 16
	// handedOnBytes is what a request that is handed on takes at each of the two boxes besides
	// its body, handedOnShare the share of a box's memory for them.
	handedOnBytes = 64 << 10
	handedOnShare = 1.0 / 4
)

// codeLost is the refusal's code of a box that does not reach the targets and has no other box serve
// the request.
const codeLost = "lost"

// declinedCodes are the refusals that say something about the box and nothing about the request or
// the targets, so that a third box may serve it.
var declinedCodes = []string{codeLost, deliver.CodeStopping, "stale", "no_configuration", "no_pool", "unreachable", deliver.CodeHeldMemory}

func (d *Daemon) buildHandoff() {
	limit := max(int(float64(d.Settings.Box.MemoryMB<<20)*handedOnShare)/handedOnBytes, 1)
	d.tables.helpers = helper.Chooser{Domain: d.Settings.Domain, Max: limit}
	d.handoff = handoff.Node{
		Credential: d.shownCredential, HTTP: d.boxClient(), Scheme: "ws", MaxServed: limit,
		Serve: d.serveForBox, Refusal: d.describeRefusal, Held: &d.held,
		OnSent:     func(n int) { d.metrics.peerBytes.WithLabelValues("sent").Add(float64(n)) },
		OnReceived: func(n int) { d.metrics.peerBytes.WithLabelValues("received").Add(float64(n)) },
	}
}

// handOn places a request at another box, or refuses it, if this box does not reach its targets. It
// reports whether it did.
func (d *Daemon) handOn(now time.Time, t *tables, m placementRequest) bool {
	pool := m.ask.Job.Pool.Name
	lost := d.handsOn && t.lost(now, pool)
	if !lost && !(d.handsOn && m.ask.Unreached >= handOnAfter) {
		return false
	}
	if d.placeAtBox(now, t, m) {
		return true
	}
	// Targets that were not tried yet may have just come.
	if failed, _ := t.reach.FailedTargets(pool); !lost || m.ask.Job.HandedOn == nil && len(failed) < len(t.fleet.Pool(pool)) {
		return false
	}
	d.retryEstimator.Started(now, noTarget+pool)
	refused := refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, codeLost, "this box reaches no target of %s", pool)
	t.answer(now, m, placementAnswer{err: refused.WithRetryAfter(d.retryAfter(codeLost, m.ask.Job))})
	return true
}

// mayHandOn reports whether a request's pool is out of this box's reach and another box may serve it.
func (d *Daemon) mayHandOn(now time.Time, t *tables, job *deliver.Job) bool {
	return d.handsOn && job.HandedOn == nil && t.lost(now, job.Pool.Name) && len(t.reaching(now, job.Pool.Name)) > 0
}

// placeAtBox places a request at another box if one may serve it.
func (d *Daemon) placeAtBox(now time.Time, t *tables, m placementRequest) bool {
	if !d.handsOn || m.ask.Job.HandedOn != nil || len(m.ask.Boxes) >= maxBoxesAsked {
		return false
	}
	pool := m.ask.Job.Pool.Name
	box, ok := t.helpers.Choose(now, pool, t.reaching(now, pool), m.ask.Boxes)
	if !ok {
		return false
	}
	t.helpers.Begin(box)
	t.answer(now, m, placementAnswer{place: deliver.Placement{Box: box, Address: t.members[box].address, Software: softwareOf(m.ask), Unwilling: t.unwillingTargets(now, pool), PlacedAt: now, Rule: "handed on"}})
	return true
}

// unwillingTargets lists the targets of a pool that said that they want no requests now. The box that a request is
// handed on to may not have heard it yet.
func (t *tables) unwillingTargets(now time.Time, pool string) []uint32 {
	var list []uint32
	for _, x := range t.fleet.Pool(pool) {
		if x.Leaving || x.InBackoff(now) {
			list = append(list, shortID(x))
		}
	}
	return list
}

// answerPlaced answers a request with its placement here. One that finds no target although some
// are listed goes to another box, as these may be silent for this box alone.
func (d *Daemon) answerPlaced(now time.Time, t *tables, m placementRequest, place deliver.Placement, refused error) {
	var r *refusal.Refusal
	if errors.As(refused, &r) && r.Code == "no_target" && t.hasActive(now, m.ask.Job.Pool.Name) && d.placeAtBox(now, t, m) {
		return
	}
	t.answer(now, m, placementAnswer{place, refused})
}

// hasActive reports whether a pool has targets by the list.
func (t *tables) hasActive(now time.Time, pool string) bool {
	return slices.ContainsFunc(t.fleet.Pool(pool), func(x *fleet.Target) bool { return x.Active(now) })
}

// reaching lists the boxes that may reach a pool, by what they last reported.
func (t *tables) reaching(now time.Time, pool string) []helper.Candidate {
	var list []helper.Candidate
	for _, x := range t.helperCandidates() {
		if m := t.members[x.Name]; m != nil && m.answersCalls(now) && !slices.Contains(m.lostPools, pool) {
			list = append(list, x)
		}
	}
	return list
}

// helperCandidates lists the boxes that this one hands requests on to, which it ranks by a hash, so
// that the boxes of a large fleet spread over all others. The caller must not change the list. It is
// cached, as it changes only when boxes join or leave.
func (t *tables) helperCandidates() []helper.Candidate {
	if t.candidates != nil && t.candidatesOf == len(t.members) {
		return t.candidates
	}
	self := placement.Hash(t.self)
	var own, others []helper.Candidate
	for name, m := range t.members {
		x := helper.Candidate{Name: name, Domain: m.domain, Share: m.share}
		switch {
		case name == t.self || !m.address.IsValid():
		case m.domain == t.helpers.Domain:
			own = append(own, x)
		default:
			others = append(others, x)
		}
	}
	for _, list := range [][]helper.Candidate{own, others} {
		slices.SortFunc(list, func(a, b helper.Candidate) int {
			return cmp.Compare(placement.Weight(self, placement.Hash(b.Name)), placement.Weight(self, placement.Hash(a.Name)))
		})
	}
	own = own[:min(len(own), max(maxHelpers/2, maxHelpers-len(others)))]
	others = others[:min(len(others), maxHelpers-len(own))]
	t.candidates, t.candidatesOf = slices.Concat(own, others), len(t.members)
	return t.candidates
}

// sendToBox hands a request on to the box at which it was placed.
func (d *Daemon) sendToBox(ctx context.Context, s deliver.Attempt) (*deliver.Reply, error) {
	answer, err := d.handoff.Do(ctx, s.Place.Address, d.handedOnRequest(s))
	if errors.Is(err, handoff.ErrNotSent) {
		err = fmt.Errorf("%w: %w", exchange.ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	header := http.Header(answer.Header)
	if header == nil {
		header = make(http.Header)
	}
	reply := &deliver.Reply{
		Status: answer.Status, Header: header, Length: -1, Body: answer, Close: answer.Close, Attempts: answer.Attempts, Software: answer.Software,
		Events: strings.HasPrefix(header.Get("Content-Type"), "text/event-stream"),
	}
	if length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
		reply.Length = length
	}
	header.Del("Content-Length") // The caller's front sets it from the length.
	if r := answer.Refused; r != nil {
		outcome := refusal.Unknown
		if r.DidNotRun {
			reply.Verdict, outcome = deliver.DidNotRun, refusal.DidNotRun
		}
		reply.TryAnother = r.TryAnother
		reply.Refused = refusal.New(outcome, r.Status, r.Code, "%s", r.Reason).WithRetryAfter(r.RetryAfter)
	}
	return reply, nil
}

func (d *Daemon) handedOnRequest(s deliver.Attempt) *handoff.Request {
	job := s.Job
	r := &handoff.Request{
		From: d.Settings.Name, ID: job.ID, Method: job.Method, Path: job.Path, Host: job.Host, Header: job.Header, HeadBytes: job.HeadBytes, Body: job.Body,
		Key: job.Key, Model: job.Model, PromptTokens: job.PromptTokens, MaxOutputTokens: job.MaxOutputTokens,
		Timeout: s.Timeout, LastEventID: s.LastEventID, Attempts: s.Attempts, ConfigurationVersion: d.version(), Software: s.Software, Unwilling: s.Place.Unwilling,
	}
	for _, p := range job.Parts {
		r.Parts = append(r.Parts, handoff.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return r
}

// serveForBox serves a request that another box handed on.
func (d *Daemon) serveForBox(ctx context.Context, w http.ResponseWriter, r *handoff.Request, attempts *handoff.Attempts) error {
	if refused := d.declines(r); refused != nil {
		return refused.WithRetryAfter(d.retryAfter(refused.Code, &deliver.Job{}))
	}
	call := &deliver.Call{
		ID: r.ID, Method: r.Method, Path: r.Path, Host: r.Host, Header: http.Header(r.Header), HeadBytes: r.HeadBytes, Body: bytes.NewReader(r.Body), BodyLength: int64(len(r.Body)),
		Key: r.Key, Model: r.Model, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Timeout: max(r.Timeout, time.Millisecond), LastEventID: r.LastEventID,
		Received: d.now(), Disconnected: func() bool { return ctx.Err() != nil },
		HandedOn: &deliver.HandedOn{By: r.From, Attempts: r.Attempts, Count: attempts.Set, Software: r.Software, Began: attempts.Began, Unwilling: r.Unwilling},
	}
	if call.Header == nil {
		call.Header = make(http.Header)
	}
	for _, p := range r.Parts {
		call.Parts = append(call.Parts, deliver.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return d.server.Serve(ctx, w, call)
}

// declines returns why this box takes no request, or nil.
func (d *Daemon) declines(r *handoff.Request) *refusal.Refusal {
	switch {
	case d.stopping.Load():
		return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, deliver.CodeStopping, "the box is stopping")
	case d.version() < r.ConfigurationVersion:
		return refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "stale", "the box has configuration %d, not %d", d.version(), r.ConfigurationVersion)
	}
	return nil
}

// describeRefusal describes a refusal for the box that handed the request on.
func (d *Daemon) describeRefusal(err error) handoff.Refusal {
	if errors.Is(err, handoff.ErrNoMemory) {
		err = refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, deliver.CodeHeldMemory, "%v", err).WithRetryAfter(d.retryAfter(deliver.CodeHeldMemory, &deliver.Job{}))
	}
	r := refusal.Of(err, refusal.Unknown, http.StatusBadGateway)
	return handoff.Refusal{
		Status: r.Status, Code: r.Code, Reason: r.Reason, DidNotRun: r.Outcome == refusal.DidNotRun, RetryAfter: r.RetryAfter,
		TryAnother: slices.Contains(declinedCodes, r.Code),
	}
}

// handedOnEnded learns from the end of a request that another box served.
func (d *Daemon) handedOnEnded(now time.Time, t *tables, m attemptEnded) {
	box, pool := m.Place.Box, m.Job.Pool.Name
	t.helpers.End(box)
	end := "served"
	switch {
	case m.Unreachable:
		end = "failed"
		t.helpers.Unreachable(now, box)
		d.Log.Warn("box failed a request that was handed on", "name", box, "pool", pool, "request", m.Job.ID, "began", m.Began)
	case m.Verdict == deliver.DidNotRun:
		end = "refused"
		if m.Failed {
			t.helpers.Declined(now, box, pool)
		}
	}
	d.metrics.handedOn.WithLabelValues(pool, end).Inc()
}
