package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/thymewind/thymewind/eventstream"
)

func TestNext(t *testing.T) {
	long := "id: 9\ndata: " + strings.Repeat("x", 5000) + "\n\n"
	tests := []struct {
		name, body string
		events     []string
		err        error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}, io.EOF},
		{"truncated event", "id: 1\n\nid: 2\ndata: to", []string{"id: 1\n\n"}, eventstream.ErrTruncated},
		{"truncated between the line ends", "id: 1\n", nil, eventstream.ErrTruncated},
		{"nothing", "", nil, io.EOF},
		{"longer than the buffer", "id: 1\n\n" + long, []string{"id: 1\n\n", long}, io.EOF},
	}
	for _, tt := range tests {
		for name, from := range map[string]io.Reader{
			"at once": strings.NewReader(tt.body), "byte by byte": iotest.OneByteReader(strings.NewReader(tt.body)),
		} {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				r := eventstream.Reader{From: from}
				for _, want := range tt.events {
					if got, err := r.Next(); err != nil || string(got) != want {
						t.Fatalf("Next = %q, %v, want %q", got, err, want)
					}
				}
				if got, err := r.Next(); !errors.Is(err, tt.err) {
					t.Errorf("Next = %q, %v, want %v", got, err, tt.err)
				}
			})
		}
	}
}

func TestEventTooLarge(t *testing.T) {
	r := eventstream.Reader{From: endless{}}
	if _, err := r.Next(); err == nil {
		t.Error("an endless event gave no error")
	}
}

// endless is a stream without a blank line.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

func TestID(t *testing.T) {
	for _, tt := range []struct{ event, want string }{
		{"id: 7\ndata: id: 8\n\n", "7"},
		{"data: a\nid:9\n\n", "9"},
		{"data: a\n\n", ""},
	} {
		if got := eventstream.ID([]byte(tt.event)); got != tt.want {
			t.Errorf("ID(%q) = %q, want %q", tt.event, got, tt.want)
		}
	}
}

// TestHasData guards against comments that count as events, and events that do not.
func TestHasData(t *testing.T) {
	tests := []struct {
		event string
		want  bool
	}{
		{":\n\n", false},
		{": data\n\n", false},
		{"id: 1\n\n", false},
		{"data: x\n\n", true},
		{"id: 1\r\ndata\r\n\r\n", true},
	}
	for _, tt := range tests {
		if got := eventstream.HasData([]byte(tt.event)); got != tt.want {
			t.Errorf("%q: %v", tt.event, got)
		}
	}
}

// TestBlocksWithoutData has a stream send comments or empty lines without end. It guards against such a
// stream going on until the request's deadline, as each block of it is short.
func TestBlocksWithoutData(t *testing.T) {
	tests := []struct {
		name, block string
		ends        bool
	}{
		{"comments", ": x\n\n", true},
		{"empty lines", "\n\n", true},
		{"events", "data: x\n\n", false},
		{"events with an ID", "id: 1\ndata: x\n\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			blocks := eventstream.MaxEventBytes/len(tt.block) + 10
			r := eventstream.Reader{From: strings.NewReader(strings.Repeat(tt.block, blocks))}
			read := 0
			var err error
			for ; err == nil; read++ {
				_, err = r.Next()
			}
			if ended := !errors.Is(err, io.EOF); ended != tt.ends {
				t.Errorf("%v after %d of %d blocks", err, read-1, blocks)
			}
		})
	}
}
