// Package eventstream splits a text/event-stream body into complete events, so that a
// truncated event is never passed on.
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

// ErrTruncated says that the body ended inside an event.
var ErrTruncated = trace.BadParameter("event stream ended inside an event")

// MaxEventBytes bounds one event with the blocks without data before it, in bytes. It is far above
// the size of a model's step and keeps a corrupt stream from exhausting memory, or from going on
// without any event.
const MaxEventBytes = 1 << 20

// initialBuffer is the initial buffer size in bytes, enough for a few typical events.
const initialBuffer = 1 << 10

// Reader reads events. Set the exported fields before first use.
type Reader struct {
	From io.Reader
	// Grow is called before the buffer grows by some bytes; its error ends the stream. It may
	// wait, and nothing is read meanwhile. Nil allows all growth.
	Grow func(by int) error

	buffer []byte
	// start and end bound the bytes read and not yet returned.
	start, end int
	// searched is the number of bytes after start that contain no end of an event.
	searched int
	// blank is the length of the blocks without data or ID since the last event.
	blank int
	err   error
}

// Next returns the next event with the blank line that ends it. It returns io.EOF at
// the end of a complete stream and ErrTruncated if the stream ends inside an event.
func (r *Reader) Next() ([]byte, error) {
	for {
		if event := r.buffered(); event != nil {
			return event, r.countBlank(event)
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if r.end-r.start > MaxEventBytes {
			return nil, trace.LimitExceeded("event exceeds %d bytes", MaxEventBytes)
		}
		r.fill()
	}
}

// countBlank fails if there have been too many blocks without data or ID.
func (r *Reader) countBlank(event []byte) error {
	if HasData(event) || ID(event) != "" {
		r.blank = 0
		return nil
	}
	if r.blank += len(event); r.blank > MaxEventBytes {
		return trace.LimitExceeded("no event within %d bytes", MaxEventBytes)
	}
	return nil
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

// eventLength returns the length up to and including the first blank line, or -1.
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
		return ErrTruncated
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
		by := max(initialBuffer, len(r.buffer))
		if r.Grow != nil {
			if r.err = r.Grow(by); r.err != nil {
				return
			}
		}
		r.buffer = append(r.buffer, make([]byte, by)...)
	}
	n, err := r.From.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
}

// HasData reports whether an event has a data field. A block without one, such as a comment that
// keeps the connection open, is no event to the caller.
func HasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// ID returns the value of an event's id field, or "".
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
