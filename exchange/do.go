package exchange

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/answerhead"
	"github.com/thymewind/thymewind/readlimit"
)

// maxInlineBody is the largest body, in bytes, that is written before the answer is read. A larger
// one is written concurrently, as a target may answer first and leave the body unread.
const maxInlineBody = 4 << 10

// Answer is a target's answer whose head has been read.
type Answer struct {
	Status int
	Header http.Header

	client   *Client
	conn     *connection
	response *http.Response
	// stopWatch stops watching the request's context.
	stopWatch func() bool
	// writeDone is closed when the write of the request has ended; writeErr is its error, if any.
	writeDone chan struct{}
	writeErr  error
	bodyRead  bool
	// read counts the bytes of the body that were read.
	read int64
	once sync.Once
}

// Do sends a request and waits for the head of the answer until ctx ends. The error is ErrNotSent
// if no byte left this box; otherwise the target may have run the request. After an error there is
// no answer to close. If ctx ends before the whole answer has been read, the connection is reset
// at once, even if nothing is reading from it.
func (c *Client) Do(ctx context.Context, at netip.AddrPort, request *Request) (*Answer, error) {
	conn, err := c.acquire(ctx, at)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	err = ctx.Err()
	if err == nil {
		err = request.blockedBy()
	}
	if err != nil {
		c.addIdle(conn) // Nothing was sent on it, so the next request can use it.
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.grantReceive(conn)
	a := &Answer{client: c, conn: conn, writeDone: make(chan struct{})}
	a.stopWatch = context.AfterFunc(ctx, conn.abort)
	if err := a.write(request); err != nil {
		a.discard()
		return nil, trace.Wrap(err)
	}
	if err := a.readHead(request.Method); err != nil {
		a.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, trace.Wrap(err)
	}
	return a, nil
}

// write sends the request. It fails only if no answer can come back.
func (a *Answer) write(request *Request) error {
	var out bytes.Buffer
	request.encode(&out)
	if len(request.Body) > maxInlineBody {
		go a.writeInBackground(out.Bytes(), request.Body)
		return nil
	}
	out.Write(request.Body)
	defer close(a.writeDone)
	n, err := a.conn.Write(out.Bytes())
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

func (a *Answer) writeInBackground(head, body []byte) {
	defer close(a.writeDone)
	if _, a.writeErr = a.conn.Write(head); a.writeErr == nil {
		_, a.writeErr = a.conn.Write(body)
	}
}

func (r *Request) encode(out *bytes.Buffer) {
	out.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
}

// readHead reads the answer's head.
func (a *Answer) readHead(method string) error {
	a.conn.beginHead(a.client.MaxHead)
	defer a.conn.endHead()
	if err := a.readFinalHead(method); err != nil {
		return a.noteOverlong(PartHead, a.conn.headRead, cmp.Or(a.conn.headErr, shortError(err)))
	}
	if limit := a.client.MaxBody; limit > 0 && a.Length() > limit && method != http.MethodHead {
		return a.noteOverlong(PartBody, a.Length(), readlimit.Overlong(a.Length(), limit))
	}
	return nil
}

// maxErrorText bounds the text of an error in bytes. The library's quotes the line that it can't parse.
const maxErrorText = 200

// shortError cuts an error's text off.
func shortError(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return trace.BadParameter("%s...", text[:maxErrorText])
	}
	return err
}

// readFinalHead reads heads until one is not informational.
func (a *Answer) readFinalHead(method string) error {
	for {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if err := answerhead.CheckResponse(response); err != nil {
			return err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return trace.BadParameter("the target answered 101 Switching Protocols, which is not supported")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		a.response, a.Status, a.Header = response, response.StatusCode, response.Header
		a.conn.applyKeepAlive(response.Header.Get("Keep-Alive"))
		a.client.recordAnswerStart(a.conn)
		return nil
	}
}

// Length is the body's length in bytes, or -1 if the head does not state it.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a complete body: a reset in a body
// without a length is an error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	a.read += int64(n)
	if limit := a.client.MaxBody; limit > 0 && a.read > limit {
		return n, a.noteOverlong(PartBody, a.read, readlimit.Overlong(a.read, limit))
	}
	if errors.Is(err, io.EOF) {
		a.bodyRead = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the whole request was written, the whole
// answer was read, and no further bytes have arrived.
func (a *Answer) Close() {
	a.once.Do(func() {
		if a.reusable() && a.stopWatch() {
			a.conn.reused = true
			a.client.putIdle(a.conn)
			return
		}
		a.discard()
	})
}

func (a *Answer) reusable() bool {
	select {
	case <-a.writeDone:
	default:
		return false
	}
	return a.bodyRead && a.writeErr == nil && !a.response.Close && a.conn.reader.Buffered() == 0
}

func (a *Answer) discard() {
	if !a.stopWatch() { // The context has ended.
		a.checkSilence()
	}
	a.client.closeConnection(a.conn)
}
