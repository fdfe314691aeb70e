// Package logqueue keeps writing log lines off the path of requests: a line is
// queued, and written by a goroutine of its own. A full queue drops the line
// and counts it; nobody ever waits for the log.
//
//	q := logqueue.Queue{To: os.Stdout, Lines: 2048}
//	go q.Run()
//	logger := log.New(&q)
//	...
//	q.Close() // writes what is queued
package logqueue

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is an io.Writer that takes one line a call. Set the exported fields
// before first use; it is safe for concurrent use after that.
type Queue struct {
	To io.Writer
	// Lines is how many lines wait at most.
	Lines int

	once  sync.Once
	lines chan []byte
	done chan struct{}
	// mu keeps writers from a queue that is closed.
	mu      sync.RWMutex
	closed  bool
	dropped atomic.Int64
}

func (q *Queue) start() {
	q.once.Do(func() {
		q.lines = make(chan []byte, q.Lines)
		q.done = make(chan struct{})
	})
}

// Write queues a copy of the line. It never fails and never waits.
func (q *Queue) Write(line []byte) (int, error) {
	q.start()
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until Close. It tells of dropped ones in their place.
func (q *Queue) Run() {
	q.start()
	defer close(q.done)
	out := bufio.NewWriter(q.To)
	told := int64(0)
	for line := range q.lines {
		_, _ = out.Write(line) // There is nowhere to report that the log can't be written.
		if n := q.dropped.Load(); n != told {
			_, _ = fmt.Fprintf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", n-told)
			told = n
		}
		if len(q.lines) == 0 {
			_ = out.Flush()
		}
	}
	_ = out.Flush()
}

// Dropped counts the lines that found the queue full.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close has what is queued written and ends Run.
func (q *Queue) Close() {
	q.start()
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}
