package entry

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// The box that orders loads announces the targets before it orders them, but announces that
// they have loaded only together with its next orders, and never if it is cut off or killed. So
// every box that places requests polls the loading targets itself. Otherwise they stay out of
// use for maxLoadTime: in a rollout whose leader was cut off after its first orders, 40 of 99
// engines idled for 3 s and 9 in 100 long prompts were refused for lack of memory instead of 5.
// Polling costs 3,000 small calls on a day with two rollouts, ten hubs and 99 engines.

// firstLoadPoll is the delay before a loading target is first polled. The platform's loads take
// 1.3 s if few enough targets load at once.
const firstLoadPoll = 1300 * time.Millisecond

// pollLoaded polls a target for whether it has loaded.
type pollLoaded struct {
	target  string
	address netip.AddrPort
	// incarnation is the target's incarnation when it was polled.
	incarnation fleet.Incarnation
}

// loadPolled is the answer.
type loadPolled struct {
	target string
	report Report
	err    error
}

// pollLoading polls the targets that load by another box's order, if this box places requests
// by its own knowledge.
func (d *Daemon) pollLoading(now time.Time, t *tables) []effect {
	var effects []effect
	for id, due := range t.loading {
		x := t.fleet.Target(id)
		if x == nil || !x.Loading(now) || d.spoke.Load() {
			delete(t.loading, id)
			continue
		}
		if now.Before(due) {
			continue
		}
		t.loading[id] = x.LoadingUntil // No further poll while the answer is outstanding.
		effects = append(effects, pollLoaded{id, x.Address, x.Incarnation()})
	}
	return effects
}

// loadPolled takes a target that is not loading back into use. One that does not answer, or is
// busy, is polled again.
func (d *Daemon) loadPolled(now time.Time, t *tables, m loadPolled) {
	x := t.fleet.Target(m.target)
	if _, loading := t.loading[m.target]; !loading || x == nil {
		return
	}
	if m.err != nil || m.report.Busy {
		t.loading[m.target] = now.Add(loadPollInterval)
		return
	}
	delete(t.loading, m.target)
	if !x.StartedAt.IsZero() && !m.report.StartedAt.IsZero() && !m.report.StartedAt.Equal(x.StartedAt) {
		return // The report is from another incarnation; the list shows which one is the later.
	}
	for model, version := range m.report.Versions {
		x.Versions[model] = max(x.Versions[model], version)
	}
	x.LoadingUntil = time.Time{}
	t.markChanged(m.target)
	d.Log.Info("target does not load any more, it says", "target", m.target, "versions", m.report.Versions)
}
