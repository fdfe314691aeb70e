package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymewind/thymewind/peer"
)

// slowPeer answers messages with the statement "slow" when released, others at once.
type slowPeer struct {
	peer.Node
	release chan struct{}
	// entered receives a value for each slow message.
	entered chan struct{}
	// connections counts accepted connections.
	connections atomic.Int64
	at          netip.AddrPort
}

func startSlowPeer(t *testing.T) *slowPeer {
	t.Helper()
	s := &slowPeer{release: make(chan struct{}), entered: make(chan struct{}, 9)}
	s.Node = peer.Node{
		Credential: "secret",
		OnSent:     func(int) {}, OnReceived: func(int) {},
		Handle: func(_ context.Context, m peer.Message) peer.Message {
			if m.Statement == "slow" {
				s.entered <- struct{}{}
				<-s.release
			}
			return peer.Message{Kind: m.Kind, Statement: "answer to " + m.Statement}
		},
	}
	server := httptest.NewUnstartedServer(s.Handler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	s.at = netip.MustParseAddrPort(server.Listener.Addr().String())
	return s
}

func newCaller(t *testing.T) *peer.Node {
	t.Helper()
	n := newNode("secret")
	t.Cleanup(n.Close)
	return n
}

// TestConcurrentCalls checks that a call is answered while an earlier one is pending.
func TestConcurrentCalls(t *testing.T) {
	s, n := startSlowPeer(t), newCaller(t)
	held := make(chan error, 1)
	go func() {
		answer, err := n.Call(context.Background(), s.at, peer.Message{Statement: "slow"})
		if err == nil && answer.Statement != "answer to slow" {
			t.Errorf("answer %q", answer.Statement)
		}
		held <- err
	}()
	<-s.entered
	for range 3 {
		answer, err := n.Call(context.Background(), s.at, peer.Message{Statement: "quick"})
		if err != nil || answer.Statement != "answer to quick" {
			t.Fatalf("answer %q, %v", answer.Statement, err)
		}
	}
	close(s.release)
	if err := <-held; err != nil {
		t.Error(err)
	}
	if got := s.connections.Load(); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// TestAbandonedCall checks that an abandoned call leaves the connection open, and that its late
// answer reaches no other call.
func TestAbandonedCall(t *testing.T) {
	s, n := startSlowPeer(t), newCaller(t)
	if _, err := n.Call(context.Background(), s.at, peer.Message{Statement: "first"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, err := n.Call(ctx, s.at, peer.Message{Statement: "slow"}); err == nil {
		t.Fatal("answered")
	}
	close(s.release)
	for range 5 {
		answer, err := n.Call(context.Background(), s.at, peer.Message{Statement: "quick"})
		if err != nil || answer.Statement != "answer to quick" {
			t.Fatalf("answer %q, %v", answer.Statement, err)
		}
	}
	if got := s.connections.Load(); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// TestManyCalls makes many concurrent calls on one connection.
func TestManyCalls(t *testing.T) {
	s, n := startSlowPeer(t), newCaller(t)
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			statement := strings.Repeat("x", i)
			answer, err := n.Call(context.Background(), s.at, peer.Message{Statement: statement})
			if err != nil || answer.Statement != "answer to "+statement {
				t.Errorf("answer %q, %v", answer.Statement, err)
			}
		})
	}
	calls.Wait()
	if got := s.connections.Load(); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// TestConnectionLost checks that calls fail at once when their connection ends, and that the next
// call dials again.
func TestConnectionLost(t *testing.T) {
	s, n := startSlowPeer(t), newCaller(t)
	defer close(s.release)
	failed := make(chan error, 1)
	go func() {
		_, err := n.Call(context.Background(), s.at, peer.Message{Statement: "slow"})
		failed <- err
	}()
	<-s.entered
	n.Close()
	if err := <-failed; err == nil {
		t.Error("answered")
	}
	if _, err := n.Call(context.Background(), s.at, peer.Message{Statement: "quick"}); err != nil {
		t.Error(err)
	}
}

// TestSilentPeer checks that a connection on which nothing arrives for long is replaced, and that
// one that was idle is not.
func TestSilentPeer(t *testing.T) {
	s, n := startSlowPeer(t), newCaller(t)
	defer close(s.release)
	expectTimeout := func(timeout time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if _, err := n.Call(ctx, s.at, peer.Message{Statement: "slow"}); err == nil {
			t.Error("answered")
		}
	}
	expectTimeout(10 * time.Millisecond)
	if _, err := n.Call(context.Background(), s.at, peer.Message{Statement: "quick"}); err != nil || s.connections.Load() != 1 {
		t.Errorf("%v, %d connections", err, s.connections.Load())
	}
	expectTimeout(1100 * time.Millisecond)
	if _, err := n.Call(context.Background(), s.at, peer.Message{Statement: "quick"}); err != nil || s.connections.Load() != 2 {
		t.Errorf("%v, %d connections", err, s.connections.Load())
	}
}
