package deliver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/routing"
)

// slowWriter is a caller that takes a time for each write, and fails the writes after the first
// failAfter if that is set.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause     time.Duration
	failAfter int
	writes    int
}

func (w *slowWriter) Write(b []byte) (int, error) {
	w.writes++
	time.Sleep(w.pause)
	if w.failAfter > 0 && w.writes > w.failAfter {
		return 0, os.ErrDeadlineExceeded
	}
	return w.ResponseRecorder.Write(b)
}

// cutAnswer is an answer that its target cuts off after some writes.
func cutAnswer(stream bool) *deliver.Reply {
	if stream {
		return streamReply(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\n\n"), brokenBody{}))
	}
	return reply(http.StatusOK, deliver.MayHaveRun, io.MultiReader(strings.NewReader(strings.Repeat("x", 200<<10)), brokenBody{}))
}

// TestCutOfUnreadAnswer guards against a target being taken for failed, and its stream being run
// again, when it cut the answer off because this box did not read it, and against a real failure
// being excused.
func TestCutOfUnreadAnswer(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		pause  time.Duration
		// failAfter is as in slowWriter.
		failAfter  int
		failed     bool
		attempts   int
		slowCaller bool
		cause      string
	}{
		{"a stream whose caller paused", true, 2 * time.Second, 0, false, 1, true, deliver.CauseUnread},
		{"a stream whose caller reads", true, time.Millisecond, 0, true, 2, false, ""},
		{"a stream whose caller reads slowly, but not as slowly as that", true, 300 * time.Millisecond, 0, true, 2, false, ""},
		{"a long answer whose caller paused", false, 2 * time.Second, 0, false, 1, true, deliver.CauseUnread},
		{"a long answer whose caller reads", false, time.Millisecond, 0, true, 1, false, "broken"},
		{"a long answer that its caller does not read", false, 0, 1, false, 1, true, deliver.CauseUnread},
		{"a stream that its caller does not read", true, 0, 1, false, 1, true, deliver.CauseUnread},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &targets{}
				s := x.server(&routing.Route{Stream: tt.stream, Resumable: tt.stream, Attempts: 2, Timeout: time.Minute})
				s.Suspect = nil
				s.Send = func(_ context.Context, a deliver.Attempt) (*deliver.Reply, error) {
					if x.sent++; x.sent > 1 {
						return streamed(a, false), nil
					}
					return cutAnswer(tt.stream), nil
				}
				var ended []deliver.AttemptResult
				s.Ended = func(e deliver.AttemptResult) { ended = append(ended, e) }
				var outcome deliver.Outcome
				s.RecordOutcome = func(o deliver.Outcome) { outcome = o }
				w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: tt.pause, failAfter: tt.failAfter}
				serveAborted(t, s, w)
				if len(ended) != tt.attempts || ended[0].Failed != tt.failed || ended[0].CutOff != tt.failed || ended[0].Unreachable != (tt.failed && tt.stream) || ended[0].SlowCaller != tt.slowCaller {
					t.Errorf("attempts %+v", ended)
				}
				if !strings.HasPrefix(outcome.Cause, tt.cause) || tt.cause == "" && outcome.Cause != "" {
					t.Errorf("cause %q, want %q", outcome.Cause, tt.cause)
				}
			})
		})
	}
}

// serveAborted serves a call of a caller that stays connected, whose answer may be aborted.
func serveAborted(t *testing.T, s *deliver.Server, w http.ResponseWriter) {
	t.Helper()
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler { //nolint:errorlint // A panic's value.
			t.Error(r)
		}
	}()
	call := &deliver.Call{ID: "r", Method: http.MethodPost, Path: "/", Host: "h", Body: strings.NewReader(""), Received: time.Now(), Disconnected: func() bool { return false }}
	if err := s.Serve(t.Context(), w, call); err != nil {
		t.Error(err)
	}
}

// TestRefusedForMemory guards against a body that does not fit being read before its request is
// refused, against a refusal that does not say that the request did not run, and against bytes that
// stay counted after their request.
func TestRefusedForMemory(t *testing.T) {
	const limit = 32 << 20
	tests := []struct {
		name     string
		held     int64
		length   int64
		declared int64
		refused  bool
		// mostRead bounds what is read of the body.
		mostRead int64
	}{
		{"room", 0, 1 << 20, 1 << 20, false, 1 << 20},
		{"no room, declared length", limit * 7 / 10, 1 << 20, 1 << 20, true, 0},
		{"room, no declared length", 0, 1 << 20, -1, false, 1 << 20},
		{"no room, no declared length", limit * 7 / 10, 1 << 20, -1, true, 128 << 10},
		{"small body, no declared length", limit * 7 / 10, 3000, -1, false, 3000},
		{"small body", limit * 7 / 10, 3000, 3000, false, 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &targets{}
			s := x.server(&routing.Route{Attempts: 1})
			s.Held = &heldbytes.Ledger{Limit: limit}
			s.Held.Open().Set(tt.held)
			refusals := 0
			s.MemoryRefused = func(*deliver.Job, int64) { refusals++ }
			during := int64(0)
			s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
				during = s.Held.Held() - tt.held
				return deliver.Placement{Target: "t"}, nil
			}
			body := &countingReader{Reader: strings.NewReader(strings.Repeat("x", int(tt.length)))}
			call := &deliver.Call{ID: "r", Method: http.MethodPost, Path: "/", Host: "h", Body: body, BodyLength: tt.declared, Received: time.Now(), Disconnected: func() bool { return false }}
			err := s.Serve(t.Context(), httptest.NewRecorder(), call)
			if tt.refused != (err != nil) || tt.refused != (refusals == 1) || tt.refused == (x.sent == 1) {
				t.Fatalf("refused with %v, %d counted, %d sent", err, refusals, x.sent)
			}
			if read := body.read.Load(); read > tt.mostRead {
				t.Errorf("read %d bytes of the body", read)
			}
			if !tt.refused && during < tt.length {
				t.Errorf("held %d bytes for a body of %d", during, tt.length)
			}
			if held := s.Held.Held(); held != tt.held {
				t.Errorf("%d bytes stay counted", held-tt.held)
			}
			if !tt.refused {
				return
			}
			var refused interface{ Error() string }
			if !errors.As(err, &refused) || !strings.HasPrefix(refused.Error(), "did-not-run") {
				t.Errorf("refused with %v", err)
			}
		})
	}
}

type countingReader struct {
	io.Reader
	read atomic.Int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read.Add(int64(n))
	return n, err
}

// TestFullMemory guards against more of an answer than there is room for being read from a target,
// and against streams of usual events waiting for others' memory.
func TestFullMemory(t *testing.T) {
	t.Run("a long answer's buffer is small", func(t *testing.T) {
		x := &targets{}
		s := x.server(&routing.Route{Attempts: 1})
		s.Held = &heldbytes.Ledger{Limit: 1 << 20}
		s.Held.Open().Set(1 << 20)
		body := &countingReader{Reader: strings.NewReader(strings.Repeat("x", 300<<10))}
		s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
			return reply(http.StatusOK, deliver.MayHaveRun, body), nil
		}
		w := &firstWrite{ResponseRecorder: httptest.NewRecorder(), read: body.read.Load}
		serveAborted(t, s, w)
		if w.readBefore > 8<<10 || w.Body.Len() != 300<<10 {
			t.Errorf("%d bytes were read before the first was passed on, and %d passed on", w.readBefore, w.Body.Len())
		}
	})
	t.Run("usual events pass", func(t *testing.T) {
		x := &targets{}
		s := x.server(&routing.Route{Stream: true, Attempts: 1})
		s.Held = &heldbytes.Ledger{Limit: 1 << 20}
		s.Held.Open().Set(1 << 20)
		w := httptest.NewRecorder()
		serveAborted(t, s, w)
		if got := strings.Count(w.Body.String(), "id: "); got != events {
			t.Errorf("%d of %d events", got, events)
		}
	})
	t.Run("a large event waits for room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := &targets{}
			s := x.server(&routing.Route{Stream: true, Attempts: 1})
			s.Held = &heldbytes.Ledger{Limit: 1 << 20}
			others := s.Held.Open()
			others.Set(1 << 20)
			body := &countingReader{Reader: strings.NewReader(fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("x", 100<<10)))}
			s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) { return streamReply(body), nil }
			w := httptest.NewRecorder()
			done := make(chan struct{})
			go func() {
				defer close(done)
				serveAborted(t, s, w)
			}()
			time.Sleep(3 * time.Second)
			if read := body.read.Load(); read > 8<<10 {
				t.Errorf("%d bytes were read without room", read)
			}
			others.Close()
			<-done
			if w.Body.Len() < 100<<10 {
				t.Errorf("%d bytes passed on", w.Body.Len())
			}
		})
	})
}

// firstWrite notes how much had been read of an answer at its first write.
type firstWrite struct {
	*httptest.ResponseRecorder
	read       func() int64
	wrote      bool
	readBefore int64
}

func (w *firstWrite) Write(b []byte) (int, error) {
	if !w.wrote {
		w.wrote, w.readBefore = true, w.read()
	}
	return w.ResponseRecorder.Write(b)
}

// TestStreamsWaitForEachOther guards against streams that all wait for memory which they hold
// themselves: none would end before its timeout.
func TestStreamsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{}
		s := x.server(&routing.Route{Stream: true, Attempts: 1, Timeout: time.Minute})
		// Two buffers of 64 KiB fit, and a third piece of that size does not.
		s.Held = &heldbytes.Ledger{Limit: 256 << 10}
		s.Ended = func(deliver.AttemptResult) {}
		s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
			return deliver.Placement{Target: "t"}, nil
		}
		event := "id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
		s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
			return streamReply(&pacedReader{Reader: strings.NewReader(event)}), nil
		}
		began := time.Now()
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				w := httptest.NewRecorder()
				serveAborted(t, s, w)
				if w.Body.Len() != len(event) {
					t.Errorf("%d bytes passed on", w.Body.Len())
				}
			})
		}
		all.Wait()
		if took := time.Since(began); took > 20*time.Second {
			t.Errorf("took %v", took)
		}
		if held := s.Held.Held(); held != 0 {
			t.Errorf("%d bytes stay counted", held)
		}
	})
}

// pacedReader takes a millisecond for each read of up to 1 KiB.
type pacedReader struct{ io.Reader }

func (r *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(b[:min(len(b), 1<<10)])
}

// TestTargetOfWaitingStream guards against a target being taken for silent, late or failed because
// this box had no memory for its event.
func TestTargetOfWaitingStream(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			x := &targets{}
			s := x.server(&routing.Route{Stream: true, Resumable: true, Attempts: 2, Timeout: time.Minute})
			s.Held = &heldbytes.Ledger{Limit: 1 << 20}
			others := s.Held.Open()
			others.Set(1 << 20)
			var ended []deliver.AttemptResult
			s.Ended = func(e deliver.AttemptResult) { ended = append(ended, e) }
			body := io.Reader(strings.NewReader("id: 1\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"))
			if cut {
				body = io.MultiReader(io.LimitReader(body, 50<<10), brokenBody{})
			}
			s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) { return streamReply(body), nil }
			done := make(chan struct{})
			go func() {
				defer close(done)
				serveAborted(t, s, httptest.NewRecorder())
			}()
			time.Sleep(3500 * time.Millisecond) // Longer than the longest gap between events.
			others.Close()
			<-done
			if len(ended) != 1 || ended[0].Failed || ended[0].CutOff || ended[0].Unreachable || !ended[0].SlowCaller {
				t.Errorf("cut %v: attempts %+v", cut, ended)
			}
		})
	}
}

// TestManyQuickWrites guards against a long stream whose caller reads at once passing for one that
// its caller held up, because its writes add up: long streams would teach nothing about their targets.
func TestManyQuickWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &targets{}
		s := x.server(&routing.Route{Stream: true, Attempts: 1, Timeout: time.Minute})
		var ended []deliver.AttemptResult
		s.Ended = func(e deliver.AttemptResult) { ended = append(ended, e) }
		s.Send = func(context.Context, deliver.Attempt) (*deliver.Reply, error) {
			return streamReply(strings.NewReader(strings.Repeat("data: x\n\n", 4000))), nil
		}
		serveAborted(t, s, &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: 50 * time.Microsecond})
		if len(ended) != 1 || !ended[0].Completed || ended[0].SlowCaller {
			t.Errorf("attempts %+v", ended)
		}
	})
}
