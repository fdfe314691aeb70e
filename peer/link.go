package peer

import (
	"cmp"
	"context"
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
)

const (
	// dialTimeout bounds dialing. A call that gives up earlier leaves the connection to later
	// calls.
	dialTimeout = time.Second
	// writeTimeout bounds writing one message; a whole configuration takes a second on a link of
	// 10 Mbit/s.
	writeTimeout = 2 * time.Second
	// minSilence and maxSilence bound how long a connection with unanswered calls may be silent
	// before it is closed. Peers answer in milliseconds, so minSilence usually applies. It is
	// shorter than the gossip timeout, so that a single failed call is enough. With a fixed
	// second, the target loads of a box behind a silent connection were missing for 2.6 s.
	minSilence = 250 * time.Millisecond
	maxSilence = time.Second
	// writeQueueSize is how many messages may wait to be written.
	writeQueueSize = 64
)

// errConnectionLost says that the connection ended before the answer arrived.
var errConnectionLost = trace.ConnectionProblem(nil, "the connection ended before the answer arrived")

// link holds the connection to one peer. It is dialed on demand and redialed after it was lost.
type link struct {
	node *Node
	at   netip.AddrPort
	// answerTimeout adapts the wait for an answer to the answer times of this peer.
	answerTimeout *adaptive.Timeout
	// heardAt is when something was last received, at first when the link was made; it is never nil.
	heardAt *atomic.Pointer[time.Time]

	mu sync.Mutex
	// conn is the current connection; nil if there is none.
	conn *connection
	// dialDone is closed when the dial in progress ends; nil if there is none.
	dialDone chan struct{}
	// dialErr is the error of the last dial.
	dialErr  error
	lastUsed time.Time
}

// call sends a message and waits for its answer.
func (l *link) call(ctx context.Context, m Message) (Message, error) {
	c, err := l.connect(ctx)
	if err != nil {
		return Message{}, err
	}
	return c.call(ctx, m)
}

// connect returns an open connection. If ctx ends first, dialing goes on in the background.
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
	dialing := l.dialDone
	l.mu.Unlock()
	select {
	case <-dialing:
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

// closeIfIdle closes the connection unless it was used after since.
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

// connection is one connection to a peer. Calls share it and may be answered in any order.
type connection struct {
	node          *Node
	at            netip.AddrPort
	answerTimeout *adaptive.Timeout
	heardAt       *atomic.Pointer[time.Time]
	conn          *websocket.Conn
	// queue holds messages waiting to be written.
	queue chan []byte
	// closed is closed when the connection ends.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// lastNumber is the number of the last call; pending holds the calls without an answer.
	lastNumber uint64
	pending    map[uint64]pendingCall
	// unansweredSince is when the first call was sent since anything was received; zero if there
	// is none. Held calls, whose answers take long, do not count; unanswered is how many others
	// are pending.
	unansweredSince time.Time
	unanswered      int
}

// pendingCall is a call without an answer; the channel has room for it.
type pendingCall struct {
	answer chan Message
	sentAt time.Time
	held   bool
}

func newConnection(l *link, conn *websocket.Conn) *connection {
	conn.SetReadLimit(cmp.Or(l.node.MaxMessage, maxMessage))
	c := &connection{
		node: l.node, at: l.at, answerTimeout: l.answerTimeout, heardAt: l.heardAt, conn: conn, queue: make(chan []byte, writeQueueSize), closed: make(chan struct{}),
		pending: make(map[uint64]pendingCall),
	}
	go c.read()
	go c.write()
	return c
}

func (c *connection) isOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.conn.CloseNow() // The connection is discarded, so the error does not matter.
	})
}

func (c *connection) call(ctx context.Context, m Message) (Message, error) {
	number, answer := c.register(m.isHeld())
	defer c.unregister(number)
	m.Number = number
	data, err := cbor.Marshal(m)
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	select {
	case c.queue <- data:
	case <-c.closed:
		return Message{}, errConnectionLost
	case <-ctx.Done():
		return Message{}, c.checkSilence(ctx.Err())
	}
	select {
	case a := <-answer:
		return a, nil
	case <-c.closed:
		return Message{}, errConnectionLost
	case <-ctx.Done():
		return Message{}, c.checkSilence(ctx.Err())
	}
}

// register numbers a call and returns the channel for its answer.
func (c *connection) register(held bool) (uint64, chan Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !held {
		c.unanswered++
		if c.unansweredSince.IsZero() {
			c.unansweredSince = now
		}
	}
	c.lastNumber++
	p := pendingCall{make(chan Message, 1), now, held}
	c.pending[c.lastNumber] = p
	return c.lastNumber, p.answer
}

func (c *connection) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(number)
}

// drop removes a pending call; c.mu is held.
func (c *connection) drop(number uint64) (pendingCall, bool) {
	p, known := c.pending[number]
	delete(c.pending, number)
	if known && !p.held {
		c.unanswered--
	}
	return p, known
}

// checkSilence closes the connection if calls were sent and nothing was received for too long; it
// then returns ErrSilent instead of err.
func (c *connection) checkSilence(err error) error {
	c.mu.Lock()
	since := c.unansweredSince
	c.mu.Unlock()
	waited := time.Since(since)
	if since.IsZero() || waited < c.answerTimeout.Wait() {
		return err
	}
	if !c.isOpen() {
		return errConnectionLost
	}
	c.close()
	c.answerTimeout.TimedOut()
	if c.node.OnSilent != nil {
		c.node.OnSilent(c.at, waited)
	}
	return ErrSilent
}

// noteReceived restarts the silence timer, and stops it if no calls are pending.
func (c *connection) noteReceived() {
	c.heardAt.Store(new(boottime.Now()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince = time.Time{}
	if c.unanswered > 0 {
		c.unansweredSince = time.Now()
	}
}

// read delivers answers to their calls. An answer to an abandoned call is dropped.
func (c *connection) read() {
	defer c.close()
	for {
		m, err := c.node.read(context.Background(), c.conn, c.noteReceived)
		if err != nil {
			return // Pending calls see that closed is closed.
		}
		c.mu.Lock()
		p, known := c.drop(m.Number)
		if c.unanswered == 0 {
			c.unansweredSince = time.Time{}
		}
		c.mu.Unlock()
		if known {
			if !p.held {
				c.answerTimeout.Observe(time.Since(p.sentAt))
			}
			p.answer <- m
		}
	}
}

func (c *connection) write() {
	defer c.close()
	for {
		select {
		case data := <-c.queue:
			if c.node.send(c.conn, data) != nil {
				return // Pending calls see that closed is closed.
			}
		case <-c.closed:
			return
		}
	}
}
