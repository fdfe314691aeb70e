package body_test

import (
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/thymewind/thymewind/body"
)

// TestReadAll guards against bodies over the limit or without memory being read, and against bodies
// within both being refused.
func TestReadAll(t *testing.T) {
	const limit = 10 << 10
	tests := []struct {
		name string
		sent int
		// length is the declared length, memory is what Admit grants in all.
		length, memory int64
		want           error
		// admitted is what was asked for.
		admitted int64
	}{
		{"empty", 0, 0, 0, nil, 0},
		{"declared", 5000, 5000, 5000, nil, 5000},
		{"declared, of the limit", limit, limit, limit, nil, limit},
		{"declared, over the limit", limit + 1, limit + 1, 1 << 30, body.ErrTooLarge, 0},
		{"declared, no memory", 5000, 5000, 4999, body.ErrNoMemory, 0},
		{"declared, short", 4000, 5000, 5000, nil, 5000},
		{"chunked, small", 100, -1, 4 << 10, nil, 4 << 10},
		{"chunked, of the limit", limit, -1, 1 << 30, nil, limit + 1},
		{"chunked, over the limit", limit + 1, -1, 1 << 30, body.ErrTooLarge, limit + 1},
		{"chunked, far over the limit", 100 * limit, -1, 1 << 30, body.ErrTooLarge, limit + 1},
		{"chunked, memory for a part", limit, -1, 8 << 10, body.ErrNoMemory, 8 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Repeat("x", tt.sent)
			admitted := int64(0)
			r := body.Reader{From: iotest.HalfReader(strings.NewReader(text)), Length: tt.length, Limit: limit, Admit: func(bytes int64) bool {
				if admitted+bytes > tt.memory {
					return false
				}
				admitted += bytes
				return true
			}}
			data, err := r.ReadAll()
			if !errors.Is(err, tt.want) || admitted != tt.admitted {
				t.Fatalf("%v after %d bytes were asked for, want %v after %d", err, admitted, tt.want, tt.admitted)
			}
			if err == nil && string(data) != text {
				t.Errorf("read %d bytes of %d", len(data), len(text))
			}
		})
	}
}

// TestGoOn guards against a body that lost what was read before its deadline was extended.
func TestGoOn(t *testing.T) {
	const text = "what came in time, and the rest"
	r := body.Reader{
		From: iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(text))), Length: int64(len(text)), Limit: 100,
		Admit: func(int64) bool { return true },
	}
	if part, err := r.ReadAll(); !errors.Is(err, iotest.ErrTimeout) || string(part) != text[:1] {
		t.Fatalf("read %q, %v", part, err)
	}
	if data, err := r.ReadAll(); err != nil || string(data) != text {
		t.Errorf("read %q, %v", data, err)
	}
}

// TestErrors guards against an error of the connection that is taken for the body's end.
func TestErrors(t *testing.T) {
	for _, want := range []error{io.ErrUnexpectedEOF, os.ErrDeadlineExceeded} {
		r := body.Reader{From: iotest.ErrReader(want), Length: -1, Limit: 100, Admit: func(int64) bool { return true }}
		if _, err := r.ReadAll(); !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}
