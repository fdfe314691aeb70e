package peer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymewind/thymewind/internal/loopback"
	"github.com/thymewind/thymewind/peer"
)

// callerBehindProxy is a caller of a peer behind a proxy, and how often it said that a
// connection is silent.
func callerBehindProxy(t *testing.T) (*peer.Node, *loopback.Proxy, *atomic.Int64) {
	t.Helper()
	answering := newNode("secret")
	answering.Handle = func(_ context.Context, m peer.Message) peer.Message {
		if m.Statement == "large" {
			return peer.Message{Statement: strings.Repeat("x", 800<<10)}
		}
		return peer.Message{Statement: m.Statement}
	}
	server := httptest.NewServer(answering.Handler())
	t.Cleanup(server.Close)
	n := newCaller(t)
	link := loopback.New(t, netip.MustParseAddrPort(server.Listener.Addr().String()))
	said := &atomic.Int64{}
	n.OnSilent = func(netip.AddrPort, time.Duration) { said.Add(1) }
	return n, link, said
}

// callWithTimeout is a call that is given up after a time.
func callWithTimeout(n *peer.Node, at netip.AddrPort, what string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := n.Call(ctx, at, peer.Message{Statement: what})
	return err
}

// gossipTimeout is how long the daemon waits for such an answer.
const gossipTimeout = 300 * time.Millisecond

// TestSilentConnection silences the connections to three peers at the same time:
// each costs one call, and the next one goes over a new connection.
func TestSilentConnection(t *testing.T) {
	n, first, said := callerBehindProxy(t)
	links := []*loopback.Proxy{first, loopback.New(t, first.At), loopback.New(t, first.At)}
	for range 3 {
		for _, link := range links {
			if err := callWithTimeout(n, link.At, "quick", time.Minute); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, link := range links {
		link.Hush(func(string) bool { return true })
	}
	for _, link := range links {
		if err := callWithTimeout(n, link.At, "quick", gossipTimeout); !errors.Is(err, peer.ErrSilent) {
			t.Errorf("the first call: %v", err)
		}
	}
	for _, link := range links {
		if err := callWithTimeout(n, link.At, "quick", time.Minute); err != nil {
			t.Errorf("the next call: %v", err)
		}
	}
	if said.Load() != 3 || links[1].Came() != 2 || links[2].Came() != 2 {
		t.Errorf("said %d times, %d and %d connections", said.Load(), links[1].Came(), links[2].Came())
	}
}

// TestSlowPeers have answers come ten times as late, or in many pieces: no
// connection is taken for silent.
func TestSlowPeers(t *testing.T) {
	n, link, said := callerBehindProxy(t)
	link.Set(loopback.Delays)
	for _, each := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		link.SetDelay(each)
		for range 30 {
			if err := callWithTimeout(n, link.At, "quick", gossipTimeout); err != nil {
				t.Fatal(err)
			}
		}
	}
	// The answer of 800 KB in chunks of 16 KB takes a second.
	large := make(chan error, 1)
	go func() { large <- callWithTimeout(n, link.At, "large", time.Minute) }()
	for range 3 {
		_ = callWithTimeout(n, link.At, "quick", gossipTimeout/2) // Behind the large one; it may be late.
	}
	if err := <-large; err != nil {
		t.Errorf("a large message: %v", err)
	}
	if said.Load() != 0 || link.Came() != 1 {
		t.Errorf("said %d times, %d connections", said.Load(), link.Came())
	}
}

// TestSilentConnectionShortCalls has only short calls, as those for places are: some in vain are
// enough to replace a silent connection.
func TestSilentConnectionShortCalls(t *testing.T) {
	const within = 100 * time.Millisecond
	n, link, said := callerBehindProxy(t)
	for range 3 {
		if err := callWithTimeout(n, link.At, "quick", time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	link.Hush(func(string) bool { return true })
	vain := 0
	for said.Load() == 0 && vain < 10 {
		if callWithTimeout(n, link.At, "quick", within) != nil {
			vain++
		}
	}
	if err := callWithTimeout(n, link.At, "quick", time.Minute); err != nil || vain > 3 {
		t.Errorf("%d calls in vain, then %v", vain, err)
	}
}
