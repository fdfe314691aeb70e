package handoff

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/body"
	"github.com/thymewind/thymewind/heldbytes"
)

// chunkBytes is how much of an answer is collected before it is sent, unless it is flushed.
const chunkBytes = 16 << 10

// drainCheck is how often Drain looks whether requests are left.
const drainCheck = 20 * time.Millisecond

// Attempts counts the targets that may have received a request, over both boxes, and knows which
// software the one runs that sends a stream.
type Attempts struct {
	n        atomic.Int64
	software atomic.Pointer[string]
}

// Set sets the count.
func (a *Attempts) Set(n int) { a.n.Store(int64(n)) }

// Count returns the count.
func (a *Attempts) Count() int { return int(a.n.Load()) }

// Began sets the software version of the target that sends the stream.
func (a *Attempts) Began(software string) { a.software.Store(&software) }

// Handler accepts connections of boxes that present the credential.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.authenticated(r.Header.Get("Authorization")) {
			http.Error(w, "the peer credential is missing or wrong", http.StatusUnauthorized)
			return
		}
		if !n.admit() {
			http.Error(w, "this box serves as many requests of other boxes as it can", http.StatusServiceUnavailable)
			return
		}
		defer n.release()
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
		if err != nil {
			return // Accept has answered.
		}
		defer func() { _ = ws.CloseNow() }()
		ws.SetReadLimit(maxMessage)
		n.serveConnection(r.Context(), ws)
	})
}

func (n *Node) admit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted >= n.MaxServed {
		return false
	}
	n.accepted++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted--
}

// receivedRequest is a request of another box. Request is nil if there was no memory for it.
type receivedRequest struct {
	*Request
	// held is the memory of its message.
	held *heldbytes.Account
}

// serveConnection serves the requests of a connection one after another. Something is always being
// read meanwhile, so that the end of the connection ends the request under way.
func (n *Node) serveConnection(ctx context.Context, ws *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	requests := make(chan receivedRequest)
	go func() {
		defer cancel()
		for {
			r, err := n.receiveRequest(ctx, ws)
			if err != nil {
				r.held.Close()
				return
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				r.held.Close()
				return
			}
		}
	}()
	defer cancel()
	idle := time.NewTimer(2 * idleTimeout)
	defer idle.Stop()
	for {
		select {
		case r := <-requests:
			err := n.serveRequest(ctx, ws, r.Request)
			r.held.Close()
			if err != nil {
				return
			}
			idle.Reset(2 * idleTimeout)
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// receiveRequest reads the message of one request. One for which there is no memory is read and
// dropped, so that the other box gets its refusal.
func (n *Node) receiveRequest(ctx context.Context, ws *websocket.Conn) (receivedRequest, error) {
	var r receivedRequest
	kind, pieces, err := ws.Reader(ctx)
	if err != nil {
		return r, err
	}
	if kind != websocket.MessageBinary {
		return r, errNotBinary
	}
	if n.Held != nil {
		r.held = n.Held.Open()
	}
	message := body.Reader{From: pieces, Length: -1, Limit: maxMessage, Admit: func(bytes int64) bool { return r.held.TryAdmit(bytes, 0) }}
	data, err := message.ReadAll()
	if errors.Is(err, body.ErrNoMemory) {
		r.held.Set(0)
		_, err = io.Copy(io.Discard, pieces)
		return r, err
	}
	if err != nil {
		return r, err
	}
	n.OnReceived(len(data))
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return r, err
	}
	if r.Request = f.Request; r.Request == nil {
		return r, errNoRequest
	}
	return r, nil
}

// Drain waits until no request of another box is being served, or ctx ends. Serve must refuse new ones
// by then.
func (n *Node) Drain(ctx context.Context) {
	ticks := time.NewTicker(drainCheck)
	defer ticks.Stop()
	for n.served(0) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// served changes the number of requests that are being served, and returns it.
func (n *Node) served(by int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serving += by
	return n.serving
}

// serveRequest serves one request and returns an error if the connection can't be used any more. A
// request for which there is no memory is nil.
func (n *Node) serveRequest(ctx context.Context, ws *websocket.Conn, r *Request) error {
	n.served(1)
	defer n.served(-1)
	w := &answerWriter{ctx: ctx, node: n, ws: ws, header: make(http.Header)}
	if r == nil {
		return w.refuse(ErrNoMemory)
	}
	w.attempts.Set(r.Attempts)
	cut, err := n.call(ctx, w, r)
	if err != nil && !w.began {
		return w.refuse(err)
	}
	cut = cut || err != nil
	if !cut {
		if err := w.FlushError(); err != nil {
			return err
		}
	}
	return w.send(frame{End: &end{Cut: cut, Attempts: w.attempts.Count()}})
}

// call calls Serve. It reports whether an answer was begun that could not be completed.
func (n *Node) call(ctx context.Context, w *answerWriter, r *Request) (cut bool, err error) {
	defer func() {
		switch reason := recover(); reason {
		case nil:
		case http.ErrAbortHandler:
			cut = true
		default:
			panic(reason)
		}
	}()
	return false, n.Serve(ctx, w, r, &w.attempts)
}

// errNoAnswer is the refusal's reason if Serve wrote nothing before it gave up.
var errNoAnswer = errors.New("the box gave the request up without an answer")

// answerWriter is the http.ResponseWriter of a request of another box.
type answerWriter struct {
	ctx      context.Context
	node     *Node
	ws       *websocket.Conn
	header   http.Header
	status   int
	began    bool
	attempts Attempts
	data     []byte
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.data = append(w.data, b...)
	if len(w.data) < chunkBytes {
		return len(b), nil
	}
	if err := w.FlushError(); err != nil {
		return 0, err
	}
	return len(b), nil
}

// FlushError sends what was written, for http.ResponseController. It blocks while the other box's
// caller does not read.
func (w *answerWriter) FlushError() error {
	if !w.began {
		if w.status == 0 {
			return errNoAnswer
		}
		w.began = true
		if err := w.send(frame{Head: &head{Status: w.status, Header: w.header, Attempts: w.attempts.Count(), Software: w.attempts.software.Load()}}); err != nil {
			return err
		}
	}
	if len(w.data) == 0 {
		return nil
	}
	data := w.data
	w.data = w.data[:0]
	return w.send(frame{Data: data})
}

// refuse sends a refusal as the answer.
func (w *answerWriter) refuse(reason error) error {
	refused := w.node.Refusal(reason)
	w.began = true
	if err := w.send(frame{Head: &head{Refused: &refused, Attempts: w.attempts.Count()}}); err != nil {
		return err
	}
	return w.send(frame{End: &end{Attempts: w.attempts.Count()}})
}

func (w *answerWriter) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	w.node.OnSent(len(data))
	return w.ws.Write(w.ctx, websocket.MessageBinary, data)
}
