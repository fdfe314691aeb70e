package entry

import (
	"context"
	"testing"

	"github.com/thymewind/thymewind/peer"
)

// TestAskedWhileStarting guards against a box that ended when another one asked it for a permit before it had
// published what it knows.
func TestAskedWhileStarting(t *testing.T) {
	d := newDaemon("a")
	m := peer.Message{Kind: peer.KindPlace, From: "b", Permits: &peer.Permits{Ask: &peer.PermitAsk{Number: 1, Pool: poolHashOf("orders")}}}
	if got := d.answerPermits(context.Background(), m); !got.NotBrittle {
		t.Errorf("of a pool that nobody calls brittle it says %+v", got)
	}
	m.BrittlePools = []peer.BrittlePool{{Pool: poolHashOf("orders"), Bears: 4}}
	if got := d.answerPermits(context.Background(), m); got.NotBrittle || got.Target != "" {
		t.Errorf("of a brittle pool it says %+v", got)
	}
}
