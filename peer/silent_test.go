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

// callerBehindProxy returns a node, a proxy in front of its peer, and the number of connections
// reported silent.
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
	reported := &atomic.Int64{}
	n.OnSilent = func(netip.AddrPort, time.Duration) { reported.Add(1) }
	return n, link, reported
}

// callWithTimeout makes a call that is abandoned after a time.
func callWithTimeout(n *peer.Node, at netip.AddrPort, what string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := n.Call(ctx, at, peer.Message{Statement: what})
	return err
}

// gossipTimeout is how long the daemon waits for a gossip answer.
const gossipTimeout = 300 * time.Millisecond

// TestSilentConnection silences the connections to three peers at once: each costs one call, and
// the next call uses a new connection.
func TestSilentConnection(t *testing.T) {
	n, first, reported := callerBehindProxy(t)
	links := []*loopback.Proxy{first, loopback.New(t, first.Address), loopback.New(t, first.Address)}
	for range 3 {
		for _, link := range links {
			if err := callWithTimeout(n, link.Address, "quick", time.Minute); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, link := range links {
		link.Silence(func(string) bool { return true })
	}
	for _, link := range links {
		if err := callWithTimeout(n, link.Address, "quick", gossipTimeout); !errors.Is(err, peer.ErrSilent) {
			t.Errorf("first call: %v", err)
		}
	}
	for _, link := range links {
		if err := callWithTimeout(n, link.Address, "quick", time.Minute); err != nil {
			t.Errorf("next call: %v", err)
		}
	}
	if reported.Load() != 3 || links[1].Accepted() != 2 || links[2].Accepted() != 2 {
		t.Errorf("%d reported silent, %d and %d connections", reported.Load(), links[1].Accepted(), links[2].Accepted())
	}
}

// TestSlowPeers has answers take ten times as long, or arrive in many pieces: no connection is
// reported silent.
func TestSlowPeers(t *testing.T) {
	n, link, reported := callerBehindProxy(t)
	link.Set(loopback.Delays)
	for _, each := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		link.SetDelay(each)
		for range 30 {
			if err := callWithTimeout(n, link.Address, "quick", gossipTimeout); err != nil {
				t.Fatal(err)
			}
		}
	}
	// The answer of 800 KB in chunks of 16 KB takes a second.
	large := make(chan error, 1)
	go func() { large <- callWithTimeout(n, link.Address, "large", time.Minute) }()
	for range 3 {
		_ = callWithTimeout(n, link.Address, "quick", gossipTimeout/2) // It waits behind the large answer and may be late.
	}
	if err := <-large; err != nil {
		t.Errorf("a large message: %v", err)
	}
	if reported.Load() != 0 || link.Accepted() != 1 {
		t.Errorf("%d reported silent, %d connections", reported.Load(), link.Accepted())
	}
}

// TestSilentConnectionShortCalls makes only short calls, as for placements: a few failed ones are
// enough to replace a silent connection.
func TestSilentConnectionShortCalls(t *testing.T) {
	const within = 100 * time.Millisecond
	n, link, reported := callerBehindProxy(t)
	for range 3 {
		if err := callWithTimeout(n, link.Address, "quick", time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	link.Silence(func(string) bool { return true })
	failed := 0
	for reported.Load() == 0 && failed < 10 {
		if callWithTimeout(n, link.Address, "quick", within) != nil {
			failed++
		}
	}
	if err := callWithTimeout(n, link.Address, "quick", time.Minute); err != nil || failed > 3 {
		t.Errorf("%d calls failed, then %v", failed, err)
	}
}
