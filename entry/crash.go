package entry

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/quarantine"
)

// A request may crash each target that begins to run it, and come again, with another ID, at
// any box. Crashes are therefore counted by the request's fingerprint and over all boxes: each
// box writes rows that list which requests ran on targets that ended (crashrow.go), and refuses
// a request under which quarantine.Threshold targets ended. With 12 targets and a request that
// reaches two boxes every 5 ms, 6 targets end instead of all: three for each box, before either
// has learned of the other's (TestCrashingRequest).

// incarnationKey is the ID of a target's incarnation in messages and rows.
func incarnationKey(incarnation fleet.Incarnation) string {
	if incarnation.StartedAt.IsZero() {
		return incarnation.ID
	}
	return incarnation.ID + incarnationMark + strconv.FormatInt(unixMS(incarnation.StartedAt), 10)
}

// incarnationMark separates a target's ID from the start time of its incarnation.
const incarnationMark = "@"

// incarnationTarget returns the target's ID.
func incarnationTarget(incarnation string) string {
	if at := strings.LastIndex(incarnation, incarnationMark); at >= 0 {
		return incarnation[:at]
	}
	return incarnation
}

// placementIncarnation is the ID of the incarnation on which a request was placed.
func placementIncarnation(p deliver.Placement) string {
	return incarnationKey(fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt})
}

// recordLiveness learns from a request's end whether its target is alive.
func (d *Daemon) recordLiveness(now time.Time, t *tables, m attemptEnded) {
	incarnation := placementIncarnation(m.Place)
	if m.Began || m.Verdict == deliver.DidNotRun || m.Verdict == deliver.OtherVersion {
		d.alive(now, t, incarnation, m.Place.PlacedAt)
	}
	ended := false
	switch {
	case m.ConnectionRefused:
		d.addressRefuses(now, t, incarnation, "its address refuses connections")
	case m.Answered:
		d.clearAnswered(now, t, m.Job)
	case m.CutOff:
		ended = t.crashes.CutOff(now, incarnation, m.Job.Fingerprint())
	case m.CallerLeft:
		ended = t.crashes.CallerLeft(now, incarnation, m.Job.Fingerprint())
	}
	if ended {
		d.reportCrash(now, t, incarnation, []fingerprint.Sum{m.Job.Fingerprint()}, "known before")
	}
}

// incarnationEnded notes that an incarnation has ended, and blames the requests that were cut
// off there since it last answered.
func (d *Daemon) incarnationEnded(now time.Time, t *tables, incarnation, foundBy string) {
	d.partsEnded(now, t, incarnation)
	sums := t.crashes.Ended(now, incarnation)
	if len(sums) == 0 {
		return
	}
	d.metrics.endedTargets.Inc()
	d.reportCrash(now, t, incarnation, sums, foundBy)
}

// receiveIncarnationEnded applies another box's report that an incarnation has ended. It
// confirms this box's own suspicions, and is passed on to boxes that receive from this one only. A
// box whose caller left does not probe the target and would learn of the end from the list
// alone, 4 s later.
func (d *Daemon) receiveIncarnationEnded(now time.Time, t *tables, incarnation, from string) {
	if _, known := t.endedIncarnations[incarnation]; known || len(t.endedIncarnations) >= maxEndedIncarnations {
		return
	}
	t.endedIncarnations[incarnation] = now
	t.verifyEnd(now, incarnation)
	d.incarnationEnded(now, t, incarnation, from)
}

// maxEndedIncarnations bounds the ended incarnations that are kept from other boxes' reports.
const maxEndedIncarnations = 256

// expireEnded forgets the incarnations that ended more than crash.RememberFor ago.
func (t *tables) expireEnded(now time.Time) {
	maps.DeleteFunc(t.endedIncarnations, func(_ string, at time.Time) bool { return now.Sub(at) > crash.RememberFor })
}

// reportCrash counts the requests that ran on a target when it ended, and has the row for the
// other boxes written.
func (d *Daemon) reportCrash(now time.Time, t *tables, incarnation string, sums []fingerprint.Sum, foundBy string) {
	d.Log.Warn("target ended under requests", "target", incarnation, "requests", len(sums), "found_by", foundBy)
	for _, sum := range sums {
		d.blameRequest(now, t, incarnation, sum, d.Settings.Name)
	}
	t.reports.add(now, incarnation, sums)
}

// blameRequest counts one request that ran on a target when it ended.
func (d *Daemon) blameRequest(now time.Time, t *tables, incarnation string, sum fingerprint.Sum, from string) {
	if !t.quarantine.Ended(now, sum, incarnation) {
		return
	}
	d.countQuarantined(t)
	d.Log.Warn("request is refused from now on", "fingerprint", sum, "targets_ended", quarantine.Threshold, "last", incarnation, "told_by", from)
}

// probeSuspects probes targets that cut requests off, unless this box watches them anyway. A
// target whose process is gone refuses the connection, which is not charged for.
func (d *Daemon) probeSuspects(now time.Time, t *tables) []effect {
	var effects []effect
	for _, incarnation := range t.crashes.Due(now) {
		x := t.fleet.Target(incarnationTarget(incarnation))
		if x == nil || incarnationKey(x.Incarnation()) != incarnation || t.watched[x.ID] != nil || t.probing[x.ID] {
			continue
		}
		if p, ok := d.probeFor(now, t, x); ok {
			t.probing[x.ID] = true
			effects = append(effects, p)
		}
	}
	return effects
}

// probeFor returns the probe for a target; false if it can't be probed.
func (d *Daemon) probeFor(now time.Time, t *tables, x *fleet.Target) (probe, bool) {
	table := d.current.Load()
	if table == nil || table.Pools[x.Pool] == nil {
		return probe{}, false
	}
	pool := table.Pools[x.Pool]
	p := probe{target: x.ID, path: pool.HealthPath, address: x.Address, incarnation: x.Incarnation(), pool: x.Pool, slots: x.Slots, engine: pool.Engine != nil, suspected: true, decidedAt: now}
	if p.engine {
		return p, true
	}
	if p.path == "" || x.InBackoff(now) || !d.withinQuota(now, t, x) {
		return probe{}, false // A health probe waits for a backoff or a rate limit as requests do.
	}
	d.takeQuota(now, t, x)
	return p, true
}

// runProbe probes a target's health. Of an engine it reads the report instead, as engines
// answer that at once.
func (d *Daemon) runProbe(ctx context.Context, p probe) error {
	if !p.engine {
		given, err := d.permitProbe(ctx, p)
		if err != nil {
			return err
		}
		signals, err := d.Platform.Healthy(ctx, p.address, p.path, p.target)
		d.tell(d.permits.report(given, endOfProbe(err)))
		d.recordSignals(p.decidedAt, p.incarnation, signals, "its health")
		return err
	}
	report, err := d.Platform.Report(ctx, p.address)
	d.signalsFromReport(p.decidedAt, p.incarnation, report)
	if err == nil && !p.incarnation.StartedAt.IsZero() && report.StartedAt.After(p.incarnation.StartedAt) {
		return ErrReplaced
	}
	return err
}

// probeAnswered learns from a probe's answer whether the target is alive.
func (d *Daemon) probeAnswered(now time.Time, t *tables, m probed) {
	incarnation := incarnationKey(m.incarnation)
	switch {
	case m.engine && t.crashes.HasEnded(incarnation): // An engine's report does not say whose it is.
	case m.err == nil || errors.Is(m.err, ErrUnhealthy):
		d.alive(now, t, incarnation, m.decidedAt)
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.addressRefuses(now, t, incarnation, "its address refuses connections")
	}
}

// livenessFromEvents learns from an engine's cache events, or from the failure to read them,
// whether the engine is alive.
func (d *Daemon) livenessFromEvents(now time.Time, t *tables, x *fleet.Target, m cacheEventsRead) {
	switch {
	case m.err == nil:
		d.alive(now, t, incarnationKey(x.Incarnation()), m.requestedAt)
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.addressRefuses(now, t, incarnationKey(x.Incarnation()), "its news")
	}
}

// probe asks a target for its health.
type probe struct {
	target, path string
	address      netip.AddrPort
	// incarnation is the target's incarnation at decidedAt, when the probe was decided on.
	incarnation fleet.Incarnation
	decidedAt   time.Time
	// pool and slots are the target's.
	pool  string
	slots int
	// engine means that the report is read, suspected that the target may have ended.
	engine, suspected bool
}

// probed is the result of a probe.
type probed struct {
	probe
	err error
}
