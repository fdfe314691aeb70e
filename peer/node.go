// Package peer carries messages between daemons over WebSocket, in CBOR.
//
//	n := peer.Node{Credential: secret, Handle: answer, HTTP: client, Scheme: "wss", OnSent: count, OnReceived: count}
//	go http.Serve(listener, n.Handler())
//	reply, err := n.Call(ctx, address, peer.Message{Kind: peer.KindGossip})
package peer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/adaptive"
	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/readlimit"
)

// maxMessage bounds one message, in bytes. A whole configuration fits.
const maxMessage = 32 << 20

const (
	// idleTimeout is how long a link without calls is kept.
	idleTimeout = 15 * time.Second
	// maxConcurrent bounds how many messages of one peer are handled concurrently, maxHeld how
	// many of its held calls besides: more than a box has waiting requests.
	maxConcurrent = 64
	maxHeld       = 2048
)

// ErrSilent says that the connection was silent for too long and was closed. The next call dials
// again.
var ErrSilent = trace.ConnectionProblem(nil, "the connection is silent")

// Node calls peers and answers them. Set the exported fields before first use; it is safe for
// concurrent use after that.
type Node struct {
	// Credential is shared by all daemons of a deployment.
	Credential string
	// CredentialFunc returns the credential if it becomes known later; nil uses Credential.
	CredentialFunc func() string
	// Handle answers one message.
	Handle func(ctx context.Context, m Message) Message
	// HTTP dials; its TLS settings decide whom to trust.
	HTTP *http.Client
	// Scheme is ws or wss.
	Scheme string
	// MaxMessage bounds a message in bytes; zero means maxMessage. ReadBudget bounds all that are being
	// read. A connection on which more comes is closed.
	MaxMessage int64
	ReadBudget readlimit.Budget
	// OnSilent is called for each connection closed as silent; may be nil.
	OnSilent func(at netip.AddrPort, waited time.Duration)
	// OnSent and OnReceived are called with the size of each message; they must be set.
	OnSent, OnReceived func(bytes int)

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// Handler accepts peers that present the credential.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.authenticated(r.Header.Get("Authorization")) {
			http.Error(w, "the peer credential is missing or wrong", http.StatusUnauthorized)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		conn.SetReadLimit(cmp.Or(n.MaxMessage, maxMessage))
		n.serve(r.Context(), conn)
	})
}

// serve answers a peer's messages concurrently.
func (n *Node) serve(ctx context.Context, conn *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	var answers sync.WaitGroup
	defer answers.Wait()
	defer cancel()
	answered, held := make(chan struct{}, maxConcurrent), make(chan struct{}, maxHeld)
	for {
		m, err := n.readNext(ctx, conn)
		if err != nil {
			return // The peer closed the connection, or will dial again.
		}
		slots := answered
		if m.isHeld() { // It must not keep other calls waiting.
			slots = held
		}
		slots <- struct{}{}
		answers.Go(func() {
			defer func() { <-slots }()
			n.answer(ctx, conn, m)
		})
	}
}

// readNext reads a message, with a timeout of twice idleTimeout.
func (n *Node) readNext(ctx context.Context, conn *websocket.Conn) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*idleTimeout)
	defer cancel()
	return n.read(ctx, conn, func() {})
}

// answer answers one message. If writing fails, it closes the connection, which the peer notices.
func (n *Node) answer(ctx context.Context, conn *websocket.Conn, m Message) {
	answer := n.Handle(ctx, m)
	answer.Number = m.Number
	data, err := cbor.Marshal(answer)
	if err == nil {
		err = n.send(conn, data)
	}
	if err != nil {
		_ = conn.CloseNow()
	}
}

func (n *Node) authenticated(header string) bool {
	got := sha256.Sum256([]byte(header))
	want := sha256.Sum256([]byte("Bearer " + n.credential()))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (n *Node) credential() string {
	if n.CredentialFunc != nil {
		return n.CredentialFunc()
	}
	return n.Credential
}

// Call sends a message to the peer at an address and returns its answer.
func (n *Node) Call(ctx context.Context, at netip.AddrPort, m Message) (Message, error) {
	answer, err := n.link(at).call(ctx, m)
	if err != nil {
		return Message{}, trace.Wrap(err, "peer %v", at)
	}
	return answer, nil
}

// SilentFor returns how long nothing has been received on calls to a peer: not even an answer to a call that
// was given up, as a busy peer sends. A peer that has never answered is silent since it was first called.
func (n *Node) SilentFor(at netip.AddrPort) time.Duration {
	return boottime.Since(*n.link(at).heardAt.Load())
}

func (n *Node) link(at netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = make(map[netip.AddrPort]*link)
	}
	l, ok := n.links[at]
	if !ok {
		l = &link{node: n, at: at, answerTimeout: &adaptive.Timeout{Min: minSilence, Max: maxSilence}, heardAt: &atomic.Pointer[time.Time]{}}
		l.heardAt.Store(new(boottime.Now()))
		n.links[at] = l
	}
	return l
}

// Sweep closes links that have been idle for longer than idleTimeout. Call it periodically.
func (n *Node) Sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for at, l := range n.links {
		if l.closeIfIdle(now.Add(-idleTimeout)) {
			delete(n.links, at)
		}
	}
}

// Close closes all links that are not being dialed.
func (n *Node) Close() { n.Sweep(boottime.Now().Add(2 * idleTimeout)) }

// read reads one message and calls onRead for each piece received.
func (n *Node) read(ctx context.Context, conn *websocket.Conn, onRead func()) (Message, error) {
	var m Message
	kind, pieces, err := conn.Reader(ctx)
	if err != nil {
		return m, err
	}
	data, err := n.ReadBudget.ReadAll(notifyingReader{pieces, onRead}, 0)
	if err != nil {
		return m, err
	}
	if kind != websocket.MessageBinary {
		return m, trace.BadParameter("a peer's message is not binary")
	}
	n.OnReceived(len(data))
	return m, trace.Wrap(cbor.Unmarshal(data, &m))
}

// notifyingReader calls onRead for each piece read.
type notifyingReader struct {
	io.Reader
	onRead func()
}

func (r notifyingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onRead()
	}
	return n, err
}

func (n *Node) send(conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	n.OnSent(len(data))
	return conn.Write(ctx, websocket.MessageBinary, data)
}
