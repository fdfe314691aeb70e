package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/table"
)

// crashPrefix begins the keys of the rows that list which requests ran on a target when it
// ended; the reporting box and the target's incarnation follow. No other box writes these keys,
// so no report is lost, whichever boxes can reach each other.
const crashPrefix = "ended/"

const (
	// maxCrashRows bounds the rows of one box, maxCrashFingerprints the requests in each row:
	// an engine runs 128 at once.
	maxCrashRows         = 32
	maxCrashFingerprints = 256
	// maxCrashParts bounds the prompt parts in each row.
	maxCrashParts = 256
	// crashRetryDelay is the pause after a failed write. Boxes have 3 s to learn of the
	// reports.
	crashRetryDelay = 300 * time.Millisecond
)

// crashRow is the value of such a row.
type crashRow struct {
	Fingerprints []string `json:"sums"`
	// Parts are the prompt parts of which requests had not begun there.
	Parts []string `json:"parts,omitempty"`
	// AtMS is when the target ended, in Unix milliseconds. The row is deleted an hour later, so
	// an error of seconds does not matter.
	AtMS int64 `json:"at_ms"`
}

// crashReports are this box's own rows.
type crashReports struct {
	byIncarnation map[string]*crashReport
	// deleteKeys are keys of other rows to delete, such as the number of trials of a request
	// that was cleared. If deleting fails the rows stay, and fewer trials are made.
	deleteKeys []string
	// writing is true while a write is in flight; retryAt is when the next one may begin after
	// a failure.
	writing bool
	retryAt time.Time
}

// crashReport is one of this box's rows.
type crashReport struct {
	fingerprints, parts map[fingerprint.Sum]bool
	endedAt             time.Time
	// written means that the row as it is here was written.
	written bool
}

// add notes requests that ran on a target when it ended.
func (r *crashReports) add(now time.Time, incarnation string, sums []fingerprint.Sum) {
	x := r.of(now, incarnation)
	x.addTo(x.fingerprints, sums, maxCrashFingerprints)
}

// addParts notes prompt parts of which requests had not begun on a target when it ended.
func (r *crashReports) addParts(now time.Time, incarnation string, parts []fingerprint.Sum) {
	if len(parts) > 0 {
		x := r.of(now, incarnation)
		x.addTo(x.parts, parts, maxCrashParts)
	}
}

func (r *crashReports) of(now time.Time, incarnation string) *crashReport {
	if r.byIncarnation == nil {
		r.byIncarnation = make(map[string]*crashReport)
	}
	x := r.byIncarnation[incarnation]
	if x == nil {
		x = &crashReport{fingerprints: make(map[fingerprint.Sum]bool), parts: make(map[fingerprint.Sum]bool), endedAt: now}
		r.byIncarnation[incarnation] = x
	}
	return x
}

// addTo adds to a set of at most so many.
func (x *crashReport) addTo(set map[fingerprint.Sum]bool, sums []fingerprint.Sum, most int) {
	for _, sum := range sums {
		if !set[sum] && len(set) < most {
			set[sum], x.written = true, false
		}
	}
}

// surplus returns the incarnations whose rows are to be deleted: the oldest beyond
// maxCrashRows, with those of refused requests last, and all that are older than
// quarantine.Retention and hold no refused request.
func (r *crashReports) surplus(now time.Time, refused func(fingerprint.Sum) bool) []string {
	incarnations := make([]string, 0, len(r.byIncarnation))
	weight := make(map[string]int, len(r.byIncarnation))
	for incarnation, x := range r.byIncarnation {
		incarnations = append(incarnations, incarnation)
		for _, set := range []map[fingerprint.Sum]bool{x.fingerprints, x.parts} {
			for sum := range set {
				if refused(sum) {
					weight[incarnation] = 1
				}
			}
		}
	}
	slices.SortFunc(incarnations, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight[a], weight[b]), r.byIncarnation[a].endedAt.Compare(r.byIncarnation[b].endedAt))
	})
	excess := max(len(incarnations)-maxCrashRows, 0)
	dropped := slices.Clone(incarnations[:excess])
	for _, incarnation := range incarnations[excess:] {
		if now.Sub(r.byIncarnation[incarnation].endedAt) > quarantine.Retention && weight[incarnation] == 0 {
			dropped = append(dropped, incarnation)
		}
	}
	return dropped
}

// writeCrashes writes and deletes rows of this box.
type writeCrashes struct {
	tx           table.Transaction
	incarnations []string
}

// crashesWritten is the result.
type crashesWritten struct {
	incarnations []string
	err          error
}

// reportCrashes writes all rows that changed in one call.
func (d *Daemon) reportCrashes(now time.Time, t *tables) []effect {
	r := &t.reports
	if r.writing || now.Before(r.retryAt) {
		return nil
	}
	e := writeCrashes{tx: table.Transaction{Delete: r.deleteKeys}}
	r.deleteKeys = nil
	if len(r.byIncarnation) > 0 {
		for _, incarnation := range r.surplus(now, func(sum fingerprint.Sum) bool {
			return t.quarantine.Crashes(sum) >= quarantine.Threshold || t.parts.Refuses(now, sum, 0)
		}) {
			e.tx.Delete = append(e.tx.Delete, d.crashKey(incarnation))
			delete(r.byIncarnation, incarnation)
		}
	}
	for incarnation, x := range r.byIncarnation {
		if !x.written {
			x.written = true
			e.incarnations = append(e.incarnations, incarnation)
			e.tx.Put = append(e.tx.Put, table.Row{Key: d.crashKey(incarnation), Value: x.encode()})
		}
	}
	if len(e.tx.Put)+len(e.tx.Delete) == 0 {
		return nil
	}
	r.writing = true
	return []effect{e}
}

func (d *Daemon) crashKey(incarnation string) string {
	return crashPrefix + d.Settings.Name + "/" + incarnation
}

func (x *crashReport) encode() []byte {
	row := crashRow{AtMS: x.endedAt.UnixMilli()}
	for sum := range x.fingerprints {
		row.Fingerprints = append(row.Fingerprints, sum.String())
	}
	for part := range x.parts {
		row.Parts = append(row.Parts, part.String())
	}
	slices.Sort(row.Fingerprints)
	slices.Sort(row.Parts)
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	return value
}

func (d *Daemon) writeCrashes(ctx context.Context, e writeCrashes) crashesWritten {
	return crashesWritten{e.incarnations, d.Platform.Commit(ctx, e.tx)}
}

// crashesWritten schedules rows that were not written, or may not have been, to be written
// again. Writing the same row twice does no harm.
func (d *Daemon) crashesWritten(now time.Time, t *tables, m crashesWritten) {
	r := &t.reports
	r.writing = false
	if m.err == nil {
		return
	}
	d.Log.Warn("crash reports were not written; retrying", "targets", len(m.incarnations), "err", m.err)
	r.retryAt = now.Add(crashRetryDelay)
	for _, incarnation := range m.incarnations {
		if x := r.byIncarnation[incarnation]; x != nil {
			x.written = false
		}
	}
}

// applyCrashRow applies a crash report of any box. One of this box's own is from before it
// restarted.
func (d *Daemon) applyCrashRow(now time.Time, t *tables, key string, value []byte) {
	box, incarnation, ok := strings.Cut(key, "/")
	var row crashRow
	if err := json.Unmarshal(value, &row); !ok || err != nil || len(row.Fingerprints) > maxCrashFingerprints || len(row.Parts) > maxCrashParts {
		d.Log.Error("crash report's row is invalid", "key", key, "requests", len(row.Fingerprints), "err", err)
		return
	}
	d.receiveIncarnationEnded(now, t, incarnation, box)
	sums, parts := d.parseSums(key, row.Fingerprints), d.parseSums(key, row.Parts)
	for _, sum := range sums {
		d.blameRequest(now, t, incarnation, sum, box)
	}
	for _, part := range parts {
		d.blamePart(now, t, incarnation, part, box)
	}
	if box == d.Settings.Name && t.reports.byIncarnation[incarnation] == nil {
		t.reports.add(now, incarnation, sums)
		t.reports.addParts(now, incarnation, parts)
		own := t.reports.byIncarnation[incarnation]
		own.written = true
		if at := time.UnixMilli(row.AtMS); at.Before(now) {
			own.endedAt = at
		}
	}
}

// parseSums returns the valid fingerprints of a row.
func (d *Daemon) parseSums(key string, texts []string) []fingerprint.Sum {
	var sums []fingerprint.Sum
	for _, text := range texts {
		sum, ok := fingerprint.Parse(text)
		if !ok {
			d.Log.Error("crash report's row holds an invalid fingerprint", "key", key, "text", text)
			continue
		}
		sums = append(sums, sum)
	}
	return sums
}

// recentCrashes lists the crashes that this box reported recently, for boxes that can't read
// the rows now, and the ended incarnations that others reported to it.
func (t *tables) recentCrashes(now time.Time) []peer.CrashReport {
	var list []peer.CrashReport
	for incarnation, x := range t.reports.byIncarnation {
		if now.Sub(x.endedAt) > announceFor {
			continue
		}
		report := peer.CrashReport{Incarnation: incarnation}
		for sum := range x.fingerprints {
			report.Fingerprints = append(report.Fingerprints, sum)
		}
		report.Parts = slices.Collect(maps.Keys(x.parts))
		list = append(list, report)
	}
	for incarnation, at := range t.endedIncarnations {
		if now.Sub(at) <= announceFor && t.reports.byIncarnation[incarnation] == nil {
			list = append(list, peer.CrashReport{Incarnation: incarnation})
		}
	}
	return list
}

// receiveQuarantine applies the crashes that another box reported, and the requests that it
// cleared.
func (d *Daemon) receiveQuarantine(now time.Time, t *tables, m peer.Message) {
	for _, report := range m.CrashReports {
		d.receiveIncarnationEnded(now, t, report.Incarnation, m.From)
		for _, sum := range report.Fingerprints[:min(len(report.Fingerprints), maxCrashFingerprints)] {
			d.blameRequest(now, t, report.Incarnation, sum, m.From)
		}
	}
	d.receiveParts(now, t, m)
	for _, sum := range m.Lifted {
		if _, known := t.lifted[sum]; !known {
			d.liftQuarantine(now, t, sum, m.From)
		}
	}
}
