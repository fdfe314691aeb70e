package handoff

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/boottime"
)

const (
	// checkInterval is how long the other side may send nothing before it is asked whether it is
	// there; checkTimeout bounds its answer. A busy box answers at once, whatever its targets do.
	checkInterval = 500 * time.Millisecond
	checkTimeout  = time.Second
)

// errLost says that the connection to the other box ended in the middle of a request.
var errLost = errors.New("the connection to the other box was lost")

// connection is one connection to another box, as the side that hands on.
type connection struct {
	node *Node
	at   netip.AddrPort
	ws   *websocket.Conn
	// frames are the messages received, closed is closed with the connection.
	frames    chan frame
	closed    chan struct{}
	closeOnce sync.Once
	// receivedAt is when something was last received. untaken says that it was not taken yet, and
	// that nothing more is read until it is.
	receivedAt atomic.Pointer[time.Time]
	untaken    atomic.Bool
	// idleSince is when the last request on it ended.
	idleSince time.Time
	// stopCheck ends the checks of the request under way.
	stopCheck context.CancelFunc
}

func newConnection(n *Node, at netip.AddrPort, ws *websocket.Conn) *connection {
	ws.SetReadLimit(maxAnswerMessage)
	c := &connection{node: n, at: at, ws: ws, frames: make(chan frame), closed: make(chan struct{})}
	go c.read()
	return c
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow() // The connection is discarded, so the error does not matter.
	})
}

func (c *connection) isOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

// read delivers messages until the connection ends. While the last one has not been taken, nothing
// is read: the other side then waits for the caller.
func (c *connection) read() {
	defer c.close()
	for {
		f, err := c.node.receive(context.Background(), c.ws)
		if err != nil {
			return
		}
		c.received()
		c.untaken.Store(true)
		select {
		case c.frames <- f:
			c.untaken.Store(false)
		case <-c.closed:
			return
		}
	}
}

// received records that something was received.
func (c *connection) received() {
	now := boottime.Now()
	c.receivedAt.Store(&now)
}

// receive reads one message.
func (n *Node) receive(ctx context.Context, ws *websocket.Conn) (frame, error) {
	var f frame
	kind, data, err := ws.Read(ctx)
	if err != nil {
		return f, err
	}
	if kind != websocket.MessageBinary {
		return f, errNotBinary
	}
	n.OnReceived(len(data))
	return f, cbor.Unmarshal(data, &f)
}

// next waits for the next message.
func (c *connection) next() (frame, error) {
	select {
	case f := <-c.frames:
		return f, nil
	case <-c.closed:
		return frame{}, errLost
	}
}

// beginWatch checks from now on, until the request ends, that the other side is there. Without
// this a request would wait until its deadline for a box that lost power.
func (c *connection) beginWatch() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stopCheck = cancel
	c.received()
	go c.watch(ctx)
}

func (c *connection) watch(ctx context.Context) {
	ticks := time.NewTicker(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case <-ticks.C:
		}
		before := c.receivedAt.Load()
		if c.untaken.Load() || boottime.Since(*before) < checkInterval {
			continue
		}
		check, cancel := context.WithTimeout(ctx, checkTimeout)
		err := c.ws.Ping(check)
		cancel()
		if err != nil && ctx.Err() == nil && !c.untaken.Load() && c.receivedAt.Load() == before {
			c.close()
			return
		}
	}
}

// Answer is the other box's answer, of which the head has arrived.
type Answer struct {
	Status int
	Header map[string][]string
	// Refused is set if the other box refused the request.
	Refused *Refusal
	// Software is that of the target that sends a stream; nil for other answers, and of a box of an
	// earlier release.
	Software *string

	node     *Node
	conn     *connection
	attempts int
	// data is what was received and not read yet; ended says that the answer is complete.
	data      []byte
	ended     bool
	stopWatch func() bool
	once      sync.Once
}

func (a *Answer) readHead() error {
	f, err := a.conn.next()
	if err != nil {
		return err
	}
	if f.Head == nil {
		return errors.New("the other box's answer has no head")
	}
	if err := f.Head.check(); err != nil {
		return fmt.Errorf("the other box's answer is broken: %w", err)
	}
	a.Status, a.Header, a.Refused, a.attempts, a.Software = f.Head.Status, f.Head.Header, f.Head.Refused, f.Head.Attempts, f.Head.Software
	return nil
}

// Attempts returns how many targets may have received the request so far, with those before it was
// handed on.
func (a *Answer) Attempts() int { return a.attempts }

// errCut says that the other box could not complete the answer.
var errCut = errors.New("the other box cut the answer off")

// Read reads the body. It returns io.EOF only at the end of a complete answer.
func (a *Answer) Read(b []byte) (int, error) {
	for len(a.data) == 0 {
		if a.ended {
			return 0, io.EOF
		}
		f, err := a.conn.next()
		if err != nil {
			return 0, err
		}
		a.data = f.Data
		if f.End != nil {
			a.attempts = f.End.Attempts
			if f.End.Cut {
				return 0, errCut
			}
			a.ended = true
		}
	}
	n := copy(b, a.data)
	a.data = a.data[n:]
	return n, nil
}

// Close ends the request at the other box if it is still under way.
func (a *Answer) Close() {
	a.once.Do(func() {
		if a.Refused != nil && !a.ended {
			_, _ = a.Read(nil) // The end of a refusal follows its head at once.
		}
		if a.ended && a.stopWatch() {
			a.conn.stopCheck()
			a.node.putIdle(a.conn)
			return
		}
		a.discard()
	})
}

func (a *Answer) discard() {
	a.stopWatch()
	if a.conn.stopCheck != nil {
		a.conn.stopCheck()
	}
	a.conn.close()
}
