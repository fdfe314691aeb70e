package deliver_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// TestBeginBy has a request wait at a target whose weights must not be used after a
// deadline: it is aborted then if it has not begun, and goes on if it has.
func TestBeginBy(t *testing.T) {
	const by = time.Second
	tests := []struct {
		name       string
		repeatable bool
		begins     time.Duration // When the answer's head arrives; the rest takes 1.5 s.
		status     int
		sent       int
		took       time.Duration
	}{
		{"begins in time, ends after the deadline", false, 900 * time.Millisecond, 200, 1, 2400 * time.Millisecond},
		{"does not begin", false, 1100 * time.Millisecond, 502, 1, by},
		{"does not begin, retried elsewhere", true, 1100 * time.Millisecond, 200, 2, by + 1500*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &targets{}
				s := x.server(route(false, true, tt.repeatable, 2))
				began, sent := time.Now(), 0
				s.Suspect = func(context.Context, string) bool { return false }
				s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
					sent++
					if sent > 1 {
						return deliver.Placement{Target: "newer"}, nil
					}
					return deliver.Placement{Target: "old", BeginBy: began.Add(by)}, nil
				}
				s.Send = func(ctx context.Context, attempt deliver.Attempt) (*deliver.Reply, error) {
					if attempt.Place.Target == "old" {
						select {
						case <-time.After(tt.begins):
						case <-ctx.Done():
							return nil, ctx.Err()
						}
					}
					return streamReply(&contextBody{ctx, &delayed{1500 * time.Millisecond, strings.NewReader(wholeStream)}}), nil
				}
				var ended []deliver.AttemptResult
				s.Ended = func(e deliver.AttemptResult) { ended = append(ended, e) }
				got := ask(s)
				status := got.status
				if got.refused != nil {
					status = got.refused.Status
				}
				if status != tt.status || got.cut || sent != tt.sent || got.took != tt.took {
					t.Errorf("status %d, cut off %v, %d attempts, took %v", status, got.cut, sent, got.took)
				}
				if ended[0].Failed || ended[0].Unreachable {
					t.Errorf("the attempt counts against the target: %+v", ended[0])
				}
			})
		})
	}
}

// contextBody is a body that ends with its context.
type contextBody struct {
	ctx  context.Context
	text io.Reader
}

func (e *contextBody) Read(p []byte) (int, error) {
	n, err := e.text.Read(p)
	if e.ctx.Err() != nil {
		return 0, e.ctx.Err()
	}
	return n, err
}
