package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/routing"
)

// noProofFor is for how long the box of TestJudgedByOwnProof had no proof: longer than keys are
// trusted, and than a route may be missing before the request is refused for good.
const noProofFor = 6 * time.Second

// keyed is a configuration with one key and some routes.
func keyed(version int64, key string, routes ...string) *routing.Table {
	var list []*routing.Route
	for _, name := range routes {
		list = append(list, &routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Attempts: 1, Shares: []routing.Share{{Pool: "orders", Weight: 1}}})
	}
	return routing.New(version, list, []*routing.Pool{{Name: "orders"}}, []*routing.Account{{Name: "a", Keys: []string{key}}})
}

// onWrite is a log's output that calls a function for each line.
type onWrite struct{ do func() }

func (w *onWrite) Write(p []byte) (int, error) {
	w.do()
	return len(p), nil
}

// withoutProof returns a box that has had no proof for noProofFor, and a function that sends it a
// request and returns the status: 200 if the request was placed.
func withoutProof() (*Daemon, func(key, path string) int) {
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	bounds := *d.bounds.Load()
	bounds.AppliedWithin = 3 * time.Second
	d.bounds.Store(&bounds)
	d.server.Now, d.server.RecordOutcome = d.now, func(deliver.Outcome) {}
	d.server.Place = func(context.Context, deliver.PlacementRequest) (deliver.Placement, error) {
		return deliver.Placement{}, refusal.New(refusal.DidNotRun, http.StatusOK, "placed", "")
	}
	ask := func(key, path string) int {
		call := &deliver.Call{ID: "r", Method: "GET", Host: "h", Path: path, Key: key, Body: strings.NewReader(""), Received: now}
		return refusal.Of(d.server.Serve(context.Background(), httptest.NewRecorder(), call), refusal.DidNotRun, 0).Status
	}
	d.update(start, operatorRead{start, Operator{Table: keyed(1, "old", "one"), Known: rev(1), Changed: rev(1)}})
	now = start.Add(noProofFor)
	return d, ask
}

// TestJudgedByOwnProof guards against judging a request by one configuration and the proof of
// another when a box has a proof again and with it a newer configuration: a key that was taken
// away is served, or a route that was added is refused for good. The update comes right after the
// request has loaded the configuration, or the request between the steps of the update.
func TestJudgedByOwnProof(t *testing.T) {
	sent := start.Add(noProofFor)
	next := keyed(2, "new", "one", "two")
	requests := []struct {
		name, key, path string
		wrong           int
	}{
		{"a key that was taken away", "old", "/one/", http.StatusOK},
		{"a key that was added", "new", "/one/", http.StatusUnauthorized},
		{"a route that was added", "new", "/two/", http.StatusNotFound},
	}
	sources := []struct {
		name string
		read message
	}{
		{"read from the table service", operatorRead{sent, Operator{Table: next, Known: rev(9), Changed: rev(9)}}},
		{"fetched from a hub", configurationFromHub{proof: sent, change: Operator{Table: next}}},
	}
	for _, s := range sources {
		for _, r := range requests {
			t.Run(s.name+", "+r.name, func(t *testing.T) {
				d, ask := withoutProof()
				afterLoad(d, func() { d.update(sent, s.read) })
				if got := ask(r.key, r.path); got == r.wrong {
					t.Errorf("the update came between the request's loads: status %d", got)
				}
				d, ask = withoutProof()
				if got := ask(r.key, r.path); got != http.StatusServiceUnavailable {
					t.Fatalf("status %d without a proof", got)
				}
				asked := 0
				d.Log = log.New(&onWrite{func() {
					asked++
					if got := ask(r.key, r.path); got == r.wrong {
						t.Errorf("the request came within the update: status %d", got)
					}
				}})
				d.update(sent, s.read)
				if asked == 0 {
					t.Error("the update logged nothing, so no request came within it")
				}
			})
		}
	}
}

// afterLoad calls a function once, right after the next request has loaded the configuration.
func afterLoad(d *Daemon, then func()) {
	load := d.server.Configuration
	d.server.Configuration = func() *routing.Proved {
		proved := load()
		d.server.Configuration = load
		then()
		return proved
	}
}

// BenchmarkTrustsKeys measures what a request pays for the configuration and its proof.
func BenchmarkTrustsKeys(b *testing.B) {
	d, _ := withoutProof()
	now := start.Add(time.Second)
	for b.Loop() {
		if table := d.server.Configuration(); table.Table == nil || !d.server.KeysFresh(now, table) {
			b.Fatal("no proof")
		}
	}
}
