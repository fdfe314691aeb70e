package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/peer"
)

// TestCallerLeftUnplaced has the caller leave before its request is placed: no load is counted
// for it, no further hub is asked, and no hub's miss is counted.
func TestCallerLeftUnplaced(t *testing.T) {
	tests := []struct {
		name string
		// calls is how many hubs are asked before the caller leaves. The last one's call then
		// ends in err, or in a placement.
		calls int
		err   error
	}{
		{"before the loop received the request", 0, nil},
		{"while a hub was asked, which then placed", 1, nil},
		{"while a hub was asked, whose call was cancelled", 1, context.Canceled},
		{"while the next hub was asked", 2, context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub, spoke := boxWithEngines("box-00"), boxWithEngines("box-05")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			reply := make(chan placementAnswer, 1)
			var m message = placementRequest{ctx: ctx, ask: deliver.PlacementRequest{Job: job("long", 1000)}, reply: reply}
			for i := range tt.calls {
				call := spoke.update(start, m)[0].(askHub)
				answer := hubPlaced{hub: call.hub, request: call.request, err: errors.New("no answer")}
				if i == tt.calls-1 {
					answer.err = tt.err
				}
				if answer.err == nil {
					answer.placed = hub.peerRequest(start, &hub.tables, peer.Message{Kind: peer.KindPlace, From: "box-05", PlacementRequest: &call.ask}).PlacementResponse
				}
				m = answer
			}
			cancel()
			if effects := spoke.update(start, m); len(effects) > 0 {
				t.Fatalf("effects %+v", effects)
			}
			if got := <-reply; got.err == nil {
				t.Errorf("placed at %q", got.place.Target)
			}
			for _, id := range spoke.tables.fleet.IDs() {
				if x := spoke.tables.fleet.Target(id); x.InFlight != 0 || x.Tokens != 0 || x.PrefillBacklog != 0 {
					t.Errorf("counted at %q: %+v", id, x)
				}
			}
			if last := fmt.Sprintf("box-%02d", max(tt.calls-1, 0)); spoke.tables.members[last].misses != 0 {
				t.Errorf("a miss was counted for %s", last)
			}
		})
	}
}

// TestHubAskEnds has the call to a hub end with the request that it is for.
func TestHubAskEnds(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	spoke := largeFleet("box-05")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ask := askHub{address: netip.MustParseAddrPort(silent.Addr().String()), request: placementRequest{ctx: ctx}}
	if got := spoke.askHub(context.Background(), ask); !errors.Is(got.err, context.Canceled) {
		t.Errorf("err = %v", got.err)
	}
}
