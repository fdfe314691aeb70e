package thymewind

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// newBox returns a daemon that knows eight engines and another box.
func newBox(t *testing.T, name string, now time.Time) *Daemon {
	t.Helper()
	d := newDaemon(t)
	d.Settings.Name = name
	c := testConfiguration(1)
	c.Accounts = map[string]account.Account{"cafe": {Name: "cafe", Weight: 1}}
	d.update(now, configurationRead{configuration: c})
	list := []boxes.Box{{Name: "other", Role: boxes.RoleEntry, Peer: netip.MustParseAddrPort("10.0.1.1:1")}}
	for i := range 8 {
		list = append(list, boxes.Box{
			Name: fmt.Sprintf("e%d", i), Role: boxes.RoleEngine, Pool: "menu", Domain: "zone-a", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)),
		})
	}
	d.update(now, boxesRead{list: list})
	for i := range 8 {
		d.update(now, loadRead{target: fmt.Sprintf("e%d", i), load: engine.Load{Version: "v1", Slots: 8}})
	}
	return d
}

// modelRequest returns a model request. Equal prompts have equal fingerprints.
func modelRequest(prompt string, attempt int) route.PlacementRequest {
	return route.PlacementRequest{Request: "r", Account: "cafe", Model: "m", Prompt: prompt, Tokens: 10, Attempt: attempt}
}

// placeFor places a request and returns the placement and the refusal's code, if any.
func placeFor(d *Daemon, now time.Time, request route.PlacementRequest) (route.Placement, string) {
	reply := make(chan placementAnswer, 1)
	d.update(now, placementRequest{request, reply})
	answer := <-reply
	var refused *refusal.Refusal
	if errors.As(answer.err, &refused) {
		return answer.placed, refused.Code
	}
	return answer.placed, ""
}

// crashEngines repeats a request, which ends each engine that it is placed on, until it is
// quarantined or the given number of engines has ended. It returns how many ended.
func crashEngines(t *testing.T, d *Daemon, now time.Time, prompt string, maxEngines int) int {
	t.Helper()
	dead := make(map[string]bool)
	for len(dead) < maxEngines {
		placed, code := placeFor(d, now, modelRequest(prompt, 1))
		if code == "quarantined" {
			break
		}
		if code != "" {
			t.Fatalf("refused with %q", code)
		}
		d.update(now, attemptEnded{route.AttemptResult{Placement: placed, Failed: true, CutOff: !dead[placed.Target], ConnectionRefused: dead[placed.Target]}})
		d.update(now, loadRead{target: placed.Target, err: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)})
		dead[placed.Target] = true
		now = now.Add(time.Second)
	}
	return len(dead)
}

// TestQuarantineSpreadsByGossip repeats a request that crashes every engine at one box, then at
// a second that got the first one's gossip, and at a third that got only the second one's.
func TestQuarantineSpreadsByGossip(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second, third := newBox(t, "b1", now), newBox(t, "b2", now), newBox(t, "b3", now)
	if n := crashEngines(t, first, now, "same", 8); n != quarantine.Threshold {
		t.Errorf("%d engines ended", n)
	}
	now = now.Add(10 * time.Second)
	if _, code := placeFor(first, now, modelRequest("another", 1)); code != "" {
		t.Errorf("another request is refused with %q", code)
	}
	second.update(now, peerAnswered{message: first.gossipMessage(now, &first.tables)})
	third.update(now, peerAnswered{message: second.gossipMessage(now, &second.tables)})
	for _, d := range []*Daemon{second, third} {
		if n := crashEngines(t, d, now, "same", 1); n != 0 {
			t.Errorf("%s does not refuse it", d.Settings.Name)
		}
	}
	late := now.Add(2 * announceFor)
	if m := third.gossipMessage(late, &third.tables); len(m.CrashReports) != 0 {
		t.Errorf("crash reports are still gossiped: %v", m.CrashReports)
	}
}

// TestQuarantineNeedsUnansweredCrashes cuts a request off again and again, but its engines stay
// alive, or another engine answers it in between. It must not be quarantined.
func TestQuarantineNeedsUnansweredCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// after is what happens after an engine cut the request off.
		after func(d *Daemon, placed route.Placement, at time.Time)
	}{
		{"the engine reports", func(d *Daemon, placed route.Placement, at time.Time) {
			d.update(at, loadRead{target: placed.Target, load: engine.Load{Version: "v1", Slots: 8}, requestedAt: at})
		}},
		{"the engine ends, and another one answers", func(d *Daemon, placed route.Placement, at time.Time) {
			d.update(at, loadRead{target: placed.Target, err: syscall.ECONNREFUSED})
			other, _ := placeFor(d, at, modelRequest("same", 1))
			d.update(at, attemptEnded{route.AttemptResult{Placement: other, End: stream.Frame{Request: "r"}}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newBox(t, "b1", now)
			at := now
			for range 2 * quarantine.Threshold {
				placed, code := placeFor(d, at, modelRequest("same", 1))
				if code == "quarantined" {
					t.Fatal("refused")
				}
				if code != "" {
					break // No engine is left to try.
				}
				d.update(at, attemptEnded{route.AttemptResult{Placement: placed, Failed: true, CutOff: true}})
				at = at.Add(3 * time.Second)
				tt.after(d, placed, at)
			}
		})
	}
}

// TestQuarantineLiftedByPeer has a box learn from a peer that a request was answered, which lifts
// its quarantine.
func TestQuarantineLiftedByPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newBox(t, "b1", now)
	crashEngines(t, d, now, "same", 8)
	now = now.Add(10 * time.Second)
	d.update(now, peerAnswered{message: peer.Message{Lifted: []fingerprint.Sum{modelRequest("same", 1).Fingerprint()}}})
	if _, code := placeFor(d, now, modelRequest("same", 1)); code != "" {
		t.Errorf("refused with %q", code)
	}
	if m := d.gossipMessage(now, &d.tables); len(m.Lifted) != 1 {
		t.Error("the lifted request is not gossiped")
	}
}

// TestFingerprintsDifferByAccount guards against one account's requests quarantining another's,
// and against account names in fingerprints.
func TestFingerprintsDifferByAccount(t *testing.T) {
	mine, theirs := modelRequest("same", 1), modelRequest("same", 1)
	theirs.Account = "bistro"
	if mine.Fingerprint() == theirs.Fingerprint() || strings.Contains(mine.Fingerprint().String(), "cafe") {
		t.Error("fingerprints of two accounts are equal, or one contains the account's name")
	}
}
