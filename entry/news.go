package entry

import (
	"time"

	"github.com/thymewind/thymewind/directory"
)

// newsRead takes over what a source says of its kept parts.
func (d *Daemon) newsRead(now time.Time, t *tables, m newsRead) []effect {
	if t.followed[m.source] == nil {
		return nil // It came while the following was stopped.
	}
	x := t.fleet.Target(m.source)
	if x != nil {
		d.newsOfLife(now, t, x, m)
	}
	if x != nil && m.err != nil {
		d.heedNews(now, t, x, m.news.Said)
	}
	if m.err != nil {
		t.directory.Silence(m.source)
		if x != nil {
			if !x.Avoided(now) {
				d.Log.Warn("target can't be heard", "target", m.source, "err", m.err)
			}
			x.Fail(now)
			x.Unheard = true
		}
		return nil
	}
	if x != nil && !x.Born.IsZero() && m.news.Born.After(x.Born) {
		return d.replaced(now, t, x.Life(), "its news, of a life begun later")
	}
	restarted := t.directory.Begin(m.source, m.news.Epoch)
	if restarted && x != nil {
		return d.replaced(now, t, x.Life(), "its news")
	}
	if restarted {
		d.Log.Warn("store restarted and lost what it kept", "store", m.source, "epoch", m.news.Epoch)
	}
	if x != nil {
		d.heedNews(now, t, x, m.news.Said)
		x.Heard(now)
		x.Unheard = false // It is the life that it was.
	}
	if m.news.Clock > 0 {
		t.clock, t.timed = m.news.Clock-d.uptime(now), true
	}
	if m.listed {
		t.directory.Clear(m.source)
	}
	for _, c := range m.news.Changes {
		key := directory.Of(c.Scope, c.Part)
		if c.Kept {
			t.directory.Add(m.source, key, c.Tokens)
			continue
		}
		t.directory.Remove(m.source, key)
	}
	return nil
}
