package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/headroom"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/routing"
)

// hooks are the mechanisms that can be switched off one by one to measure what each is
// worth. All are on unless the settings name them under "without".
type hooks struct {
	// typicalTokens is the typical memory of a job's requests.
	typicalTokens func(t *tables, job *deliver.Job) int
	// reservedShare is the share of memory that requests of the lowest priority leave free while
	// answers are late, maxShareLowPriority the share up to which they are admitted otherwise.
	reservedShare       func(g *headroom.Gauge) float64
	maxShareLowPriority float64
	// applyUsage applies what another box reports of its requests' load.
	applyUsage func(now time.Time, t *tables, m peer.Message)
	// freeableBelow is the version below which parts may be freed.
	freeableBelow func(now time.Time, w *modelRollout) int64
	// preferredDomain is the failure domain whose engines are preferred.
	preferredDomain func(domain string) string
	// copiesRuns says whether runs of a pool may be copied to another engine.
	copiesRuns func(pool *routing.Pool) bool
	// quarantined says whether a request must not reach any target.
	quarantined func(now time.Time, t *tables, sum fingerprint.Sum) bool
	// quarantinedPart returns the part of a prompt that must not reach any target.
	quarantinedPart func(now time.Time, t *tables, job *deliver.Job, retry bool) (fingerprint.Sum, bool)
	// handsOn says whether requests may be handed on to other boxes.
	handsOn bool
	// bindsSoftware says whether streams go on only at the software version that began them,
	// tellsOrigins whether boxes tell each other which one that is.
	bindsSoftware, tellsOrigins bool
	// waits says whether requests without room may wait, at this box or at a hub.
	waits bool
	// engineSlowdown is by which factor an engine's first events are later than predicted, as
	// affinity.Chooser has it; observeEngine learns it from an answer and reports whether that was
	// late because of the engine.
	engineSlowdown func(now time.Time, t *tables, x *fleet.Target) (expected, possible float64)
	observeEngine  func(now time.Time, t *tables, p deliver.Placement) bool
	// accountUsage is the engine memory in tokens that an account's requests use in a pool.
	accountUsage func(t *tables, pool, account string) int
}

func newHooks() hooks {
	return hooks{
		typicalTokens:       (*tables).learnTypicalTokens,
		reservedShare:       (*headroom.Gauge).Reserve,
		maxShareLowPriority: maxShareLowPriority,
		applyUsage: func(now time.Time, t *tables, m peer.Message) {
			t.receiveLoads(now, m.From, m.TargetLoads)
			t.receivePrefill(now, m.From, m.PrefillTotals)
			t.receiveAccounts(now, m)
		},
		freeableBelow:   func(now time.Time, w *modelRollout) int64 { return w.reclaim.Below(now) },
		preferredDomain: func(domain string) string { return domain },
		copiesRuns:      func(pool *routing.Pool) bool { return pool.Engine != nil && pool.Engine.RunCopies },
		quarantined: func(now time.Time, t *tables, sum fingerprint.Sum) bool {
			return t.quarantined(now, sum)
		},
		accountUsage:   (*tables).accountUsage,
		engineSlowdown: func(now time.Time, t *tables, x *fleet.Target) (float64, float64) { return t.effectiveSlowdown(now, x) },
		observeEngine:  func(now time.Time, t *tables, p deliver.Placement) bool { return t.observeEngine(now, p) },
	}
}

// ablate switches off the mechanisms that the settings name or don't ask for.
func (d *Daemon) ablate() {
	d.waits = d.Settings.Overload.Queue
	d.handsOn, d.bindsSoftware, d.tellsOrigins = true, true, true
	if !d.Settings.Overload.SlowEngines {
		d.withoutSlowEngines()
	}
	if !d.Settings.Overload.Copies {
		d.copiesRuns = func(*routing.Pool) bool { return false }
	}
	off := func(mechanism string) bool { return slices.Contains(d.Settings.Without, mechanism) }
	if off(settings.Saves) {
		d.engines.AllowSave = func(*affinity.Source) bool { return false }
	}
	if off(settings.StoreFetches) {
		d.engines.AllowStoreFetch = func(*affinity.Source) bool { return false }
	}
	if off(settings.EngineFetches) {
		d.engines.AllowEngineFetch = func(*affinity.Source) bool { return false }
	}
	if off(settings.LearntMoves) {
		d.engines.Slowdown = func(time.Time, string) float64 { return 1 }
	}
	if off(settings.LearntReading) {
		d.engines.PrefillPerToken = func() time.Duration { return time.Millisecond / 112 }
	}
	if off(settings.RankSlack) {
		d.engines.Slack = 0
	}
	if off(settings.OwnDomain) {
		d.preferredDomain = func(string) string { return "" }
	}
	if off(settings.LeastUrgent) {
		d.maxShareLowPriority = maxShare
		d.reservedShare = func(*headroom.Gauge) float64 { return 0 }
	}
	if off(settings.Reserve) {
		d.reservedShare = func(*headroom.Gauge) float64 { return 0 }
	}
	if off(settings.UsualSize) {
		d.typicalTokens = func(_ *tables, job *deliver.Job) int { return job.PromptTokens + job.MaxOutputTokens }
	}
	if off(settings.Freeing) {
		d.freeableBelow = func(time.Time, *modelRollout) int64 { return 0 }
	}
	if off(settings.Loads) {
		d.applyUsage = func(time.Time, *tables, peer.Message) {}
	}
	if off(settings.Hurry) {
		d.server.Suspect = nil
	}
	if off(settings.HeldBytes) || !d.Settings.Overload.HeldBytes {
		d.server.Held, d.handoff.Held = nil, nil
	}
	if off(settings.Quarantine) {
		d.quarantined = func(time.Time, *tables, fingerprint.Sum) bool { return false }
		d.quarantinedPart = func(time.Time, *tables, *deliver.Job, bool) (fingerprint.Sum, bool) { return fingerprint.Sum{}, false }
	}
	if off(settings.Waiting) {
		d.waits = false
	}
	if off(settings.Copies) {
		d.copiesRuns = func(*routing.Pool) bool { return false }
	}
	if off(settings.HandingOn) {
		d.handsOn = false
	}
	if off(settings.SameSoftware) {
		d.bindsSoftware = false
	}
	if off(settings.Origins) {
		d.tellsOrigins = false
	}
	if off(settings.SlowEngines) {
		d.withoutSlowEngines()
	}
	if len(d.Settings.Without) > 0 {
		d.Log.Warn("mechanisms are switched off for measurements", "without", d.Settings.Without)
	}
}

// withoutSlowEngines neither observes nor uses how late engines answer.
func (d *Daemon) withoutSlowEngines() {
	d.engineSlowdown = func(time.Time, *tables, *fleet.Target) (float64, float64) { return 1, 1 }
	d.observeEngine = func(time.Time, *tables, deliver.Placement) bool { return false }
}
