package thymewind

import (
	"context"
	"testing"
	"time"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/query"
	"github.com/thymewind/thymewind/report"
)

// TestEditKeepsConcurrentChanges has an operator change a field at a box that does not
// know the latest revision yet, which changed another field. Both changes must persist.
func TestEditKeepsConcurrentChanges(t *testing.T) {
	rows := &fake.Table{}
	store := configuration.Rows{Commit: rows.Commit, Read: rows.Read, List: rows.List, ListAll: rows.ListAll, Wait: wait}
	edit := func(d *Daemon, text string) report.Report {
		s, err := query.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		return d.edit(ctx, "ana", s)
	}
	first, second := newDaemon(t), newDaemon(t)
	first.rows, second.rows = store, store
	for _, d := range []*Daemon{first, second} {
		edit(d, "create account a set weight = 1")
		c, err := store.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		d.update(time.Now(), configurationRead{configuration: c})
	}
	edit(first, "change account a set weight = 5")
	if got := edit(second, "change account a set concurrency = 3"); got.Error != "" {
		t.Fatal(got.Error)
	}
	c, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if a := c.Accounts["a"]; a.Weight != 5 || a.Concurrency != 3 {
		t.Errorf("account %+v, want both changes", a)
	}
}

// TestUnchangedListRenewsLeaving checks that an unchanged list counts as one that was
// read again: a target that it marks as leaving stays so, and any other recovers.
func TestUnchangedListRenewsLeaving(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
	}{
		{"the list still says that it is leaving", true},
		{"the list no longer says so", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			start := time.Unix(1000, 0)
			d.update(start, configurationRead{configuration: testConfiguration(1)})
			box := boxes.Box{Name: "engine-0", Role: boxes.RoleEngine, Pool: "menu", Address: address("engine-0"), Leaving: true}
			d.update(start, boxesRead{list: []boxes.Box{box}})
			box.Leaving = tt.leaving
			d.update(start, boxesRead{list: []boxes.Box{box}})
			for second := range 300 {
				d.update(start.Add(time.Duration(second)*time.Second), boxesRead{unchanged: true})
			}
			x, _ := d.tables.Targets.Lookup("engine-0")
			if x.Leaving != tt.leaving {
				t.Errorf("leaving %v after five minutes, want %v", x.Leaving, tt.leaving)
			}
		})
	}
}
