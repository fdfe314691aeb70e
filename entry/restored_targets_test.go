package entry

import (
	"testing"
	"time"

	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/revision"
)

// TestTargetsAfterRestore guards against taking a list from an older copy for the current one:
// a target that it lacks goes on serving, one that was gone or draining gets nothing.
func TestTargetsAfterRestore(t *testing.T) {
	leaving := engine("a", 1)
	leaving.Leaving = true
	listed := Targets{Listed: []fleet.Entry{engine("a", 1)}}
	tests := []struct {
		name string
		// before is read after the target was listed, copied is the snapshot read after the
		// restore.
		before, copied Targets
		// then is read later unless it is nil.
		then *Targets
		// after is the time from the restore to the check.
		after time.Duration
		open  bool
	}{
		{"nothing happened", Targets{}, listed, nil, 0, true},
		{"its entry is lost", Targets{}, Targets{}, nil, fleet.LapseGrace - time.Millisecond, true},
		{"its entry is lost and not written again", Targets{}, Targets{}, nil, fleet.LapseGrace, false},
		{"its entry is lost and written again", Targets{}, Targets{}, &listed, time.Hour, true},
		{"it leaves, and is listed as before", Targets{Listed: []fleet.Entry{leaving}}, listed, nil, time.Hour, false},
		{"it was gone, and is listed again", Targets{Removed: []string{"a"}}, listed, nil, 0, false},
		{"it was gone, and the list keeps it", Targets{Removed: []string{"a"}}, listed, nil, staleEntryTTL + time.Second, true},
		{"it was gone, and goes again", Targets{Removed: []string{"a"}}, listed, &Targets{Removed: []string{"a"}}, time.Hour, false},
		{"it was gone, and writes its entry again", Targets{Removed: []string{"a"}}, listed, &listed, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			read := func(now time.Time, change Targets, whole bool, known revision.Revision) {
				change.Snapshot, change.Known, change.Changed = whole, known, known
				d.update(now, targetsRead{now, change, false})
			}
			read(start, listed, true, revision.Revision{Number: 50})
			read(start, tt.before, false, revision.Revision{Number: 60})
			read(start, tt.copied, true, revision.Revision{Restores: 1, Number: 40})
			if tt.then != nil {
				read(start, *tt.then, false, revision.Revision{Restores: 1, Number: 41})
			}
			now := start.Add(tt.after)
			d.sweep(now, &d.tables)
			x := d.tables.fleet.Target("a")
			if got := x != nil && x.Available(now); got != tt.open {
				t.Errorf("gets work: %v, want %v", got, tt.open)
			}
		})
	}
}

// TestLeftAfterRestore guards against a target that had drained and gone getting requests again
// while a restored list has its older entry.
func TestLeftAfterRestore(t *testing.T) {
	d := newDaemon("b1")
	leaving := engine("a", 1)
	leaving.Leaving = true
	reads := []Targets{
		{Snapshot: true, Listed: []fleet.Entry{leaving}, Known: rev(50)},
		{Removed: []string{"a"}, Known: rev(60)},
		{Snapshot: true, Listed: []fleet.Entry{engine("a", 1)}, Known: revision.Revision{Restores: 1, Number: 40}},
	}
	for _, read := range reads {
		d.update(start, targetsRead{start, read, false})
	}
	for _, after := range []time.Duration{0, staleEntryTTL, tombstoneTTL + time.Second} {
		now := start.Add(after)
		d.sweep(now, &d.tables)
		if d.tables.fleet.Target("a") != nil {
			t.Errorf("the target is used %v after the restore", after)
		}
	}
}

// TestListAfterHubs guards against keeping a target that is gone as one whose entry a restore
// lost. A box reads the list itself for the first time since it was a spoke: the table service
// was restored before, but not since the hub read it.
func TestListAfterHubs(t *testing.T) {
	tests := []struct {
		name string
		// hub and own are the counts of restores in the hub's list and in this box's read.
		hub, own uint64
		kept     bool
	}{
		{"never restored", 0, 0, false},
		{"restored before both", 3, 3, false},
		{"restored in between", 3, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hub, spoke := newDaemon("box-00"), boxOfFleet("box-05")
			hub.update(start, targetsRead{start, Targets{Snapshot: true, Listed: []fleet.Entry{entryAt("a", "10.1.0.1:1")}, Known: revision.Revision{Restores: tt.hub, Number: 9}}, false})
			view := hub.view(start, &hub.tables, changelog.Cursor{})
			view.Restores = tt.hub
			spoke.applyHubList(start, &spoke.tables, "box-00", view)
			if spoke.tables.fleet.Target("a") == nil {
				t.Fatal("the hub's list was not applied")
			}
			spoke.update(start, targetsRead{start, Targets{Snapshot: true, Known: revision.Revision{Restores: tt.own, Number: 9}}, false})
			if got := spoke.tables.fleet.Target("a") != nil; got != tt.kept {
				t.Errorf("kept %v", got)
			}
		})
	}
}
