package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/refusal"
)

// TestDeclined checks that a box says why it takes no request of another one, that a third one may be
// asked, and when the caller should return.
func TestDeclined(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Daemon, r *handoff.Request)
		code   string
		third  bool
	}{
		{"it stops", func(d *Daemon, _ *handoff.Request) { d.stopping.Store(true) }, deliver.CodeStopping, true},
		{"its configuration is older", func(_ *Daemon, r *handoff.Request) { r.ConfigurationVersion = 2 }, "stale", true},
		{"it can't tell whether there is a route", func(*Daemon, *handoff.Request) {}, "stale", true},
		{"there is no route", func(d *Daemon, _ *handoff.Request) { d.noteProof(d.now()) }, "no_route", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.current.Store(configuration(1))
			d.bounds.Load().AppliedWithin = time.Second
			r := &handoff.Request{From: "b2", ID: "r", Method: "POST", Path: "/nowhere/", Host: "h", Timeout: time.Second, ConfigurationVersion: 1}
			tt.change(d, r)
			refused := d.describeRefusal(d.serveForBox(context.Background(), httptest.NewRecorder(), r, &handoff.Attempts{}))
			if refused.Code != tt.code || refused.TryAnother != tt.third || !refused.DidNotRun || tt.third && refused.RetryAfter == 0 {
				t.Errorf("refused %+v", refused)
			}
		})
	}
}

// TestHandsOnOnce checks which requests of a lost pool are placed at another box.
func TestHandsOnOnce(t *testing.T) {
	later := start.Add(time.Second)
	tests := []struct {
		name string
		// told are the pools that the other box does not reach.
		told []string
		ask  deliver.PlacementRequest
		box  string
		code string
	}{
		{"a caller's", nil, deliver.PlacementRequest{Job: job("long", 10)}, "b2", ""},
		{"one that another box handed on", nil, deliver.PlacementRequest{Job: handedOn(job("long", 10))}, "", codeLost},
		{"handed on to two boxes before", nil, deliver.PlacementRequest{Job: job("long", 10), Boxes: []string{"b3", "b4"}}, "", codeLost},
		{"handed on to that box before", nil, deliver.PlacementRequest{Job: job("long", 10), Boxes: []string{"b2"}}, "", codeLost},
		{"the other box does not reach the pool", []string{"models"}, deliver.PlacementRequest{Job: job("long", 10)}, "", codeLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, _ := reachFleet()
			d.now = func() time.Time { return later }
			d.tables.members["b2"].lostPools = tt.told
			d.tables.helpers.Max = 10
			loseEngines(d, later)
			reply := make(chan placementAnswer, 1)
			d.placementRequested(later, &d.tables, placementRequest{ctx: t.Context(), ask: tt.ask, reply: reply})
			answer := <-reply
			if answer.place.Box != tt.box || codeOf(answer.err) != tt.code {
				t.Errorf("placed at %q, refused with %q", answer.place.Box, codeOf(answer.err))
			}
			if r := refusal.Of(answer.err, "", 0); tt.code != "" && r.RetryAfter == 0 {
				t.Error("without Retry-After")
			}
		})
	}
}

func handedOn(j *deliver.Job) *deliver.Job {
	j.HandedOn = &deliver.HandedOn{By: "b9", Count: func(int) {}}
	return j
}

// TestCutBoxHandsOnSuspects has a box lose its links while requests with one part wait at all engines: it
// takes the part for no crashing one, and hands requests with it on.
func TestCutBoxHandsOnSuspects(t *testing.T) {
	d := engines("b1")
	d.tables.members["b2"].address = netip.MustParseAddrPort("10.0.0.2:1")
	d.tables.helpers.Max = 10
	for i, id := range d.tables.fleet.IDs() {
		d.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, id), Job: jobWithParts("cafe", fmt.Sprint("r", i), "shared"), Failed: true, Unreachable: true, CutOff: true}})
	}
	later := start.Add(time.Second)
	reply := make(chan placementAnswer, 1)
	d.placementRequested(later, &d.tables, placementRequest{ctx: t.Context(), ask: deliver.PlacementRequest{Job: jobWithParts("cafe", "new", "shared")}, reply: reply})
	if answer := <-reply; answer.place.Box != "b2" {
		t.Errorf("placed at %q, %v", answer.place.Box, answer.err)
	}
}

// TestUnwillingTargetsTravel guards against requests that reach a target after it announced that it leaves or asked
// for a backoff, as they were handed on to a box that had not heard it.
func TestUnwillingTargetsTravel(t *testing.T) {
	tests := []struct {
		name string
		say  func(x *fleet.Target)
	}{
		{"it leaves", func(x *fleet.Target) { x.Leaving = true }},
		{"it asked for a backoff", func(x *fleet.Target) { x.BackoffUntil = start.Add(time.Minute) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			later := start.Add(time.Second)
			d, _ := reachFleet()
			d.now = func() time.Time { return later }
			d.tables.helpers.Max = 10
			loseEngines(d, later)
			other, _ := reachFleet()
			home, _ := other.placeModel(start, &other.tables, deliver.PlacementRequest{Job: handedOn(job("long", 10))})
			tt.say(d.tables.fleet.Target(home.Target))
			reply := make(chan placementAnswer, 1)
			j := job("long", 10)
			d.placementRequested(later, &d.tables, placementRequest{ctx: t.Context(), ask: deliver.PlacementRequest{Job: j}, reply: reply})
			r := d.handedOnRequest(deliver.Attempt{Job: j, Place: (<-reply).place})
			taken := handedOn(job("long", 10))
			taken.HandedOn.Unwilling = r.Unwilling
			place, refused := other.placeModel(start, &other.tables, deliver.PlacementRequest{Job: taken})
			if refused != nil || place.Target == home.Target {
				t.Errorf("the other box sends it to %q: %v", place.Target, refused)
			}
		})
	}
}
