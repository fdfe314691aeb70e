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
	if told, ok := (<-d.messages).(brittleTold); !ok || len(told.message.BrittlePools) != 1 {
		t.Error("the loop is not told of the brittle pool")
	}
}

// TestNamesKeeper guards against two boxes that keep one target: a box that is asked names the one that does.
func TestNamesKeeper(t *testing.T) {
	d := newDaemon("a")
	pool := poolHashOf("orders")
	m := peer.Message{Kind: peer.KindPlace, From: "c", Permits: &peer.Permits{Ask: &peer.PermitAsk{Number: 1, Pool: pool, Targets: []peer.PermitTarget{{Key: "t1", Places: 6}}}}}
	for _, keeper := range []string{"a", "b"} {
		d.brittleView.Store(&brittleView{pools: map[uint32]brittlePool{pool: {bears: 4}}, keepers: []string{keeper}})
		got := d.answerPermits(context.Background(), m)
		if granted := got.Target == "t1"; granted != (keeper == "a") || !granted && got.Keeper != keeper {
			t.Errorf("while %s keeps the target, it answers %+v", keeper, got)
		}
	}
}
