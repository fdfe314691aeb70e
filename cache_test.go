package thymewind

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/route"
)

// TestCallerLeavingDoesNotBackOffStore checks that a store box gets a backoff if it does
// not answer, but not if the caller left in the meantime.
func TestCallerLeavingDoesNotBackOffStore(t *testing.T) {
	tests := []struct {
		name     string
		left     bool
		failures int
	}{
		{"the caller left", true, 0},
		{"nobody answers", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if tt.left {
				cancel()
			}
			placed := route.Placement{
				Scope: prefix.Scope("a", "v"), PieceBytes: 8, StoreName: "store-1",
				Store: netip.MustParseAddrPort("127.0.0.1:1"), // Nothing listens there.
			}
			d.findCached(ctx, &placed, "a prompt of some pieces")
			if got := len(d.messages); got != tt.failures {
				t.Errorf("%d store failures were reported, want %d", got, tt.failures)
			}
		})
	}
}
