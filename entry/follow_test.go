package entry

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/notice"
)

// TestCacheEventsBackoff has a source turn the calls for its news away: it is asked again when
// it said, within bounds.
func TestCacheEventsBackoff(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		calls int // Within 6 s.
	}{
		{"it says nothing", 0, 20},
		{"it says less than the usual pause", 100 * time.Millisecond, 20},
		{"it says when", time.Second, 6},
		{"it says an hour", time.Hour, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon("b1")
				d.now = time.Now
				calls := 0
				d.Platform.CacheEvents = func(context.Context, netip.AddrPort, uint64, time.Duration) (CacheEvents, error) {
					calls++
					return CacheEvents{Signals: notice.Signals{Backoff: tt.after}}, errors.New("turned away")
				}
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second-time.Millisecond)
				defer cancel()
				d.watchSource(ctx, watchSource{ctx: ctx, name: "a", hold: eventsHold, every: eventsInterval})
				if calls != tt.calls {
					t.Errorf("%d calls, want %d", calls, tt.calls)
				}
			})
		})
	}
}
