package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/reclaim"
)

// TestFreeing checks when parts computed with older weights may be freed: not before every
// fetch has ended, and only if the list of targets is complete.
func TestFreeing(t *testing.T) {
	const (
		// later is when no fetch on older weights can be in flight any more, soon is right
		// after the last engine got the newer ones.
		soon  = 10*time.Second + time.Millisecond
		later = 20 * time.Second
	)
	tests := []struct {
		name   string
		change func(d *Daemon, now time.Time)
		after  time.Duration
		frees  bool
	}{
		{"too early", func(*Daemon, time.Time) {}, soon, false},
		{"late enough", func(*Daemon, time.Time) {}, later, true},
		{"an engine with older weights went without notice", func(d *Daemon, now time.Time) {
			d.update(now, targetsRead{now, Targets{Listed: []fleet.Entry{engine("c", 1)}}, false})
			d.update(now, targetsRead{now, Targets{Removed: []string{"c"}}, false})
		}, later, false},
		{"an engine with the newer weights went without notice", func(d *Daemon, now time.Time) {
			d.update(now, targetsRead{now, Targets{Removed: []string{"b"}}, false})
		}, later, true},
		{"the store came back meanwhile", func(d *Daemon, now time.Time) { d.update(now, tableServiceBack{}) }, later, false},
		{"the store is away", func(d *Daemon, now time.Time) { d.update(now, tableServiceLost{errors.New("away")}) }, later, false},
		{"the clock is not known", func(d *Daemon, _ time.Time) { d.tables.clockKnown = false }, later, false},
		{"they were cleared already", func(d *Daemon, _ time.Time) { d.tables.rolloutOf("m").freed = 2 }, later, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.tables.clockKnown, d.tables.ownRowsKnown = true, true
			d.tables.stores = []*affinity.Source{{Name: "s"}}
			d.update(start, operatorRead{start, Operator{Weights: map[string]int64{"m": 2}}})
			w := d.tables.rolloutOf("m")
			w.reclaim.SetFloor(start, 1)
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 2), engine("b", 2)}}, false})
			w.reclaim.SetFloor(start.Add(10*time.Second), 2)
			tt.change(d, start.Add(later-time.Second))
			if effects := d.freeStale(start.Add(tt.after), &d.tables, "m", w); (len(effects) > 0) != tt.frees {
				t.Errorf("effects %v, want some: %v", effects, tt.frees)
			}
		})
	}
}

// TestFreeingDuringRollout checks that parts of a version that no engine has any more are freed
// while a still newer one is rolled out.
func TestFreeingDuringRollout(t *testing.T) {
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.tables.clockKnown, d.tables.ownRowsKnown = true, true
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}}})
	d.tables.stores = []*affinity.Source{{Name: "s"}}
	d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 2), engine("b", 2), engine("c", 2)}}, false})
	d.rollWeights(now, &d.tables)
	now = now.Add(10 * time.Second)
	d.update(now, operatorRead{now, Operator{Weights: map[string]int64{"m": 3}}})
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	d.tables.readEpoch, _, _ = d.lease.Held()
	var frees, orders int
	for _, e := range d.rollWeights(now, &d.tables) {
		switch e := e.(type) {
		case freeParts:
			frees++
			if e.version != 2 {
				t.Errorf("freed below %d, want 2", e.version)
			}
		case announce:
			orders++
		}
	}
	if frees != 1 || orders != 1 {
		t.Errorf("%d times freed, %d times ordered", frees, orders)
	}
}

// TestFreedAgain checks that clearing a store that did not answer is retried a few times.
func TestFreedAgain(t *testing.T) {
	d := newDaemon("b1")
	w := d.tables.rolloutOf("m")
	for try := 1; try <= maxFreeAttempts; try++ {
		w.freeing = true
		d.update(start, staleFreed{"m", 2, errors.New("no answer")})
		if w.freeing {
			t.Fatal("the next attempt never comes")
		}
		if done := w.freed == 2; done != (try == maxFreeAttempts) {
			t.Errorf("after %d failures: given up %v", try, done)
		}
	}
	if w.freeAttempts != 0 || !w.freeRetryAt.After(start) {
		t.Errorf("%d attempts, next at %v", w.freeAttempts, w.freeRetryAt)
	}
}

// TestFetchOfOldParts checks that the deadline of a fetch follows from what this box knows of
// the weights.
func TestFetchOfOldParts(t *testing.T) {
	tests := []struct {
		name   string
		newest int64
		proved time.Duration
		want   time.Duration
	}{
		{"the newest weights", 1, time.Second, reclaim.FetchTimeout(true, 0)},
		{"older weights", 2, time.Second, reclaim.FetchTimeout(false, 0)},
		{"cut off", 1, 10 * time.Second, reclaim.FetchTimeout(false, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.startedAt = start
			d.tables.clockKnown = true
			d.update(start, operatorRead{start.Add(-tt.proved), Operator{Table: configuration(1), Weights: map[string]int64{"m": tt.newest}}})
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			place, refused := d.placeModel(start, &d.tables, deliver.PlacementRequest{Job: job("long", 10)})
			if refused != nil || place.FetchUntil != tt.want {
				t.Errorf("until %v, refused %v, want %v", place.FetchUntil, refused, tt.want)
			}
		})
	}
}

// TestNoFetchByLateEngine has an engine join with older weights while the stores are cleared of
// parts computed with them. Nobody waits for its fetches, so none is ordered. An engine listed
// before the newer version was named delays the clearing, and fetches.
func TestNoFetchByLateEngine(t *testing.T) {
	tests := []struct {
		name    string
		steps   func(d *Daemon)
		fetched int
	}{
		{"listed before the version was named", func(d *Daemon) { listEngine(d, 1); nameVersion(d, 2) }, 500},
		{"joined with older weights", func(d *Daemon) { nameVersion(d, 2); listEngine(d, 1) }, 0},
		{"left and joined again with older weights", func(d *Daemon) { listEngine(d, 1); nameVersion(d, 2); listNoEngine(d); listEngine(d, 1) }, 0},
		{"joined with the newest weights", func(d *Daemon) { nameVersion(d, 1); listEngine(d, 1) }, 500},
		{"joined with older weights and loaded, before the next version was named", func(d *Daemon) {
			nameVersion(d, 1)
			listEngine(d, 0)
			listEngine(d, 1)
			nameVersion(d, 2)
		}, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, prompt := spokeWithStore()
			listNoEngine(d)
			tt.steps(d)
			d.reconcileSources(start.Add(hublessAfter+time.Millisecond), &d.tables)
			d.update(start, cacheEventsRead{source: "s", events: CacheEvents{Epoch: 1, Changes: []CacheEvent{{Cached: true, Scope: "m@1", Part: "p", Tokens: 500}}}})
			place, refused := d.placeModel(start, &d.tables, deliver.PlacementRequest{Job: prompt})
			if refused != nil || place.FetchedTokens != tt.fetched || (place.Fetch != nil) != (tt.fetched > 0) {
				t.Errorf("fetched %d by %v, refused %v, want %d", place.FetchedTokens, place.Fetch, refused, tt.fetched)
			}
		})
	}
}

func listEngine(d *Daemon, version int64) {
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("x", version)}}, false})
}

func listNoEngine(d *Daemon) {
	d.update(start, targetsRead{start, Targets{Snapshot: true}, false})
}

func nameVersion(d *Daemon, version int64) {
	d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": version}}})
}
