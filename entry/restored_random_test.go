package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/internal/fake"
)

// restoreFaults are faults that may coincide with a restore. Each returns a function that ends
// it.
var restoreFaults = []struct {
	name string
	do   func(w *emulator, name string) func()
}{
	{"none", func(*emulator, string) func() { return func() {} }},
	{"a box is cut off from the table service", func(w *emulator, name string) func() {
		w.tableServiceDown[name] = true
		return func() { w.reconnect(name) }
	}},
	{"a box is dead", func(w *emulator, name string) func() {
		w.dead[name] = true
		return func() { w.restart(name) }
	}},
}

// writtenState is what the operator and the targets had written at some time.
type writtenState struct {
	operator Operator
	listed   map[string]fleet.Entry
}

// writtenState returns what the operator and the targets have written.
func (w *emulator) writtenState() writtenState {
	return writtenState{w.operator, maps.Clone(w.targets)}
}

// restoreCopy restores the table service from a copy c, and after a time has the operator and
// the targets write again what they had written since.
func (w *emulator) restoreCopy(lost uint64, own fake.Snapshot, c writtenState, again time.Duration) {
	before := w.writtenState()
	w.operator, w.targets = c.operator, maps.Clone(c.listed)
	w.restore(lost, own)
	w.advance(again, nil)
	w.writeOperator(func(o *Operator) {
		known, changed := o.Known, o.Changed
		*o = before.operator
		o.Known, o.Changed = known, changed
	})
	for id, e := range before.listed {
		if _, exists := w.targets[id]; !exists {
			w.addTargets(e)
		}
	}
	for id := range w.targets {
		if _, exists := before.listed[id]; !exists {
			w.removeTargets(id)
		}
	}
}

// reconnect reconnects a box that was cut off from the table service.
func (w *emulator) reconnect(name string) {
	delete(w.tableServiceDown, name)
	d := w.byName[name]
	rows, err := w.rows.ListAll(context.Background(), "")
	if err != nil || d.spoke.Load() {
		return
	}
	w.perform(d, d.update(w.now, targetsRead{w.now, w.list(), true}))
	w.perform(d, d.update(w.now, ownRead{OwnRows{Snapshot: true, Rows: rows, Known: w.revision()}, true}))
}

// restart restarts a box that was dead.
func (w *emulator) restart(name string) {
	delete(w.dead, name)
	i := slices.IndexFunc(w.boxes, func(d *Daemon) bool { return d.Settings.Name == name })
	old := w.boxes[i]
	d := w.addBox(name, old.Settings.Domain, old.Settings.Box.Share == hubShare)
	w.boxes = slices.Delete(w.boxes, len(w.boxes)-1, len(w.boxes))
	w.boxes[i] = d
	w.join(d)
	w.reconnect(name)
}

// reverted describes the first connected box whose state is older than the last change, or
// returns an empty string.
func (w *emulator) reverted() string {
	for _, d := range w.boxes {
		name, f := d.Settings.Name, d.tables.fleet
		if w.dead[name] || w.tableServiceDown[name] {
			continue
		}
		for _, id := range []string{"stays", "comes"} {
			if x := f.Target(id); x == nil || !x.Active(w.now) {
				return name + " lost a target that serves: " + id
			}
		}
		if x := f.Target("goes"); x != nil && x.Active(w.now) {
			return name + " uses a target that was removed"
		}
		if len(f.Evacuated()) != 1 {
			return name + " sends work to a domain that is evacuated"
		}
	}
	return ""
}

// TestRandomRestores varies how much restores lose, when they come (also two within a second)
// and which fault a hub or another box has meanwhile. What the operator writes must be in force
// in time at all connected boxes, targets that serve are kept, removed ones are not used, and
// all boxes' rows exist in the end.
func TestRandomRestores(t *testing.T) {
	t.Parallel()
	// within is the platform's bound for a change in a fleet with hubs.
	const within = 3 * time.Second
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("in force, and no state reverts", prop.ForAll(func(size, trouble, victim int, lost, again, pauseMS uint64) string {
		boxes := []int{3, 16, 60}[size]
		w := emulate(boxes, 3, configuration(1))
		empty := w.rows.Snapshot()
		for _, d := range w.boxes {
			if err := d.writeRow(context.Background(), d.ownRow()); err != nil {
				return err.Error()
			}
		}
		w.addTargets(serviceAt("stays", "v1", 1), serviceAt("goes", "v1", 2))
		w.writeOperator(func(o *Operator) { o.Evacuations = map[string]bool{} })
		w.advance(2*time.Second, nil)
		copied, had := w.rows.Snapshot(), w.writtenState()
		if lost%2 == 0 {
			copied = empty
		}
		w.version += 100
		w.addTargets(serviceAt("comes", "v1", 3))
		w.removeTargets("goes")
		w.writeOperator(func(o *Operator) { o.Evacuations = map[string]bool{"d2": true} })
		w.advance(time.Second+time.Duration(pauseMS)*time.Millisecond, nil) // All boxes have read it.
		name := w.boxes[victim%boxes].Settings.Name
		end := restoreFaults[trouble].do(w, name)
		w.advance(time.Duration(pauseMS%700)*time.Millisecond, nil)
		w.restoreCopy(lost, copied, had, time.Duration(again)*time.Millisecond)
		if again%3 == 0 {
			w.restoreCopy(min(lost, 3), copied, had, time.Duration(again)*time.Millisecond)
		}
		if wrong := w.reverted(); wrong != "" {
			return wrong
		}
		for version := int64(2); version <= 4; version++ {
			w.writeOperator(func(o *Operator) { o.Table = configuration(version) })
			w.advance(within, nil)
			for _, d := range w.boxes {
				if w.dead[d.Settings.Name] || w.tableServiceDown[d.Settings.Name] || d.version() >= version {
					continue
				}
				return fmt.Sprintf("%s has version %d, not %d, %v after it was written; hub %v", d.Settings.Name, d.version(), version, within, !d.spoke.Load())
			}
			if version == 3 {
				end()
			}
		}
		w.advance(rewriteSpread+2*time.Second, nil)
		if wrong := w.reverted(); wrong != "" {
			return wrong
		}
		for _, d := range w.boxes {
			if _, err := w.rows.Read(context.Background(), d.ownRow().Key); err != nil {
				return d.Settings.Name + " has no row"
			}
		}
		return ""
	}, gen.IntRange(0, 2), gen.IntRange(0, len(restoreFaults)-1), gen.IntRange(0, 20), gen.UInt64Range(1, 110), gen.UInt64Range(0, 900), gen.UInt64Range(50, 1500)))
	properties.TestingRun(t)
}
