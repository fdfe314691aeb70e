package thymewind

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// A model request may crash every engine that runs it, and be repeated at any box. Crashes are
// counted by the request's fingerprint, which covers its account and contents, and spread by
// gossip. Each box announces a crash for announceFor after it learnt of it, so that the report
// reaches all boxes and then stops circulating.

const (
	// announceFor is how long a box gossips that an engine ended under requests, or that a
	// quarantined request was answered after all.
	announceFor = 30 * time.Second
	// maxCrashReports bounds the crash reports in one message, maxFingerprints the requests of
	// each, and maxLifted the answered ones: about 5 KB in all, and only right after crashes.
	maxCrashReports = 8
	maxFingerprints = 32
	maxLifted       = 16
)

// crashState is what this box knows of requests that crash engines.
type crashState struct {
	tracker    crash.Tracker
	quarantine quarantine.List
	// incarnations counts the incarnations of each engine that this box saw end.
	incarnations map[string]int
	// reports are the known crashes by incarnation, lifted the requests that were answered
	// after all, each with the time when this box learnt of it.
	reports map[string]crashReport
	lifted  map[fingerprint.Sum]time.Time
}

// crashReport is the end of one engine's incarnation under requests.
type crashReport struct {
	fingerprints []fingerprint.Sum
	at           time.Time
}

func newCrashState() crashState {
	return crashState{incarnations: make(map[string]int), reports: make(map[string]crashReport), lifted: make(map[fingerprint.Sum]time.Time)}
}

// incarnation returns the key of an engine's current incarnation as this box counts them.
// Engines do not report one.
func (k *crashState) incarnation(box, engine string) string {
	return box + "/" + engine + "/" + strconv.Itoa(k.incarnations[engine])
}

// place places a request, unless its fingerprint is quarantined.
func (d *Daemon) place(now time.Time, t *tables, request route.PlacementRequest) (route.Placement, error) {
	k := &t.crashes
	if request.Model != "" && k.quarantine.Len()+k.tracker.Len() > 0 {
		if sum := request.Fingerprint(); k.quarantine.Refuses(now, sum, k.tracker.Suspects(sum)) {
			return route.Placement{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "quarantined",
				"%d engines ended while requests for the same ran there", quarantine.Threshold).WithRetryAfter(quarantineRetryAfter)
		}
	}
	placed, err := t.Place(now, request)
	placed.PlacementRequest = request
	return placed, err
}

// quarantineRetryAfter is the Retry-After of quarantined requests, for which an earlier retry
// gains nothing.
const quarantineRetryAfter = time.Minute

// recordLiveness learns from an attempt's end whether its engine crashed under it, or whether it
// was answered after all.
func (d *Daemon) recordLiveness(now time.Time, t *tables, e route.AttemptResult) {
	if e.Placement.PlacementRequest.Model == "" {
		return
	}
	k := &t.crashes
	incarnation := k.incarnation(d.Settings.Name, e.Placement.Target)
	sum := e.Placement.PlacementRequest.Fingerprint
	switch {
	case e.ConnectionRefused:
		d.incarnationEnded(now, t, e.Placement.Target)
	case e.CutOff && k.tracker.CutOff(now, incarnation, sum()):
		d.blameRequests(now, t, incarnation, []fingerprint.Sum{sum()}, d.Settings.Name)
	case e.End.Request != "" && k.quarantine.Len() > 0 && k.quarantine.Answered(now, sum()):
		k.lifted[sum()] = now
	}
}

// livenessFromReport learns from an engine's load report, or from a refused connection, whether
// it is alive. An engine that reports again after its end has begun another incarnation.
func (d *Daemon) livenessFromReport(now time.Time, t *tables, m loadRead) {
	k := &t.crashes
	incarnation := k.incarnation(d.Settings.Name, m.target)
	switch {
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.incarnationEnded(now, t, m.target)
	case m.err == nil && k.tracker.HasEnded(incarnation):
		k.incarnations[m.target]++
	case m.err == nil:
		k.tracker.Alive(incarnation, m.requestedAt)
	}
}

// incarnationEnded blames an engine's end on the requests that it cut off, if any.
func (d *Daemon) incarnationEnded(now time.Time, t *tables, engine string) {
	incarnation := t.crashes.incarnation(d.Settings.Name, engine)
	if sums := t.crashes.tracker.Ended(now, incarnation); len(sums) > 0 {
		d.blameRequests(now, t, incarnation, sums, d.Settings.Name)
	}
}

// blameRequests counts an engine's end against the requests that ran on it, and keeps the crash
// report for gossip.
func (d *Daemon) blameRequests(now time.Time, t *tables, incarnation string, sums []fingerprint.Sum, from string) {
	k := &t.crashes
	for _, sum := range sums {
		if k.quarantine.Ended(now, sum, incarnation) {
			d.Log.Warn("request is refused from now on", "fingerprint", sum, "engines_ended", quarantine.Threshold, "last", incarnation, "told_by", from)
		}
	}
	report := k.reports[incarnation]
	if report.at.IsZero() {
		d.Log.Warn("engine ended under requests", "life", incarnation, "requests", len(sums), "told_by", from)
		report.at = now
	}
	report.fingerprints = append(report.fingerprints, sums...)
	k.reports[incarnation] = report
}

// addReports adds recent crash reports and lifted requests to a gossip message.
func (k *crashState) addReports(now time.Time, m *peer.Message) {
	for incarnation, report := range k.reports {
		if now.Sub(report.at) < announceFor && len(m.CrashReports) < maxCrashReports {
			m.CrashReports = append(m.CrashReports, peer.CrashReport{Incarnation: incarnation, Fingerprints: report.fingerprints[:min(len(report.fingerprints), maxFingerprints)]})
		}
	}
	for sum, at := range k.lifted {
		if now.Sub(at) < announceFor && len(m.Lifted) < maxLifted {
			m.Lifted = append(m.Lifted, sum)
		}
	}
}

// receiveCrashReports applies the crash reports and lifted requests of a peer.
func (d *Daemon) receiveCrashReports(now time.Time, t *tables, m peer.Message) {
	k := &t.crashes
	for _, report := range m.CrashReports {
		if _, known := k.reports[report.Incarnation]; !known {
			d.blameRequests(now, t, report.Incarnation, report.Fingerprints[:min(len(report.Fingerprints), maxFingerprints)], m.From)
		}
	}
	for _, sum := range m.Lifted {
		if _, known := k.lifted[sum]; !known {
			k.lifted[sum] = now
			k.quarantine.Answered(now, sum)
		}
	}
}

// expireCrashes drops expired state. Reports are kept for longer than they are gossiped: a box
// that had dropped one would announce it again, and it would circulate for ever.
func (d *Daemon) expireCrashes(now time.Time, t *tables) []effect {
	const retention = 4 * announceFor
	k := &t.crashes
	k.tracker.Expire(now)
	k.quarantine.Expire(now)
	maps.DeleteFunc(k.reports, func(_ string, r crashReport) bool { return now.Sub(r.at) > retention })
	maps.DeleteFunc(k.lifted, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > retention })
	return nil
}
