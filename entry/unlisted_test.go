package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/table"
)

// startingFleet is a fleet of boxes that start at once and know nothing, sharing one table.
type startingFleet struct {
	rows fake.Table
	// calls counts the calls to the table service, rowsRead the rows that it returned.
	calls, rowsRead atomic.Int64
	boxes           []*Daemon
}

func newStartingFleet(t *testing.T, boxes, strong int) *startingFleet {
	t.Helper()
	f := &startingFleet{}
	for i := range boxes {
		d := newDaemon(fmt.Sprintf("box-%04d", i))
		d.Settings.Domain = fmt.Sprintf("d%d", i%3)
		d.Settings.Peers = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
		d.Settings.Box.Share = weakShare
		if i < strong {
			d.Settings.Box.Share = hubShare
		}
		d.now = time.Now
		d.startedAt = time.Now()
		d.Platform.Commit = func(ctx context.Context, tx table.Transaction) error {
			f.calls.Add(1)
			return f.rows.Commit(ctx, tx)
		}
		d.Platform.OwnRows = func(ctx context.Context, after revision.Revision, _ time.Duration) (OwnRows, error) {
			f.calls.Add(1)
			rows, err := f.rows.ListAll(ctx, "")
			version := uint64(1 + len(rows))
			if after == rev(version) {
				<-ctx.Done() // No later change matters to a test.
				return OwnRows{}, ctx.Err()
			}
			f.rowsRead.Add(int64(len(rows)))
			return OwnRows{Snapshot: true, Rows: rows, Known: rev(version)}, err
		}
		f.boxes = append(f.boxes, d)
	}
	return f
}

// run has all boxes read and write their rows for a time.
func (f *startingFleet) run(t *testing.T, length time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	for _, d := range f.boxes {
		d.outage.start(ctx)
		go d.watchOwnRows(ctx)
		go func() {
			for {
				select {
				case m := <-d.messages:
					d.update(time.Now(), m)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	<-ctx.Done()
	synctest.Wait()
}

// TestManyBoxesStart starts fleets at once. In a small fleet each box writes its row and reads
// all others'. In one with enough hubs the other boxes write none, know at once that they are
// spokes, and read some dozen rows whatever the fleet's size.
func TestManyBoxesStart(t *testing.T) {
	t.Parallel()
	tests := []struct {
		boxes, strong int
		// members is the number of rows in the end, calls the most calls of a box, rowsRead the
		// most rows returned to a box.
		members         int
		calls, rowsRead int64
	}{
		{9, 3, 9, 5, 20},
		{60, 6, 60, 5, 160},
		{300, 45, 45, 4, 100},
		{900, 45, 45, 4, 100},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d boxes, %d strong", tt.boxes, tt.strong), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStartingFleet(t, tt.boxes, tt.strong)
				f.run(t, 5*time.Second)
				rows, err := f.rows.ListAll(context.Background(), memberPrefix)
				if err != nil || len(rows) != tt.members {
					t.Errorf("%d rows, want %d; %v", len(rows), tt.members, err)
				}
				calls, rowsRead := f.calls.Load()/int64(tt.boxes), f.rowsRead.Load()/int64(tt.boxes)
				t.Logf("%d calls and %d rows read per box", calls, rowsRead)
				if calls > tt.calls || rowsRead > tt.rowsRead {
					t.Errorf("%d calls and %d rows read per box, want at most %d and %d", calls, rowsRead, tt.calls, tt.rowsRead)
				}
				for i, d := range f.boxes {
					if d.roleSince.Load() == nil || tt.boxes > 12 && d.spoke.Load() == d.hub(time.Now(), &d.tables) {
						t.Fatalf("box %d does not know its role", i)
					}
				}
			})
		})
	}
}

// TestUnlistedCounted has hubs meet unlisted boxes, exchange their counts and report the total
// to their spokes. A box that no longer calls is not counted.
func TestUnlistedCounted(t *testing.T) {
	t.Parallel()
	const boxes, domains = 120, 18
	w := emulate(boxes, domains, configuration(1))
	for _, d := range w.boxes {
		for _, other := range w.boxes[strongPerDomain*domains:] { // Only the hubs have rows.
			if other != d {
				delete(d.tables.members, other.Settings.Name)
			}
		}
		d.unlisted.Store(d.Settings.Box.Share < hubShare)
	}
	w.advance(3*time.Second, nil)
	count := func(d *Daemon) int { return d.tables.boxCount(w.now) }
	for _, d := range w.boxes {
		if got := count(d); got < boxes || got > boxes+2 {
			t.Errorf("%s counts %d of %d boxes", d.Settings.Name, got, boxes)
		}
	}
	for _, d := range w.boxes[80:] {
		w.dead[d.Settings.Name] = true
	}
	w.advance(metTTL+2*time.Second, nil)
	if got := count(w.boxes[0]); got < 80 || got > 82 {
		t.Errorf("%d of 80 boxes are counted after the others ended", got)
	}
}

// burstWithinTotal holds if the retry bursts of unlisted boxes stay within the fleet's total,
// for any names and number of boxes and counts that are slightly wrong.
func burstWithinTotal(burst func(name string, boxes int, all float64) float64) gopter.Prop {
	const all = 1040 * retryUtilization
	return prop.ForAll(func(prefix string, boxes, wrong int) bool {
		sum := 0.0
		for i := range boxes {
			sum += burst(fmt.Sprintf("%s-%d", prefix, i), boxes+boxes*wrong/100, all)
		}
		return sum <= all
	}, gen.Identifier(), gen.IntRange(800, 2500), gen.IntRange(-3, 10))
}

// TestSampledBurst bounds the sum of the sampled retry bursts; without the sampling, in the
// next test, the bound breaks.
func TestSampledBurst(t *testing.T) { proptest.Holds(t, burstWithinTotal(sampledBurst)) }

func TestSampledBurstNeedsSampling(t *testing.T) {
	proptest.Violated(t, burstWithinTotal(func(string, int, float64) float64 { return 1 }))
}

// TestUnlistedBurst checks the retry burst of an unlisted box before and after it knows the
// number of boxes.
func TestUnlistedBurst(t *testing.T) {
	d := largeFleet("box-05")
	d.unlisted.Store(true)
	if got := d.retryBurst(start, &d.tables); got != 0 {
		t.Errorf("burst %v before it knows the number of boxes", got)
	}
	d.update(start, peerAnswered{"box-00", start, peer.Message{View: &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, Boxes: 22}}, nil})
	if got := d.retryBurst(start, &d.tables); got <= 0 {
		t.Errorf("burst %v of 35 for 22 boxes", got)
	}
}

// TestUnlistedWatchNoRows has an unlisted box receive a hub's view soon after it knows its
// role. It reads the rows twice, to learn that it needs none, and does not watch them.
func TestUnlistedWatchNoRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, 60, 45)
		last := f.boxes[59]
		reads := 0
		own := last.Platform.OwnRows
		last.Platform.OwnRows = func(ctx context.Context, after revision.Revision, hold time.Duration) (OwnRows, error) {
			reads++
			return own(ctx, after, hold)
		}
		go func() {
			for t.Context().Err() == nil {
				if now := time.Now(); last.roleSince.Load() != nil && now.Sub(*last.roleSince.Load()) > spokeGossipInterval {
					last.current.setProvedAt(now)
				}
				last.sleep(t.Context(), spokeGossipInterval)
			}
		}()
		f.run(t, 8*time.Second)
		if reads > 2 || !last.unlisted.Load() {
			t.Errorf("%d reads of the rows; unlisted: %v", reads, last.unlisted.Load())
		}
	})
}

// TestJoinedIsNotUnlisted has a hub report one box more than another box has read the rows of.
// That box goes on with the names that it knows, also for cold targets of a service, which all
// boxes share.
func TestJoinedIsNotUnlisted(t *testing.T) {
	d := largeFleet("box-05")
	report := func(boxes, unlisted int) {
		view := &peer.View{WeightVersions: map[string][]peer.WeightVersion{}, Boxes: boxes, Unlisted: unlisted}
		d.update(start, peerAnswered{"box-00", start, peer.Message{View: view}, nil})
	}
	shares := func() int { return len(d.tables.placing(start, &routing.Pool{Name: "orders"})) }
	if report(21, 0); shares() != 20 {
		t.Errorf("%d boxes share a cold target of a service, want 20", shares())
	}
	if report(60, 40); shares() != 4 {
		t.Errorf("%d boxes share it while 40 are unlisted, want the hubs", shares())
	}
}

// TestWeakBoxJoins starts a weak box in a fleet that starts and in one that runs. Only in the
// former does it wait for stronger boxes' rows; in the latter it writes its row at once and
// reads on.
func TestWeakBoxJoins(t *testing.T) {
	for _, runs := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newStartingFleet(t, 1, 0)
			d := f.boxes[0]
			if runs {
				time.AfterFunc(20*time.Millisecond, func() { d.current.Store(configuration(1)) })
			}
			began := time.Now()
			var wrote time.Duration
			commit := d.Platform.Commit
			d.Platform.Commit = func(ctx context.Context, tx table.Transaction) error {
				if wrote == 0 {
					wrote = time.Since(began)
				}
				return commit(ctx, tx)
			}
			f.run(t, 6*time.Second)
			if runs && wrote > 2*viewPoll || !runs && wrote < weakWait {
				t.Errorf("the fleet runs: %v; the box's row was written after %v", runs, wrote)
			}
		})
	}
}
