package entry

import (
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/pace"
	"github.com/thymewind/thymewind/placement"
)

// answerBegan learns from how soon an answer began.
func (d *Daemon) answerBegan(now time.Time, t *tables, p deliver.Place) {
	if x := t.fleet.Of(fleet.Life{ID: p.Target, Born: p.Born}); x != nil {
		x.Began(now, p.Unread)
	}
	t.crashes.Alive(lifeOf(p), p.At)
	t.overdue.Done(placement.Hash(p.Target), p.At)
	if p.Scope != "" {
		t.pace.See(now, pace.Sample{Took: now.Sub(p.At), Tokens: p.Ahead + p.Unread, Moves: p.Moves})
	}
}

// readingToken is how long an engine takes to read one token, as learnt.
func (d *Daemon) readingToken() time.Duration {
	_, token := d.tables.pace.Reading()
	return token
}

// stretch is by how much moves from a source take longer than they should, by
// what all boxes' requests saw.
func (t *tables) stretch(now time.Time, source string) float64 {
	name := placement.Hash(source)
	asked, took := t.pace.Moved(now, name)
	others := t.others.Of(name)
	return pace.Stretch(asked+milliseconds(others.AskedMS), took+milliseconds(others.TookMS))
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// slowStretch is from which stretch on a source is logged as slow. Nothing else
// depends on it.
const slowStretch = 3

// noteSlow logs the stores that have turned slow, and those that are well again.
func (d *Daemon) noteSlow(now time.Time, t *tables) {
	for _, s := range t.stores {
		stretch := t.stretch(now, s.Name)
		slow := stretch >= slowStretch
		if slow == t.slow[s.Name] {
			continue
		}
		t.slow[s.Name] = slow
		d.Log.Info("store's moves", "store", s.Name, "slow", slow, "stretch", stretch, "boxes", t.others.Boxes()+1)
	}
}
