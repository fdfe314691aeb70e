package deliver_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/routing"
)

// lateChanges are changes of a configuration with one route, in the pool p, that needs the key k.
var lateChanges = []struct {
	name string
	// pool is that of the route afterwards, empty if it is dropped; key is the only key.
	pool, key string
}{
	{"route moved", "moved", "k"},
	{"route removed", "", "k"},
	{"key removed", "p", "other"},
}

// lateTable is a configuration of the requests of TestChangedBeforeSending.
func lateTable(version int64, pool, key string, attempts int) *routing.Proved {
	var routes []*routing.Route
	if pool != "" {
		r := route(true, false, false, attempts)
		r.Name, r.Host, r.Prefix = "r", "h", "/"
		r.Shares = []routing.Share{{Pool: pool, Weight: 1}}
		routes = append(routes, r)
	}
	return &routing.Proved{Table: routing.New(version, routes, []*routing.Pool{{Name: "p"}, {Name: "moved"}}, []*routing.Account{{Name: "a", Keys: []string{key}}})}
}

// onRead is a body that calls a function once when it is read.
type onRead struct {
	io.Reader
	do func()
}

func (b *onRead) Read(p []byte) (int, error) {
	if b.do != nil {
		b.do()
		b.do = nil
	}
	return b.Reader.Read(p)
}

// TestChangedBeforeSending guards against a request that is sent to a target by a configuration
// that was replaced at this box before it was sent.
func TestChangedBeforeSending(t *testing.T) {
	const (
		whileBodyRead = iota
		whileQueued
		beforeRetry
		beforeQueuedRetry
		afterUnreachable
	)
	moments := []struct {
		name   string
		at     int
		script []int
		waited time.Duration
		// earlier is how many attempts are made before the change.
		earlier int
	}{
		{"while the body is read", whileBodyRead, nil, 0, 0},
		{"while the body is read, then queued", whileBodyRead, nil, time.Second, 0},
		{"while queued", whileQueued, nil, time.Second, 0},
		{"before a retry after no answer", beforeRetry, []int{givesNoAnswer}, 0, 1},
		{"before a queued retry after no answer", beforeQueuedRetry, []int{givesNoAnswer}, time.Second, 1},
		{"before a retry after it was turned away", beforeRetry, []int{turnsAway}, 0, 1},
		{"before a retry as the target was unreachable", afterUnreachable, []int{unreachable}, 0, 1},
	}
	for _, m := range moments {
		for _, c := range lateChanges {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				x := &targets{script: m.script}
				s := x.server(route(true, false, false, 2))
				current := lateTable(1, "p", "k", 2)
				s.Configuration = func() *routing.Proved { return current }
				change := func() { current = lateTable(2, c.pool, c.key, 2) }
				place := s.Place
				s.Place = func(ctx context.Context, request deliver.PlacementRequest) (deliver.Placement, error) {
					chosen, err := place(ctx, request)
					chosen.Waited = m.waited
					if m.at == whileQueued {
						change()
					}
					return chosen, err
				}
				var wrong []string
				send := s.Send
				s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
					if current.Version > 1 && (c.pool != "moved" || a.Job.Pool.Name != "moved") {
						wrong = append(wrong, a.Job.Pool.Name)
					}
					reply, err := send(ctx, a)
					if m.earlier > 0 && x.sent == m.earlier {
						change()
					}
					return reply, err
				}
				body := &onRead{Reader: strings.NewReader("b")}
				if m.at == whileBodyRead {
					body.do = change
				}
				call := &deliver.Call{ID: "r", Method: http.MethodPost, Path: "/x", Host: "h", Key: "k", Body: body, Header: http.Header{}, Received: time.Now()}
				err := s.Serve(context.Background(), httptest.NewRecorder(), call)
				if current.Version == 1 {
					t.Fatal("the configuration was not changed")
				}
				if len(wrong) > 0 {
					t.Errorf("sent to %q by the configuration before the change, error %v", wrong, err)
				}
				if x.placed != x.ended {
					t.Errorf("%d placements, %d ended", x.placed, x.ended)
				}
			})
		}
	}
}
