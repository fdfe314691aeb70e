package peer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// holdingPeer returns the address of a peer that answers held calls only once release is called.
func holdingPeer(t *testing.T) (at netip.AddrPort, release func()) {
	t.Helper()
	released := make(chan struct{})
	answering := newNode("secret")
	answering.Handle = func(ctx context.Context, m peer.Message) peer.Message {
		if m.PlacementRequest != nil {
			select {
			case <-released:
			case <-ctx.Done():
			}
		}
		return peer.Message{Kind: m.Kind}
	}
	server := httptest.NewServer(answering.Handler())
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), sync.OnceFunc(func() { close(released) })
}

// TestHeldCalls has a peer hold as many calls of one connection as may wait in a queue. It guards
// against held calls that keep others of the connection waiting.
func TestHeldCalls(t *testing.T) {
	at, release := holdingPeer(t)
	defer release()
	n := newCaller(t)
	held := peer.Message{Kind: peer.KindPlace, PlacementRequest: &peer.PlacementRequest{Wait: true, Hold: true}}
	var calls sync.WaitGroup
	for range 512 {
		calls.Go(func() {
			if _, err := n.Call(context.Background(), at, held); err != nil {
				t.Errorf("held call: %v", err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // Most of them are on their way.
	for range 3 {
		if err := callWithTimeout(n, at, "other", 5*time.Second); err != nil {
			t.Errorf("another call: %v", err)
		}
	}
	release()
	calls.Wait()
}

// TestHeldCallIsNotSilence has a held call be abandoned, longer after its begin than a peer may be
// silent. It guards against closing the connection, which would end the other held calls, and
// against a longer time-out for silent connections after answers that were held.
func TestHeldCallIsNotSilence(t *testing.T) {
	at, release := holdingPeer(t)
	defer release()
	n := newCaller(t)
	n.OnSilent = func(at netip.AddrPort, waited time.Duration) { t.Errorf("%v is silent after %v", at, waited) }
	held := peer.Message{Kind: peer.KindPlace, PlacementRequest: &peer.PlacementRequest{Wait: true, Hold: true}}
	first := make(chan error, 1)
	go func() {
		_, err := n.Call(context.Background(), at, held)
		first <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	if _, err := n.Call(ctx, at, held); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the abandoned call ended with %v", err)
	}
	if err := callWithTimeout(n, at, "other", 5*time.Second); err != nil {
		t.Errorf("another call: %v", err)
	}
	release()
	if err := <-first; err != nil {
		t.Errorf("the first held call: %v", err)
	}
}
