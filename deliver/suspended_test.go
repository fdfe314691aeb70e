package deliver_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/deliver"
)

// TestSuspended suspends the machine while a request waits at a target, so that the timers
// that would end it stand still. Reap ends it once its deadline or the deadline for the
// target's weights has passed.
func TestSuspended(t *testing.T) {
	const (
		route15      = 15 * time.Second // The route's timeout, of which a second has passed.
		reapInterval = 200 * time.Millisecond
	)
	tests := []struct {
		name    string
		asleep  time.Duration
		beginBy time.Duration
		status  int
		took    time.Duration
	}{
		{"for less than the time left", 5 * time.Second, 0, http.StatusGatewayTimeout, route15 - 5*time.Second},
		{"for longer than the time left", 20 * time.Second, 0, http.StatusGatewayTimeout, time.Second + reapInterval},
		{"past the deadline to begin", 5 * time.Second, 3 * time.Second, http.StatusBadGateway, time.Second + reapInterval},
		{"not past the deadline to begin", time.Second, 3 * time.Second, http.StatusBadGateway, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asleep atomic.Int64
				now := func() time.Time { return time.Now().Add(time.Duration(asleep.Load())) }
				began := time.Now()
				x := &targets{}
				r := route(false, false, false, 1)
				r.Timeout = route15
				s := x.server(r)
				s.Now = now
				s.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
					p := deliver.Placement{Target: "old"}
					if tt.beginBy > 0 {
						p.BeginBy = began.Add(tt.beginBy)
					}
					return p, nil
				}
				s.Send = func(ctx context.Context, _ deliver.Attempt) (*deliver.Reply, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				done := make(chan struct{})
				go func() {
					<-time.After(time.Second)
					asleep.Store(int64(tt.asleep))
					for {
						select {
						case <-done:
							return
						case <-time.After(reapInterval):
							s.Reap()
						}
					}
				}()
				got := ask(s)
				took := time.Since(began)
				close(done)
				if got.refused == nil || got.refused.Status != tt.status {
					t.Fatalf("refused %+v, want %d", got.refused, tt.status)
				}
				if over := took - tt.took; over < 0 || over > reapInterval {
					t.Errorf("took %v awake, want %v and at most one reap interval more", took, tt.took)
				}
			})
		})
	}
}
