package entry

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// TestSilentBox has gossip with a box fail: over a silent connection it is called
// again in the next round, as a new one may work; otherwise after a pause.
func TestSilentBox(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		failed bool
		again  time.Duration
	}{
		{"answered", nil, false, 0},
		{"silent", peer.ErrSilent, false, gossipEvery},
		{"unreachable", errors.New("refused"), true, gossipAgain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			m := &member{at: netip.MustParseAddrPort("10.0.0.2:7700"), calling: true}
			d.tables.members["b2"] = m
			d.update(start, peerCalled{name: "b2", err: tt.err})
			if m.failed != tt.failed || m.calling {
				t.Errorf("failed %v, calling %v", m.failed, m.calling)
			}
			if early := start.Add(tt.again - 1); tt.again > 0 && !early.Before(m.retry) || start.Add(tt.again).Before(m.retry) {
				t.Errorf("called again after %v, want %v", m.retry.Sub(start), tt.again)
			}
		})
	}
}
