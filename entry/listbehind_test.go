package entry

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/revision"
)

// partitionedHubs is four boxes: the hub box-11 reads the target list, the hub box-00 alone is
// cut off from the table service, and the spoke box-05 has box-00 as its first hub and box-01
// as its second.
type partitionedHubs struct {
	healthy, cut, second, spoke *Daemon
	// version is the revision of the newest change of the list.
	version uint64
}

func newPartitionedHubs() *partitionedHubs {
	x := &partitionedHubs{healthy: boxOfFleet("box-11"), cut: boxOfFleet("box-00"), second: boxOfFleet("box-01"), spoke: largeFleet("box-05"), version: 20}
	for _, d := range []*Daemon{x.healthy, x.cut, x.second} {
		d.update(start, operatorRead{start, Operator{Table: configuration(1), Changed: rev(3), Known: rev(9)}})
		d.update(start, targetsRead{start, Targets{Snapshot: true, Changed: rev(x.version), Known: rev(x.version), Listed: []fleet.Entry{entryAt("a", "10.1.0.1:1"), entryAt("b", "10.1.0.2:1")}}, false})
	}
	x.spoke.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	return x
}

// gossip has one box call another.
func gossip(now time.Time, from, to *Daemon) {
	m := peer.Message{Kind: peer.KindGossip, From: from.Settings.Name, ListVersion: from.tables.hubList.Number, ListStartVersion: from.tables.hubList.SnapshotAt, ListRevision: from.tables.listChanged}
	if from.tables.hub != to.Settings.Name {
		m.ListVersion, m.ListStartVersion = 0, 0
	}
	answer := to.peerRequest(now, &to.tables, m)
	from.update(now, peerAnswered{name: to.Settings.Name, requestedAt: now, answer: answer})
}

// advance runs the boxes for a time in which box-11 reads the operator's rows for all and the
// healthy hubs read the list.
func (x *partitionedHubs) advance(from, to time.Duration, read func(now time.Time, d *Daemon)) {
	for ms := from; ms < to; ms += 50 * time.Millisecond {
		now := start.Add(ms)
		if ms%hubHold == 0 {
			x.healthy.update(now, operatorRead{now, Operator{Known: rev(9)}})
		}
		for _, d := range []*Daemon{x.healthy, x.second} {
			if ms%targetsReadInterval == 0 {
				read(now, d)
			}
		}
		gossip(now, x.cut, x.healthy)
		gossip(now, x.second, x.healthy)
		gossip(now, x.cut, x.second)
		if ms%spokeGossipInterval == 0 {
			if hub := x.spoke.viewHub(now, &x.spoke.tables); hub == "box-00" {
				gossip(now, x.spoke, x.cut)
			} else if hub == "box-01" {
				gossip(now, x.spoke, x.second)
			}
		}
	}
}

// TestCutOffHubMissesDrain guards against work for a target that drains while a spoke's hub
// alone is cut off from the table service, and another hub proves that hub's configuration. The
// spoke is connected itself, so it must know of the drain within the platform's bound of 2 s.
// After the cut, a second target drains while the next hub is cut off.
func TestCutOffHubMissesDrain(t *testing.T) {
	const bound = 2 * time.Second
	x := newPartitionedHubs()
	x.advance(0, time.Second, func(time.Time, *Daemon) {})
	if x.spoke.tables.hub != "box-00" || x.spoke.tables.fleet.Target("a") == nil {
		t.Fatalf("the spoke does not use the first hub: %q", x.spoke.tables.hub)
	}
	leaving := func(id, at string) func(time.Time, *Daemon) {
		e := entryAt(id, at)
		e.Leaving = true
		x.version++
		return func(now time.Time, d *Daemon) {
			d.update(now, targetsRead{now, Targets{Changed: rev(x.version), Known: rev(x.version), Listed: []fleet.Entry{e}}, false})
		}
	}
	x.advance(time.Second, time.Second+bound, leaving("a", "10.1.0.1:1"))
	if a := x.spoke.tables.fleet.Target("a"); a != nil && a.Available(start.Add(time.Second+bound)) {
		t.Errorf("%v after its drain was written, a target gets work by the list of %q", bound, x.spoke.tables.hub)
	}
	x.cut.update(start.Add(3*time.Second), targetsRead{start.Add(3 * time.Second), Targets{Changed: rev(x.version), Known: rev(x.version)}, false})
	x.advance(3*time.Second, 5*time.Second, func(time.Time, *Daemon) {})
	if x.spoke.tables.hub != "box-00" {
		t.Errorf("the spoke uses %q, though the first hub reads again", x.spoke.tables.hub)
	}
	x.advance(5*time.Second, 5*time.Second+bound, leaving("b", "10.1.0.2:1"))
	if b := x.spoke.tables.fleet.Target("b"); b != nil && b.Available(start.Add(5*time.Second+bound)) {
		t.Error("a second target that drains gets work in the second cut")
	}
}

// TestListBehind lists when a hub's list counts as behind and what the hub does about it.
func TestListBehind(t *testing.T) {
	tests := []struct {
		name string
		// listed is the newest change that another hub reports, known the revision that this
		// one has read, after the time from the report to the check.
		listed, known uint64
		after         time.Duration
		again, behind bool
	}{
		{"nothing newer", 20, 20, time.Minute, false, false},
		{"read further than the other", 20, 30, time.Minute, false, false},
		{"newer, a moment ago", 21, 20, targetsReadInterval / 2, false, false},
		{"newer, for longer than a healthy read takes", 21, 20, behindReadAfter, true, false},
		{"newer, for too long", 21, 20, behindAfter, true, true},
		{"another hub reports no list", 0, 20, time.Minute, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := boxOfFleet("box-00")
			d.update(start, targetsRead{start, Targets{Snapshot: true, Changed: rev(tt.known), Known: rev(tt.known), Listed: []fleet.Entry{entryAt("a", "10.1.0.1:1")}}, false})
			d.update(start, peerAnswered{name: "box-11", requestedAt: start, answer: peer.Message{ListRevision: rev(tt.listed)}})
			now := start.Add(tt.after)
			d.rereadIfBehind(now, &d.tables)
			if got := d.listReads.interrupted(); got != tt.again {
				t.Errorf("the list is reread at once: %v", got)
			}
			if got := d.view(now, &d.tables, changelog.Cursor{}).ListBehind; got != tt.behind {
				t.Errorf("reports its list as behind: %v", got)
			}
			d.update(now, targetsRead{now, Targets{Known: rev(max(tt.listed, tt.known))}, false})
			if d.view(now, &d.tables, changelog.Cursor{}).ListBehind || d.listReads.interrupted() {
				t.Error("still behind after it has read as far")
			}
		})
	}
}

// entryAt is an engine's entry with an address.
func entryAt(id, at string) fleet.Entry {
	e := engine(id, 1)
	e.Address = netip.MustParseAddrPort(at)
	return e
}

// TestListBehindCancelsRead has a held read of the list hang while another hub reports a later
// change: the next read is made at once and not held, those after it are held again.
func TestListBehindCancelsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := boxOfFleet("box-00")
		d.now = time.Now
		var holds []time.Duration
		d.Platform.Targets = func(ctx context.Context, _ revision.Revision, hold time.Duration) (Targets, error) {
			holds = append(holds, hold)
			if hold == 0 {
				return Targets{Known: rev(21)}, nil
			}
			<-ctx.Done()
			return Targets{}, ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		d.outage.start(ctx)
		began := time.Now()
		go d.watchTargets(ctx)
		synctest.Wait()
		d.update(time.Now(), targetsRead{time.Now(), Targets{Snapshot: true, Known: rev(20), Changed: rev(20)}, false})
		d.update(time.Now(), peerAnswered{name: "box-11", requestedAt: time.Now(), answer: peer.Message{ListRevision: rev(21)}})
		d.rereadIfBehind(began.Add(behindReadAfter), &d.tables)
		read := (<-d.messages).(targetsRead)
		if took := time.Since(began); took > time.Second {
			t.Errorf("reread after %v", took)
		}
		d.update(time.Now(), read)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if want := []time.Duration{readHold, 0, readHold}; !slices.Equal(holds, want) {
			t.Errorf("reads were held for %v, want %v", holds, want)
		}
	})
}

// TestLapsedAtOneHub guards against targets coming back at boxes that know them to be gone, as
// a hub that was cut off keeps them for a while like entries lost in an outage.
func TestLapsedAtOneHub(t *testing.T) {
	x := newPartitionedHubs()
	read := func(after time.Duration, d *Daemon, change Targets, away bool) {
		x.version++
		d.update(start.Add(after), operatorRead{start.Add(after), Operator{Known: rev(9)}})
		change.Changed, change.Known = rev(x.version), rev(x.version)
		d.update(start.Add(after), targetsRead{start.Add(after), change, away})
	}
	knows := func(d *Daemon) bool { return d.tables.fleet.Target("a") != nil }
	gossip(start, x.spoke, x.second)
	read(time.Second, x.second, Targets{Removed: []string{"a"}}, false)
	gossip(start.Add(time.Second), x.spoke, x.second)
	if knows(x.spoke) {
		t.Fatal("the spoke does not know that the target is gone")
	}
	read(2*time.Second, x.cut, Targets{Removed: []string{"a"}}, true)
	gossip(start.Add(2*time.Second), x.spoke, x.cut)
	if x.spoke.tables.hub != "box-00" {
		t.Fatalf("the spoke uses %q", x.spoke.tables.hub)
	}
	if knows(x.spoke) {
		t.Error("the list of a hub that was cut off brought the target back")
	}
	read(3*time.Second, x.cut, Targets{Listed: []fleet.Entry{entryAt("a", "10.1.0.1:1")}}, false)
	gossip(start.Add(3*time.Second), x.spoke, x.cut)
	if !knows(x.spoke) {
		t.Error("the target's entry came back, but not at the spoke")
	}
}
