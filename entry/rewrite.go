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

// A restore of the table service may lose rows of this system. Each box writes again the rows
// that it still needs and no others: other boxes' rows are theirs to write and may have been
// removed since. Spokes do not read these rows; their hub reports the loss.

const (
	// rewriteSpread is the span over which boxes spread their writes: 330 rows within it stay
	// below the 200 a second that one part of the table service takes.
	rewriteSpread = 3 * time.Second
	// credentialSpread is the span for the boxes' credential. A box that starts before the
	// credential is written again may generate another one.
	credentialSpread = 300 * time.Millisecond
	// rewriteRetryDelay is the pause after a failed write.
	rewriteRetryDelay = time.Second
)

// rewrite writes rows that a restore lost.
type rewrite struct {
	tx table.Transaction
	// after is the delay before the write.
	after time.Duration
}

// rewritten is the result of a rewrite.
type rewritten struct {
	rewrite
	err error
}

// rewriteLostRows returns the writes of rows that a restore lost, once a snapshot of the rows
// was read.
func (d *Daemon) rewriteLostRows(now time.Time, t *tables, m ownRead) []effect {
	before, first := t.ownRowsRevision, !t.ownRowsKnown
	t.ownRowsKnown = true
	if first {
		t.markAllAnnounced()
	}
	t.ownRowsRevision = revision.Max(before, m.change.Known)
	if !m.change.Snapshot || first || m.change.Known.Restores == before.Restores {
		return nil
	}
	stored := make(map[string][]byte, len(m.change.Rows))
	for _, row := range m.change.Rows {
		stored[row.Key] = row.Value
	}
	d.forgetVersions(now, t, stored, m.change.Known.Restores)
	t.markRowsLost(d.Settings.Name, stored, m.change.Known.Restores)
	d.rewriteReports(now, t, func(key string) bool { return stored[key] == nil })
	effects := d.rewriteEffects(stored, m.change.Known.Restores)
	d.Log.Warn("this system's own rows were read after a restore", "revision", m.change.Known, "before", before, "rows", len(stored), "boxes_lost", len(t.lostRows), "written_again", len(effects))
	return effects
}

// rewriteEffects returns the effects that write this box's missing rows again.
func (d *Daemon) rewriteEffects(stored map[string][]byte, restores uint64) []effect {
	var effects []effect
	if own := d.ownRow(); !d.unlisted.Load() && !bytes.Equal(stored[own.Key], own.Value) {
		effects = append(effects, d.rewriteOwn())
	}
	if stored[credentialKey] == nil {
		effects = append(effects, d.rewriteCredential(restores)...)
	}
	return effects
}

// markRowsLost records which other boxes' rows a restore lost, and which rows the lease holder
// has to write again.
func (t *tables) markRowsLost(self string, stored map[string][]byte, restores uint64) {
	for _, w := range t.weights {
		w.versionLog.Lost()
	}
	for pool, c := range t.canaries {
		if stored[canaryPrefix+pool] == nil {
			c.markRowLost(restores)
		}
	}
	t.lostRows = make(map[string]bool)
	for name, x := range t.members {
		if !x.unlisted && name != self && stored[memberPrefix+name] == nil {
			t.lostRows[name] = true
		}
	}
}

// rewriteReports schedules this box's reports whose rows are lost to be written again.
func (d *Daemon) rewriteReports(now time.Time, t *tables, lost func(key string) bool) {
	for key, x := range t.reports.byIncarnation {
		if lost(d.crashKey(key)) {
			x.written = false
			t.reports.retryAt = now.Add(d.jitter(rewriteSpread))
		}
	}
}

// rewriteOwn returns the effect that writes this box's row again.
func (d *Daemon) rewriteOwn() effect {
	return rewrite{table.Transaction{Put: []table.Row{d.ownRow()}}, d.jitter(rewriteSpread)}
}

// rewriteCredential returns the effect that writes the credential again unless another box did.
func (d *Daemon) rewriteCredential(restores uint64) []effect {
	credential := d.credential.Load()
	if credential == nil {
		return nil
	}
	value, err := json.Marshal(*credential)
	if err != nil {
		panic(err) // A string always encodes.
	}
	return []effect{rewrite{table.Transaction{
		Expect: []table.Condition{{Key: credentialKey, Restores: restores}},
		Put:    []table.Row{{Key: credentialKey, Value: value}},
	}, d.jitter(credentialSpread)}}
}

// receiveRestored returns the writes for a restore that a hub reported to this box, which does
// not read these rows: its own row, if the hub lacks it. Its reports are scheduled as well.
func (d *Daemon) receiveRestored(now time.Time, t *tables, restores uint64, rowLost bool) []effect {
	if restores <= max(t.hubRestores, t.ownRowsRevision.Restores) {
		return nil
	}
	t.hubRestores = restores
	d.rewriteReports(now, t, func(string) bool { return true })
	if !rowLost || d.unlisted.Load() {
		return nil
	}
	d.Log.Warn("a restore lost this box's row, as its hub reports", "restores", restores)
	return []effect{d.rewriteOwn()}
}

func (d *Daemon) rewrite(ctx context.Context, e rewrite) rewritten {
	d.sleep(ctx, e.after)
	return rewritten{e, d.Platform.Commit(ctx, e.tx)}
}

// rewritten retries a write that failed.
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
		return nil // Another box wrote it.
	}
	d.Log.Warn("rows that a restore lost were not written; retrying", "rows", strings.Join(keys, " "), "err", m.err)
	m.after = rewriteRetryDelay
	return []effect{m.rewrite}
}
