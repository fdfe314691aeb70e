package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
)

// TestNextBestThroughHub checks that the runner-up reaches the box that asked. It guards against logs of
// spokes, which are most boxes, that show none, and against a name that the spoke does not know.
func TestNextBestThroughHub(t *testing.T) {
	tests := []struct {
		name   string
		change func(spoke *Daemon, other string)
		want   func(other string) string
	}{
		{"known", func(*Daemon, string) {}, func(other string) string { return other }},
		{"the spoke does not know the runner-up", func(spoke *Daemon, other string) {
			spoke.update(start, targetsRead{start, Targets{Removed: []string{other}}, false})
		}, func(string) string { return "" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
			alone, refused := hub.placeModel(start, &hub.tables, deliver.PlacementRequest{Job: job("long", 1000)})
			if refused != nil {
				t.Fatal(refused)
			}
			hub.tables.fleet.Target(alone.NextBest).PrefillBacklog = 5000
			request := peer.PlacementRequest{Pool: "models", Model: "m", Tokens: 1000, MaxMemoryShare: 1, Parts: []peer.Part{{ID: "p", Tokens: 500}, {ID: "own", Tokens: 500}}}
			answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &request}).PlacementResponse
			if answer == nil || answer.Target != alone.Target || answer.NextBestCostMS <= 0 {
				t.Fatalf("alone %+v, by the hub %+v", alone, answer)
			}
			tt.change(spoke, alone.NextBest)
			got, ok := spoke.acceptHubPlace(start, &spoke.tables, deliver.PlacementRequest{Job: job("long", 1000)}, answer)
			if !ok || got.err != nil || got.place.NextBest != tt.want(alone.NextBest) || got.place.NextBestCost != time.Duration(answer.NextBestCostMS)*time.Millisecond {
				t.Errorf("accepted %v, %+v, want the runner-up %q", ok, got, tt.want(alone.NextBest))
			}
		})
	}
}

// TestNoNextBestInHubAnswer has a hub choose where there is no other engine. It guards against the hash of an empty name on the wire, which names no target.
func TestNoNextBestInHubAnswer(t *testing.T) {
	hub := boxWithEngines("box-00")
	hub.update(start, targetsRead{start, Targets{Removed: []string{"b"}}, false})
	request := peer.PlacementRequest{Pool: "models", Model: "m", Tokens: 1000, MaxMemoryShare: 1, Parts: []peer.Part{{ID: "p", Tokens: 500}, {ID: "own", Tokens: 500}}}
	answer := hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &request}).PlacementResponse
	if answer == nil || answer.Target != "a" || answer.NextBest != 0 || answer.NextBestCostMS != 0 {
		t.Errorf("answered %+v", answer)
	}
}
