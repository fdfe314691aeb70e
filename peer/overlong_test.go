package peer_test

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// TestOverlongMessage has a peer answer with a message of 800 KiB. It guards against messages that take
// a box's memory, one by its length or several together.
func TestOverlongMessage(t *testing.T) {
	tests := []struct {
		name   string
		bounds func(n *peer.Node)
		taken  bool
	}{
		{"within the bounds", func(n *peer.Node) { n.MaxMessage, n.ReadBudget.Bytes = 1<<20, 1<<20 }, true},
		{"too long", func(n *peer.Node) { n.MaxMessage = 100 << 10 }, false},
		{"beyond the budget", func(n *peer.Node) { n.ReadBudget.Bytes = 100 << 10 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, link, _ := callerBehindProxy(t)
			tt.bounds(n)
			if err := callWithTimeout(n, link.Address, "large", 10*time.Second); (err == nil) != tt.taken {
				t.Errorf("%v, want an answer: %v", err, tt.taken)
			}
			if err := callWithTimeout(n, link.Address, "quick", 10*time.Second); err != nil {
				t.Errorf("the next call: %v", err)
			}
			if taken := n.ReadBudget.Taken(); taken != 0 {
				t.Errorf("%d bytes of the budget are still taken", taken)
			}
		})
	}
}
