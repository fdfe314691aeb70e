package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// boxThatRead returns a box that has read the operator's rows up to a revision at a time.
func boxThatRead(at time.Time, o Operator) *Daemon {
	d := newDaemon("box")
	d.now = func() time.Time { return at }
	d.update(at, operatorRead{at, o})
	return d
}

// TestNoProofWithoutRows has a box ask for the operator's rows and get an answer that does not say
// which rows it is from: a box of the release before this call answers it as it answers a spoke's
// gossip, and one that never read the rows itself knows of no restore.
func TestNoProofWithoutRows(t *testing.T) {
	proved, now := start.Add(time.Second), start.Add(4*time.Second)
	view := &peer.View{ConfigurationVersion: 2, ProofAgeMS: 100, WeightVersions: map[string][]peer.WeightVersion{}}
	tests := []struct {
		name   string
		answer peer.Message
	}{
		{"a box of the release before", peer.Message{Kind: peer.KindOperator, From: "other", View: view}},
		{"a box that never read the rows", peer.Message{Kind: peer.KindOperator, From: "other", View: view, ConfigurationVersion: 2, ProofAgeMS: 100}},
		{"a box that sent no configuration", peer.Message{Kind: peer.KindOperator, From: "other", View: view, ConfigurationVersion: 2, OperatorRevision: rev(6), ProofAgeMS: 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxThatRead(proved, Operator{Table: configuration(1), Changed: rev(4), Known: rev(5)})
			d.update(now, operatorFromBox{box: "other", requestedAt: now, answer: tt.answer})
			if at, _ := d.current.ProvedAt(); d.version() != 1 || !at.Equal(proved) {
				t.Errorf("configuration %d is proved %v after the box's own read", d.version(), at.Sub(proved))
			}
			if known := d.tables.operatorKnown; known != rev(5) {
				t.Errorf("the rows are known up to %v", known)
			}
		})
	}
}
