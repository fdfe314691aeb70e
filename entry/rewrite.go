package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/table"
)

// A restore of the table service may lose rows of this system's own. Each box writes again what
// it still means to stand there, and nothing else: what others wrote is theirs to write, and may
// have been removed since. Boxes that live on hubs don't read these rows; their hub tells them.

const (
	// rewriteSpread spreads the boxes' writes: 330 rows within it stay below the 200 a second
	// that one part of the table service takes.
	rewriteSpread = 3 * time.Second
	// credentialSpread is the same for what boxes show each other. A box that starts before it
	// is written again may draw another one.
	credentialSpread = 300 * time.Millisecond
	// rewriteRetryDelay is the pause after a write that failed.
	rewriteRetryDelay = time.Second
)

// rewrite writes rows that a restore lost.
type rewrite struct {
	tx table.Transaction
	// after is how long it waits before.
	after time.Duration
}

// rewritten tells what came of it.
type rewritten struct {
	rewrite
	err error
}

// rewriteLostRows has the rows written again that a restore lost, once these were read whole.
func (d *Daemon) rewriteLostRows(now time.Time, t *tables, m ownRead) []effect {
	before := t.ownRowsRevision
	t.ownRowsRevision = revision.Max(before, m.change.Known)
	if !m.change.Snapshot || before.IsZero() || m.change.Known.Restores == before.Restores {
		return nil
	}
	stands := make(map[string][]byte, len(m.change.Rows))
	for _, row := range m.change.Rows {
		stands[row.Key] = row.Value
	}
	t.markRowsLost(d.Settings.Name, stands, m.change.Known.Restores)
	d.rewriteReports(now, t, func(key string) bool { return stands[key] == nil })
	effects := d.rewriteEffects(stands, m.change.Known.Restores)
	d.Log.Warn("this system's own rows were read after a restore", "revision", m.change.Known, "before", before, "rows", len(stands), "boxes_lost", len(t.lostRows), "written_again", len(effects))
	return effects
}

// rewriteEffects makes the effects that write again what this box means to stand and does not.
func (d *Daemon) rewriteEffects(stands map[string][]byte, restores uint64) []effect {
	var effects []effect
	if own := d.ownRow(); !d.unlisted.Load() && !bytes.Equal(stands[own.Key], own.Value) {
		effects = append(effects, d.rewriteOwn())
	}
	if stands[credentialKey] == nil {
		effects = append(effects, d.rewriteCredential(restores)...)
	}
	return effects
}

// markRowsLost notes which other boxes' rows a restore lost, and which rows the holder of the
// lease is to write again.
func (t *tables) markRowsLost(self string, stands map[string][]byte, restores uint64) {
	for _, w := range t.weights {
		w.versionLog.Lost()
	}
	for pool, c := range t.canaries {
		if stands[canaryPrefix+pool] == nil {
			c.markRowLost(restores)
		}
	}
	t.lostRows = make(map[string]bool)
	for name, x := range t.members {
		if !x.unlisted && name != self && stands[memberPrefix+name] == nil {
			t.lostRows[name] = true
		}
	}
}

// rewriteReports has this box's reports written again of which the rows are lost.
func (d *Daemon) rewriteReports(now time.Time, t *tables, lost func(key string) bool) {
	for life, x := range t.reports.byIncarnation {
		if lost(d.crashKey(life)) {
			x.written = false
			t.reports.retryAt = now.Add(d.jitter(rewriteSpread))
		}
	}
}

// rewriteOwn makes the effect that writes this box's row again.
func (d *Daemon) rewriteOwn() effect {
	return rewrite{table.Transaction{Put: []table.Row{d.ownRow()}}, d.jitter(rewriteSpread)}
}

// rewriteCredential makes the effect that writes again what boxes show each other, unless
// another box does.
func (d *Daemon) rewriteCredential(restores uint64) []effect {
	credential := d.credential.Load()
	if credential == nil {
		return nil
	}
	value, err := json.Marshal(*credential)
	if err != nil {
		panic(err) // A text always encodes.
	}
	return []effect{rewrite{table.Transaction{
		Expect: []table.Condition{{Key: credentialKey, Restores: restores}},
		Put:    []table.Row{{Key: credentialKey, Value: value}},
	}, d.jitter(credentialSpread)}}
}

// receiveRestored has this box write again what it does not read itself: its row, if its hub
// lacks that, and its reports.
func (d *Daemon) receiveRestored(now time.Time, t *tables, restores uint64, rowLost bool) []effect {
	if restores <= max(t.hubRestores, t.ownRowsRevision.Restores) {
		return nil
	}
	t.hubRestores = restores
	d.rewriteReports(now, t, func(string) bool { return true })
	if !rowLost || d.unlisted.Load() {
		return nil
	}
	d.Log.Warn("this box's row was lost by a restore, its hub says", "restores", restores)
	return []effect{d.rewriteOwn()}
}

func (d *Daemon) rewrite(ctx context.Context, e rewrite) rewritten {
	d.sleep(ctx, e.after)
	return rewritten{e, d.Platform.Commit(ctx, e.tx)}
}

// rewritten has what was not written tried again.
func (d *Daemon) rewritten(m rewritten) []effect {
	var keys []string
	for _, row := range m.tx.Put {
		keys = append(keys, row.Key)
	}
	switch {
	case m.err == nil:
		d.Log.Info("rows that a restore lost are written again", "rows", strings.Join(keys, " "))
		d.metrics.rewritten.Add(float64(len(keys)))
		return nil
	case trace.IsCompareFailed(m.err):
		return nil // Another box has done so.
	}
	d.Log.Warn("rows that a restore lost were not written; trying again", "rows", strings.Join(keys, " "), "err", m.err)
	m.after = rewriteRetryDelay
	return []effect{m.rewrite}
}
