package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/revision"
)

// TestEmptyTableService guards against boxes that read an empty table service in a busy loop: a
// fleet starts before its configuration is written, and each call is billed.
func TestEmptyTableService(t *testing.T) {
	const (
		empty   = 3 * time.Second
		answers = 4 * time.Millisecond
	)
	for _, peers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newDaemon("b1")
			d.now = time.Now
			if peers {
				d.Settings.Peers = entryAt("p", "10.0.0.1:1").Address
			}
			began := time.Now()
			calls := 0
			d.Platform.Operator = func(ctx context.Context, after revision.Revision, hold time.Duration) (Operator, error) {
				if time.Since(began) < empty {
					calls++
					d.sleep(ctx, answers)
					return Operator{Snapshot: true}, nil
				}
				if !after.IsZero() {
					d.sleep(ctx, hold)
				}
				d.sleep(ctx, answers)
				return Operator{Snapshot: true, Known: rev(3), Table: configuration(3)}, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			d.outage.start(ctx)
			go d.watchOperator(ctx)
			read := time.Duration(0)
			for m := range d.messages {
				d.update(time.Now(), m)
				if d.version() == 3 {
					read = time.Since(began)
					break
				}
			}
			cancel()
			synctest.Wait()
			if most := int(4 * empty.Seconds()); calls > most {
				t.Errorf("with peers %v: %d calls in %v while nothing was written, want %d at most", peers, calls, empty, most)
			}
			if late := read - empty; late > time.Second/2 {
				t.Errorf("with peers %v: the configuration is in force %v after it was written", peers, late)
			}
		})
	}
}
