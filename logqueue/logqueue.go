// Package logqueue writes log lines asynchronously, so that requests never wait for the
// log. A separate goroutine writes the queued lines. If the queue is full, a line is
// dropped and counted.
//
//	q := logqueue.Queue{Output: os.Stdout, Capacity: 2048}
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

// Queue is an io.Writer that gets one line in each call. Set the exported fields before
// first use; it is safe for concurrent use after that.
type Queue struct {
	Output io.Writer
	// Capacity is the capacity of the queue.
	Capacity int

	once  sync.Once
	lines chan []byte
	done  chan struct{}
	// mu prevents sends on the closed channel.
	mu      sync.RWMutex
	closed  bool
	dropped atomic.Int64
}

func (q *Queue) start() {
	q.once.Do(func() {
		q.lines = make(chan []byte, q.Capacity)
		q.done = make(chan struct{})
	})
}

// Write queues a copy of the line. It never fails and never blocks.
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

// Run writes queued lines until Close. Where lines were dropped, it writes a line with
// their number.
func (q *Queue) Run() {
	q.start()
	defer close(q.done)
	out := bufio.NewWriter(q.Output)
	reported := int64(0)
	for line := range q.lines {
		_, _ = out.Write(line) // There is nowhere to report a failure to write the log.
		if n := q.dropped.Load(); n != reported {
			_, _ = fmt.Fprintf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", n-reported)
			reported = n
		}
		if len(q.lines) == 0 {
			_ = out.Flush()
		}
	}
	_ = out.Flush()
}

// Dropped returns the number of lines dropped as the queue was full or closed.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close ends Run after the queued lines are written, and waits for it.
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
