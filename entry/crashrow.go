package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/table"
)

// crashPrefix begins the keys of the rows that tell which requests ran on a target when it
// ended: behind it stand the telling box and the target's life. No other box writes them,
// so that none is lost, whichever boxes can reach each other.
const crashPrefix = "ended/"

const (
	// maxCrashRows bounds the rows of one box, crashSums the requests in each: an engine
	// runs 128 at once.
	maxCrashRows         = 32
	maxCrashFingerprints = 256
	// crashRetryDelay is the pause after a write that failed. Boxes have 3 s to hear of what
	// is told there.
	crashRetryDelay = 300 * time.Millisecond
)

// crashRow is the value of such a row.
type crashRow struct {
	Fingerprints []string `json:"sums"`
	// AtMS is when the target ended, in Unix milliseconds, by which the row is dropped
	// an hour later: seconds make no odds.
	AtMS int64 `json:"at_ms"`
}

// crashReports are this box's own rows.
type crashReports struct {
	byIncarnation map[string]*crashReport
	// deleteKeys are the keys of rows beside them that are to go, such as the count of trials
	// of a request that was answered. If that fails they stand, and fewer are tried.
	deleteKeys []string
	// writing says that a write is under way; after a failed one the next waits until
	// again.
	writing bool
	retryAt time.Time
}

// crashReport is one of them.
type crashReport struct {
	fingerprints map[fingerprint.Sum]bool
	at           time.Time
	// written says that the row stands as it is here.
	written bool
}

// add notes requests that ran on a target when it ended.
func (r *crashReports) add(now time.Time, life string, sums []fingerprint.Sum) {
	if r.byIncarnation == nil {
		r.byIncarnation = make(map[string]*crashReport)
	}
	x := r.byIncarnation[life]
	if x == nil {
		x = &crashReport{fingerprints: make(map[fingerprint.Sum]bool, len(sums)), at: now}
		r.byIncarnation[life] = x
	}
	for _, sum := range sums {
		if !x.fingerprints[sum] && len(x.fingerprints) < maxCrashFingerprints {
			x.fingerprints[sum], x.written = true, false
		}
	}
}

// surplus returns the lives whose rows are to go: the oldest of too many, those last that
// hold a request that is refused, and all that are too old.
func (r *crashReports) surplus(now time.Time, refused func(fingerprint.Sum) bool) []string {
	lives := make([]string, 0, len(r.byIncarnation))
	weight := make(map[string]int, len(r.byIncarnation))
	for life, x := range r.byIncarnation {
		lives = append(lives, life)
		for sum := range x.fingerprints {
			if refused(sum) {
				weight[life] = 1
			}
		}
	}
	slices.SortFunc(lives, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight[a], weight[b]), r.byIncarnation[a].at.Compare(r.byIncarnation[b].at))
	})
	many := max(len(lives)-maxCrashRows, 0)
	gone := slices.Clone(lives[:many])
	for _, life := range lives[many:] {
		if now.Sub(r.byIncarnation[life].at) > quarantine.Retention && weight[life] == 0 {
			gone = append(gone, life)
		}
	}
	return gone
}

// writeCrashes brings this box's rows into line.
type writeCrashes struct {
	tx           table.Transaction
	incarnations []string
}

// crashesWritten tells what came of it.
type crashesWritten struct {
	incarnations []string
	err          error
}

// reportCrashes has the rows written that changed, all in one call.
func (d *Daemon) reportCrashes(now time.Time, t *tables) []effect {
	r := &t.reports
	if r.writing || now.Before(r.retryAt) {
		return nil
	}
	e := writeCrashes{tx: table.Transaction{Delete: r.deleteKeys}}
	r.deleteKeys = nil
	if len(r.byIncarnation) > 0 {
		for _, life := range r.surplus(now, func(sum fingerprint.Sum) bool { return t.quarantine.Crashes(sum) >= quarantine.Threshold }) {
			e.tx.Delete = append(e.tx.Delete, d.crashKey(life))
			delete(r.byIncarnation, life)
		}
	}
	for life, x := range r.byIncarnation {
		if !x.written {
			x.written = true
			e.incarnations = append(e.incarnations, life)
			e.tx.Put = append(e.tx.Put, table.Row{Key: d.crashKey(life), Value: x.encode()})
		}
	}
	if len(e.tx.Put)+len(e.tx.Delete) == 0 {
		return nil
	}
	r.writing = true
	return []effect{e}
}

func (d *Daemon) crashKey(life string) string { return crashPrefix + d.Settings.Name + "/" + life }

func (x *crashReport) encode() []byte {
	row := crashRow{AtMS: x.at.UnixMilli()}
	for sum := range x.fingerprints {
		row.Fingerprints = append(row.Fingerprints, sum.String())
	}
	slices.Sort(row.Fingerprints)
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	return value
}

func (d *Daemon) writeCrashes(ctx context.Context, e writeCrashes) crashesWritten {
	return crashesWritten{e.incarnations, d.Platform.Commit(ctx, e.tx)}
}

// crashesWritten has what was not written, or may not have been, written again: the same
// row twice does no harm.
func (d *Daemon) crashesWritten(now time.Time, t *tables, m crashesWritten) {
	r := &t.reports
	r.writing = false
	if m.err == nil {
		return
	}
	d.Log.Warn("boxes were not told which requests ran on targets that ended; trying again", "targets", len(m.incarnations), "err", m.err)
	r.retryAt = now.Add(crashRetryDelay)
	for _, life := range m.incarnations {
		if x := r.byIncarnation[life]; x != nil {
			x.written = false
		}
	}
}

// applyCrashRow takes over a row of any box. One of this box's own was written before it
// started anew.
func (d *Daemon) applyCrashRow(now time.Time, t *tables, key string, value []byte) {
	box, life, ok := strings.Cut(key, "/")
	var row crashRow
	if err := json.Unmarshal(value, &row); !ok || err != nil || len(row.Fingerprints) > maxCrashFingerprints {
		d.Log.Error("a row of requests that ran on a target when it ended can't be read", "key", key, "requests", len(row.Fingerprints), "err", err)
		return
	}
	d.receiveIncarnationEnded(now, t, life, box)
	var sums []fingerprint.Sum
	for _, text := range row.Fingerprints {
		sum, ok := fingerprint.Parse(text)
		if !ok {
			d.Log.Error("a row holds what is no fingerprint", "key", key, "text", text)
			continue
		}
		sums = append(sums, sum)
		d.blameRequest(now, t, life, sum, box)
	}
	if box == d.Settings.Name && t.reports.byIncarnation[life] == nil {
		t.reports.add(now, life, sums)
		own := t.reports.byIncarnation[life]
		own.written = true
		if at := time.UnixMilli(row.AtMS); at.Before(now) {
			own.at = at
		}
	}
}

// recentCrashes lists what this box found lately of requests that ran on targets when these
// ended, for boxes that can't read the rows now, and of which other targets it heard.
func (t *tables) recentCrashes(now time.Time) []peer.CrashReport {
	var list []peer.CrashReport
	for life, x := range t.reports.byIncarnation {
		if now.Sub(x.at) > announceFor {
			continue
		}
		told := peer.CrashReport{Incarnation: life}
		for sum := range x.fingerprints {
			told.Fingerprints = append(told.Fingerprints, sum)
		}
		list = append(list, told)
	}
	for life, at := range t.endedIncarnations {
		if now.Sub(at) <= announceFor && t.reports.byIncarnation[life] == nil {
			list = append(list, peer.CrashReport{Incarnation: life})
		}
	}
	return list
}

// receiveQuarantine takes over what another box says of requests that ran on targets when
// these ended, and of such that were answered after all.
func (d *Daemon) receiveQuarantine(now time.Time, t *tables, m peer.Message) {
	for _, told := range m.CrashReports {
		d.receiveIncarnationEnded(now, t, told.Incarnation, m.From)
		for _, sum := range told.Fingerprints[:min(len(told.Fingerprints), maxCrashFingerprints)] {
			d.blameRequest(now, t, told.Incarnation, sum, m.From)
		}
	}
	for _, sum := range m.Lifted {
		if _, known := t.lifted[sum]; !known {
			d.lift(now, t, sum, m.From)
		}
	}
}
