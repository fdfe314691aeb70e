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

// A request may take down each target that begins to run it, and come again, with another
// ID, at any box. What it did to its targets therefore counts for all that ask for the
// same, over all boxes: each tells in rows of its own which requests ran on targets that
// ended (crashrow.go), and refuses what quarantine.Threshold targets ended under. Of 12
// targets 6 end in place of all: three for each of two boxes to which it comes each 5 ms,
// before either has heard of the other's (TestCrashingRequest).

// incarnationKey names a target's life among boxes.
func incarnationKey(life fleet.Incarnation) string {
	if life.StartedAt.IsZero() {
		return life.ID
	}
	return life.ID + incarnationMark + strconv.FormatInt(unixMS(life.StartedAt), 10)
}

// incarnationMark stands between a target's ID and when its life began.
const incarnationMark = "@"

// incarnationTarget returns the target's ID.
func incarnationTarget(life string) string {
	if at := strings.LastIndex(life, incarnationMark); at >= 0 {
		return life[:at]
	}
	return life
}

// placementIncarnation names the life that a request was placed on.
func placementIncarnation(p deliver.Placement) string {
	return incarnationKey(fleet.Incarnation{ID: p.Target, StartedAt: p.StartedAt})
}

// recordLiveness takes from a request's end whether its target lives.
func (d *Daemon) recordLiveness(now time.Time, t *tables, m attemptEnded) {
	life := placementIncarnation(m.Place)
	if m.Began || m.Verdict == deliver.DidNotRun || m.Verdict == deliver.OtherVersion {
		t.crashes.Alive(life, m.Place.PlacedAt)
	}
	over := false
	switch {
	case m.ConnectionRefused:
		d.incarnationEnded(now, t, life, "its address refuses connections")
	case m.Answered:
		d.clearAnswered(now, t, m.Job)
	case m.CutOff:
		over = t.crashes.CutOff(now, life, m.Job.Fingerprint())
	case m.CallerLeft:
		over = t.crashes.CallerLeft(now, life, m.Job.Fingerprint())
	}
	if over {
		d.reportCrash(now, t, life, []fingerprint.Sum{m.Job.Fingerprint()}, "known before")
	}
}

// incarnationEnded notes that a target's life is over, and holds that against the requests that
// were cut off there since it last answered.
func (d *Daemon) incarnationEnded(now time.Time, t *tables, life, foundBy string) {
	sums := t.crashes.Ended(now, life)
	if len(sums) == 0 {
		return
	}
	d.metrics.endedTargets.Inc()
	d.reportCrash(now, t, life, sums, foundBy)
}

// receiveIncarnationEnded takes over that another box found a target's life to be over: that bears out
// this box's own doubts, and is told on to boxes that hear of it from here only. A box whose
// caller left asks the target nothing, and would know by the list alone, 4 s later.
func (d *Daemon) receiveIncarnationEnded(now time.Time, t *tables, life, from string) {
	if _, known := t.endedIncarnations[life]; known || len(t.endedIncarnations) >= maxEndedIncarnations {
		return
	}
	t.endedIncarnations[life] = now
	d.incarnationEnded(now, t, life, from)
}

// maxEndedIncarnations bounds the lives that other boxes found to be over.
const maxEndedIncarnations = 256

// expireEnded forgets them.
func (t *tables) expireEnded(now time.Time) {
	maps.DeleteFunc(t.endedIncarnations, func(_ string, at time.Time) bool { return now.Sub(at) > crash.RememberFor })
}

// reportCrash counts requests that ran on a target when it ended, and has the other boxes
// told.
func (d *Daemon) reportCrash(now time.Time, t *tables, life string, sums []fingerprint.Sum, foundBy string) {
	d.Log.Warn("target ended under requests", "target", life, "requests", len(sums), "found_by", foundBy)
	for _, sum := range sums {
		d.blameRequest(now, t, life, sum, d.Settings.Name)
	}
	t.reports.add(now, life, sums)
}

// blameRequest counts one request that ran on a target when it ended.
func (d *Daemon) blameRequest(now time.Time, t *tables, life string, sum fingerprint.Sum, from string) {
	if !t.quarantine.Ended(now, sum, life) {
		return
	}
	d.countQuarantined(t)
	d.Log.Warn("request is refused from now on", "fingerprint", sum, "targets_ended", quarantine.Threshold, "last", life, "told_by", from)
}

// probeSuspects asks targets that cut requests off whether they live, if this box does not
// follow their news anyway. One whose process is gone refuses the connection, which is not
// charged for.
func (d *Daemon) probeSuspects(now time.Time, t *tables) []effect {
	var effects []effect
	for _, life := range t.crashes.Due(now) {
		x := t.fleet.Target(incarnationTarget(life))
		if x == nil || incarnationKey(x.Incarnation()) != life || t.watched[x.ID] != nil || t.probing[x.ID] {
			continue
		}
		if p, ok := d.probeFor(now, t, x); ok {
			t.probing[x.ID] = true
			effects = append(effects, p)
		}
	}
	return effects
}

// probeFor is how a target is asked whether it lives; false if it can't be.
func (d *Daemon) probeFor(now time.Time, t *tables, x *fleet.Target) (probe, bool) {
	table := d.current.Load()
	if table == nil || table.Pools[x.Pool] == nil {
		return probe{}, false
	}
	pool := table.Pools[x.Pool]
	p := probe{target: x.ID, path: pool.HealthPath, at: x.Address, life: x.Incarnation(), engine: pool.Engine != nil, suspected: true, asked: now}
	if p.engine {
		return p, true
	}
	if p.path == "" || x.InBackoff(now) || !d.withinQuota(now, t, x) {
		return probe{}, false // A question for its health waits like a request.
	}
	d.takeQuota(now, t, x)
	return p, true
}

// ask asks a target for its health, or an engine for its report, which it gives at once.
func (d *Daemon) ask(ctx context.Context, p probe) error {
	if !p.engine {
		said, err := d.Platform.Healthy(ctx, p.at, p.path, p.target)
		d.recordSignals(p.asked, p.life, said, "its health")
		return err
	}
	report, err := d.Platform.Report(ctx, p.at)
	d.signalsFromReport(p.asked, p.life, report)
	if err == nil && !p.life.StartedAt.IsZero() && report.StartedAt.After(p.life.StartedAt) {
		return ErrReplaced
	}
	return err
}

// probeAnswered takes from a probe's answer whether the target lives.
func (d *Daemon) probeAnswered(now time.Time, t *tables, m probed) {
	life := incarnationKey(m.life)
	switch {
	case m.err == nil || errors.Is(m.err, ErrUnhealthy):
		t.crashes.Alive(life, m.asked)
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.incarnationEnded(now, t, life, "its address refuses connections")
	}
}

// livenessFromEvents takes from an engine's news, or from its failing to tell any, whether it lives.
func (d *Daemon) livenessFromEvents(now time.Time, t *tables, x *fleet.Target, m cacheEventsRead) {
	switch {
	case m.err == nil:
		t.crashes.Alive(incarnationKey(x.Incarnation()), m.asked)
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.incarnationEnded(now, t, incarnationKey(x.Incarnation()), "its news")
	}
}

// probe asks a target for its health.
type probe struct {
	target, path string
	at           netip.AddrPort
	// life is the target's at asked, when the question was decided on.
	life  fleet.Incarnation
	asked time.Time
	// engine says that its report is asked for, doubted that it may have ended.
	engine, suspected bool
}

// probed tells a target's health.
type probed struct {
	probe
	err error
}
