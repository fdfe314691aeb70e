package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// TestStartsAfterRestore guards against a box that starts right after a restore and serves
// revoked keys, as it takes older rows for the newest before the operator has written them
// again.
func TestStartsAfterRestore(t *testing.T) {
	known := revision.Revision{Restores: 2, Number: 40}
	answer := peer.Message{From: "b2", OperatorRevision: known, ProofAgeMS: 300, ConfigurationVersion: 7}
	with := func(change func(m *peer.Message)) *peer.Message {
		m := answer
		change(&m)
		return &m
	}
	tests := []struct {
		name     string
		restores uint64
		// message is the message of another box after the first read; written says that the
		// operator writes. Another read is sent a time after.
		message *peer.Message
		written bool
		after   time.Duration
		proved  bool
	}{
		{"never restored", 0, nil, false, 0, true},
		{"no message", 2, nil, false, rewriteGrace - time.Millisecond, false},
		{"no message for long", 2, nil, false, rewriteGrace, true},
		{"the operator writes", 2, nil, true, time.Millisecond, true},
		{"another box has a proof", 2, &answer, false, time.Millisecond, true},
		{"another box has a newer configuration", 2, with(func(m *peer.Message) { m.ConfigurationVersion = 8 }), false, time.Millisecond, false},
		{"another box reports no configuration", 2, with(func(m *peer.Message) { m.ConfigurationVersion = 0 }), false, time.Millisecond, false},
		{"another box has an old proof", 2, with(func(m *peer.Message) { m.ProofAgeMS = 1500 }), false, time.Millisecond, false},
		{"another box waits as well", 2, with(func(m *peer.Message) { m.RewritePending = true }), false, time.Millisecond, false},
		{"another box has not read since", 2, with(func(m *peer.Message) { m.OperatorRevision.Restores = 1 }), false, time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.members["b2"] = &member{}
			at := revision.Revision{Restores: tt.restores, Number: 40}
			d.update(start, operatorRead{start, Operator{Snapshot: true, Table: configuration(7), Known: at, Changed: at}})
			if first := d.trustsKeys(start); first != (tt.restores == 0) {
				t.Errorf("proved by its first read: %v", first)
			}
			if tt.message != nil {
				d.update(start, peerAnswered{name: "b2", requestedAt: start, answer: *tt.message})
			}
			next := Operator{Known: at}
			if tt.written {
				next.Table = configuration(7)
			}
			now := start.Add(tt.after)
			d.update(now, operatorRead{now, next})
			if got := d.trustsKeys(now); got != tt.proved {
				t.Errorf("proved %v", got)
			}
			if !tt.proved && d.operatorHold() == 0 {
				t.Error("reads in a loop without a pause")
			}
		})
	}
}
