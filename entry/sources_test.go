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

// TestCacheEventsBackoff has a source reject the calls for its cache events: they are repeated
// after the backoff that it asks for, within bounds.
func TestCacheEventsBackoff(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		calls int // Within 6 s.
	}{
		{"no backoff", 0, 20},
		{"shorter than the usual pause", 100 * time.Millisecond, 20},
		{"within bounds", time.Second, 6},
		{"an hour", time.Hour, 2},
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
				d.watchSource(ctx, watchSource{ctx: ctx, name: "a", hold: eventsHold, interval: eventsInterval})
				if calls != tt.calls {
					t.Errorf("%d calls, want %d", calls, tt.calls)
				}
			})
		})
	}
}
