package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
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

// TestWholeReadsBounded guards against a box that becomes a hub and reads all sources whole at once:
// the answers fill its link, its own reads of the operator's rows and its calls to other boxes time
// out, and it goes on by an old configuration.
func TestWholeReadsBounded(t *testing.T) {
	const sources = 150
	tests := []struct {
		name     string
		megabits float64
		// answers is how long a source takes to answer, within the time in which all are read.
		answers, within time.Duration
		// most is the largest number of calls at once that the box waits for.
		most int
	}{
		{"a fast link", 1000, 5 * time.Millisecond, time.Second, maxWholeReads},
		{"a slow link", 24, 80 * time.Millisecond, 4 * time.Second, maxWholeReads},
		{"a slow link that is full", 24, time.Second, 10 * time.Second, 6 * maxWholeReads},
		{"sources without changes hold their calls", 200, eventsHold, 4 * time.Second, 9 * maxWholeReads},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon("b1")
				d.now, d.wholeReads = time.Now, newWholeReads(tt.megabits)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var mu sync.Mutex
				calls, most := 0, 0
				count := func(by int) {
					mu.Lock()
					defer mu.Unlock()
					calls += by
					most = max(most, calls)
				}
				d.Platform.CacheEvents = func(ctx context.Context, _ netip.AddrPort, since uint64, _ time.Duration) (CacheEvents, error) {
					if since > 0 {
						<-ctx.Done()
						return CacheEvents{}, ctx.Err()
					}
					count(1)
					<-time.After(tt.answers)
					count(-1)
					return CacheEvents{Next: 1}, nil
				}
				for range sources {
					go d.watchSource(ctx, watchSource{ctx: ctx, name: "a", hold: eventsHold, interval: eventsInterval})
				}
				end := time.After(tt.within)
				for read := range sources {
					select {
					case m := <-d.messages:
						d.update(time.Now(), m)
					case <-end:
						t.Fatalf("%d of %d sources were read within %v", read, sources, tt.within)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if most > tt.most {
					t.Errorf("%d sources were read at once, want at most %d", most, tt.most)
				}
			})
		})
	}
}
