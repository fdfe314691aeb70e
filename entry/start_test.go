package entry

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/revision"
)

// TestStartReads checks when a starting box reads the target list, and the operator's rows a
// second time, by what it learns of its role. A spoke that a hub answers reads neither, a hub
// reads at once, and a box that learns no role, or a spoke that no hub answers, reads after a
// while. Where a configuration exists the fleet runs, and a box that joins reads the list
// without waiting for its role.
func TestStartReads(t *testing.T) {
	tests := []struct {
		name string
		// unreachable means that other boxes can't call this one, configured that there is a
		// configuration.
		unreachable, configured bool
		// role is when the box learns its role, hub whether that is a hub, hubAnswers when a hub
		// first answers; zero is never.
		role       time.Duration
		hub        bool
		hubAnswers time.Duration
		// list and operator are the times of the reads; zero is none within 10 s.
		list, operator time.Duration
	}{
		{"a spoke", false, false, 2 * time.Second, false, 2500 * time.Millisecond, 0, 0},
		{"a hub", false, false, 2 * time.Second, true, 0, 2 * time.Second, 2 * time.Second},
		{"a spoke that no hub answers", false, false, 2 * time.Second, false, 0, 2*time.Second + hubListTimeout, 2*time.Second + hubOperatorTimeout},
		{"no role", false, false, 0, false, 0, roleTimeout, roleTimeout},
		{"joins, with no role for long", false, true, 4 * time.Second, true, 0, noWait, noWait},
		{"joins as a spoke", false, true, 20 * time.Millisecond, false, 200 * time.Millisecond, 0, 0},
		{"no address for other boxes", true, false, 0, false, 0, noWait, noWait},
		{"known before", false, true, 20 * time.Millisecond, true, 0, noWait, noWait},
	}
	// The loop applies the configuration before its reader goes on, or well after that.
	for i := range 2 * len(tests) {
		tt, loopFirst := tests[i/2], i%2 == 0
		t.Run(fmt.Sprintf("%s, loop first %v", tt.name, loopFirst), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon("b1")
				d.now = time.Now
				if !tt.unreachable {
					d.Settings.Peers = netip.MustParseAddrPort("10.0.0.1:1")
				}
				d.startedAt = time.Now()
				var list, operator time.Duration
				reads := 0
				d.Platform.Targets = func(ctx context.Context, _ revision.Revision, _ time.Duration) (Targets, error) {
					if list == 0 {
						list = max(d.uptime(time.Now()), noWait)
					}
					<-ctx.Done()
					return Targets{}, ctx.Err()
				}
				d.Platform.Operator = func(ctx context.Context, _ revision.Revision, _ time.Duration) (Operator, error) {
					if reads++; reads == 1 {
						d.sleep(ctx, tableServiceDelay)
						if tt.configured {
							if loopFirst {
								d.current.Store(configuration(1))
							}
							return Operator{Table: configuration(1), Known: rev(1)}, nil
						}
						return Operator{Known: rev(1)}, nil
					}
					if operator == 0 {
						operator = max(d.uptime(time.Now()), noWait)
					}
					<-ctx.Done()
					return Operator{}, ctx.Err()
				}
				ctx, cancel := context.WithCancel(t.Context())
				d.outage.start(ctx)
				go d.watchTargets(ctx)
				go d.watchOperator(ctx)
				go func() {
					for m := range d.messages {
						if read, ok := m.(operatorRead); ok && read.change.Table != nil {
							time.Sleep(time.Millisecond)
							d.current.Store(read.change.Table)
						}
					}
				}()
				defer close(d.messages)
				at := func(after time.Duration, do func(now time.Time)) {
					if after > 0 {
						time.AfterFunc(after, func() { do(time.Now()) })
					}
				}
				at(tt.role, func(now time.Time) {
					d.spoke.Store(!tt.hub)
					d.roleSince.Store(&now)
				})
				at(tt.hubAnswers, func(time.Time) {
					for ctx.Err() == nil {
						now := time.Now()
						d.current.setProvedAt(now)
						d.sleep(ctx, spokeGossipInterval)
					}
				})
				time.Sleep(10 * time.Second)
				cancel()
				synctest.Wait()
				within := func(got, want time.Duration) bool {
					return want == 0 && got == 0 || want > 0 && got >= want && got <= want+tableServiceDelay+viewPoll
				}
				if !within(list, tt.list) || !within(operator, tt.operator) {
					t.Errorf("the list is read after %v, want %v; the operator's rows again after %v, want %v", list, tt.list, operator, tt.operator)
				}
			})
		})
	}
}

// noWait stands for a read without any wait.
const noWait = time.Nanosecond
