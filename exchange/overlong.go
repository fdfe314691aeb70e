package exchange

import (
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/readlimit"
)

// Parts of an answer that may be too long.
const (
	PartHead = "head"
	PartBody = "body"
)

// beginHead bounds what is read of an answer's head, with the informational ones before it.
func (c *connection) beginHead(limit int64) {
	c.headRead, c.headLeft = 0, limit
	if limit == 0 {
		c.headLeft = -1
	}
}

func (c *connection) endHead() { c.headLeft = -1 }

// countHead counts bytes of a head, and returns false if the budget has no room for them. What fits into
// the read buffer is free, as each connection has that.
func (c *connection) countHead(bytes int64) bool {
	c.headRead += bytes
	c.headLeft -= bytes
	beyond := min(bytes, max(c.headRead-readBuffer, 0))
	return c.take(beyond)
}

// take takes bytes of the client's budget until the exchange ends.
func (c *connection) take(bytes int64) bool {
	if !c.budget.Take(bytes) {
		return false
	}
	c.taken += bytes
	return true
}

// returnTaken returns what an exchange that ends took of the budget.
func (c *connection) returnTaken() {
	if c.budget != nil {
		c.budget.Return(c.taken)
	}
	c.taken = 0
}

// noteOverlong reports an error of reading a part of the answer, if it is that the part is too long.
func (a *Answer) noteOverlong(part string, bytes int64, err error) error {
	if a.client.OnOverlong != nil && (errors.Is(err, readlimit.ErrOverlong) || errors.Is(err, readlimit.ErrBudget)) {
		a.client.OnOverlong(a.conn.at, part, bytes)
	}
	return err
}

// ReadAll reads the whole body, which counts against ReadBudget until the exchange ends.
func (a *Answer) ReadAll() ([]byte, error) {
	if limit := a.client.MaxWhole; limit > 0 && a.Length() > limit {
		return nil, a.noteOverlong(PartBody, a.Length(), readlimit.Overlong(a.Length(), limit))
	}
	body := &wholeBody{answer: a}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return data, nil
}

// wholeBody counts a body that is read whole.
type wholeBody struct {
	answer *Answer
	read   int64
}

// Read implements io.Reader.
func (w *wholeBody) Read(b []byte) (int, error) {
	a := w.answer
	n, err := a.Read(b)
	w.read += int64(n)
	switch limit := a.client.MaxWhole; {
	case limit > 0 && w.read > limit:
		err = a.noteOverlong(PartBody, w.read, readlimit.Overlong(w.read, limit))
	case !a.conn.take(int64(n)):
		err = a.noteOverlong(PartBody, w.read, readlimit.ErrBudget)
	}
	return n, err
}
