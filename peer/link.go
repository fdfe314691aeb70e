package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/adaptive"
	"github.com/thymewind/thymewind/boottime"
)

const (
	// dialTimeout bounds the making of a connection. A call that is given up earlier
	// leaves it to the next one.
	dialTimeout = time.Second
	// writeTimeout bounds the writing of one message; a whole configuration takes a
	// second on a link of 10 Mbit/s.
	writeTimeout = 2 * time.Second
	// minSilence and mostSilent bound how long a connection with unanswered calls
	// may say nothing before it is given up. A peer answers in milliseconds, so the
	// least is what counts as a rule; it lies below the time after which gossip is
	// given up, so that one call in vain is enough. With a fixed second, the shares
	// of a box behind a silent connection were missing for 2.6 s.
	minSilence = 250 * time.Millisecond
	maxSilence = time.Second
	// writeQueueSize is how many messages may wait to be written.
	writeQueueSize = 64
)

// errConnectionLost says that the connection ended before the answer came.
var errConnectionLost = trace.ConnectionProblem(nil, "the connection ended")

// link is where one peer is called: a connection that is made when it is
// needed, and made again when it was lost.
type link struct {
	node *Node
	at   netip.AddrPort
	// answerTimeout is how long an answer is waited for, by the times seen of this peer.
	answerTimeout *adaptive.Timeout

	mu sync.Mutex
	// conn is the connection in use; nil if there is none.
	conn *connection
	// dialDone is closed when the dial under way ends; nil if none is.
	dialDone chan struct{}
	// dialErr is the last dial's error.
	dialErr  error
	lastUsed time.Time
}

// call sends a message and waits for its answer.
func (l *link) call(ctx context.Context, m Message) (Message, error) {
	w, err := l.connect(ctx)
	if err != nil {
		return Message{}, err
	}
	return w.call(ctx, m)
}

// connect returns a live connection. It goes on in the background when ctx ends
// first.
func (l *link) connect(ctx context.Context) (*connection, error) {
	l.mu.Lock()
	l.lastUsed = boottime.Now()
	if l.conn != nil && l.conn.isOpen() {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if l.dialDone == nil {
		l.dialDone = make(chan struct{})
		go l.dial(context.WithoutCancel(ctx), l.dialDone)
	}
	dialling := l.dialDone
	l.mu.Unlock()
	select {
	case <-dialling:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.conn != nil:
		return l.conn, nil
	case l.dialErr != nil:
		return nil, trace.Wrap(l.dialErr)
	}
	return nil, errConnectionLost
}

func (l *link) dial(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + l.node.credential()}}
	conn, _, err := websocket.Dial(ctx, l.node.Scheme+"://"+l.at.String()+"/peer", &websocket.DialOptions{HTTPClient: l.node.HTTP, HTTPHeader: header})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.dialErr, l.dialDone = nil, err, nil
	if err == nil {
		l.conn = newConnection(l, conn)
	}
	close(done)
}

// closeIfIdle ends the connection if it was not used since a time.
func (l *link) closeIfIdle(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastUsed.After(since) || l.dialDone != nil {
		return false
	}
	if l.conn != nil {
		l.conn.close()
	}
	l.conn = nil
	return true
}

// connection is one connection to a peer. Calls share it and are answered in any
// order.
type connection struct {
	node          *Node
	at            netip.AddrPort
	answerTimeout *adaptive.Timeout
	conn          *websocket.Conn
	// queue holds messages that wait to be written.
	queue chan []byte
	// closed is closed when the connection is.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// lastNumber numbers the calls; waiting holds those that have no answer yet.
	lastNumber uint64
	pending    map[uint64]pendingCall
	// unansweredSince is when the first call went out since anything came; zero if none did.
	unansweredSince time.Time
}

// pendingCall is a call that has no answer yet; the channel has room for it.
type pendingCall struct {
	answer chan Message
	sentAt time.Time
}

func newConnection(l *link, conn *websocket.Conn) *connection {
	conn.SetReadLimit(maxMessage)
	w := &connection{
		node: l.node, at: l.at, answerTimeout: l.answerTimeout, conn: conn, queue: make(chan []byte, writeQueueSize), closed: make(chan struct{}),
		pending: make(map[uint64]pendingCall),
	}
	go w.read()
	go w.write()
	return w
}

func (w *connection) isOpen() bool {
	select {
	case <-w.closed:
		return false
	default:
		return true
	}
}

func (w *connection) close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		_ = w.conn.CloseNow() // It is given up; how it closes makes no odds.
	})
}

func (w *connection) call(ctx context.Context, m Message) (Message, error) {
	number, answer := w.register()
	defer w.unregister(number)
	m.Number = number
	data, err := cbor.Marshal(m)
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	select {
	case w.queue <- data:
	case <-w.closed:
		return Message{}, errConnectionLost
	case <-ctx.Done():
		return Message{}, w.checkSilence(ctx.Err())
	}
	select {
	case a := <-answer:
		return a, nil
	case <-w.closed:
		return Message{}, errConnectionLost
	case <-ctx.Done():
		return Message{}, w.checkSilence(ctx.Err())
	}
}

// register numbers a call and returns where its answer comes.
func (w *connection) register() (uint64, chan Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	w.lastNumber++
	p := pendingCall{make(chan Message, 1), now}
	w.pending[w.lastNumber] = p
	return w.lastNumber, p.answer
}

func (w *connection) unregister(number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, number)
}

// checkSilence ends the connection if calls went out and nothing came for long; then it
// returns ErrSilent in place of the error that the call was given up with.
func (w *connection) checkSilence(err error) error {
	w.mu.Lock()
	asked := w.unansweredSince
	w.mu.Unlock()
	waited := time.Since(asked)
	if asked.IsZero() || waited < w.answerTimeout.Wait() {
		return err
	}
	if !w.isOpen() {
		return errConnectionLost
	}
	w.close()
	w.answerTimeout.TimedOut()
	if w.node.OnSilent != nil {
		w.node.OnSilent(w.at, waited)
	}
	return ErrSilent
}

// noteReceived notes that something came: nothing is waited for in vain, but what is
// asked from now on.
func (w *connection) noteReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unansweredSince = time.Time{}
	if len(w.pending) > 0 {
		w.unansweredSince = time.Now()
	}
}

// read hands answers to the calls that wait for them. An answer to a call that
// was given up is dropped.
func (w *connection) read() {
	defer w.close()
	for {
		m, err := w.node.read(context.Background(), w.conn, w.noteReceived)
		if err != nil {
			return // The calls that wait learn it from ended.
		}
		w.mu.Lock()
		p, known := w.pending[m.Number]
		delete(w.pending, m.Number)
		if len(w.pending) == 0 {
			w.unansweredSince = time.Time{}
		}
		w.mu.Unlock()
		if known {
			w.answerTimeout.Observe(time.Since(p.sentAt))
			p.answer <- m
		}
	}
}

func (w *connection) write() {
	defer w.close()
	for {
		select {
		case data := <-w.queue:
			if w.node.send(w.conn, data) != nil {
				return // The calls that wait learn it from ended.
			}
		case <-w.closed:
			return
		}
	}
}
