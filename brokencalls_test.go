package thymewind

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/standin/broken"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/table"
)

// TestBrokenAnswersToCalls has the platform's parts answer a daemon's own calls with what breaks off or
// breaks the protocol. It guards against such an answer counting as one.
func TestBrokenAnswersToCalls(t *testing.T) {
	d := newFleet(t, 1, nil).daemons[0].d
	var answer broken.Answer
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The answer is the same without it.
		answer.Send(w, "")
	}))
	defer s.Close()
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	rows, list := table.Client{Base: s.URL, HTTP: d.table.HTTP}, boxes.List{Base: s.URL, HTTP: d.boxes.HTTP}
	tests := []struct {
		name string
		call func(ctx context.Context) error
		// headSuffices says that the call does not need the body.
		headSuffices bool
	}{
		{"table service, commit", func(ctx context.Context) error {
			return rows.Commit(ctx, table.Transaction{Put: []table.Row{{Key: "k"}}})
		}, true},
		{"table service, read", func(ctx context.Context) error {
			_, err := rows.ListAll(ctx, "k")
			return err
		}, false},
		{"list of boxes", func(ctx context.Context) error {
			_, _, err := list.Read(ctx)
			return err
		}, false},
		{"engine, start of a run", func(ctx context.Context) error {
			frames, err := d.engines.Generate(ctx, at, engine.Run{})
			if err != nil {
				return err
			}
			defer func() { _ = frames.Close() }()
			_, err = frames.Next()
			return err
		}, false},
		{"engine, cancel", func(ctx context.Context) error { _, err := d.engines.Cancel(ctx, at, "r", 1); return err }, false},
		{"engine, load", func(ctx context.Context) error { _, err := d.engines.Load(ctx, at); return err }, false},
		{"engine, order", func(ctx context.Context) error { return d.engines.Send(ctx, at, engine.Order{}) }, true},
		{"engine, export", func(ctx context.Context) error { _, err := d.engines.Export(ctx, at, "r", "s", at); return err }, false},
		{"store box, find", func(ctx context.Context) error { _, err := d.stores.Find(ctx, at, nil); return err }, false},
		{"store box, put", func(ctx context.Context) error { return d.stores.Put(ctx, at, nil) }, true},
		{"store box, oldest", func(ctx context.Context) error { _, err := d.stores.Oldest(ctx, at, 1); return err }, false},
		{"store box, capacity", func(ctx context.Context) error { _, _, err := d.stores.Capacity(ctx, at); return err }, false},
		{"store box, drop", func(ctx context.Context) error { return d.stores.Drop(ctx, at, "k") }, true},
		{"store box, piece", func(ctx context.Context) error {
			_, err := d.stores.Piece(ctx, at, kvcache.Piece{Digest: kvcache.Digest([]byte(broken.Text)), Bytes: len(broken.Text)})
			return err
		}, false},
	}
	for _, answer = range broken.Answers {
		for _, tt := range tests {
			if answer.Resets && tt.headSuffices {
				continue
			}
			t.Run(tt.name+", "+answer.Name, func(t *testing.T) {
				if err := tt.call(t.Context()); err == nil {
					t.Error("the answer counts as one")
				}
			})
		}
	}
}

// TestLongHeadOfPeer has another box answer with a head that is longer than any of this system's. It
// guards against such heads filling a box's memory.
func TestLongHeadOfPeer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
	}))
	defer s.Close()
	client := newFleet(t, 1, nil).daemons[0].d.peers.HTTP
	response, err := client.Get(s.URL)
	if err == nil {
		_ = response.Body.Close()
		t.Error("a head of 1 MiB was read")
	}
}
