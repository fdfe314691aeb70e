// Package handoff has another box serve a caller's request when this one does not reach the
// targets. The request travels to that box with what is left of its deadline, and the answer
// comes back as it is made.
//
//	n := handoff.Node{Credential: shared, HTTP: client, Scheme: "ws", Serve: serve, MaxServed: 500}
//	mux.Handle(handoff.Path, n.Handler())
//	answer, err := n.Do(ctx, at, &handoff.Request{From: "entry-1", ID: id, Timeout: left})
//	if errors.Is(err, handoff.ErrNotSent) { // the other box has nothing of it
//	}
//	defer answer.Close()
//
// Boxes authenticate to each other with the credential of package peer; callers can't hand
// anything on. A connection carries one request at a time, so that a caller who reads slowly
// holds up nobody else, and closing it ends the request at the other box. A request that was
// handed on is never handed on again.
package handoff

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/answerhead"
	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/heldbytes"
)

// Path is where boxes accept connections.
const Path = "/handoff"

// subprotocol tells a box of this release from earlier ones, which take any connection for one of
// package peer.
const subprotocol = "thymewind-handoff"

const (
	// dialTimeout bounds a dial, with the first round trip on the connection.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. The accepting side waits longer, so that
	// it does not close a connection that is about to be used.
	idleTimeout = 10 * time.Second
	// freshFor is how long a connection is used again without a check that the other side is there.
	freshFor = 250 * time.Millisecond
	// maxMessage bounds a message in bytes: a request with the largest body.
	maxMessage = 16 << 20
	// maxAnswerMessage bounds a message of an answer: the longest event and a chunk before it.
	maxAnswerMessage = 2 << 20
	// maxIdle bounds the unused connections to one box.
	maxIdle = 32
)

// ErrNotSent says that the other box has received nothing of the request.
var ErrNotSent = errors.New("the request was not handed on")

// ErrNoMemory says that there was no memory for a request of another box, which did not run.
var ErrNoMemory = errors.New("no memory for a request of another box")

// errNotBinary and errNoRequest say that a message of another box is none of this package.
var (
	errNotBinary = errors.New("a message of another box is not binary")
	errNoRequest = errors.New("a message of another box holds no request")
)

// errUnsupported says that the other box is of a release that takes no requests.
var errUnsupported = errors.New("the box takes no requests of other boxes")

// Node hands requests on to other boxes and serves those of others. Set the exported fields before
// first use; it is safe for concurrent use after that.
type Node struct {
	// Credential returns the credential that all boxes share; the empty one is never accepted.
	Credential func() string
	// HTTP dials, Scheme is ws or wss.
	HTTP   *http.Client
	Scheme string
	// Serve serves a request of another box. Its error is the answer of a request for which
	// nothing was written.
	Serve func(ctx context.Context, w http.ResponseWriter, r *Request, attempts *Attempts) error
	// Refusal describes an error of Serve, or ErrNoMemory.
	Refusal func(err error) Refusal
	// Held counts the messages of other boxes' requests until these are served; nil counts none.
	Held *heldbytes.Ledger
	// MaxServed bounds the connections of other boxes; further ones are refused.
	MaxServed int
	// OnSent and OnReceived are called with the size of each message; they must be set.
	OnSent, OnReceived func(bytes int)

	mu sync.Mutex
	// idle are the unused connections by address, the most recently used last.
	idle map[netip.AddrPort][]*connection
	// accepted counts the connections of other boxes, serving the requests that are being served.
	accepted, serving int
}

// Request is a caller's request as it is handed on. The receiving box admits it by its own
// configuration, as it would its own callers'.
type Request struct {
	// From names the box that hands it on.
	From   string              `cbor:"1,keyasint"`
	ID     string              `cbor:"2,keyasint"`
	Method string              `cbor:"3,keyasint"`
	Path   string              `cbor:"4,keyasint"`
	Host   string              `cbor:"5,keyasint"`
	Header map[string][]string `cbor:"6,keyasint,omitempty"`
	// HeadBytes is the size of the head as the caller sent it.
	HeadBytes int    `cbor:"7,keyasint,omitempty"`
	Body      []byte `cbor:"8,keyasint,omitempty"`
	// Key is the caller's API key.
	Key             string `cbor:"9,keyasint,omitempty"`
	Model           string `cbor:"10,keyasint,omitempty"`
	Parts           []Part `cbor:"11,keyasint,omitempty"`
	PromptTokens    int    `cbor:"12,keyasint,omitempty"`
	MaxOutputTokens int    `cbor:"13,keyasint,omitempty"`
	// Timeout is what is left of the deadline.
	Timeout time.Duration `cbor:"14,keyasint"`
	// LastEventID is the last event that the caller has, if a stream is resumed.
	LastEventID string `cbor:"15,keyasint,omitempty"`
	// Attempts is how many targets may have received it already.
	Attempts int `cbor:"16,keyasint,omitempty"`
	// ConfigurationVersion is the configuration by which the sending box admitted it.
	ConfigurationVersion int64 `cbor:"17,keyasint,omitempty"`
	// Software is the software version that began the stream that the request continues; nil if it
	// begins one.
	Software *string `cbor:"18,keyasint,omitempty"`
	// Unwilling are the hashes of the targets that must get nothing now, as the sending box knows.
	Unwilling []uint32 `cbor:"19,keyasint,omitempty"`
}

// Part is a section of a prompt.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens int
}

// Refusal is an answer of the other box for a request that it did not serve.
type Refusal struct {
	Status int    `cbor:"1,keyasint"`
	Code   string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
	// DidNotRun says that no target has run the request.
	DidNotRun bool `cbor:"4,keyasint,omitempty"`
	// TryAnother says that the reason is the box's own, so that a third box may serve the request.
	TryAnother bool          `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// frame is one message; exactly one of its fields is set.
type frame struct {
	Request *Request `cbor:"1,keyasint,omitempty"`
	Head    *head    `cbor:"2,keyasint,omitempty"`
	Data    []byte   `cbor:"3,keyasint,omitempty"`
	End     *end     `cbor:"4,keyasint,omitempty"`
}

// head begins an answer.
type head struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	// Refused is set instead of the rest if the request was refused.
	Refused  *Refusal `cbor:"3,keyasint,omitempty"`
	Attempts int      `cbor:"4,keyasint,omitempty"`
	// Software is that of the target that sends a stream; nil for other answers.
	Software *string `cbor:"5,keyasint,omitempty"`
}

// check returns why a head begins no answer that can be passed on, or nil.
func (h *head) check() error {
	status, least := h.Status, http.StatusOK
	if h.Refused != nil {
		status, least = h.Refused.Status, http.StatusBadRequest
	}
	if status < least {
		return trace.BadParameter("its status is %03d", status)
	}
	return answerhead.Check(status, h.Header)
}

// end ends an answer. Cut says that it is not complete.
type end struct {
	Cut      bool `cbor:"1,keyasint,omitempty"`
	Attempts int  `cbor:"2,keyasint,omitempty"`
}

// Do hands a request on and waits for the head of the answer until ctx ends. The error is
// ErrNotSent if the other box has nothing of the request; otherwise a target may have run it.
func (n *Node) Do(ctx context.Context, at netip.AddrPort, r *Request) (*Answer, error) {
	data, err := cbor.Marshal(frame{Request: r})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c, err := n.acquire(ctx, at)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	a := &Answer{node: n, conn: c}
	a.stopWatch = context.AfterFunc(ctx, c.close)
	n.OnSent(len(data))
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		a.discard()
		return nil, err
	}
	c.beginWatch()
	if err := a.readHead(); err != nil {
		a.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, err
	}
	return a, nil
}

// acquire returns a connection whose other side answers.
func (n *Node) acquire(ctx context.Context, at netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for c := n.takeIdle(at); c != nil; c = n.takeIdle(at) {
		if c.isOpen() && (boottime.Since(c.idleSince) < freshFor || c.ws.Ping(ctx) == nil) {
			return c, nil
		}
		c.close()
	}
	header := http.Header{"Authorization": {"Bearer " + n.Credential()}}
	ws, _, err := websocket.Dial(ctx, n.Scheme+"://"+at.String()+Path, &websocket.DialOptions{HTTPClient: n.HTTP, HTTPHeader: header, Subprotocols: []string{subprotocol}})
	if err != nil {
		return nil, err
	}
	if ws.Subprotocol() != subprotocol {
		_ = ws.CloseNow()
		return nil, errUnsupported
	}
	return newConnection(n, at, ws), nil
}

func (n *Node) takeIdle(at netip.AddrPort) *connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := n.idle[at]
	if len(list) == 0 {
		return nil
	}
	n.idle[at] = list[:len(list)-1]
	return list[len(list)-1]
}

func (n *Node) putIdle(c *connection) {
	c.idleSince = boottime.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.idle[c.at]) >= maxIdle {
		c.close()
		return
	}
	if n.idle == nil {
		n.idle = make(map[netip.AddrPort][]*connection)
	}
	n.idle[c.at] = append(n.idle[c.at], c)
}

// Sweep closes connections that have been unused for too long. Call it about once a second.
func (n *Node) Sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for at, list := range n.idle {
		kept := list[:0]
		for _, c := range list {
			if !c.isOpen() || boottime.Since(c.idleSince) >= idleTimeout {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		n.idle[at] = kept
		if len(kept) == 0 {
			delete(n.idle, at)
		}
	}
}

// authenticated reports whether a header shows the boxes' credential.
func (n *Node) authenticated(header string) bool {
	credential := n.Credential()
	got, want := sha256.Sum256([]byte(header)), sha256.Sum256([]byte("Bearer "+credential))
	return credential != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}
