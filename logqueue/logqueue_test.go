package logqueue_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/thymewind/thymewind/logqueue"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// TestNeverBlocks writes far more lines than the queue holds while the output is blocked.
func TestNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := logqueue.Queue{Output: out, Capacity: 10}
	go q.Run()
	const lines = 1000
	// A line is longer than Run's output buffer, so that none is buffered there.
	line := []byte(strings.Repeat("x", 10000) + "line\n")
	for range lines {
		if n, err := q.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if q.Dropped() < lines-10-1 {
		t.Errorf("dropped %d", q.Dropped())
	}
	close(out.release)
	q.Close()
	written := strings.Count(out.got.String(), "line\n")
	if int64(written)+q.Dropped() != lines {
		t.Errorf("%d written and %d dropped of %d", written, q.Dropped(), lines)
	}
	if !strings.Contains(out.got.String(), "log lines dropped") {
		t.Error("the log does not report dropped lines")
	}
	if _, err := q.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
}
