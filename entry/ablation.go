package entry

import (
	"slices"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/headroom"
	"github.com/thymewind/thymewind/peer"
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
	// quarantined says whether a request must not reach any target.
	quarantined func(now time.Time, t *tables, sum fingerprint.Sum) bool
}

func newHooks() hooks {
	return hooks{
		typicalTokens:       (*tables).learnTypicalTokens,
		reservedShare:       (*headroom.Gauge).Reserve,
		maxShareLowPriority: maxShareLowPriority,
		applyUsage: func(now time.Time, t *tables, m peer.Message) {
			t.receiveLoads(now, m.From, m.TargetLoads)
			t.receivePrefill(now, m.From, m.PrefillTotals)
		},
		freeableBelow:   func(now time.Time, w *modelRollout) int64 { return w.reclaim.Below(now) },
		preferredDomain: func(domain string) string { return domain },
		quarantined: func(now time.Time, t *tables, sum fingerprint.Sum) bool {
			return t.quarantined(now, sum)
		},
	}
}

// ablate switches off the mechanisms that the settings name. Nothing else does.
func (d *Daemon) ablate() {
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
	if off(settings.HeldBytes) {
		d.server.Held = nil
	}
	if off(settings.Quarantine) {
		d.quarantined = func(time.Time, *tables, fingerprint.Sum) bool { return false }
	}
	if len(d.Settings.Without) > 0 {
		d.Log.Warn("mechanisms are switched off for measurements", "without", d.Settings.Without)
	}
}
