package deliver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/routing"
)

// TestRetryAfterChange has the configuration change between an attempt and its retry in ways that
// leave the route and the key in place.
func TestRetryAfterChange(t *testing.T) {
	type config struct {
		shares     []routing.Share
		account    string
		repeatable bool
	}
	in := func(pool string) []routing.Share { return []routing.Share{{Pool: pool, Weight: 1}} }
	configured := func(version int64, c config) *routing.Proved {
		r := route(c.repeatable, false, false, 2)
		r.Name, r.Host, r.Prefix, r.Shares = "r", "h", "/", c.shares
		return &routing.Proved{Table: routing.New(version, []*routing.Route{r}, []*routing.Pool{{Name: "p"}, {Name: "moved"}}, []*routing.Account{{Name: c.account, Keys: []string{"k"}}})}
	}
	before := config{in("p"), "a", true}
	tests := []struct {
		name  string
		after config
		// script is what the first target does.
		script int
		// account and pool are those of the retry; empty if there is none.
		account, pool string
	}{
		{"nothing", before, givesNoAnswer, "a", "p"},
		{"the key is another account's", config{in("p"), "b", true}, givesNoAnswer, "b", "p"},
		{"the key is another account's, turned away", config{in("p"), "b", true}, turnsAway, "b", "p"},
		{"the pool has a share of zero", config{[]routing.Share{{Pool: "p"}, {Pool: "moved", Weight: 1}}, "a", true}, givesNoAnswer, "a", "moved"},
		{"moved, and requests run once at most", config{in("moved"), "a", false}, givesNoAnswer, "", ""},
		{"moved, and requests run once at most, turned away", config{in("moved"), "a", false}, turnsAway, "a", "moved"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := &targets{script: []int{tt.script}}
			s := x.server(route(true, false, false, 2))
			current := configured(1, before)
			s.Configuration = func() *routing.Proved { return current }
			earned := make(map[string]int)
			s.Earn = func(pool string) { earned[pool]++ }
			var account, pool string
			send := s.Send
			s.Send = func(ctx context.Context, a deliver.Attempt) (*deliver.Reply, error) {
				if x.sent > 0 {
					account, pool = a.Job.Account.Name, a.Job.Pool.Name
				}
				reply, err := send(ctx, a)
				current = configured(2, tt.after)
				return reply, err
			}
			call := &deliver.Call{ID: "r", Method: http.MethodPost, Path: "/x", Host: "h", Key: "k", Body: strings.NewReader("b"), Header: http.Header{}, Received: time.Now()}
			err := s.Serve(context.Background(), httptest.NewRecorder(), call)
			if account != tt.account || pool != tt.pool {
				t.Errorf("retried for account %q in pool %q, want %q in %q; error %v", account, pool, tt.account, tt.pool, err)
			}
			if earned["p"] > 1 || earned["moved"] > 1 {
				t.Errorf("the request was counted %v times for its pools' retry budgets", earned)
			}
			if x.placed != x.ended {
				t.Errorf("%d placements, %d ended", x.placed, x.ended)
			}
		})
	}
}
