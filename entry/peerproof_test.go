package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// boxOfFleet returns the daemon of one of 20 boxes, whose name sets its domain, a or b.
func boxOfFleet(name string) *Daemon {
	d := largeFleet(name)
	d.Settings.Domain = d.tables.members[name].domain
	d.updateRole(start, &d.tables)
	return d
}

// TestPeerProofLifetime shows that one hub, the last by name, reads for all, and which one
// reads if it does not answer.
func TestPeerProofLifetime(t *testing.T) {
	tests := []struct {
		box    string
		failed []string
		want   time.Duration
	}{
		{"box-11", nil, 0},
		{"box-10", nil, peerProofBase},
		{"box-01", nil, peerProofBase + peerProofStep},
		{"box-00", nil, peerProofLimit},
		{"box-10", []string{"box-11"}, 0},
		{"box-00", []string{"box-11", "box-10"}, peerProofBase},
		{"box-05", nil, 0}, // A spoke.
	}
	for _, tt := range tests {
		d := boxOfFleet(tt.box)
		for _, name := range tt.failed {
			d.tables.members[name].unanswered = true
		}
		if got := d.peerProofLifetime(&d.tables); got != tt.want {
			t.Errorf("%s, failed %v: waits for %v, want %v", tt.box, tt.failed, got, tt.want)
		}
	}
	if most := peerProofLimit + peerProofPoll; most > maxHubProofAge {
		t.Errorf("a proof gets %v old before a hub reads, but boxes leave the hub at %v", most, maxHubProofAge)
	}
}

// TestHasPeerProof lists the answers of a hub that save another one its read.
func TestHasPeerProof(t *testing.T) {
	const known = 7
	tests := []struct {
		name string
		m    peer.Message
		// after is the time from the call to the check.
		after time.Duration
		want  bool
	}{
		{"the same", peer.Message{OperatorRevision: rev(known), ProofAgeMS: 300}, 100 * time.Millisecond, true},
		{"the same, for long", peer.Message{OperatorRevision: rev(known), ProofAgeMS: 300}, 700 * time.Millisecond, false},
		{"an old proof", peer.Message{OperatorRevision: rev(known), ProofAgeMS: 900}, 100 * time.Millisecond, false},
		{"a later change", peer.Message{OperatorRevision: rev(known + 1), ProofAgeMS: 10}, 100 * time.Millisecond, false},
		{"an earlier one", peer.Message{OperatorRevision: rev(known - 1), ProofAgeMS: 10}, 100 * time.Millisecond, true},
		{"nothing", peer.Message{}, 100 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-10")
			old := start.Add(-time.Minute)
			d.current.setProvedAt(old)
			d.update(start.Add(-time.Minute), operatorRead{old, Operator{Changed: rev(known - 2), Known: rev(known)}})
			d.update(start.Add(50*time.Millisecond), peerAnswered{name: "box-11", requestedAt: start, answer: tt.m})
			if got := d.hasPeerProof(start.Add(tt.after)); got != tt.want {
				t.Errorf("has a peer's proof: %v", got)
			}
			if d.operatorHold() != 0 {
				t.Errorf("the next read is held for %v", d.operatorHold())
			}
			d.update(start.Add(time.Second), operatorRead{start.Add(time.Second), Operator{Known: rev(known + 1)}})
			d.update(start.Add(time.Second), peerAnswered{name: "box-11", requestedAt: start, answer: tt.m})
			if !d.hasPeerProof(start.Add(time.Second)) {
				t.Error("reads again, though it has read all that the other hub knows")
			}
		})
	}
}

// TestOneHubReads has four hubs without any change for 20 s: one of them reads the operator's
// rows, and the next one does once that one is gone.
func TestOneHubReads(t *testing.T) {
	reads := make(map[string]int)
	var all []*Daemon
	for _, name := range []string{"box-00", "box-01", "box-10", "box-11"} {
		d := boxOfFleet(name)
		d.update(start, operatorRead{start, Operator{Changed: rev(3), Known: rev(9)}})
		all = append(all, d)
	}
	next := make([]time.Time, len(all))
	advance := func(from, to time.Duration, gone string) {
		for ms := from; ms < to; ms += 50 * time.Millisecond {
			now := start.Add(ms)
			for i, d := range all {
				if d.Settings.Name == gone {
					continue
				}
				for _, other := range all {
					if other.Settings.Name <= d.Settings.Name {
						continue
					}
					if other.Settings.Name == gone {
						d.update(now, peerAnswered{name: gone, requestedAt: now, err: errors.New("no answer")})
						continue
					}
					m := other.peerRequest(now, &other.tables, peer.Message{Kind: peer.KindGossip, From: d.Settings.Name})
					d.update(now, peerAnswered{name: other.Settings.Name, requestedAt: now, answer: m})
				}
				d.updateRole(now, &d.tables)
				if now.Before(next[i]) || d.hasPeerProof(now) {
					continue
				}
				reads[d.Settings.Name]++
				next[i] = now.Add(max(d.operatorHold(), 4*time.Millisecond))
				d.update(next[i], operatorRead{now, Operator{Known: rev(9)}})
			}
		}
	}
	advance(0, 10*time.Second, "")
	if n := reads["box-11"]; n < 30 || reads["box-00"]+reads["box-01"]+reads["box-10"] > 6 {
		t.Errorf("reads %v", reads)
	}
	clear(reads)
	advance(10*time.Second, 20*time.Second, "box-11")
	if n := reads["box-10"]; n < 30 || reads["box-00"]+reads["box-01"] > 6 {
		t.Errorf("reads %v after the first is gone", reads)
	}
	for _, d := range all[:3] {
		if age := d.provedAgo(start.Add(20 * time.Second)); age > peerProofLimit {
			t.Errorf("%s has a proof %v old", d.Settings.Name, age)
		}
	}
}
