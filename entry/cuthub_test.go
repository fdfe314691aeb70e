package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// loseEngines has a box lose its links to all engines.
func loseEngines(d *Daemon, now time.Time) {
	for _, id := range d.tables.fleet.IDs() {
		d.tables.unreachable(now, d.tables.fleet.Target(id))
	}
	d.noteReach(now, &d.tables)
}

// TestCutHubPlacesNothing guards against a hub that lost its links to the engines placing, or
// refusing, the requests of boxes that reach them.
func TestCutHubPlacesNothing(t *testing.T) {
	hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
	later := start.Add(time.Second)
	loseEngines(hub, later)
	request := peer.PlacementRequest{Request: "r", Pool: "models", Model: "m", Tokens: 10}
	placed := hub.placeForPeer(later, &hub.tables, peer.Message{From: "box-05", PlacementRequest: &request})
	if placed == nil || !placed.AskAnother {
		t.Errorf("the hub answered %+v", placed)
	}
	answer := hub.peerRequest(later, &hub.tables, gossipFrom("box-05"))
	answer.View = nil // Its list has no addresses.
	spoke.update(later, peerAnswered{"box-00", later, answer, nil})
	if got := spoke.placementHub(later, &spoke.tables, "models", nil); got != "box-01" {
		t.Errorf("the spoke asks %q next", got)
	}
	if got := spoke.placementHub(later, &spoke.tables, "orders", nil); got != "box-00" {
		t.Errorf("for another pool the spoke asks %q", got)
	}
}
