package entry

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/fleet"
)

// The box that gives orders says which targets it is about to order. When each of
// them has loaded it tells nobody until it orders the next, and never if it is cut
// off or killed meanwhile. So every box that places requests asks them itself. Without
// that they stay out for loadLongest: 40 of 99 engines stood still for 3 s, on a day
// whose giver was cut off behind its first orders, and 9 in 100 long prompts were
// refused for want of memory in place of 5. The questions are 3,000 small calls a day
// of two rollouts, ten hubs and 99 engines.

// firstLoadPoll is after what time a target that is to load is first asked. The
// platform's loads take 1.3 s if few enough targets load at once.
const firstLoadPoll = 1300 * time.Millisecond

// pollLoaded asks a target whether it has loaded.
type pollLoaded struct {
	target string
	at     netip.AddrPort
	// life is the target's when it was asked.
	life fleet.Incarnation
}

// loadPolled is what it said.
type loadPolled struct {
	target string
	report Report
	err    error
}

// pollLoading asks the targets that load by another box's order, if this box places
// requests by its own knowledge.
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
		t.loading[id] = x.LoadingUntil // Until the answer is there.
		effects = append(effects, pollLoaded{id, x.Address, x.Incarnation()})
	}
	return effects
}

// loadPolled takes a target back that does not load. One that says nothing, or
// that it is busy, is asked again.
func (d *Daemon) loadPolled(now time.Time, t *tables, m loadPolled) {
	x := t.fleet.Target(m.target)
	if _, asked := t.loading[m.target]; !asked || x == nil {
		return
	}
	if m.err != nil || m.report.Busy {
		t.loading[m.target] = now.Add(loadPollInterval)
		return
	}
	delete(t.loading, m.target)
	if !x.StartedAt.IsZero() && !m.report.StartedAt.IsZero() && !m.report.StartedAt.Equal(x.StartedAt) {
		return // It tells of another life; the list tells which is the later.
	}
	for model, version := range m.report.Versions {
		x.Versions[model] = max(x.Versions[model], version)
	}
	x.LoadingUntil = time.Time{}
	t.touch(m.target)
	d.Log.Info("target does not load any more, it says", "target", m.target, "versions", m.report.Versions)
}
