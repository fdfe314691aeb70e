// Package body reads the body of a request whole, within a limit and with memory that is asked for
// before it is used.
//
//	r := body.Reader{From: request.Body, Length: request.ContentLength, Limit: limit, Admit: admit}
//	data, err := r.ReadAll()
//	if errors.Is(err, body.ErrTooLarge) { // it has over limit bytes, and may be unread
//	}
package body

import (
	"errors"
	"io"
)

// ErrTooLarge says that a body is longer than its limit.
var ErrTooLarge = errors.New("the body is too large")

// ErrNoMemory says that there is no memory for a body, or for the rest of it.
var ErrNoMemory = errors.New("no memory for the body")

// minBuffer is the first buffer of a body of unknown length. Such a body is small at every box.
const minBuffer = 4 << 10

// Reader reads one body. Set the exported fields before first use.
type Reader struct {
	From io.Reader
	// Length is the declared length, or -1 if there is none.
	Length int64
	// Limit is the greatest length allowed.
	Limit int64
	// Admit asks for memory for so many bytes more, and returns false if there is none.
	Admit func(bytes int64) bool

	data []byte
}

// ReadAll reads the body. A body that is declared too large, or for which there is no memory, is not
// read. After an error of From it may be called again, and goes on with the rest.
func (r *Reader) ReadAll() ([]byte, error) {
	if r.Length > r.Limit {
		return nil, ErrTooLarge
	}
	for {
		if int64(len(r.data)) > r.Limit {
			return nil, ErrTooLarge
		}
		if len(r.data) == cap(r.data) {
			if err := r.grow(); err != nil {
				return nil, err
			}
		}
		n, err := r.From.Read(r.data[len(r.data):cap(r.data)])
		r.data = r.data[:len(r.data)+n]
		if errors.Is(err, io.EOF) {
			return r.whole()
		}
		if err != nil {
			return r.data, err
		}
	}
}

// grow makes room for more of the body: for all of it if its length is known, and a byte more, so
// that its end is read.
func (r *Reader) grow() error {
	size := min(max(2*int64(cap(r.data)), minBuffer), r.Limit+1)
	more := size - int64(cap(r.data))
	if r.Length >= 0 && cap(r.data) == 0 {
		size, more = r.Length+1, r.Length
	}
	if !r.Admit(more) {
		return ErrNoMemory
	}
	grown := make([]byte, len(r.data), size)
	copy(grown, r.data)
	r.data = grown
	return nil
}

// whole returns the data unless it is too long.
func (r *Reader) whole() ([]byte, error) {
	if int64(len(r.data)) > r.Limit {
		return nil, ErrTooLarge
	}
	return r.data, nil
}
