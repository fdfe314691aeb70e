package thymewind

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/table"
)

// TestOverlongAnswers has the platform's parts answer calls with a JSON string that does not end. It
// guards against reading such an answer for as long as it lasts.
func TestOverlongAnswers(t *testing.T) {
	const enough, most = 256 << 20, 64 << 20
	var sent atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		piece := []byte(strings.Repeat("x", 64<<10))
		_, err := w.Write([]byte(`{"rows":"`))
		for err == nil && sent.Load() < enough {
			_, err = w.Write(piece)
			sent.Add(int64(len(piece)))
		}
	}))
	defer s.Close()
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	engines, stores := engine.Client{HTTP: http.DefaultClient}, kvcache.Client{HTTP: http.DefaultClient}
	rows := table.Client{Base: s.URL, HTTP: http.DefaultClient}
	tests := []struct {
		name string
		call func(ctx context.Context) error
	}{
		{"table service, read", func(ctx context.Context) error { _, err := rows.Read(ctx, "k"); return err }},
		{"list of boxes", func(ctx context.Context) error {
			_, _, err := (&boxes.List{Base: s.URL, HTTP: http.DefaultClient}).Read(ctx)
			return err
		}},
		{"engine", func(ctx context.Context) error { _, err := engines.Cancel(ctx, at, "r", 1); return err }},
		{"store box", func(ctx context.Context) error { _, err := stores.Find(ctx, at, nil); return err }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent.Store(0)
			if err := tt.call(t.Context()); err == nil {
				t.Error("the answer counts as one")
			}
			if n := sent.Load(); n > most {
				t.Errorf("%d MB were read", n>>20)
			}
		})
	}
}
