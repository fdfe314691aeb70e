package entry

import (
	"time"

	"github.com/thymewind/thymewind/directory"
)

// cacheEventsRead applies what a source reported of its cached parts.
func (d *Daemon) cacheEventsRead(now time.Time, t *tables, m cacheEventsRead) []effect {
	if t.watched[m.source] == nil {
		return nil // It arrived while the watcher was being stopped.
	}
	x := t.fleet.Target(m.source)
	if x != nil && m.err != nil {
		d.livenessFromEvents(now, t, x, m)
		d.signalsFromEvents(now, t, x, m.events.Signals)
	}
	if m.err != nil {
		t.directory.Disconnected(m.source)
		if x != nil {
			if !x.Ejected(now) {
				d.Log.Warn("target can't be heard", "target", m.source, "err", m.err)
			}
			t.callFailed(now, x, m.err)
			x.FeedLost = true
		}
		return nil
	}
	if x != nil && !x.StartedAt.IsZero() && m.events.StartedAt.After(x.StartedAt) {
		return d.dropReplaced(now, t, x.Incarnation(), "its news, of a life begun later")
	}
	restarted := t.directory.Connected(m.source, m.events.Epoch)
	if restarted && x != nil {
		return d.dropReplaced(now, t, x.Incarnation(), "its news")
	}
	if restarted {
		d.Log.Warn("store restarted and lost its cache", "store", m.source, "epoch", m.events.Epoch)
	}
	if x != nil {
		d.livenessFromEvents(now, t, x, m)
		d.signalsFromEvents(now, t, x, m.events.Signals)
		t.heard(now, x)
		x.FeedLost = false // It is still the same incarnation.
	}
	if m.events.Clock > 0 {
		t.clock, t.clockKnown = m.events.Clock-d.uptime(now), true
	}
	if m.listed {
		t.directory.Clear(m.source)
	}
	for _, c := range m.events.Changes {
		key := directory.KeyOf(c.Scope, c.Part)
		if c.Cached {
			t.directory.Add(m.source, key, c.Tokens)
			continue
		}
		t.directory.Remove(m.source, key)
	}
	return nil
}
