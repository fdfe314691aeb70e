package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
)

// TestRefusalsOfLostLinks has targets refuse connections in ways that don't show that they ended.
func TestRefusalsOfLostLinks(t *testing.T) {
	later := start.Add(2 * refusalMargin)
	tests := []struct {
		name  string
		after func(d *Daemon)
		want  int
	}{
		{"another target is heard", func(d *Daemon) { d.tables.heard(later, d.tables.fleet.Target("e7")) }, quarantine.Threshold},
		{"nothing is heard", func(*Daemon) {}, 0},
		{"what came before is handled after", func(d *Daemon) { d.tables.heard(start.Add(refusalMargin), d.tables.fleet.Target("e7")) }, 0},
		{"they are heard themselves", func(d *Daemon) {
			for _, id := range []string{"e0", "e1", "e2", "e7"} {
				d.tables.heard(later, d.tables.fleet.Target(id))
			}
		}, 0},
		{"the pool is lost, and back", func(d *Daemon) {
			for _, id := range []string{"e3", "e4", "e5", "e6", "e7"} {
				d.update(start, refusesDial(id))
			}
			at := start.Add(time.Second)
			d.judgeRefusals(at, &d.tables)
			d.tables.heard(at, d.tables.fleet.Target("e7"))
			d.judgeRefusals(at.Add(time.Second), &d.tables)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := engines("b1")
			for _, id := range []string{"e0", "e1", "e2"} {
				d.update(start, cutOff(id, "same"))
				d.update(start, refusesDial(id))
			}
			tt.after(d)
			d.judgeRefusals(later, &d.tables)
			if got := d.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()); got != tt.want {
				t.Errorf("%d targets count, want %d", got, tt.want)
			}
		})
	}
}

// TestIdleBoxConfirmsRefusals has a box without other traffic probe one target that works.
func TestIdleBoxConfirmsRefusals(t *testing.T) {
	d := engines("b1")
	d.update(start, cutOff("e0", "same"))
	d.update(start, refusesDial("e0"))
	later := start.Add(2 * refusalMargin)
	effects := d.judgeRefusals(later, &d.tables)
	if len(effects) != 1 || effects[0].(probe).target == "e0" {
		t.Fatalf("effects %v", effects)
	}
	if again := d.judgeRefusals(later, &d.tables); len(again) != 0 {
		t.Error("probed twice")
	}
	d.update(later, probed{effects[0].(probe), nil})
	d.judgeRefusals(later, &d.tables)
	if got := d.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()); got != 1 {
		t.Errorf("%d targets count, want 1", got)
	}
}

// TestLiveTargetsAreNotBlamed has a box that lost a part of its links report three targets as ended.
// Another box hears them: it refuses the request no longer, and tells the first.
func TestLiveTargetsAreNotBlamed(t *testing.T) {
	cut, other := engines("b1"), engines("b2")
	other.tables.members["b1"] = &member{}
	for _, id := range []string{"e0", "e1", "e2"} {
		cut.update(start, cutOff(id, "same"))
		cut.update(start, refusesDial(id))
	}
	confirmEnds(cut)
	message := cut.peerRequest(start, &cut.tables, peer.Message{Kind: peer.KindGossip, From: "b2"})
	message.From = "b1"
	other.update(start, peerAnswered{"b1", start, message, nil})
	if got := placeCode(other, start, jobWithBody("same")); got != codeQuarantined {
		t.Fatalf("refused with %q before the targets were heard", got)
	}
	later := start.Add(time.Second)
	other.update(later, cacheEventsRead{source: "e0", requestedAt: start.Add(time.Millisecond)})
	if got := placeCode(other, later, jobWithBody("same")); got == codeQuarantined {
		t.Error("still refused")
	}
	cut.update(later, peerAnswered{"b2", later, other.peerRequest(later, &other.tables, gossipFrom("b1")), nil})
	if got := placeCode(cut, later, jobWithBody("same")); got == codeQuarantined {
		t.Error("the box that lost its links refuses it still")
	}
}

// TestRestartedReplicaRevivesNobody has a new replica answer at the address of one that ended.
func TestRestartedReplicaRevivesNobody(t *testing.T) {
	d := engines("b1")
	d.update(start, cacheEventsRead{source: "e0", requestedAt: start, events: CacheEvents{Epoch: 1}})
	d.update(start, cutOff("e0", "same"))
	d.update(start, refusesDial("e0"))
	confirmEnds(d)
	later := start.Add(time.Second)
	d.update(later, probed{probe{target: "e0", engine: true, incarnation: d.tables.fleet.Target("e0").Incarnation(), decidedAt: later}, nil})
	d.update(later, cacheEventsRead{source: "e0", requestedAt: later, events: CacheEvents{Epoch: 2}})
	if got := d.tables.quarantine.Crashes(jobWithBody("same").Fingerprint()); got != 1 {
		t.Errorf("%d targets count, want 1", got)
	}
}

// TestReportedEndIsVerified has a box that does not watch a target probe it when another box reports
// its end.
func TestReportedEndIsVerified(t *testing.T) {
	spoke := boxWithEngines("box-05")
	id := spoke.tables.fleet.IDs()[0]
	spoke.update(start, attemptEnded{deliver.AttemptResult{Place: placeAt(0, id), Job: jobWithBody("same"), CallerLeft: true}})
	spoke.receiveIncarnationEnded(start, &spoke.tables, id, "box-07")
	effects := spoke.probeReported(start, &spoke.tables)
	if len(effects) != 1 || effects[0].(probe).target != id {
		t.Fatalf("effects %v", effects)
	}
	if again := spoke.probeReported(start, &spoke.tables); len(again) != 0 {
		t.Error("probed twice")
	}
}
