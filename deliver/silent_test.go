package deliver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// silentBody returns a text and then blocks until its context ends.
type silentBody struct {
	ctx  context.Context
	text io.Reader
}

func (h *silentBody) Read(p []byte) (int, error) {
	if n, err := h.text.Read(p); err == nil {
		return n, nil
	}
	<-h.ctx.Done()
	return 0, context.Cause(h.ctx)
}

// slowCaller is a caller that takes a while to read each event.
type slowCaller struct {
	*httptest.ResponseRecorder
	each time.Duration
}

func (s *slowCaller) Write(b []byte) (int, error) {
	time.Sleep(s.each)
	return s.ResponseRecorder.Write(b)
}

// TestSilentStream has a stream's connection go silent after its second event. A resumable
// stream continues at another target, soon if its target looks dead or its connections
// silent, and after maxGap otherwise. Any other is kept until its deadline, as silence is
// no reason to end an answer.
func TestSilentStream(t *testing.T) {
	const two = "id: 1\n\nid: 2\n\n"
	tests := []struct {
		name      string
		resumable bool
		attempts  int
		suspect   bool
		gapGoal   time.Duration
		sent      int
		took      time.Duration
	}{
		{"its target looks dead", true, 2, true, 300 * time.Millisecond, 2, 900 * time.Millisecond},
		{"no goal for gaps", true, 2, true, 0, 2, 1500 * time.Millisecond},
		{"its target is alive", true, 2, false, 300 * time.Millisecond, 2, 3 * time.Second},
		{"no attempt left", true, 1, true, 300 * time.Millisecond, 1, 10 * time.Second},
		{"not resumable", false, 2, true, 300 * time.Millisecond, 1, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(false, true, tt.resumable, tt.attempts)
				r.Timeout, r.GapGoal = 10*time.Second, tt.gapGoal
				x := &targets{}
				s := x.server(r)
				s.Suspect = func(context.Context, string) bool { return tt.suspect }
				s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
					if x.sent++; x.sent == 1 {
						return streamReply(&silentBody{ctx, strings.NewReader(two)}), nil
					}
					return streamed(attempt, false), nil
				}
				got := ask(s)
				if x.sent != tt.sent || got.cut == (tt.sent == 2) {
					t.Errorf("%d attempts, cut off %v: %q", x.sent, got.cut, got.body)
				}
				if tt.sent == 2 && got.body != wholeStream {
					t.Errorf("got %q", got.body)
				}
				if got.took < tt.took || got.took > tt.took+tt.took/2 {
					t.Errorf("took %v, want %v", got.took, tt.took)
				}
			})
		})
	}
}

// TestSlowCaller has a caller take 5 s to read each event: the gaps are its own, and
// nothing is sent again.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := route(false, true, true, 2)
		r.Timeout, r.GapGoal = time.Minute, 300*time.Millisecond
		x := &targets{}
		s := x.server(r)
		w := &slowCaller{httptest.NewRecorder(), 5 * time.Second}
		call := &deliver.Call{ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now()}
		if err := s.Serve(context.Background(), w, call); err != nil {
			t.Fatal(err)
		}
		if x.sent != 1 || w.Body.String() != wholeStream {
			t.Errorf("%d attempts: %q", x.sent, w.Body.String())
		}
	})
}

// TestNoAbortWithoutBudget has a target that looks dead answer after all while there is no
// retry budget: the late answer is passed on.
func TestNoAbortWithoutBudget(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		delay  time.Duration // Before the answer's head, or within the stream.
	}{
		{"a repeatable answer", false, 1200 * time.Millisecond},
		{"a resumable stream", true, longGap},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(true, tt.stream, true, 3)
				r.Timeout, r.GapGoal = 10*time.Second, 300*time.Millisecond
				s := (&targets{}).server(r)
				s.Spend = func(string) bool { return false }
				s.Send = func(ctx context.Context, _ deliver.Attempt) (*deliver.Reply, error) {
					late := &contextBody{ctx, &delayed{tt.delay, strings.NewReader("id: 2\n\n")}}
					if tt.stream {
						return streamReply(io.MultiReader(strings.NewReader("id: 1\n\n"), late)), nil
					}
					select {
					case <-time.After(tt.delay):
						return reply(http.StatusOK, deliver.MayHaveRun, strings.NewReader("whole")), nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				if got := ask(s); got.refused != nil || got.cut || got.status != http.StatusOK {
					t.Errorf("got %+v", got)
				}
			})
		})
	}
}

// longGap is longer than maxGap, after which a stream's connection counts as dead.
const longGap = 3500 * time.Millisecond

// TestUnusedRetryRefunded has an answer arrive just as its attempt is aborted for a retry:
// the retry is returned to the budget.
func TestUnusedRetryRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := (&targets{}).server(route(true, false, false, 2))
		spent, refunded := 0, 0
		s.Spend = func(string) bool { spent++; return true }
		s.Refund = func(string) { refunded++ }
		s.Send = func(ctx context.Context, _ deliver.Attempt) (*deliver.Reply, error) {
			<-ctx.Done()
			return reply(http.StatusOK, deliver.MayHaveRun, strings.NewReader("whole")), nil
		}
		if got := ask(s); got.status != http.StatusOK || spent != 1 || refunded != 1 {
			t.Errorf("got %+v, spent %d, refunded %d", got, spent, refunded)
		}
	})
}
