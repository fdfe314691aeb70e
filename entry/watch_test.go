package entry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/revision"
)

// TestReadHolds bounds the calls to the table service by a box's role and state.
func TestReadHolds(t *testing.T) {
	tests := []struct {
		name    string
		change  func(d *Daemon)
		hold    time.Duration
		targets time.Duration
	}{
		{"at start, nothing known", func(*Daemon) {}, proofHold, targetsReadInterval},
		{"new, waits for the others' rows", func(d *Daemon) { d.update(start, ownRead{OwnRows{}, false}) }, startHold, targetsStartInterval},
		{"there before", func(d *Daemon) { d.update(start, ownRead{OwnRows{}, true}) }, proofHold, targetsReadInterval},
		{"new, the others' rows are known", func(d *Daemon) {
			d.update(start, ownRead{OwnRows{}, false})
			d.update(start, ownRead{OwnRows{}, true})
		}, proofHold, targetsReadInterval},
		{"a hub", func(d *Daemon) { d.hasSpokes.Store(true) }, hubHold, targetsReadInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			tt.change(d)
			if got := d.operatorHold(); got != tt.hold {
				t.Errorf("reads of the operator's rows are held for %v, want %v", got, tt.hold)
			}
			if got := d.targetsPause(); got != tt.targets {
				t.Errorf("the list is read every %v, want %v", got, tt.targets)
			}
		})
	}
}

// TestProofsInTime checks the times for the worst case: a read of the operator's rows goes out
// right after the last one, and its connection goes silent. It is given up and repeated before
// the keys proved by the last read expire.
func TestProofsInTime(t *testing.T) {
	// silent is the least timeout of the table service's client after a hold, again what the
	// second read and its way to the loop take under load.
	const trusted, silent, again = 5 * time.Second, 500 * time.Millisecond, 200 * time.Millisecond
	for _, each := range []time.Duration{proofHold, hubHold, startHold} {
		if age := 2*each + silent + again; age > trusted-proofMargin {
			t.Errorf("held for %v, proofs get %v old, over %v", each, age, trusted-proofMargin)
		}
	}
}

// TestRepeatedReadTime has a read of the operator's rows repeated, as its connection was
// silent. The loop must learn when the answered read was sent: that one was not held, and a
// change that it reports may be older.
func TestRepeatedReadTime(t *testing.T) {
	again := start.Add(time.Hour)
	d := newDaemon("b1")
	d.Platform.Operator = func(context.Context, revision.Revision, time.Duration) (Operator, error) {
		return Operator{RequestedAt: again}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.outage.start(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); d.watchOperator(ctx) }()
	m, ok := (<-d.messages).(operatorRead)
	cancel()
	<-ended
	if !ok || !m.requestedAt.Equal(again) {
		t.Errorf("requested at %v, want %v", m.requestedAt, again)
	}
}

// TestReadsInAnOutage shows that a box that lost the table service polls it with calls that are
// not held. A held call on a connection that stays silent would be given up only 3 s after the
// service is back, and a configuration has to be in force within 2 s. After the first answer
// reads are held again.
func TestReadsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("b1")
		ctx, cancel := context.WithCancel(t.Context())
		d.outage.start(ctx)
		var holds []time.Duration
		d.Platform.Operator = func(_ context.Context, _ revision.Revision, hold time.Duration) (Operator, error) {
			holds = append(holds, hold)
			switch len(holds) {
			case 2, 3:
				return Operator{}, errors.New("no answer")
			case 5:
				cancel()
			}
			return Operator{}, nil
		}
		d.watchOperator(ctx)
		if want := []time.Duration{proofHold, proofHold, 0, 0, proofHold}; !slices.Equal(holds, want) {
			t.Errorf("held for %v, want %v", holds, want)
		}
	})
}

// TestFewReadsInAnOutage bounds the reads of a spoke in an outage of 8 s: there are many
// spokes, and each call is billed. It reads again within a second after the service is back, or
// stops at once if a hub has a fresh view.
func TestFewReadsInAnOutage(t *testing.T) {
	const lasts = 8 * time.Second
	tests := []struct {
		name  string
		spoke bool
		least int
		most  int
	}{
		{"a hub", false, 30, 33},
		{"a spoke", true, 8, 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon("b1")
				d.now = time.Now
				d.spoke.Store(tt.spoke)
				ctx, cancel := context.WithCancel(t.Context())
				d.outage.start(ctx)
				began := time.Now()
				reads := 0
				d.Platform.Operator = func(context.Context, revision.Revision, time.Duration) (Operator, error) {
					if time.Since(began) < lasts {
						reads++
						return Operator{}, errors.New("no answer")
					}
					cancel()
					return Operator{}, nil
				}
				d.watchOperator(ctx)
				if reads < tt.least || reads > tt.most {
					t.Errorf("%d reads, want %d to %d", reads, tt.least, tt.most)
				}
				if late := time.Since(began) - lasts; late > maxSpokeRetryDelay {
					t.Errorf("first read %v after the service was back", late)
				}
			})
		})
	}
}

// TestFreshViewEndsBackoff has a hub's fresh view end the backoff after failed reads.
func TestFreshViewEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("b1")
		d.now = time.Now
		d.spoke.Store(true)
		time.AfterFunc(100*time.Millisecond, func() {
			now := time.Now()
			d.current.setProvedAt(now)
		})
		began := time.Now()
		d.backOffReads(t.Context(), 9)
		if took := time.Since(began); took > readRetryDelay {
			t.Errorf("waited for %v", took)
		}
	})
}
