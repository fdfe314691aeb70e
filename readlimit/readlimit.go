// Package readlimit bounds the memory that answers of other servers take while they are read whole:
// each answer by its length, and all that are being read by a budget.
//
//	b := readlimit.Budget{Bytes: 8 << 20}
//	body, err := b.ReadAll(answer, 1<<20)
//	if errors.Is(err, readlimit.ErrOverlong) { // what came is no answer
//	}
package readlimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrOverlong says that more bytes came than an answer may have.
var ErrOverlong = errors.New("the answer is too long")

// ErrBudget says that answers that are being read take all of the budget.
var ErrBudget = errors.New("no memory for the answer")

// Overlong returns an ErrOverlong with the number of bytes that came, or were stated, and the limit.
func Overlong(bytes, limit int64) error {
	return fmt.Errorf("%w: %d bytes, the limit is %d", ErrOverlong, bytes, limit)
}

// Budget bounds the bytes of all answers that are being read. Set Bytes before first use; it is safe
// for concurrent use.
type Budget struct {
	// Bytes is the bound; zero means none.
	Bytes int64

	taken atomic.Int64
}

// Take takes bytes of the budget, or none if too few are left. Nothing is waited for: answers that wait
// for each other's memory would all be late.
func (b *Budget) Take(bytes int64) bool {
	if taken := b.taken.Add(bytes); b.Bytes > 0 && taken > b.Bytes {
		b.taken.Add(-bytes)
		return false
	}
	return true
}

// Return returns bytes that were taken.
func (b *Budget) Return(bytes int64) { b.taken.Add(-bytes) }

// Taken returns the bytes that are taken.
func (b *Budget) Taken() int64 { return b.taken.Load() }

// ReadAll reads all of an answer, at most limit bytes; zero means no limit. They count until it returns.
func (b *Budget) ReadAll(from io.Reader, limit int64) ([]byte, error) {
	r := reader{from: from, limit: limit, take: b.Take}
	defer func() { b.Return(r.taken) }()
	return io.ReadAll(&r)
}

// Doer calls servers whose answers are decoded as they are read, and bounds these.
type Doer struct {
	HTTP *http.Client
	// MaxBody bounds an answer's body in bytes.
	MaxBody int64
}

// Do makes a call. Reading more than MaxBody bytes of the answer fails with ErrOverlong.
func (d Doer) Do(request *http.Request) (*http.Response, error) {
	response, err := d.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = Body(response.Body, d.MaxBody)
	return response, nil
}

// Body returns an answer's body that fails once more than limit bytes came.
func Body(body io.ReadCloser, limit int64) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{&reader{from: body, limit: limit}, body}
}

// reader counts the bytes of one answer.
type reader struct {
	from  io.Reader
	limit int64
	// take takes bytes of a budget; nil takes none.
	take func(bytes int64) bool
	// read are the bytes that came, taken those of them that were taken of the budget.
	read, taken int64
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.read += int64(n)
	if r.limit > 0 && r.read > r.limit {
		return n, Overlong(r.read, r.limit)
	}
	if r.take != nil && n > 0 {
		if !r.take(int64(n)) {
			return n, ErrBudget
		}
		r.taken += int64(n)
	}
	return n, err
}
