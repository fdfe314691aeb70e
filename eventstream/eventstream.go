// Package eventstream cuts a text/event-stream body into whole events, so that
// an event that its sender broke off is never passed on.
//
//	r := eventstream.Reader{From: body}
//	for {
//		event, err := r.Next() // valid until the next call
//	}
package eventstream

import (
	"bytes"
	"io"

	"github.com/gravitational/trace"
)

// ErrCut says that the body ended inside an event.
var ErrCut = trace.BadParameter("the stream ended inside an event")

// Longest bounds one event, in bytes. It is far above what a step of a model
// makes and keeps a spoilt stream from filling memory.
const Longest = 1 << 20

// initialBuffer holds a few usual events, in bytes.
const initialBuffer = 1 << 10

// Reader reads events. Set From before first use.
type Reader struct {
	From io.Reader

	buffer []byte
	// start and end bound the bytes read and not yet returned.
	start, end int
	// searched counts the bytes behind start that hold no end of an event.
	searched int
	err      error
}

// Next returns the next event with the blank line that ends it. It returns
// io.EOF at the end of a whole stream and ErrCut if a part of an event is left.
func (r *Reader) Next() ([]byte, error) {
	for {
		if event := r.buffered(); event != nil {
			return event, nil
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if r.end-r.start > Longest {
			return nil, trace.LimitExceeded("an event has over %d bytes", Longest)
		}
		r.fill()
	}
}

func (r *Reader) buffered() []byte {
	unread := r.buffer[r.start:r.end]
	from := max(r.searched-3, 0)
	length := eventLength(unread[from:])
	if length < 0 {
		r.searched = len(unread)
		return nil
	}
	length += from
	r.start += length
	r.searched = 0
	return unread[:length]
}

// eventLength returns the length up to the end of the first blank line, or -1.
func eventLength(b []byte) int {
	plain := bytes.Index(b, []byte("\n\n"))
	windows := bytes.Index(b, []byte("\r\n\r\n"))
	if windows >= 0 && (plain < 0 || windows < plain) {
		return windows + 4
	}
	if plain >= 0 {
		return plain + 2
	}
	return -1
}

func (r *Reader) endError() error {
	if r.err == io.EOF && r.end > r.start {
		return ErrCut
	}
	return r.err
}

func (r *Reader) fill() {
	switch {
	case r.start > 0:
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	case r.end == len(r.buffer):
		r.buffer = append(r.buffer, make([]byte, max(initialBuffer, len(r.buffer)))...)
	}
	n, err := r.From.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
}

// ID returns the value of an event's id field, or an empty text.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
