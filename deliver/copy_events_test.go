package deliver_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// TestNoCopyWithoutEventIDs guards against events that the caller gets twice because nothing says
// which ones of a broken stream it has: those without an ID, or with one that is no number.
func TestNoCopyWithoutEventIDs(t *testing.T) {
	for _, sent := range []string{"data: x\n\n", "id: 1\n\ndata: x\n\n", "id: x\n\n"} {
		for _, silent := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				x := &copyTargets{}
				r := route(false, true, false, 1)
				r.Timeout = 10 * time.Second
				s := x.server(r)
				s.Suspect = func(context.Context, string) bool { return true }
				send := s.Send
				s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
					switch {
					case a.ResumeFrom.IsValid():
						return send(ctx, a)
					case silent:
						return streamReply(unfinishedBody{ctx, strings.NewReader(sent)}), nil
					}
					return streamReply(io.MultiReader(strings.NewReader(sent), brokenBody{})), nil
				}
				got := ask(s)
				if got.body != sent || !got.cut || x.continued != 0 || x.spent != 0 {
					t.Errorf("after %q the caller got %q, cut off: %v; %d attempts from the copy, %d retries charged", sent, got.body, got.cut, x.continued, x.spent)
				}
				if silent && got.took < 9*time.Second {
					t.Errorf("after %q the stream was broken off after %v, though it could not continue", sent, got.took)
				}
			})
		}
	}
}

// TestCopyAfterComments guards against streams that lose their copy because of comments, which keep
// connections open and are no events.
func TestCopyAfterComments(t *testing.T) {
	x := &copyTargets{}
	s := x.server(route(false, true, false, 1))
	send := s.Send
	s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
		if a.ResumeFrom.IsValid() {
			return send(ctx, a)
		}
		return streamReply(io.MultiReader(strings.NewReader(":\n\nid: 1\n\n"), brokenBody{})), nil
	}
	if got := ask(s); got.body != ":\n\n"+wholeStream || got.cut || x.continued != 1 {
		t.Errorf("the caller got %q, cut off: %v, after %d attempts from the copy", got.body, got.cut, x.continued)
	}
}

// TestCopyBehindCallersLastEvent guards against events that a caller has from an earlier request,
// where the run was lost before its first event and the copy begins with them.
func TestCopyBehindCallersLastEvent(t *testing.T) {
	x := &copyTargets{targets: targets{script: []int{givesNoAnswer}}, behavior: copyBehind}
	w := httptest.NewRecorder()
	err := x.server(route(false, true, false, 1)).Serve(context.Background(), w, &deliver.Call{
		ID: "r", Method: "POST", Path: "/x", Host: "h", Body: strings.NewReader("b"), Header: map[string][]string{}, Received: time.Now(), LastEventID: "2",
	})
	if want := "id: 3\n\nid: 4\n\n"; err != nil || w.Body.String() != want || x.continued != 1 {
		t.Errorf("the caller got %q, %v; want %q", w.Body.String(), err, want)
	}
}

// TestBrokenRunEndsFirst guards against a run that goes on at two targets: the answer of the broken
// run, and with it its connection, is closed before the request goes to the copy's target.
func TestBrokenRunEndsFirst(t *testing.T) {
	x := &copyTargets{targets: targets{script: []int{cutsOff}}}
	s := x.server(route(false, true, false, 1))
	send := s.Send
	closed := false
	s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
		if a.ResumeFrom.IsValid() && !closed {
			t.Error("the broken run's answer is still open")
		}
		reply, err := send(ctx, a)
		if err == nil && !a.ResumeFrom.IsValid() {
			reply.Close = func() { closed = true }
		}
		return reply, err
	}
	if got := ask(s); got.body != wholeStream || x.continued != 1 {
		t.Errorf("the caller got %q after %d attempts from the copy", got.body, x.continued)
	}
}
