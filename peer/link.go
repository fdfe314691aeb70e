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
	// dialFor bounds the making of a connection. A call that is given up earlier
	// leaves it to the next one.
	dialFor = time.Second
	// writeFor bounds the writing of one message; a whole configuration takes a
	// second on a link of 10 Mbit/s.
	writeFor = 2 * time.Second
	// leastSilent and mostSilent bound how long a connection with unanswered calls
	// may say nothing before it is given up. A peer answers in milliseconds, so the
	// least is what counts as a rule; it lies below the time after which gossip is
	// given up, so that one call in vain is enough. With a fixed second, the shares
	// of a box behind a silent connection were missing for 2.6 s.
	leastSilent = 250 * time.Millisecond
	mostSilent  = time.Second
	// queued is how many messages may wait to be written.
	queued = 64
)

// errLost says that the connection ended before the answer came.
var errLost = trace.ConnectionProblem(nil, "the connection ended")

// link is where one peer is called: a connection that is made when it is
// needed, and made again when it was lost.
type link struct {
	node *Node
	at   netip.AddrPort
	// bound is how long an answer is waited for, by the times seen of this peer.
	bound *adaptive.Timeout

	mu sync.Mutex
	// wire is the connection in use; nil if there is none.
	wire *wire
	// dialling is closed when the dial under way ends; nil if none is.
	dialling chan struct{}
	// dialled is the last dial's error.
	dialled error
	used    time.Time
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
func (l *link) connect(ctx context.Context) (*wire, error) {
	l.mu.Lock()
	l.used = boottime.Now()
	if l.wire != nil && l.wire.live() {
		defer l.mu.Unlock()
		return l.wire, nil
	}
	if l.dialling == nil {
		l.dialling = make(chan struct{})
		go l.dial(context.WithoutCancel(ctx), l.dialling)
	}
	dialling := l.dialling
	l.mu.Unlock()
	select {
	case <-dialling:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.wire != nil:
		return l.wire, nil
	case l.dialled != nil:
		return nil, trace.Wrap(l.dialled)
	}
	return nil, errLost
}

func (l *link) dial(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, dialFor)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + l.node.credential()}}
	conn, _, err := websocket.Dial(ctx, l.node.Scheme+"://"+l.at.String()+"/peer", &websocket.DialOptions{HTTPClient: l.node.HTTP, HTTPHeader: header})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wire, l.dialled, l.dialling = nil, err, nil
	if err == nil {
		l.wire = newWire(l, conn)
	}
	close(done)
}

// close ends the connection if it was not used since a time.
func (l *link) close(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used.After(since) || l.dialling != nil {
		return false
	}
	if l.wire != nil {
		l.wire.end()
	}
	l.wire = nil
	return true
}

// wire is one connection to a peer. Calls share it and are answered in any
// order.
type wire struct {
	node  *Node
	at    netip.AddrPort
	bound *adaptive.Timeout
	conn  *websocket.Conn
	// queue holds messages that wait to be written.
	queue chan []byte
	// ended is closed when the connection is.
	ended chan struct{}
	once  sync.Once

	mu sync.Mutex
	// last numbers the calls; waiting holds those that have no answer yet.
	last    uint64
	waiting map[uint64]pending
	// asked is when the first call went out since anything came; zero if none did.
	asked time.Time
}

// pending is a call that has no answer yet; the channel has room for it.
type pending struct {
	answer chan Message
	asked  time.Time
}

func newWire(l *link, conn *websocket.Conn) *wire {
	conn.SetReadLimit(maxMessage)
	w := &wire{
		node: l.node, at: l.at, bound: l.bound, conn: conn, queue: make(chan []byte, queued), ended: make(chan struct{}),
		waiting: make(map[uint64]pending),
	}
	go w.read()
	go w.write()
	return w
}

func (w *wire) live() bool {
	select {
	case <-w.ended:
		return false
	default:
		return true
	}
}

func (w *wire) end() {
	w.once.Do(func() {
		close(w.ended)
		_ = w.conn.CloseNow() // It is given up; how it closes makes no odds.
	})
}

func (w *wire) call(ctx context.Context, m Message) (Message, error) {
	number, answer := w.expect()
	defer w.forget(number)
	m.Number = number
	data, err := cbor.Marshal(m)
	if err != nil {
		return Message{}, trace.Wrap(err)
	}
	select {
	case w.queue <- data:
	case <-w.ended:
		return Message{}, errLost
	case <-ctx.Done():
		return Message{}, w.doubt(ctx.Err())
	}
	select {
	case a := <-answer:
		return a, nil
	case <-w.ended:
		return Message{}, errLost
	case <-ctx.Done():
		return Message{}, w.doubt(ctx.Err())
	}
}

// expect numbers a call and returns where its answer comes.
func (w *wire) expect() (uint64, chan Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.asked.IsZero() {
		w.asked = now
	}
	w.last++
	p := pending{make(chan Message, 1), now}
	w.waiting[w.last] = p
	return w.last, p.answer
}

func (w *wire) forget(number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, number)
}

// doubt ends the connection if calls went out and nothing came for long; then it
// returns ErrSilent in place of the error that the call was given up with.
func (w *wire) doubt(err error) error {
	w.mu.Lock()
	asked := w.asked
	w.mu.Unlock()
	waited := time.Since(asked)
	if asked.IsZero() || waited < w.bound.Wait() {
		return err
	}
	if !w.live() {
		return errLost
	}
	w.end()
	w.bound.TimedOut()
	if w.node.OnSilent != nil {
		w.node.OnSilent(w.at, waited)
	}
	return ErrSilent
}

// heard notes that something came: nothing is waited for in vain, but what is
// asked from now on.
func (w *wire) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = time.Time{}
	if len(w.waiting) > 0 {
		w.asked = time.Now()
	}
}

// read hands answers to the calls that wait for them. An answer to a call that
// was given up is dropped.
func (w *wire) read() {
	defer w.end()
	for {
		m, err := w.node.read(context.Background(), w.conn, w.heard)
		if err != nil {
			return // The calls that wait learn it from ended.
		}
		w.mu.Lock()
		p, known := w.waiting[m.Number]
		delete(w.waiting, m.Number)
		if len(w.waiting) == 0 {
			w.asked = time.Time{}
		}
		w.mu.Unlock()
		if known {
			w.bound.Observe(time.Since(p.asked))
			p.answer <- m
		}
	}
}

func (w *wire) write() {
	defer w.end()
	for {
		select {
		case data := <-w.queue:
			if w.node.send(w.conn, data) != nil {
				return // The calls that wait learn it from ended.
			}
		case <-w.ended:
			return
		}
	}
}
