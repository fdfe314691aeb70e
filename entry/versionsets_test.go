package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/versionset"
)

// announcing is a box that has read that there is no row yet, and a list with one version.
func announcing(t *testing.T, name string) *Daemon {
	t.Helper()
	d := newDaemon(name)
	for i := range 3 {
		d.tables.members[fmt.Sprint("b", i+1)] = &member{address: netip.MustParseAddrPort("10.0.0.1:1"), domain: "a"}
	}
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, ownRead{OwnRows{Snapshot: true, Known: rev(5)}, true})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{versionedEngine("e0", "v1")}}, false})
	return d
}

// announceDue returns the write that a box makes at a time, or nil.
func announceDue(d *Daemon, after time.Duration) *writeVersions {
	for _, e := range d.announceVersions(start.Add(after), &d.tables) {
		if w, is := e.(writeVersions); is {
			return &w
		}
	}
	return nil
}

// TestFirstBoxAnnounces has the boxes write a version one after another, and none once it is there.
func TestFirstBoxAnnounces(t *testing.T) {
	for rank, name := range []string{"b1", "b2", "b3"} {
		t.Run(name, func(t *testing.T) {
			d := announcing(t, name)
			if w := announceDue(d, 0); (w != nil) != (rank == 0) {
				t.Fatalf("at once: %v", w)
			}
			if rank == 0 {
				if w := announceDue(d, time.Second); w != nil {
					t.Errorf("while it writes: %v", w)
				}
				return
			}
			d.update(start, ownRead{OwnRows{Rows: []table.Row{softwareRow(6, `{"versions":["v1"]}`)}, Known: rev(6)}, true})
			if w := announceDue(d, time.Second); w != nil {
				t.Errorf("although it is there: %v", w)
			}
		})
	}
	if w := announceDue(announcing(t, "b3"), 0); w != nil {
		t.Errorf("got %v", w)
	}
	late := announcing(t, "b3")
	announceDue(late, 0)
	if w := announceDue(late, 2*announceStep); w == nil || !slices.Equal(w.versions, []string{"v1"}) || w.revision.Number != 0 {
		t.Errorf("if the others don't: %v", w)
	}
}

// TestVersionBeginsOnceAnnounced has an engine of a further version come: it begins no stream that can
// be resumed before the row has its version, and any other request at once.
func TestVersionBeginsOnceAnnounced(t *testing.T) {
	d := announcing(t, "b1")
	x := d.tables.fleet.Target("e0")
	if x.Unannounced {
		t.Error("without a row the first version begins no streams")
	}
	announceDue(d, 0)
	row := softwareRow(6, `{"versions":["v1"]}`)
	d.update(start, versionsWritten{writeVersions{"models", []string{"v1"}, rev(0)}, &row, nil})
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{versionedEngine("e1", "v2")}}, false})
	d.update(start, operatorRead{start.Add(time.Millisecond), Operator{}})
	resumable := resumableJob("r1", "")
	forbidden := func(id string) bool {
		return d.softwareForbids(start, &d.tables, deliver.PlacementRequest{Job: resumable}, d.tables.fleet.Target(id))
	}
	if forbidden("e0") || !forbidden("e1") || d.softwareForbids(start, &d.tables, deliver.PlacementRequest{Job: job("short", 10)}, d.tables.fleet.Target("e1")) {
		t.Error("the wrong engines begin streams")
	}
	w := announceDue(d, versionsRetryDelay)
	if w == nil || !slices.Equal(w.versions, []string{"v1", "v2"}) || w.revision != rev(6) {
		t.Fatalf("got %v", w)
	}
	row = softwareRow(7, `{"versions":["v1","v2"]}`)
	d.update(start, versionsWritten{*w, &row, nil})
	if forbidden("e1") {
		t.Error("it begins none although its version is there")
	}
}

// TestVersionsBeforeRowsAreRead has a box read a list with two versions before it has read whether there
// is a row. It guards against a stream being begun on a version that the row lacks: another box that
// learns no origin then takes it up as if the row's version had begun it.
func TestVersionsBeforeRowsAreRead(t *testing.T) {
	d := newDaemon("b1")
	d.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	d.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{versionedEngine("e0", "v1")}}, false})
	begins := func() (list []string) {
		for _, id := range d.tables.fleet.IDs() {
			if !d.softwareForbids(start, &d.tables, deliver.PlacementRequest{Job: resumableJob("r1", "")}, d.tables.fleet.Target(id)) {
				list = append(list, id)
			}
		}
		return list
	}
	if got := begins(); !slices.Equal(got, []string{"e0"}) {
		t.Errorf("with one version, %v begin streams", got)
	}
	d.update(start, targetsRead{start, Targets{Listed: []fleet.Entry{versionedEngine("e1", "v2")}}, false})
	if got := begins(); len(got) > 0 {
		t.Errorf("with two versions, %v begin streams", got)
	}
	d.update(start, ownRead{OwnRows{Snapshot: true, Known: rev(5), Rows: []table.Row{softwareRow(4, `{"versions":["v1"]}`)}}, true})
	if got := begins(); !slices.Equal(got, []string{"e0"}) {
		t.Errorf("once the row was read, %v begin streams", got)
	}
	absent := newDaemon("b1")
	absent.update(start, operatorRead{start, Operator{Table: configuration(1)}})
	absent.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{versionedEngine("e0", "v1"), versionedEngine("e1", "v2")}}, false})
	absent.update(start, ownRead{OwnRows{Snapshot: true, Known: rev(5)}, true})
	if d = absent; !slices.Equal(begins(), []string{"e0", "e1"}) {
		t.Errorf("without a row, %v begin streams", begins())
	}
}

// TestFailedAnnouncement applies what another box wrote first, and tries again after other failures.
func TestFailedAnnouncement(t *testing.T) {
	other := softwareRow(6, `{"versions":["v0","v1"]}`)
	tests := []struct {
		name    string
		current *table.Row
		err     error
		again   bool
	}{
		{"another box wrote it", &other, trace.CompareFailed("changed"), false},
		{"no answer", nil, trace.ConnectionProblem(nil, "no answer"), true},
		{"not written", &table.Row{}, trace.ConnectionProblem(nil, "refused"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := announcing(t, "b1")
			d.update(start, versionsWritten{*announceDue(d, 0), tt.current, tt.err})
			if w := announceDue(d, versionsRetryDelay/2); w != nil {
				t.Errorf("at once again: %v", w)
			}
			if w := announceDue(d, versionsRetryDelay); (w != nil) != tt.again {
				t.Errorf("later: %v", w)
			}
		})
	}
}

// TestRowLostInRestore has a restore of the table service lose the row: it is written again, as a new
// one.
func TestRowLostInRestore(t *testing.T) {
	d := announcing(t, "b1")
	d.update(start, ownRead{OwnRows{Rows: []table.Row{softwareRow(6, `{"versions":["v1"]}`)}, Known: rev(6)}, true})
	if w := announceDue(d, 0); w != nil {
		t.Fatalf("got %v", w)
	}
	known := revision.Revision{Restores: 1, Number: 3}
	d.update(start, ownRead{OwnRows{Snapshot: true, Known: known}, true})
	w := announceDue(d, 0)
	if w == nil || w.revision != (revision.Revision{Restores: 1}) || !slices.Equal(w.versions, []string{"v1"}) {
		t.Errorf("got %v", w)
	}
	if d.tables.restoredAt.IsZero() {
		t.Error("the restore is not known")
	}
}

// TestForgottenVersion drops a version from the row long after its last engine, the first box soon.
func TestForgottenVersion(t *testing.T) {
	d := announcing(t, "b2")
	d.update(start, ownRead{OwnRows{Rows: []table.Row{softwareRow(6, `{"versions":["v0","v1"]}`)}, Known: rev(6)}, true})
	for _, after := range []time.Duration{0, versionset.Retention - time.Second, versionset.Retention, versionset.Retention + forgetStep - time.Second} {
		if w := announceDue(d, after); w != nil {
			t.Errorf("after %v: %v", after, w)
		}
	}
	if w := announceDue(d, versionset.Retention+forgetStep); w == nil || !slices.Equal(w.versions, []string{"v1"}) {
		t.Errorf("got %v", w)
	}
}

// TestOnlyReadersAnnounce has boxes write no row that could be wrong: those that take the list from a
// hub, those that have not read it or these rows, and none while the table service is away.
func TestOnlyReadersAnnounce(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *Daemon)
	}{
		{"a spoke", func(d *Daemon) { d.spoke.Store(true) }},
		{"rows not read", func(d *Daemon) { d.tables.ownRowsKnown = false }},
		{"list not read", func(d *Daemon) { d.tables.listRead = time.Time{} }},
		{"the table service is away", func(d *Daemon) { d.tables.tableServiceDown = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := announcing(t, "b1")
			tt.change(d)
			if w := announceDue(d, 0); w != nil {
				t.Errorf("got %v", w)
			}
		})
	}
}

// TestSpokeTakesHubsAnnouncements has a spoke learn from its hub which engines begin streams.
func TestSpokeTakesHubsAnnouncements(t *testing.T) {
	hub, spoke := announcing(t, "b1"), announcing(t, "b2")
	x := hub.tables.fleet.Target("e0")
	for _, unannounced := range []bool{true, false} {
		x.Unannounced = unannounced
		spoke.applyHubEntry(start, &spoke.tables, entryOf(start, x))
		if got := spoke.tables.fleet.Target("e0").Unannounced; got != unannounced {
			t.Errorf("got %v", got)
		}
	}
}
