package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// TestUnprovedHubTellsNoProof guards against a hub that starts after a restore and tells the
// time since its start as the age of a proof, which it does not have yet.
func TestUnprovedHubTellsNoProof(t *testing.T) {
	hub, spoke := boxOfFleet("box-11"), boxOfFleet("box-05")
	now := start.Add(100 * time.Millisecond)
	hub.startedAt = start
	hub.update(now, operatorRead{now, Operator{Snapshot: true, Table: configuration(7), Known: revision.Revision{Restores: 1, Number: 40}}})
	if _, proved := hub.current.ProvedAt(); proved {
		t.Fatal("the hub's first read proves its configuration")
	}
	spoke.current.Store(configuration(7))
	last := start.Add(-time.Minute)
	spoke.current.setProvedAt(last)
	spoke.update(now, peerAnswered{name: "box-11", requestedAt: now, answer: peer.Message{View: hub.view(now, &hub.tables, spoke.tables.hubList)}})
	if got := spoke.provedAgo(now); got < now.Sub(last) {
		t.Errorf("the spoke takes its configuration for proved %v ago", got)
	}
	var m peer.Message
	hub.addProof(now, &hub.tables, &m)
	if told := time.Duration(m.ProofAgeMS) * time.Millisecond; told < time.Minute {
		t.Errorf("the hub tells other hubs of a proof %v old", told)
	}
}
