package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/table"
)

// bound is how long a request may begin on replaced weights in these tests.
const bound = 12 * time.Second

// leaderWithTwoVersions has a daemon with the lease read version 2, which was named 10 s after
// start, when the table service's clock showed 110 s.
func leaderWithTwoVersions(t *testing.T, engines ...fleet.Entry) (*Daemon, time.Time) {
	t.Helper()
	d := newDaemon("b1")
	now := start
	d.now = func() time.Time { return now }
	d.lease.Now = d.now
	d.update(now, operatorRead{now, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}, Clock: 100 * time.Second}})
	d.update(now, targetsRead{now, Targets{Snapshot: true, Listed: engines}, false})
	now = start.Add(10 * time.Second)
	d.update(now, operatorRead{now.Add(-minHold - 10*time.Millisecond), Operator{Weights: map[string]int64{"m": 2}, Clock: 110 * time.Second, Held: true}})
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	d.tables.readEpoch, _, _ = d.lease.Held()
	return d, now
}

// rowWritten runs the rollout and returns the row that it writes, if any.
func rowWritten(d *Daemon, now time.Time) (table.Row, bool) {
	for _, e := range d.rollWeights(now, &d.tables) {
		if a, ok := e.(announce); ok {
			return a.row, true
		}
	}
	return table.Row{}, false
}

// TestRestartedBoxKnowsVersionTime starts a box 4 s after a version was named. It takes the time
// of that from the rollout's row, whichever is read first. Without a row it assumes that the
// version was named a little before its own first read.
func TestRestartedBoxKnowsVersionTime(t *testing.T) {
	holder, now := leaderWithTwoVersions(t, engine("a", 1))
	row, written := rowWritten(holder, now)
	if !written {
		t.Fatal("the rollout's row is not written")
	}
	own := ownRead{change: OwnRows{Rows: []table.Row{row}}}
	operator := func(at time.Time) message {
		return operatorRead{at, Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}, Clock: 114 * time.Second}}
	}
	// The holder's proof is from half a second before the version was named.
	recorded := 10*time.Second - feedLag + bound - overdueMargin
	assumed := 14*time.Second - unrecordedAge + bound - overdueMargin
	tests := []struct {
		name string
		read func(d *Daemon, at time.Time)
		ends time.Duration // When requests may no longer be sent to version 1.
	}{
		{"the row is read first", func(d *Daemon, at time.Time) { d.update(at, own); d.update(at, operator(at)) }, recorded},
		{"the row is read last", func(d *Daemon, at time.Time) { d.update(at, operator(at)); d.update(at, own) }, recorded},
		{"there is no row", func(d *Daemon, at time.Time) { d.update(at, operator(at)) }, assumed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b2")
			tt.read(d, start.Add(14*time.Second))
			w := d.tables.rolloutOf("m")
			if got := w.requiredVersion(start.Add(tt.ends-5*time.Millisecond), bound); got > 1 {
				t.Errorf("version %d is required too early", got)
			}
			if got := w.requiredVersion(start.Add(tt.ends), bound); got != 2 {
				t.Errorf("version %d is required, want 2", got)
			}
		})
	}
}

// TestLateRead names a version right after an answer. If the next read was late, the version may
// be as old as the answer before; only a read that was held shows more.
func TestLateRead(t *testing.T) {
	const gap = 4 * time.Second
	tests := []struct {
		name string
		took time.Duration
		held bool
		most time.Duration // How long ago the version can have been named.
	}{
		{"answered at once after a gap", 0, true, gap},
		{"held for a moment after a gap", minHold / 2, true, gap},
		{"not held, and slow", minHold + 10*time.Millisecond, false, gap},
		{"held", minHold + 10*time.Millisecond, true, feedLag},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Weights: map[string]int64{"m": 1}, Clock: 100 * time.Second}})
			now := start.Add(gap)
			d.update(now, operatorRead{now.Add(-tt.took), Operator{Weights: map[string]int64{"m": 2}, Clock: 100*time.Second + gap, Held: tt.held}})
			if got := d.tables.rolloutOf("m").age(now, 2); got < tt.most || got > tt.most+5*time.Millisecond {
				t.Errorf("%v old, want %v", got, tt.most)
			}
		})
	}
}

// TestClockReset checks that times on the table service's clock are not used after that clock
// was reset, and that the versions are then recorded again.
func TestClockReset(t *testing.T) {
	d, now := leaderWithTwoVersions(t, engine("a", 1))
	if _, written := rowWritten(d, now); !written {
		t.Fatal("the rollout's row is not written")
	}
	d.update(now, announced{announce{model: "m", epoch: 1}, nil})
	now = now.Add(5 * time.Second)
	d.update(now, operatorRead{now, Operator{Clock: time.Second}})
	w := d.tables.rolloutOf("m")
	if age := w.age(now, 2); age < 5*time.Second {
		t.Errorf("the version was named %v ago, want over 5 s", age)
	}
	if !w.versionLog.Missing(2, &d.tables.tableClock) {
		t.Error("the version is not recorded again")
	}
}

// TestLateRowIsCorrected checks that a row written late over a newer one is corrected.
func TestLateRowIsCorrected(t *testing.T) {
	d, now := leaderWithTwoVersions(t, engine("a", 1))
	old, _ := rowWritten(d, now)
	d.update(now, announced{announce{model: "m", epoch: 1}, nil})
	d.update(now, operatorRead{now, Operator{Weights: map[string]int64{"m": 3}, Clock: 110 * time.Second}})
	if _, written := rowWritten(d, now); !written {
		t.Fatal("version 3 is not written")
	}
	d.update(now, announced{announce{model: "m", epoch: 1}, nil})
	d.update(now, ownRead{change: OwnRows{Rows: []table.Row{old}}})
	if _, written := rowWritten(d, now); !written {
		t.Error("the late row stands")
	}
}

// TestFailedRowWriteBacksOff checks that a failed write of the row is retried only after a
// pause, as each attempt is charged for.
func TestFailedRowWriteBacksOff(t *testing.T) {
	d, now := leaderWithTwoVersions(t, engine("a", 1))
	if _, written := rowWritten(d, now); !written {
		t.Fatal("the rollout's row is not written")
	}
	d.update(now, announced{announce{model: "m", epoch: 1}, errors.New("lost")})
	if _, written := rowWritten(d, now.Add(announceRetryDelay-time.Millisecond)); written {
		t.Error("tried again at once")
	}
	if _, written := rowWritten(d, now.Add(announceRetryDelay)); !written {
		t.Error("not tried again")
	}
}

// TestAssumedVersionTimeIsRecorded checks that a box that could only assume when a version was named
// records that, so that boxes that restart repeatedly don't assume a new time.
func TestAssumedVersionTimeIsRecorded(t *testing.T) {
	first := func(row *table.Row, at time.Duration) *Daemon {
		d := newDaemon("b1")
		d.now = func() time.Time { return start.Add(at) }
		d.lease.Now = d.now
		if row != nil {
			d.update(d.now(), ownRead{change: OwnRows{Rows: []table.Row{*row}}})
		}
		d.update(d.now(), operatorRead{d.now(), Operator{Table: configuration(1), Weights: map[string]int64{"m": 2}, Clock: at + time.Hour}})
		d.update(d.now(), targetsRead{d.now(), Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
		return d
	}
	d := first(nil, 0)
	if err := d.lease.AcquireOrRenew(context.Background()); err != nil {
		t.Fatal(err)
	}
	d.tables.readEpoch, _, _ = d.lease.Held()
	row, written := rowWritten(d, start)
	if !written {
		t.Fatal("the rollout's row is not written")
	}
	d = first(&row, 8*time.Second)
	if got := d.tables.rolloutOf("m").requiredVersion(start.Add(bound-overdueMargin-unrecordedAge), bound); got != 2 {
		t.Errorf("version %d is required, want 2 as the first box assumed", got)
	}
}

// TestVersionIsRecordedWithoutOrders checks that a version is recorded even if no engine can be
// ordered yet, and only once.
func TestVersionIsRecordedWithoutOrders(t *testing.T) {
	d, now := leaderWithTwoVersions(t, engine("a", 1), engine("b", 1), engine("c", 1))
	row, _ := rowWritten(d, now)
	d.update(now, announced{announce{model: "m", epoch: 1}, nil})
	if _, again := rowWritten(d, now); again {
		t.Error("the row is written again without need")
	}
	d.update(now, operatorRead{now, Operator{Weights: map[string]int64{"m": 3}, Clock: 110 * time.Second}})
	row, written := rowWritten(d, now)
	var recorded rolloutRow
	if err := json.Unmarshal(row.Value, &recorded); !written || err != nil {
		t.Fatalf("written %v, %v", written, err)
	}
	newest := recorded.Namings[len(recorded.Namings)-1]
	if newest.Version != 3 || newest.Assumed || newest.AtMS != 110000 {
		t.Errorf("recorded %+v", newest)
	}
	d.update(now, announced{announce{model: "m", epoch: 1}, nil})
	if _, again := rowWritten(d, now); again {
		t.Error("the row is written again without need")
	}
}

// TestWeightVersionsInHubView checks that a box that uses a hub's view keeps the same bound,
// counted from when it requested the view.
func TestWeightVersionsInHubView(t *testing.T) {
	hub, spoke := largeFleet("box-00"), largeFleet("box-05")
	hub.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}}})
	hub.update(start, operatorRead{start, Operator{Weights: map[string]int64{"m": 2}}})
	later := start.Add(5 * time.Second)
	hub.update(later, operatorRead{later, Operator{}})
	hub.update(later, operatorRead{later, Operator{Weights: map[string]int64{"m": 3}}})
	answer := hub.peerRequest(later, &hub.tables, peer.Message{Kind: peer.KindGossip, From: "box-05"})
	spoke.update(later.Add(200*time.Millisecond), peerAnswered{"box-00", later, answer, nil})
	w := spoke.tables.rolloutOf("m")
	if w.newestVersion != 3 {
		t.Errorf("newest %d, want 3", w.newestVersion)
	}
	if got := w.requiredVersion(start.Add(bound-overdueMargin), bound); got != 2 {
		t.Errorf("version %d is required, want 2", got)
	}
}

// TestHubsPlaceOnOldWeights has a hub that lacks the newest version place a request. The box that
// sends it keeps the bound.
func TestHubsPlaceOnOldWeights(t *testing.T) {
	tests := []struct {
		name    string
		named   time.Duration // How long ago version 2 was named.
		refused bool
	}{
		{"within the bound", bound - overdueMargin - time.Millisecond, false},
		{"after it", bound - overdueMargin, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spoke := boxWithEngines("box-05")
			w := spoke.tables.rolloutOf("m")
			w.setNewest(start, 2)
			w.versionLog.Prove(2, start.Add(-tt.named), 0)
			answer, ok := spoke.acceptHubPlace(start, &spoke.tables, deliver.PlacementRequest{Job: job("long", 10)}, &peer.PlacementResponse{Target: "a", Version: 1})
			if ok == tt.refused {
				t.Fatalf("accepted: %v", ok)
			}
			if want := start.Add(bound - beginMargin - tt.named); ok && !answer.place.BeginBy.Equal(want) {
				t.Errorf("to begin by %v, want %v", answer.place.BeginBy, want)
			}
		})
	}
}

// TestWeightsStale checks that a box that can't know which weights are the newest sends nothing
// to engines.
func TestWeightsStale(t *testing.T) {
	tests := []struct {
		proved time.Duration
		code   string
	}{
		{bound, ""},
		{staleBounds*bound - time.Millisecond, ""},
		{staleBounds * bound, "stale"},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint("proved ", tt.proved, " ago"), func(t *testing.T) {
			d := newDaemon("b1")
			d.update(start, operatorRead{start, Operator{Table: configuration(1), Weights: map[string]int64{"m": 1}}})
			d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}}, false})
			_, err := d.place(start.Add(tt.proved), &d.tables, deliver.PlacementRequest{Job: job("short", 10)})
			if code := refusedFor(err); code != tt.code {
				t.Errorf("refused for %q, want %q", code, tt.code)
			}
		})
	}
}

// refusedFor returns a refusal's code, or an empty string for none.
func refusedFor(err error) string {
	if err == nil {
		return ""
	}
	return refusal.Of(err, refusal.Unknown, 0).Code
}
