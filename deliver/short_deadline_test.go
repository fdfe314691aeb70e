package deliver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
)

// TestShortDeadline shows that a call whose deadline is shorter than the time that any similar
// one took is refused before its body is read, and that no other call is.
func TestShortDeadline(t *testing.T) {
	tests := []struct {
		name    string
		known   bool
		least   time.Duration
		timeout time.Duration
		late    time.Duration // Time since the call was received.
		after   string
		refused bool
	}{
		{"time enough", true, 100 * time.Millisecond, time.Second, 0, "", false},
		{"the caller sets no timeout", true, 100 * time.Millisecond, 0, 0, "", false},
		{"timeout shorter than any similar call took", true, 100 * time.Millisecond, 80 * time.Millisecond, 0, "", true},
		{"less time left than any similar call took", true, 100 * time.Millisecond, time.Second, 950 * time.Millisecond, "", true},
		{"every similar call took longer than the route's timeout", true, 4 * time.Second, time.Minute, 0, "", true},
		{"answer times unknown", false, 100 * time.Millisecond, 80 * time.Millisecond, 0, "", false},
		{"resumes a stream", true, 100 * time.Millisecond, 80 * time.Millisecond, 0, "2", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &targets{}
			s := x.server(route(true, false, false, 1))
			s.MinAnswerTime = func(time.Time, *deliver.Job) (time.Duration, bool) { return tt.least, tt.known }
			now := time.Unix(1000, 0)
			s.Now = func() time.Time { return now }
			s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
				return deliver.Placement{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "placed", "reached placement")
			}
			var recorded deliver.Outcome
			s.RecordOutcome = func(o deliver.Outcome) { recorded = o }
			body := strings.NewReader("body")
			call := deliver.Call{ID: "r", Path: "/x", Host: "h", Body: body, Timeout: tt.timeout, LastEventID: tt.after, Received: now.Add(-tt.late)}
			err := s.Serve(context.Background(), httptest.NewRecorder(), &call)
			var refused *refusal.Refusal
			if !errors.As(err, &refused) || refused.Outcome != refusal.DidNotRun || (refused.Code == "no_time") != tt.refused {
				t.Fatalf("refused %+v", refused)
			}
			if recorded.RefusalCode != refused.Code || recorded.RetryAfter != refused.RetryAfter {
				t.Errorf("outcome has %q, %v", recorded.RefusalCode, recorded.RetryAfter)
			}
			if unread := body.Len() > 0; unread != tt.refused || x.sent > 0 {
				t.Errorf("body left unread: %v; %d attempts", unread, x.sent)
			}
		})
	}
}
