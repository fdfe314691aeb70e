package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
)

// TestPrefillBacklog checks a hub's estimate of the prompt tokens that a target still has to
// prefill: those that it placed itself, also for other boxes, those that other hubs report, and
// those overdue. Each falls with time or at the first event of the answer.
func TestPrefillBacklog(t *testing.T) {
	const tokens = 5000
	target := placement.Hash("a")
	ask := func() *peer.PlacementRequest {
		return &peer.PlacementRequest{Request: "r", Pool: "models", Model: "m", Tokens: tokens, MaxMemoryShare: 1, Parts: []peer.Part{{ID: "p", Tokens: tokens}}}
	}
	tests := []struct {
		name   string
		happen func(hub *Daemon)
		after  time.Duration
		want   int
	}{
		{"nothing", func(*Daemon) {}, 0, 0},
		{"placed for another box", func(hub *Daemon) {
			hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: ask()})
		}, 0, tokens},
		{"prefilled by now, though not reported", func(hub *Daemon) {
			hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: ask()})
		}, time.Second, 0},
		{"placed by another hub", func(hub *Daemon) {
			hub.tables.receivePrefill(start, "box-01", nil)
			hub.tables.receivePrefill(start, "box-01", []peer.PrefillTotal{{Target: target, Total: tokens}})
		}, 0, tokens},
		{"reported by an unknown box", func(hub *Daemon) {
			hub.tables.receivePrefill(start, "stranger", nil)
			hub.tables.receivePrefill(start, "stranger", []peer.PrefillTotal{{Target: target, Total: tokens}})
		}, 0, 0},
		{"overdue at another box", func(hub *Daemon) {
			hub.tables.receiveLoads(start, "box-05", []peer.TargetLoad{{Target: target, PrefillBacklog: tokens}})
		}, time.Second, tokens},
		{"overdue here", func(hub *Daemon) {
			hub.tables.countSent(start, deliver.Placement{Target: "a", PlacedAt: start, PrefillTokens: tokens})
		}, time.Second, tokens},
		{"overdue here, then answered", func(hub *Daemon) {
			p := deliver.Placement{Target: "a", PlacedAt: start, PrefillTokens: tokens}
			hub.tables.countSent(start, p)
			hub.answerBegan(start.Add(time.Second), &hub.tables, p)
		}, time.Second, 0},
		{"overdue here, then failed", func(hub *Daemon) {
			p := deliver.Placement{Target: "a", PlacedAt: start, PrefillTokens: tokens}
			hub.tables.countSent(start, p)
			hub.attemptEnded(start, &hub.tables, attemptEnded{deliver.AttemptResult{Place: p, Job: job("long", 10)}})
		}, time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub := boxWithEngines("box-00")
			hub.tables.hubWarm = true
			hub.update(start, targetsRead{start, Targets{Removed: []string{"b"}}, false})
			hub.tables.receiveLoads(start, "box-05", nil)
			hub.tables.fleet.Target("a").Domain = hub.Settings.Domain
			tt.happen(hub)
			_, got := hub.load(start.Add(tt.after), &hub.tables, hub.tables.fleet.Target("a"))
			if got < tt.want*9/10 || got > tt.want {
				t.Errorf("%d tokens to prefill, want %d", got, tt.want)
			}
		})
	}
}

// TestPrefillTotalsGossiped shows that hubs report to each other the prompt tokens that they
// placed.
func TestPrefillTotalsGossiped(t *testing.T) {
	hub := boxWithEngines("box-00")
	hub.tables.prefillBacklog.Place(start, placement.Hash("a"), 700)
	answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-01"})
	if len(answer.PrefillTotals) != 1 || answer.PrefillTotals[0].Total != 700 {
		t.Errorf("the answer to another hub reports %v", answer.PrefillTotals)
	}
}

// TestHubsGossipBetweenTicks shows that hubs gossip as soon as it is due, and that other boxes
// wait for their next tick.
func TestHubsGossipBetweenTicks(t *testing.T) {
	hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
	credential := "x"
	for _, d := range []*Daemon{hub, spoke} {
		d.credential.Store(&credential)
	}
	if n := len(hub.gossipBetweenTicks(start, &hub.tables)); n != 3 {
		t.Errorf("the hub calls %d others", n)
	}
	if n := len(hub.gossipBetweenTicks(start.Add(hubGossipInterval-time.Millisecond), &hub.tables)); n != 0 {
		t.Errorf("the hub calls %d others before it is due", n)
	}
	if n := len(spoke.gossipBetweenTicks(start, &spoke.tables)); n != 0 {
		t.Errorf("a spoke calls %d others between ticks", n)
	}
}
