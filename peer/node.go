// Package peer carries messages between daemons over WebSocket, in CBOR.
//
//	n := peer.Node{Credential: secret, Handle: answer}
//	go http.Serve(listener, n.Handler())
//	reply, err := n.Call(ctx, address, peer.Message{Kind: peer.KindGossip})
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// maxMessage bounds one message, in bytes. A whole configuration fits.
const maxMessage = 32 << 20

// idle is how long a link without calls is kept.
const idle = 15 * time.Second

// Node calls peers and answers them. Set the exported fields before first use;
// it is safe for concurrent use after that.
type Node struct {
	// Credential is what all daemons of a deployment share.
	Credential string
	// Shown returns the credential if it is learnt later; nil shows Credential.
	Shown func() string
	// Handle answers one message.
	Handle func(ctx context.Context, m Message) Message
	// HTTP dials; its TLS settings decide whom to trust.
	HTTP *http.Client
	// Scheme is ws or wss.
	Scheme string
	// Sent and Received hear of the bytes that travel.
	Sent, Received func(bytes int)

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// link is one connection that this node dialled; it carries one call at a time.
type link struct {
	mu   sync.Mutex
	conn *websocket.Conn
	used time.Time
}

// Handler accepts peers that show the credential.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.genuine(r.Header.Get("Authorization")) {
			http.Error(w, "the peer credential is missing or wrong", http.StatusUnauthorized)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		conn.SetReadLimit(maxMessage)
		for {
			if err := n.answer(r.Context(), conn); err != nil {
				return
			}
		}
	})
}

func (n *Node) genuine(header string) bool {
	got := sha256.Sum256([]byte(header))
	want := sha256.Sum256([]byte("Bearer " + n.credential()))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

func (n *Node) credential() string {
	if n.Shown != nil {
		return n.Shown()
	}
	return n.Credential
}

func (n *Node) answer(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, 2*idle)
	defer cancel()
	m, err := n.read(ctx, conn)
	if err != nil {
		return err
	}
	return n.write(ctx, conn, n.Handle(ctx, m))
}

// Call sends a message to the peer at an address and returns its answer.
func (n *Node) Call(ctx context.Context, at netip.AddrPort, m Message) (Message, error) {
	l := n.link(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		header := http.Header{"Authorization": {"Bearer " + n.credential()}}
		conn, _, err := websocket.Dial(ctx, n.Scheme+"://"+at.String()+"/peer", &websocket.DialOptions{HTTPClient: n.HTTP, HTTPHeader: header})
		if err != nil {
			return Message{}, trace.ConnectionProblem(err, "peer %v", at)
		}
		conn.SetReadLimit(maxMessage)
		l.conn = conn
	}
	l.used = time.Now()
	answer, err := n.exchange(ctx, l.conn, m)
	if err != nil {
		_ = l.conn.CloseNow()
		l.conn = nil
		return Message{}, trace.ConnectionProblem(err, "peer %v", at)
	}
	return answer, nil
}

func (n *Node) exchange(ctx context.Context, conn *websocket.Conn, m Message) (Message, error) {
	if err := n.write(ctx, conn, m); err != nil {
		return Message{}, err
	}
	return n.read(ctx, conn)
}

func (n *Node) link(at netip.AddrPort) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = make(map[netip.AddrPort]*link)
	}
	l, ok := n.links[at]
	if !ok {
		l = &link{}
		n.links[at] = l
	}
	return l
}

// Sweep closes links that were idle for long. Call it now and then.
func (n *Node) Sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for at, l := range n.links {
		if !l.mu.TryLock() {
			continue
		}
		if now.Sub(l.used) > idle {
			if l.conn != nil {
				_ = l.conn.CloseNow()
			}
			l.conn = nil
			delete(n.links, at)
		}
		l.mu.Unlock()
	}
}

// Close drops all links.
func (n *Node) Close() { n.Sweep(time.Now().Add(2 * idle)) }

func (n *Node) read(ctx context.Context, conn *websocket.Conn) (Message, error) {
	var m Message
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return m, err
	}
	if kind != websocket.MessageBinary {
		return m, trace.BadParameter("peers speak CBOR")
	}
	n.Received(len(data))
	return m, trace.Wrap(cbor.Unmarshal(data, &m))
}

func (n *Node) write(ctx context.Context, conn *websocket.Conn, m Message) error {
	data, err := cbor.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	n.Sent(len(data))
	return conn.Write(ctx, websocket.MessageBinary, data)
}
